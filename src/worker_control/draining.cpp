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

bool ends_within(const Job& job, const Placement& placement, double remaining_s, double wall) {
  if (job.spec.job_type == JobType::service) return false;
  const double has_run_s = placement.running_since > 0 ? wall - placement.running_since : 0;
  return job.spec.estimated_run_s - has_run_s < remaining_s;
}

// Whether the task writes a checkpoint that nobody asked it for under this leader.
bool has_inherited_stop(const Placement& placement) {
  return placement.reported && placement.phase == TaskPhase::checkpointing && !placement.stopping && !placement.removal_pending;
}

void stop_if_placed(Placement& placement, double grace_period_s, std::set<NodeIndex>& touched) {
  if (placement.stopping || placement.removal_pending) return;
  mark_for_stop(placement, grace_period_s);
  touched.insert(placement.node);
}

// Stops what does not end within `remaining_s`, when the node is taken back.
void drain_node(ClusterState& cluster_state, const Node& node, double remaining_s, double wall, std::set<NodeIndex>& touched) {
  for (const auto& placed : node.placed) {
    Job& job = cluster_state.job(placed.job);
    if (ends_within(job, *placed.placement, remaining_s, wall)) continue;
    const double grace_period_s = writes_checkpoints(job) ? job.spec.checkpoint_duration_s : 0;
    if (job.spec.job_type != JobType::gang) {
      stop_if_placed(*placed.placement, grace_period_s, touched);
      continue;
    }
    // A gang is stopped in order only if all of its tasks are told at once.
    for (auto& [task, placement] : job.placed) stop_if_placed(placement, grace_period_s, touched);
  }
}

}  // namespace

void mark_for_stop(Placement& placement, double grace_period_s) {
  placement.stopping = true;
  placement.grace_period_s = grace_period_s;
}

std::vector<NodeIndex> drain_interrupted_nodes(ClusterState& cluster_state, Timestamps now) {
  std::set<NodeIndex> touched;
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
    const Node& node = cluster_state.node(NodeIndex{i});
    const std::optional<double> interruption_at = node.agent.interruption_at;
    if (!interruption_at || node.terminated || node.lease_expired) continue;
    drain_node(cluster_state, node, *interruption_at - now.steady, now.wall, touched);
  }
  return {touched.begin(), touched.end()};
}

std::vector<NodeIndex> resume_inherited_stops(ClusterState& cluster_state) {
  std::set<NodeIndex> touched;
  for (JobIndex job_index : cluster_state.live()) {
    Job& job = cluster_state.job(job_index);
    if (!writes_checkpoints(job) || job.ended()) continue;
    const bool inherited =
        std::any_of(job.placed.begin(), job.placed.end(), [](const auto& entry) { return has_inherited_stop(entry.second); });
    if (!inherited) continue;
    for (auto& [task, placement] : job.placed) {
      if (placement.stopping || (job.spec.job_type != JobType::gang && !has_inherited_stop(placement))) continue;
      mark_for_stop(placement, job.spec.checkpoint_duration_s);
      touched.insert(placement.node);
    }
  }
  return {touched.begin(), touched.end()};
}

bool stop_broken_gangs(ClusterState& cluster_state) {
  bool any_stopped = false;
  for (JobIndex job_index : cluster_state.live()) {
    Job& job = cluster_state.job(job_index);
    const bool broken = job.spec.job_type == JobType::gang && !job.placed.empty() && job.pending > 0 && job.done == 0;
    if (!broken) continue;
    for (auto& [task, placement] : job.placed) {
      if (placement.stopping) continue;
      mark_for_stop(placement, 0);
      any_stopped = true;
    }
  }
  return any_stopped;
}

}  // namespace thistlefront
