#include "worker_control/task_records.hpp"

#include <algorithm>

namespace thistlefront {

namespace {

// Upper estimates of the stored size of a record's parts.
constexpr std::size_t kHeaderBytes = 120;
constexpr std::size_t kNodeOverheadBytes = 30;  // a node without its name
constexpr std::size_t kTaskRangeBytes = 14;

// Appends copies of `end_record`, each with at most `max_ranges` of its task ranges.
template <class EndRecord>
void append_in_parts(const EndRecord& end_record, std::size_t max_ranges, std::vector<Record>& records) {
  for (std::size_t first = 0; first < end_record.tasks.size(); first += max_ranges) {
    const std::size_t last = std::min(first + max_ranges, end_record.tasks.size());
    EndRecord part = end_record;
    part.tasks.assign(end_record.tasks.begin() + static_cast<long>(first), end_record.tasks.begin() + static_cast<long>(last));
    records.emplace_back(std::move(part));
  }
}

}  // namespace

std::vector<TasksStartedRecord> split_by_size(const TasksStartedRecord& started, std::size_t record_bytes) {
  std::vector<TasksStartedRecord> parts;
  std::size_t bytes = 0;  // of the last part
  for (const auto& assignment : started.assignments) {
    const std::size_t node_bytes = kNodeOverheadBytes + assignment.node.size();
    bool node_listed = false;  // in the last part
    for (const auto& range : assignment.tasks) {
      const std::size_t added_bytes = kTaskRangeBytes + (node_listed ? 0 : node_bytes);
      if (parts.empty() || bytes + added_bytes > record_bytes) {
        parts.push_back({started.uid, started.attempt, started.decided_at, {}});
        bytes = kHeaderBytes;
        node_listed = false;
      }
      if (!node_listed) {
        parts.back().assignments.push_back({assignment.node, assignment.agent_incarnation, {}});
        bytes += node_bytes;
        node_listed = true;
      }
      parts.back().assignments.back().tasks.push_back(range);
      bytes += kTaskRangeBytes;
    }
  }
  return parts;
}

void TaskEndRecords::add_completed(const ClusterState& cluster_state, TaskRef ref, double completed_at) {
  TasksCompletedRecord& record = completed_[ref.job];
  record.uid = cluster_state.job(ref.job).uid;
  // Only dependents of this job need the time; older format versions have no field for it.
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
  const std::size_t max_ranges = std::max<std::size_t>(1, (cluster_state.record_bytes() - kHeaderBytes) / kTaskRangeBytes);
  std::vector<Record> out;
  for (const auto& [job, record] : completed_) append_in_parts(record, max_ranges, out);
  for (const auto& [key, record] : removed_) append_in_parts(record, max_ranges, out);
  return out;
}

}  // namespace thistlefront
