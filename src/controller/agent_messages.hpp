// Applies agents' messages to the cluster state of the current term, and selects the commands that are due to agents.
// Used by HeartbeatHandler, CommandSender and InstanceReleaser, with SharedState::mutex held and the ledger read.
#pragma once
#include <vector>

#include "controller/commit_queue.hpp"
#include "controller/controller_metrics.hpp"
#include "controller/log_rate_limit.hpp"
#include "controller/shared_state.hpp"
#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "worker_control/heartbeat_application.hpp"

namespace thistlefront {

// How an agent's message reached the leader. Both kinds have the content of a heartbeat.
enum class MessageKind {
  heartbeat,      // sent only after the agent has executed or dropped the replies to all earlier heartbeats
  command_reply,  // the reply to a direct command or to a status probe
};

class AgentMessages {
 public:
  AgentMessages(SharedState& shared, CommitQueue& commit_queue, ControllerMetrics& metrics);

  // Queues the ledger records that follow from the message. Returns false, and applies nothing, if the message is older than the
  // latest one applied.
  bool apply(const Heartbeat& message, MessageKind kind);
  // All pending commands for the node while this controller may decide; else only kills of cancelled jobs, which no later leader
  // revokes.
  [[nodiscard]] std::vector<Command> due_commands(NodeIndex node) const;

 private:
  void log_incarnation_change(const Heartbeat& message) const;
  void log_unplaced_tasks(const Heartbeat& message, const std::vector<UnplacedTask>& tasks);
  void count_and_log(const Node& node, const std::vector<Command>& commands) const;
  void observe_responsiveness(Node& node, const Heartbeat& message, MessageKind kind, double now);

  SharedState& shared_;
  CommitQueue& commit_queue_;
  ControllerMetrics& metrics_;
  LogRateLimit unplaced_task_lines_;
};

}  // namespace thistlefront
