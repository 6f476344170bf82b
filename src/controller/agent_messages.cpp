#include "controller/agent_messages.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <variant>

#include "transport/clock.hpp"
#include "worker_control/one_way_partition.hpp"
#include "worker_control/reconciliation.hpp"

namespace thistlefront {

AgentMessages::AgentMessages(SharedState& shared, CommitQueue& commit_queue, ControllerMetrics& metrics)
    : shared_(shared), commit_queue_(commit_queue), metrics_(metrics) {}

bool AgentMessages::apply(const Heartbeat& message, MessageKind kind) {
  const Timestamps now{steady_now(), wall_now()};
  const bool is_heartbeat = kind == MessageKind::heartbeat;
  ClusterState& cluster_state = *shared_.term->cluster_state;
  log_incarnation_change(message);
  observe_responsiveness(cluster_state.node(cluster_state.find_or_add_node(message.node)), message, kind, now.steady_s);
  auto outcome = apply_heartbeat(cluster_state, message, now, is_heartbeat, shared_.term->takeover_token);
  if (outcome.stale) return false;
  if (outcome.records.empty()) {
    if (outcome.needs_scheduling_pass) shared_.request_pass();
    return true;
  }
  // The scheduling pass follows once the records are in the ledger. Completions alone may wait to be committed with other records;
  // any other record is committed at once, because its task's capacity is to be reused.
  const bool completions_only = std::all_of(outcome.records.begin(), outcome.records.end(),
                                            [](const Record& r) { return std::holds_alternative<TasksCompletedRecord>(r); });
  commit_queue_.enqueue(std::move(outcome.records), completions_only ? CommitPriority::deferrable : CommitPriority::immediate);
  return true;
}

std::vector<Command> AgentMessages::due_commands(NodeIndex node) const {
  const Term& term = *shared_.term;
  return shared_.may_decide() ? pending_commands(*term.cluster_state, node, term.takeover_token)
                              : kills_for_cancelled_jobs(*term.cluster_state, node);
}

void AgentMessages::log_incarnation_change(const Heartbeat& message) const {
  const ClusterState& cluster_state = *shared_.term->cluster_state;
  const NodeIndex known = cluster_state.find_node(message.node);
  if (!known.valid() || message.agent_incarnation <= cluster_state.node(known).agent.incarnation) return;
  const auto& placed = cluster_state.node(known).placed;
  const auto lost_tasks = std::count_if(
      placed.begin(), placed.end(), [&](const PlacedTask& task) { return task.placement->agent_incarnation < message.agent_incarnation; });
  if (lost_tasks > 0) spdlog::info("node {}: lease expired on the agent, {} tasks requeued", message.node, lost_tasks);
}

void AgentMessages::observe_responsiveness(Node& node, const Heartbeat& message, MessageKind kind, double now) {
  const bool was_unresponsive = node.agent.unresponsive_since > 0;
  track_responsiveness(node, message, kind == MessageKind::heartbeat, now, shared_.config.settings.lease_s);
  const bool unresponsive = node.agent.unresponsive_since > 0;
  if (unresponsive == was_unresponsive) return;
  if (unresponsive) {
    ++metrics_.counters.unresponsive;
    spdlog::info("node {}: unresponsive, heartbeats arrive but no answer reaches it, excluded from placement", message.node);
  } else {
    spdlog::info("node {}: responsive again", message.node);
  }
}

}  // namespace thistlefront
