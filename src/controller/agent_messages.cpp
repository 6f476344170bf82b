#include "controller/agent_messages.hpp"

#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "transport/clock.hpp"
#include "worker_control/one_way_partition.hpp"
#include "worker_control/reconciliation.hpp"

namespace thistlefront {

namespace {
// What the cluster state knows of a task that an agent runs without a placement.
std::string describe_task(const ClusterState& cluster_state, const TaskId& id) {
  const JobIndex job = cluster_state.find(id.uid);
  if (!job.valid()) return "of an unknown job";
  const auto& placed = cluster_state.job(job).placed;
  if (const auto it = placed.find(id.task); it != placed.end())
    return fmt::format("placed on {} as attempt {}", cluster_state.node(it->second.node).name, it->second.attempt);
  switch (cluster_state.job(job).status) {
    case JobStatus::done: return "of a job that is done";
    case JobStatus::cancelled: return "of a cancelled job";
    default: return "not placed";
  }
}

std::string_view name_of(CommandType type) {
  switch (type) {
    case CommandType::run: return "start";
    case CommandType::kill: return "kill";
    default: return "acknowledge";
  }
}

std::string describe(const std::vector<Command>& commands) {
  std::string out;
  for (const Command& command : commands)
    out += fmt::format(" {} {}/{}@{}", name_of(command.type), command.id.uid, command.id.task, command.attempt);
  return out;
}
}  // namespace

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
  if (!outcome.unplaced.empty()) log_unplaced_tasks(message, outcome.unplaced);
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
  auto commands = shared_.may_decide() ? pending_commands(*term.cluster_state, node, {term.takeover_token, term.fencing_token})
                                       : kills_for_cancelled_jobs(*term.cluster_state, node);
  if (!commands.empty()) count_and_log(term.cluster_state->node(node), commands);
  return commands;
}

void AgentMessages::count_and_log(const Node& node, const std::vector<Command>& commands) const {
  Counters& counters = metrics_.counters;
  for (const Command& command : commands) {
    switch (command.type) {
      case CommandType::run: ++counters.starts_sent; break;
      case CommandType::kill: ++counters.kills_sent; break;
      case CommandType::acknowledge_exit: ++counters.acknowledgements_sent; break;
    }
  }
  if (!spdlog::should_log(spdlog::level::debug)) return;
  spdlog::debug("node {}: commands under token {}, incarnation {}:{}", node.name, shared_.term->fencing_token, node.agent.incarnation,
                describe(commands));
}

void AgentMessages::log_unplaced_tasks(const Heartbeat& message, const std::vector<UnplacedTask>& tasks) {
  const ClusterState& cluster_state = *shared_.term->cluster_state;
  const double now = steady_now();
  metrics_.counters.unplaced_tasks += tasks.size();
  for (const UnplacedTask& task : tasks) {
    if (!unplaced_task_lines_.allow(now)) continue;
    if (const auto suppressed = unplaced_task_lines_.take_suppressed(); suppressed > 0)
      spdlog::info("nodes: {} more unplaced tasks", suppressed);
    spdlog::info("node {}: runs unplaced task {}/{} attempt {}, token {}, incarnation {}, {}", message.node, task.id.uid, task.id.task,
                 task.attempt, message.fencing_token, message.agent_incarnation, describe_task(cluster_state, task.id));
  }
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
