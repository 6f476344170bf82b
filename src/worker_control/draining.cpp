#include "worker_control/draining.hpp"

#include <algorithm>
#include <optional>
#include <set>

#include "model/job.hpp"
#include "model/task.hpp"

namespace thistlefront {

namespace {

bool writes_checkpoints(const Job& job) {
  return job.spec.checkpoint_interval_s > 0;
}

bool completes_within(const Job& job, const Placement& placement, double remaining_s, double wall_now) {
  if (job.spec.job_type == JobType::service) return false;
  const double elapsed_run_s = placement.running_since > 0 ? wall_now - placement.running_since : 0;
  return job.spec.estimated_run_s - elapsed_run_s < remaining_s;
}

// Whether the task writes a checkpoint that this leader did not request.
bool is_stopped_by_earlier_leader(const Placement& placement) {
  return placement.reported && placement.phase == TaskPhase::checkpointing && !placement.stopping && !placement.removal_pending;
}

void stop_if_placed(Placement& placement, double grace_period_s, std::set<NodeIndex>& affected_nodes) {
  if (placement.stopping || placement.removal_pending) return;
  mark_for_stop(placement, grace_period_s);
  affected_nodes.insert(placement.node);
}

// Stops the tasks that do not complete within `remaining_s`, after which the node is interrupted.
void drain_node(ClusterState& cluster_state, const Node& node, double remaining_s, double wall_now, std::set<NodeIndex>& affected_nodes) {
  for (const auto& placed : node.placed) {
    Job& job = cluster_state.job(placed.job);
    if (completes_within(job, *placed.placement, remaining_s, wall_now)) continue;
    const double grace_period_s = writes_checkpoints(job) ? job.spec.checkpoint_duration_s : 0;
    if (job.spec.job_type != JobType::gang) {
      stop_if_placed(*placed.placement, grace_period_s, affected_nodes);
      continue;
    }
    // All tasks of a gang are stopped together. If only some of them stopped, stop_broken_gangs() would then stop the others without
    // time to write a checkpoint.
    for (auto& [task, placement] : job.placed) stop_if_placed(placement, grace_period_s, affected_nodes);
  }
}

}  // namespace

void mark_for_stop(Placement& placement, double grace_period_s) {
  placement.stopping = true;
  placement.grace_period_s = grace_period_s;
}

std::vector<NodeIndex> drain_interrupted_nodes(ClusterState& cluster_state, Timestamps now) {
  std::set<NodeIndex> affected_nodes;
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
    const Node& node = cluster_state.node(NodeIndex{i});
    const std::optional<double> interruption_at = node.agent.interruption_at;
    if (!interruption_at || node.terminated || node.lease_expired) continue;
    drain_node(cluster_state, node, *interruption_at - now.steady_s, now.wall_s, affected_nodes);
  }
  return {affected_nodes.begin(), affected_nodes.end()};
}

std::vector<NodeIndex> resume_inherited_stops(ClusterState& cluster_state) {
  std::set<NodeIndex> affected_nodes;
  for (JobIndex job_index : cluster_state.live()) {
    Job& job = cluster_state.job(job_index);
    if (!writes_checkpoints(job) || job.ended()) continue;
    const bool has_inherited_stop =
        std::any_of(job.placed.begin(), job.placed.end(), [](const auto& entry) { return is_stopped_by_earlier_leader(entry.second); });
    if (!has_inherited_stop) continue;
    for (auto& [task, placement] : job.placed) {
      if (placement.stopping || (job.spec.job_type != JobType::gang && !is_stopped_by_earlier_leader(placement))) continue;
      mark_for_stop(placement, job.spec.checkpoint_duration_s);
      affected_nodes.insert(placement.node);
    }
  }
  return {affected_nodes.begin(), affected_nodes.end()};
}

bool stop_broken_gangs(ClusterState& cluster_state) {
  bool any_stopped = false;
  for (JobIndex job_index : cluster_state.live()) {
    Job& job = cluster_state.job(job_index);
    const bool is_broken = job.spec.job_type == JobType::gang && !job.placed.empty() && job.pending > 0 && job.done == 0;
    if (!is_broken) continue;
    for (auto& [task, placement] : job.placed) {
      if (placement.stopping) continue;
      mark_for_stop(placement, 0);
      any_stopped = true;
    }
  }
  return any_stopped;
}

}  // namespace thistlefront
