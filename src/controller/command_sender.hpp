// Sends commands directly to agents: a bounded set of threads serves the nodes that have commands due. Commands also go out
// with the answers to heartbeats (HeartbeatHandler); these here are for what must not wait for the next heartbeat.
#pragma once
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <stop_token>
#include <string>
#include <thread>
#include <vector>

#include "controller/agent_messages.hpp"
#include "controller/shared_state.hpp"
#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "transport/connection_pool.hpp"
#include "worker_control/command_queue.hpp"

namespace thistlefront {

class CommandSender {
 public:
  CommandSender(SharedState& shared, AgentMessages& agent_messages);
  // Ends the threads.
  ~CommandSender() { stop(); }
  CommandSender(const CommandSender&) = delete;
  CommandSender& operator=(const CommandSender&) = delete;

  // Commands are due on the node. `announce_leader`: it is told of this leader's fencing token even if there are none.
  void enqueue(NodeIndex node, bool announce_leader = false);
  // The same for all nodes that hold tasks of the job.
  void enqueue_for(const Job& job);
  void stop();

  struct Load {
    std::size_t threads = 0, busy_threads = 0, connections = 0, nodes_due = 0;
  };
  [[nodiscard]] Load load() const;

 private:
  // One request under way.
  struct Request {
    NodeIndex node;
    std::uint64_t fencing_token = 0;
    std::string address, body;
    bool has_start = false;
  };

  // Gives slots to idle threads, or to new ones, while nodes are due and slots are left.
  void assign_slots();
  bool add_thread();
  void run(std::stop_token stop);
  // Serves nodes until none is due; `has_slot` tells whether the thread still holds its slot, which it loses while a node is
  // slow to answer.
  void serve(Lock& lock, std::stop_token stop, bool& has_slot);
  void send(Lock& lock, const CommandQueue::Item& item, bool& has_slot);
  // Nothing where there is nothing to send.
  std::optional<Request> make_request(const CommandQueue::Item& item);
  // The agent's report in its answer; nothing where it did not answer, or not understandably.
  std::optional<Heartbeat> post(HttpClient& client, const Request& request, bool& has_slot, bool& unanswered);
  void record_outcome(const Request& request, bool understood, bool unanswered);
  void apply_answer(const Lock& lock, const Request& request, const Heartbeat& report);

  SharedState& shared_;
  AgentMessages& agent_messages_;
  // Guarded by SharedState::mutex:
  CommandQueue queue_;
  ConnectionPool connections_;
  std::size_t busy_slots_ = 0;      // held by threads, or assigned to some that have not woken yet
  std::size_t assigned_slots_ = 0;  // the latter
  std::size_t idle_threads_ = 0;
  std::condition_variable_any slot_assigned_;
  std::vector<std::jthread> threads_;
};

}  // namespace thistlefront
