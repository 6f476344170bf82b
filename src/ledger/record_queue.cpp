#include "ledger/record_queue.hpp"

#include <algorithm>
#include <string>

namespace thistlefront {

namespace {
constexpr std::size_t kMaxRecordsSearched = 256;  // from the end of the queue
constexpr std::size_t kMaxMergedRanges = 40;      // in one record, which then fits easily into an entry

// The job that a record is about; null if it isn't about a single job.
struct JobUidOf {
  const std::string* operator()(const JobAcceptedRecord& r) const { return &r.job.uid; }
  const std::string* operator()(const JobSnapshotRecord& r) const { return &r.accepted.job.uid; }
  const std::string* operator()(const TasksStartedRecord& r) const { return &r.uid; }
  const std::string* operator()(const TasksCompletedRecord& r) const { return &r.uid; }
  const std::string* operator()(const TasksRemovedRecord& r) const { return &r.uid; }
  const std::string* operator()(const JobCancelledRecord& r) const { return &r.uid; }
  const std::string* operator()(const MachineTypesRecord&) const { return nullptr; }
  const std::string* operator()(const JobsEndedRecord&) const { return nullptr; }
  const std::string* operator()(const TeamQuotaRecord&) const { return nullptr; }
};

// The union of two sets of ranges, sorted, with overlapping and adjacent ranges joined.
TaskRanges merged_ranges(const TaskRanges& left, const TaskRanges& right) {
  TaskRanges all = left;
  all.insert(all.end(), right.begin(), right.end());
  std::sort(all.begin(), all.end(), [](const TaskRange& a, const TaskRange& b) { return a.first < b.first; });
  TaskRanges merged;
  for (const auto& range : all) {
    if (!merged.empty() && merged.back().end >= range.first) {
      merged.back().end = std::max(merged.back().end, range.end);
    } else {
      merged.push_back(range);
    }
  }
  return merged;
}

// The newest queued record about this job; null if there is none among the last kMaxRecordsSearched records.
Record* find_newest_of_job(std::deque<QueuedRecord>& queue, const std::string& uid) {
  std::size_t searched = 0;
  for (auto it = queue.rbegin(); it != queue.rend() && searched < kMaxRecordsSearched; ++it, ++searched) {
    const std::string* other = std::visit(JobUidOf{}, it->record);
    if (other && *other == uid) return &it->record;
  }
  return nullptr;
}
}  // namespace

bool merge_completions(std::deque<QueuedRecord>& queue, const Record& record) {
  const auto* completed = std::get_if<TasksCompletedRecord>(&record);
  if (!completed) return false;
  Record* newest = find_newest_of_job(queue, completed->uid);
  if (!newest) return false;
  auto* earlier = std::get_if<TasksCompletedRecord>(newest);
  if (!earlier || earlier->tasks.size() + completed->tasks.size() > kMaxMergedRanges) return false;
  earlier->tasks = merged_ranges(earlier->tasks, completed->tasks);
  earlier->completed_at = std::max(earlier->completed_at, completed->completed_at);
  return true;
}

}  // namespace thistlefront
