// Records of started and removed tasks fit into ledger entries, even if their task numbers are not contiguous.
#include "worker_control/task_records.hpp"

#include <gtest/gtest.h>

#include <string>

#include "job_builders.hpp"
#include "model/ledger_records.hpp"
#include "worker_control/lease_expiry.hpp"

namespace thistlefront {
namespace {

// Guards against start records that are too large for a ledger entry. After a partition, tasks without contiguous numbers made one so
// large that the key-value store refused it, and every leader in turn stepped down.
TEST(RecordSplitting, RecordsOfNonContiguousTasksFitIntoLedgerEntries) {
  TasksStartedRecord started{"j-000001", 3, 1234567.891, {}};
  std::size_t started_tasks = 0;
  for (int node = 0; node < 40; ++node) {
    TasksStartedRecord::NodeAssignment assignment{"m-" + std::to_string(100000 + node), 12, {}};
    for (int i = 0; i < 256; ++i, ++started_tasks) append_task(assignment.tasks, 20000 + static_cast<std::uint32_t>(2 * started_tasks));
    started.assignments.push_back(std::move(assignment));
  }
  std::size_t tasks_in_parts = 0;
  for (const auto& part : split_by_size(started)) {
    EXPECT_LT(encoded_size(part), 4000u);
    EXPECT_EQ(part.attempt, 3u);
    for (const auto& assignment : part.assignments)
      for (const auto& range : assignment.tasks) tasks_in_parts += range.end - range.first;
  }
  EXPECT_EQ(tasks_in_parts, started_tasks);

  ClusterState cluster_state = cluster_state_with_core_limit(1e6);
  cluster_state.apply(JobAcceptedRecord{submission("j-1", 4000, 0.01), 0.5, 1});
  TasksStartedRecord scattered_start{"j-1", 1, 1, {{"m-1", 1, {}}}};
  for (std::uint32_t task = 0; task < 4000; task += 2) append_task(scattered_start.assignments[0].tasks, task);
  for (const auto& part : split_by_size(scattered_start)) cluster_state.apply(part);
  ASSERT_EQ(cluster_state.job(cluster_state.find("j-1")).placed.size(), 2000u);
  std::size_t removed_tasks = 0;
  for (const auto& record : evict_all_tasks(cluster_state, cluster_state.find_node("m-1"))) {
    EXPECT_LT(encoded_size(record), 4000u);
    for (const auto& range : std::get<TasksRemovedRecord>(record).tasks) removed_tasks += range.end - range.first;
  }
  EXPECT_EQ(removed_tasks, 2000u);
}

}  // namespace
}  // namespace thistlefront
