// Places tasks on nodes, removes them and marks them done. The task counts of a job, the usage of its nodes and the account of its
// team change only here, together, so that they stay consistent.
#include <algorithm>

#include "cluster_state/cluster_state.hpp"
#include "model/invariant.hpp"

namespace thistlefront {

namespace {
// The tasks of an ended job are deleted when its data is released.
[[maybe_unused]] bool has_consistent_counts(const Job& job) {
  return job.tasks.empty() || job.pending + job.done + job.placed.size() == job.tasks.size();
}

void remove_from_node(Node& node, const Placement& placement, const Resources& demand) {
  auto& placed = node.placed;
  const auto it = std::find_if(placed.begin(), placed.end(), [&](const PlacedTask& task) { return task.placement == &placement; });
  if (it != placed.end()) {
    *it = placed.back();
    placed.pop_back();
  }
  node.used -= demand;
  if (placed.empty()) node.used = {};  // discards rounding errors
}
}  // namespace

Placement ClusterState::new_placement(const std::string& node, std::uint64_t agent_incarnation, std::uint64_t attempt, double decided_at) {
  Placement placement;
  placement.node = find_or_add_node(node);
  placement.agent_incarnation = agent_incarnation;
  placement.attempt = attempt;
  placement.decided_at = decided_at;
  return placement;
}

void ClusterState::place(TaskRef task, Placement placement) {
  Job& job = jobs_[task.job.value];
  if (task.task >= job.tasks.size() || job.tasks[task.task] != TaskState::pending) return;
  job.tasks[task.task] = TaskState::placed;
  --job.pending;
  const auto [it, inserted] = job.placed.emplace(task.task, placement);
  THISTLEFRONT_INVARIANT(inserted && has_consistent_counts(job));
  static_cast<void>(inserted);
  Node& node = nodes_[placement.node.value];
  node.placed.push_back({task, &it->second});
  node.used += job.spec.demand;
  record_image_use(node, job.image, job.spec.image_gb);
  quota_accounts_.charge(job.team, job.spec.demand);
}

void ClusterState::place_all(JobIndex job_index, const TaskRanges& tasks, const Placement& placement) {
  for (const TaskRange& range : tasks)
    for (std::uint32_t task = range.first; task < range.end; ++task) place({job_index, task}, placement);
}

void ClusterState::unplace(TaskRef task) {
  Job& job = jobs_[task.job.value];
  const auto it = job.placed.find(task.task);
  if (it == job.placed.end()) return;
  THISTLEFRONT_INVARIANT(job.tasks[task.task] == TaskState::placed);
  remove_from_node(nodes_[it->second.node.value], it->second, job.spec.demand);
  quota_accounts_.refund(job.team, job.spec.demand);
  job.placed.erase(it);
  job.tasks[task.task] = TaskState::pending;
  ++job.pending;
  THISTLEFRONT_INVARIANT(has_consistent_counts(job));
}

void ClusterState::unplace_all(JobIndex job_index) {
  const auto& placed = jobs_[job_index.value].placed;
  while (!placed.empty()) unplace({job_index, placed.begin()->first});
}

void ClusterState::mark_done(JobIndex job_index, const TaskRanges& tasks, double done_at) {
  Job& job = jobs_[job_index.value];
  for (const TaskRange& range : tasks) {
    for (std::uint32_t task = range.first; task < range.end && task < job.tasks.size(); ++task) {
      if (const auto it = job.placed.find(task); it != job.placed.end()) {
        failure_attribution_.record_success(job_index, it->second.node);
        unplace({job_index, task});
      }
      if (job.tasks[task] == TaskState::done) continue;
      job.tasks[task] = TaskState::done;
      --job.pending;
      ++job.done;
      THISTLEFRONT_INVARIANT(has_consistent_counts(job));
    }
  }
  // A cancelled job stays cancelled even if all its tasks complete.
  if (job.done < job.tasks.size() || job.ended()) return;
  job.status = JobStatus::done;
  update_dependents(job_index, done_at);
}

}  // namespace thistlefront
