// Applies what agents report to the cluster state of the present term, and selects the commands that are due to them.
// Used by HeartbeatHandler, CommandSender and InstanceReleaser, with SharedState::mutex held and the ledger read.
#pragma once
#include <vector>

#include "controller/commit_queue.hpp"
#include "controller/controller_metrics.hpp"
#include "controller/shared_state.hpp"
#include "model/command.hpp"
#include "model/heartbeat.hpp"

namespace thistlefront {

// How a report of an agent reached the leader.
enum class MessageKind {
  heartbeat,       // every answer that the agent was given before has been executed or dropped
  command_answer,  // the answer to a direct command or to a status probe
};

class AgentMessages {
 public:
  AgentMessages(SharedState& shared, CommitQueue& commit_queue, ControllerMetrics& metrics);

  // Queues the records that follow from the report. Whether it was newer than what was known; else nothing was taken from it.
  bool apply(const Heartbeat& report, MessageKind kind);
  // All commands that the node is due where this controller may decide; else those alone that stay right under every later
  // leader: kills of cancelled jobs.
  [[nodiscard]] std::vector<Command> due_commands(NodeIndex node) const;

 private:
  void log_incarnation_change(const Heartbeat& report) const;
  void observe_responsiveness(Node& node, const Heartbeat& report, MessageKind kind, double steady);

  SharedState& shared_;
  CommitQueue& commit_queue_;
  ControllerMetrics& metrics_;
};

}  // namespace thistlefront
