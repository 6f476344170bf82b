// Sends commands directly to agents, with a bounded number of threads, so that the commands need not wait for the next heartbeat.
// Commands are also sent in replies to heartbeats (HeartbeatHandler).
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
  // Joins the threads.
  ~CommandSender() { stop(); }
  CommandSender(const CommandSender&) = delete;
  CommandSender& operator=(const CommandSender&) = delete;

  // Queues a node that has commands due. `announce_leader`: sends this leader's fencing token to the agent even if no commands are due.
  void enqueue(NodeIndex node, bool announce_leader = false);
  // Queues all nodes with placed tasks of the job.
  void enqueue_nodes_of(const Job& job);
  void stop();

  struct Load {
    std::size_t threads = 0, busy_threads = 0, connections = 0, due_nodes = 0;
  };
  [[nodiscard]] Load load() const;

 private:
  // A request to an agent.
  struct Request {
    NodeIndex node;
    std::uint64_t fencing_token = 0;
    std::string address, body;
    bool has_start = false;
  };

  // Assigns free slots to idle or new threads, as long as nodes are due. Only threads with a slot build requests and process replies.
  void assign_slots();
  bool add_thread();
  void run(std::stop_token stop);
  // Serves nodes until none is due. The thread loses its slot, and `has_slot` becomes false, if a node is slow to reply.
  void serve_due_nodes(Lock& lock, std::stop_token stop, bool& has_slot);
  void send(Lock& lock, const CommandQueue::Item& item, bool& has_slot);
  // Returns nullopt if there is nothing to send.
  std::optional<Request> make_request(const CommandQueue::Item& item);
  // Returns the heartbeat in the agent's reply; nullopt if there was no reply or it was malformed. `unacknowledged`: the request may
  // have been executed, or may be later.
  std::optional<Heartbeat> post(HttpClient& client, const Request& request, bool& has_slot, bool& unacknowledged);
  void record_outcome(const Request& request, bool has_valid_reply, bool unacknowledged);
  void apply_reply(const Lock& lock, const Request& request, const Heartbeat& reply);

  SharedState& shared_;
  AgentMessages& agent_messages_;
  // Guarded by SharedState::mutex:
  CommandQueue queue_;
  ConnectionPool connections_;
  std::size_t busy_slots_ = 0;      // held by threads or assigned
  std::size_t assigned_slots_ = 0;  // assigned to threads that have not woken up yet
  std::size_t idle_threads_ = 0;
  std::condition_variable_any slot_assigned_;
  std::vector<std::jthread> threads_;
};

}  // namespace thistlefront
