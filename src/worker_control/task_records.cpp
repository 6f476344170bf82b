#include "worker_control/task_records.hpp"

#include <algorithm>

namespace thistlefront {

namespace {

// Upper estimates of the size of a record's parts as stored: its head, a node beside its name, and a range of tasks.
constexpr std::size_t kHeadBytes = 120, kNodeBytes = 30, kRangeBytes = 14;

// Appends copies of `ended` with at most `max_ranges` task ranges each.
template <class EndedRecord>
void append_split(const EndedRecord& ended, std::size_t max_ranges, std::vector<Record>& records) {
  for (std::size_t first = 0; first < ended.tasks.size(); first += max_ranges) {
    const std::size_t last = std::min(first + max_ranges, ended.tasks.size());
    EndedRecord part = ended;
    part.tasks.assign(ended.tasks.begin() + static_cast<long>(first), ended.tasks.begin() + static_cast<long>(last));
    records.emplace_back(std::move(part));
  }
}

}  // namespace

std::vector<TasksStartedRecord> split_by_size(const TasksStartedRecord& started, std::size_t record_bytes) {
  std::vector<TasksStartedRecord> out;
  std::size_t bytes = 0;  // of the last record in `out`
  for (const auto& assignment : started.assignments) {
    const std::size_t node_bytes = kNodeBytes + assignment.node.size();
    bool node_listed = false;  // in the last record in `out`
    for (const auto& range : assignment.tasks) {
      const std::size_t added_bytes = kRangeBytes + (node_listed ? 0 : node_bytes);
      if (out.empty() || bytes + added_bytes > record_bytes) {
        out.push_back({started.uid, started.attempt, started.decided_at, {}});
        bytes = kHeadBytes;
        node_listed = false;
      }
      if (!node_listed) {
        out.back().assignments.push_back({assignment.node, assignment.agent_incarnation, {}});
        bytes += node_bytes;
        node_listed = true;
      }
      out.back().assignments.back().tasks.push_back(range);
      bytes += kRangeBytes;
    }
  }
  return out;
}

void TaskEndRecords::add_completed(const ClusterState& cluster_state, TaskRef ref, double completed_at) {
  TasksCompletedRecord& record = completed_[ref.job];
  record.uid = cluster_state.job(ref.job).uid;
  // Only jobs that wait for this one need the time; older format versions have no field for it.
  if (cluster_state.dependency_graph().has_dependents(ref.job)) record.completed_at = completed_at;
  append_task(record.tasks, ref.task);
}

void TaskEndRecords::add_removed(const ClusterState& cluster_state, TaskRef ref, std::uint64_t attempt, double failed_at) {
  TasksRemovedRecord& record = removed_[{ref.job, attempt, failed_at > 0}];
  record.uid = cluster_state.job(ref.job).uid;
  record.attempt = attempt;
  record.failed_at = failed_at;
  append_task(record.tasks, ref.task);
}

std::vector<Record> TaskEndRecords::records(const ClusterState& cluster_state) const {
  const std::size_t max_ranges = std::max<std::size_t>(1, (cluster_state.record_bytes() - kHeadBytes) / kRangeBytes);
  std::vector<Record> out;
  for (const auto& [job, record] : completed_) append_split(record, max_ranges, out);
  for (const auto& [key, record] : removed_) append_split(record, max_ranges, out);
  return out;
}

}  // namespace thistlefront
