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

bool AgentMessages::apply(const Heartbeat& report, MessageKind kind) {
  const Timestamps now{steady_now(), wall_now()};
  const bool is_heartbeat = kind == MessageKind::heartbeat;
  ClusterState& cluster_state = *shared_.term->cluster_state;
  log_incarnation_change(report);
  observe_responsiveness(cluster_state.node(cluster_state.find_or_add_node(report.node)), report, kind, now.steady_s);
  auto outcome = apply_heartbeat(cluster_state, report, now, is_heartbeat, shared_.term->takeover_token);
  if (outcome.stale) return false;
  if (outcome.records.empty()) {
    if (outcome.needs_scheduling_pass) shared_.request_pass();
    return true;
  }
  // With records, the pass comes when they are in the ledger. Completions can wait a moment for company; the others wait for
  // their places to be freed.
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

void AgentMessages::log_incarnation_change(const Heartbeat& report) const {
  const ClusterState& cluster_state = *shared_.term->cluster_state;
  const NodeIndex known = cluster_state.find_node(report.node);
  if (!known.valid() || report.agent_incarnation <= cluster_state.node(known).agent.incarnation) return;
  const auto& placed = cluster_state.node(known).placed;
  const auto forgotten = std::count_if(
      placed.begin(), placed.end(), [&](const PlacedTask& task) { return task.placement->agent_incarnation < report.agent_incarnation; });
  if (forgotten > 0) spdlog::info("node {}: lease expired on the agent, {} tasks requeued", report.node, forgotten);
}

void AgentMessages::observe_responsiveness(Node& node, const Heartbeat& report, MessageKind kind, double steady) {
  const bool was_unresponsive = node.agent.unresponsive_since > 0;
  track_responsiveness(node, report, kind == MessageKind::heartbeat, steady, shared_.config.settings.lease_s);
  const bool unresponsive = node.agent.unresponsive_since > 0;
  if (unresponsive == was_unresponsive) return;
  if (unresponsive) {
    ++metrics_.counters.unresponsive;
    spdlog::info("node {}: unresponsive, heartbeats arrive but no answer reaches it, excluded from placement", report.node);
  } else {
    spdlog::info("node {}: responsive again", report.node);
  }
}

}  // namespace thistlefront
