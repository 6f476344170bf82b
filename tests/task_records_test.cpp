// Records of task starts and ends fit into ledger entries, however scattered their tasks are.
#include "worker_control/task_records.hpp"

#include <gtest/gtest.h>

#include <string>

#include "job_builders.hpp"
#include "model/ledger_records.hpp"
#include "worker_control/lease_expiry.hpp"

namespace thistlefront {
namespace {

// Tasks that came back scattered after a partition once made the record of their start too large for a ledger entry: the store
// refused it, and every leader in turn stepped down.
TEST(RecordSplitting, ScatteredStartsAndEndsFitIntoLedgerEntries) {
  TasksStartedRecord started{"j-000001", 3, 1234567.891, {}};
  std::size_t tasks = 0;
  for (int node = 0; node < 40; ++node) {
    TasksStartedRecord::NodeAssignment assignment{"m-" + std::to_string(100000 + node), 12, {}};
    for (int i = 0; i < 256; ++i, ++tasks) append_task(assignment.tasks, 20000 + static_cast<std::uint32_t>(2 * tasks));
    started.assignments.push_back(std::move(assignment));
  }
  std::size_t found = 0;
  for (const auto& part : split_by_size(started)) {
    EXPECT_LT(encoded_size(part), 4000u);
    EXPECT_EQ(part.attempt, 3u);
    for (const auto& assignment : part.assignments)
      for (const auto& range : assignment.tasks) found += range.end - range.first;
  }
  EXPECT_EQ(found, tasks);

  ClusterState cluster_state = cluster_state_with_core_limit(1e6);
  cluster_state.apply(JobAcceptedRecord{submission("j-1", 4000, 0.01), 0.5, 1});
  TasksStartedRecord all{"j-1", 1, 1, {{"m-1", 1, {}}}};
  for (std::uint32_t t = 0; t < 4000; t += 2) append_task(all.assignments[0].tasks, t);
  for (const auto& part : split_by_size(all)) cluster_state.apply(part);
  ASSERT_EQ(cluster_state.job(cluster_state.find("j-1")).placed.size(), 2000u);
  std::size_t removed = 0;
  for (const auto& end : evict_all_tasks(cluster_state, cluster_state.find_node("m-1"))) {
    EXPECT_LT(encoded_size(end), 4000u);
    for (const auto& range : std::get<TasksRemovedRecord>(end).tasks) removed += range.end - range.first;
  }
  EXPECT_EQ(removed, 2000u);
}

}  // namespace
}  // namespace thistlefront
