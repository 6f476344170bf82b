// Builds the ledger records of task starts and ends, each small enough for one ledger entry however scattered its tasks are.
// Used by whatever plans starts or concludes that tasks have ended. Pure: it never changes the cluster state.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "model/identifiers.hpp"
#include "model/ledger_records.hpp"

namespace thistlefront {

// The same starts in records of about `record_bytes` at most. The key-value store refuses a larger entry; every leader in turn
// would plan the same starts again and step down.
std::vector<TasksStartedRecord> split_by_size(const TasksStartedRecord& started, std::size_t record_bytes = kDefaultRecordBytes);

// Collects ends of tasks and joins those of the same job and attempt into one record.
class TaskEndRecords {
 public:
  // The task ran to its end at `completed_at` (wall seconds).
  void add_completed(const ClusterState& cluster_state, TaskRef ref, double completed_at);
  // The task is no longer on its node and has to run again. `failed_at`: wall seconds of its failure, 0 where it did not fail.
  void add_removed(const ClusterState& cluster_state, TaskRef ref, std::uint64_t attempt, double failed_at = 0);
  // All that was added, in records that fit into a ledger entry.
  [[nodiscard]] std::vector<Record> records(const ClusterState& cluster_state) const;

 private:
  std::map<JobIndex, TasksCompletedRecord> completed_;
  std::map<std::tuple<JobIndex, std::uint64_t, bool>, TasksRemovedRecord> removed_;  // by job, attempt, whether it failed
};

}  // namespace thistlefront
