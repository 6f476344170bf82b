// Snapshot records: the current state of a job as ledger records, so that older records of it can be removed
// (ledger/ledger_compactor.hpp).
#include <algorithm>
#include <iterator>

#include "cluster_state/cluster_state.hpp"

namespace thistlefront {

namespace {
// A placement (node, incarnation, attempt, time) takes about as many bytes as this many task ranges.
constexpr std::size_t kItemsPerPlacement = 3;

// Fills a snapshot record and counts its items; the caller limits the number of items.
class SnapshotBuilder {
 public:
  explicit SnapshotBuilder(JobSnapshotRecord& record) : record_(record) {}

  [[nodiscard]] std::size_t item_count() const { return item_count_; }
  void add_done(std::uint32_t task) { add_task(record_.done, task); }
  void add_placed(std::uint32_t task, const Placement& placement, const std::string& node) {
    add_task(find_or_add_placed(placement, node).tasks, task);
  }

 private:
  using PlacedTasks = JobSnapshotRecord::PlacedTasks;

  void add_task(TaskRanges& ranges, std::uint32_t task) {
    const std::size_t ranges_before = ranges.size();
    append_task(ranges, task);
    item_count_ += ranges.size() - ranges_before;
  }

  // Finds or adds the item of the record for tasks with this node, incarnation, attempt and time.
  PlacedTasks& find_or_add_placed(const Placement& placement, const std::string& node) {
    const auto it = std::find_if(record_.placed.begin(), record_.placed.end(), [&](const PlacedTasks& placed) {
      return placed.node == node && placed.agent_incarnation == placement.agent_incarnation && placed.attempt == placement.attempt &&
             placed.decided_at == placement.decided_at;
    });
    if (it != record_.placed.end()) return *it;
    item_count_ += kItemsPerPlacement;
    return record_.placed.emplace_back(PlacedTasks{node, placement.agent_incarnation, placement.attempt, placement.decided_at, {}});
  }

  JobSnapshotRecord& record_;
  std::size_t item_count_ = 0;
};
}  // namespace

JobsEndedRecord ClusterState::ended_job_record(JobIndex job_index) const {
  const Job& job = jobs_[job_index.value];
  JobsEndedRecord record{job.status, {job.uid}};
  const double done_at = dependency_graph_.done_at(job_index);
  if (dependency_graph_.has_dependents(job_index) && done_at > 0) record.done_at = {{0, done_at}};
  if (job.service) record.services = {0};
  return record;
}

Record ClusterState::snapshot_record(JobIndex job_index, std::uint32_t& next_task, std::size_t max_items) const {
  const Job& job = jobs_[job_index.value];
  if (job.ended() && job.placed.empty()) return ended_job_record(job_index);
  JobSnapshotRecord record;
  record.first_task = next_task;
  record.accepted = {job.spec, job.random_draw, job.accepted_at};
  record.suspect = failure_attribution_.is_suspect(job_index);
  if (job.eligible_since != job.accepted_at) record.eligible_since = job.eligible_since;
  record.attempts = job.attempts;

  SnapshotBuilder builder(record);
  auto next_placed = job.placed.lower_bound(next_task);
  for (; next_task < job.tasks.size() && builder.item_count() < max_items; ++next_task) {
    const bool is_placed = next_placed != job.placed.end() && next_placed->first == next_task;
    if (job.tasks[next_task] == TaskState::done) {
      builder.add_done(next_task);
    } else if (is_placed) {
      const Placement& placement = next_placed->second;
      builder.add_placed(next_task, placement, nodes_[placement.node.value].name);
    }
    if (is_placed) ++next_placed;
  }
  record.has_more = next_task < job.tasks.size();
  if (!record.has_more) record.status = job.status;
  return record;
}

}  // namespace thistlefront
