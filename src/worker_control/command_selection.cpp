#include "worker_control/command_selection.hpp"

#include <algorithm>
#include <string>

#include "model/job.hpp"
#include "model/task.hpp"
#include "worker_control/start_fencing.hpp"
#include "worker_control/task_lookup.hpp"

namespace thistlefront {

namespace {

// Keeps a message well below 64 KiB.
constexpr std::size_t kMaxCommandsPerMessage = 400;

bool is_cancelled(const ClusterState& cluster_state, JobIndex job) {
  return job.valid() && cluster_state.job(job).status == JobStatus::cancelled;
}

// Returns the placement of the reported attempt on this node, or null if the cluster state has none.
const Placement* find_placement_of(const ClusterState& cluster_state, NodeIndex node_index, const ReportedTask& reported) {
  if (!reported.ref.job.valid()) return nullptr;
  const auto& placements = cluster_state.job(reported.ref.job).placed;
  const auto it = placements.find(reported.ref.task);
  if (it == placements.end()) return nullptr;
  const std::uint64_t agent_incarnation = cluster_state.node(node_index).agent.incarnation;
  return is_placement_of(&it->second, node_index, agent_incarnation, reported.attempt) ? &it->second : nullptr;
}

Command kill_command(TaskId id, std::uint64_t attempt, double grace_period_s) {
  return {CommandType::kill, std::move(id), attempt, grace_period_s};
}

// Whether a message under `tokens.current` may acknowledge exits of this node. While a start may still be in transit, the agent must
// remember which attempts have exited, or it would run one of them again.
bool may_acknowledge_exits(const Node& node, LeaderTokens tokens) {
  return node.has_no_indeterminate_start(node.agent.highest_token) && node.agent.highest_token >= tokens.takeover;
}

// Whether the message that acknowledges the exit also makes the agent refuse all copies of direct starts of this attempt.
bool fences_starts_of(const ReportedTask& reported, LeaderTokens tokens) {
  return reported.start_token < tokens.current;
}

// Whether the agent still holds an exited attempt of the task after a message under `tokens.current`. It refuses other attempts then.
bool keeps_exited_attempt(const Node& node, TaskRef task, LeaderTokens tokens) {
  const bool may_acknowledge = may_acknowledge_exits(node, tokens);
  const auto is_kept = [&](const ReportedTask& reported) {
    return reported.phase == TaskPhase::exited && !(may_acknowledge && fences_starts_of(reported, tokens));
  };
  const auto reported = find_reported_attempts(node.agent, task);
  return std::any_of(reported.begin(), reported.end(), is_kept);
}

// Adds kills and acknowledgements for the tasks that the agent reported.
void add_commands_for_reported_tasks(const ClusterState& cluster_state, NodeIndex node_index, LeaderTokens tokens,
                                     std::vector<Command>& commands) {
  const Node& node = cluster_state.node(node_index);
  const bool may_acknowledge = may_acknowledge_exits(node, tokens);
  for (const ReportedTask& reported : node.agent.tasks) {
    if (commands.size() >= kMaxCommandsPerMessage) return;
    const bool exited = reported.phase == TaskPhase::exited;
    const TaskId id{reported.ref.job.valid() ? cluster_state.job(reported.ref.job).uid : reported.uid, reported.ref.task};
    if (const Placement* placement = find_placement_of(cluster_state, node_index, reported)) {
      // A task that is writing its checkpoint may finish it, unless its job was cancelled in the meantime: the checkpoint is then
      // useless, and a second kill stops the task at once.
      const bool may_finish_checkpoint = reported.phase == TaskPhase::checkpointing && !is_cancelled(cluster_state, reported.ref.job);
      if (placement->stopping && !exited && !may_finish_checkpoint)
        commands.push_back(kill_command(id, reported.attempt, placement->grace_period_s));
    } else if (!exited) {
      commands.push_back(kill_command(id, reported.attempt, 0));
    } else if (may_acknowledge && fences_starts_of(reported, tokens)) {
      commands.push_back({CommandType::acknowledge_exit, id, reported.attempt, 0});
    }
  }
}

// Adds starts and kills for tasks that are placed on the node and that its agent did not report.
void add_commands_for_unreported_placements(const ClusterState& cluster_state, const Node& node, LeaderTokens tokens,
                                            std::vector<Command>& commands) {
  for (const auto& placed : node.placed) {
    if (commands.size() >= kMaxCommandsPerMessage) return;
    const Placement& placement = *placed.placement;
    if (placement.removal_pending || placement.agent_incarnation != node.agent.incarnation) continue;
    if (find_reported_task(node.agent, placed, placement.attempt)) continue;
    const TaskId id{cluster_state.job(placed.job).uid, placed.task};
    if (placement.stopping) {
      commands.push_back(kill_command(id, placement.attempt, placement.grace_period_s));
    } else if (!keeps_exited_attempt(node, placed, tokens)) {
      commands.push_back({CommandType::run, id, placement.attempt, 0});
    }
  }
}

}  // namespace

std::vector<Command> pending_commands(const ClusterState& cluster_state, NodeIndex node_index, LeaderTokens tokens) {
  std::vector<Command> commands;
  const Node& node = cluster_state.node(node_index);
  if (node.terminated || node.lease_expired || node.agent.incarnation == 0) return commands;
  // Kills and acknowledgements come first because they free the resources that the starts need.
  add_commands_for_reported_tasks(cluster_state, node_index, tokens, commands);
  add_commands_for_unreported_placements(cluster_state, node, tokens, commands);
  return commands;
}

std::vector<Command> kills_for_cancelled_jobs(const ClusterState& cluster_state, NodeIndex node_index) {
  std::vector<Command> commands;
  const Node& node = cluster_state.node(node_index);
  if (node.terminated || node.agent.incarnation == 0) return commands;
  const auto add_kill = [&](TaskRef ref, std::uint64_t attempt) {
    if (commands.size() < kMaxCommandsPerMessage) commands.push_back(kill_command({cluster_state.job(ref.job).uid, ref.task}, attempt, 0));
  };
  for (const ReportedTask& reported : node.agent.tasks)
    if (reported.phase != TaskPhase::exited && is_cancelled(cluster_state, reported.ref.job)) add_kill(reported.ref, reported.attempt);
  // A task that was never reported may have started since the last message.
  for (const auto& placed : node.placed) {
    const Placement& placement = *placed.placement;
    if (is_cancelled(cluster_state, placed.job) && !placement.reported && placement.agent_incarnation == node.agent.incarnation)
      add_kill(placed, placement.attempt);
  }
  return commands;
}

void record_commands_sent(Node& node, std::uint64_t serial, const std::vector<Command>& commands) {
  if (includes_start(commands)) node.commands.last_run_serial = std::max(node.commands.last_run_serial, serial);
}

}  // namespace thistlefront
