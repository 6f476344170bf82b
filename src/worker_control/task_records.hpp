// Builds the ledger records of started, completed and removed tasks. Each record fits into one ledger entry, even if its task numbers
// are not contiguous. Pure: it never changes the cluster state.
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

// Splits the record into records of at most about `record_bytes` each. The key-value store refuses larger entries, and every leader in
// turn would plan the same starts again and step down.
std::vector<TasksStartedRecord> split_by_size(const TasksStartedRecord& started, std::size_t record_bytes = kDefaultRecordBytes);

// Collects completed and removed tasks and merges those of the same job and attempt into one record.
class TaskEndRecords {
 public:
  // Adds a task that completed at `completed_at` (wall seconds).
  void add_completed(const ClusterState& cluster_state, TaskRef ref, double completed_at);
  // Adds a task that is no longer on its node and has to run again. `failed_at`: wall seconds of its failure, 0 if it did not fail.
  void add_removed(const ClusterState& cluster_state, TaskRef ref, std::uint64_t attempt, double failed_at = 0);
  // Returns all added tasks in records that fit into a ledger entry.
  [[nodiscard]] std::vector<Record> records(const ClusterState& cluster_state) const;

 private:
  std::map<JobIndex, TasksCompletedRecord> completed_;
  std::map<std::tuple<JobIndex, std::uint64_t, bool>, TasksRemovedRecord> removed_;  // by job, attempt, whether it failed
};

}  // namespace thistlefront
