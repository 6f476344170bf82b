#include "scheduling/start_records.hpp"

#include <utility>

#include "model/task.hpp"

namespace thistlefront {

namespace {

// Takes up to `count` pending tasks from `next_task` on, and advances `next_task` past them.
TaskRanges take_pending_tasks(const Job& job, std::uint32_t count, std::uint32_t& next_task) {
  TaskRanges tasks;
  for (std::uint32_t taken = 0; taken < count && next_task < job.tasks.size(); ++next_task) {
    if (job.tasks[next_task] != TaskState::pending) continue;
    append_task(tasks, next_task);
    ++taken;
  }
  return tasks;
}

}  // namespace

PlannedStarts assign_tasks(const ClusterState& cluster_state, const std::vector<Slot>& starts, double decided_at) {
  PlannedStarts planned;
  std::map<JobIndex, std::uint32_t> next_task;
  for (const auto& slot : starts) {
    const Job& job = cluster_state.job(slot.job);
    const Node& node = cluster_state.node(slot.node);
    auto& record = planned.records.try_emplace(slot.job, TasksStartedRecord{job.uid, job.attempts + 1, decided_at, {}}).first->second;
    TaskRanges tasks = take_pending_tasks(job, slot.units, next_task[slot.job]);
    if (!tasks.empty()) record.assignments.push_back({node.name, node.agent.incarnation, std::move(tasks)});
    planned.nodes.insert(slot.node);
  }
  return planned;
}

}  // namespace thistlefront
