// The replicated state machine: applying records, and rebuilding the same state from snapshot records.
#include "cluster_state/cluster_state.hpp"

#include <gtest/gtest.h>

#include "job_builders.hpp"
#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "protocol/messages.hpp"

namespace thistlefront {
namespace {

JobSpec submission(const std::string& uid, std::uint32_t tasks) {
  return thistlefront::submission(uid, tasks, 2);
}

ClusterState new_cluster_state() {
  return cluster_state_with_core_limit(10);
}

std::vector<Record> sample_records() {
  return {JobAcceptedRecord{submission("j-1", 4), 0.5, 1},
          JobAcceptedRecord{submission("j-2", 2), 0.5, 2},
          JobAcceptedRecord{submission("j-3", 1), 0.5, 3},
          TasksStartedRecord{"j-1", 1, 4, {{"m-1", 1, {{0, 2}}}, {"m-2", 3, {{2, 3}}}}},
          TasksStartedRecord{"j-2", 1, 4, {{"m-1", 1, {{0, 2}}}}},
          TasksCompletedRecord{"j-1", {{0, 1}}},
          TasksRemovedRecord{"j-1", 1, {{2, 3}}},
          TasksStartedRecord{"j-1", 2, 5, {{"m-1", 1, {{2, 3}}}}},
          TasksCompletedRecord{"j-2", {{0, 2}}},
          JobCancelledRecord{"j-3"}};
}

TEST(ClusterState, AppliesRecordsInOrder) {
  ClusterState state = new_cluster_state();
  for (const auto& record : sample_records()) state.apply(record);
  const Job& first_job = state.job(state.find("j-1"));
  EXPECT_EQ(first_job.done, 1u);
  EXPECT_EQ(first_job.pending, 1u);
  EXPECT_EQ(first_job.placed.size(), 2u);
  EXPECT_EQ(first_job.attempts, 2u);
  EXPECT_EQ(state.job(state.find("j-2")).status, JobStatus::done);
  EXPECT_EQ(state.job(state.find("j-3")).status, JobStatus::cancelled);
  EXPECT_DOUBLE_EQ(state.teams()[0].used.cores, 4);
}

TEST(ClusterState, CancelledJobNeitherStartsNorCompletes) {
  ClusterState state = new_cluster_state();
  state.apply(JobAcceptedRecord{submission("j-1", 1), 0.5, 1});
  state.apply(TasksStartedRecord{"j-1", 1, 4, {{"m-1", 1, {{0, 1}}}}});
  state.apply(JobCancelledRecord{"j-1"});
  state.apply(TasksCompletedRecord{"j-1", {{0, 1}}});
  EXPECT_EQ(state.job(state.find("j-1")).status, JobStatus::cancelled);
  state.apply(JobAcceptedRecord{submission("j-2", 1), 0.5, 1});
  state.apply(JobCancelledRecord{"j-2"});
  state.apply(TasksStartedRecord{"j-2", 1, 4, {{"m-1", 1, {{0, 1}}}}});
  EXPECT_TRUE(state.job(state.find("j-2")).placed.empty());
}

TEST(ClusterState, DoneJobIsNotCancelledAndLateRemovalOfAnotherAttemptIsIgnored) {
  ClusterState state = new_cluster_state();
  state.apply(JobAcceptedRecord{submission("j-1", 1), 0.5, 1});
  state.apply(TasksStartedRecord{"j-1", 2, 4, {{"m-1", 1, {{0, 1}}}}});
  state.apply(TasksRemovedRecord{"j-1", 1, {{0, 1}}});
  EXPECT_EQ(state.job(state.find("j-1")).placed.size(), 1u);
  state.apply(TasksCompletedRecord{"j-1", {{0, 1}}});
  state.apply(JobCancelledRecord{"j-1"});
  EXPECT_EQ(state.job(state.find("j-1")).status, JobStatus::done);
}

// Snapshot records of all jobs; the snapshot of one job may consist of several records.
std::vector<Record> snapshot_of_all_jobs(const ClusterState& cluster_state, std::size_t max_items) {
  std::vector<Record> snapshots;
  for (std::uint32_t i = 0; i < cluster_state.job_count(); ++i) {
    std::uint32_t next_task = 0;
    do {
      snapshots.push_back(cluster_state.snapshot_record(JobIndex{i}, next_task, max_items));
    } while (!cluster_state.is_snapshot_complete(JobIndex{i}, next_task));
  }
  return snapshots;
}

// Snapshots are written after the entries that they replace, which are then removed, oldest first. A leader may fail at any point of
// this: replaying the remaining entries in order must give the same state.
TEST(ClusterState, AnyLedgerSuffixWithSnapshotsRebuildsTheSameState) {
  for (std::size_t max_items : {1, 3, 100}) {
    ClusterState expected_state = new_cluster_state();
    const auto records = sample_records();
    for (const auto& record : records) expected_state.apply(record);
    const auto snapshots = snapshot_of_all_jobs(expected_state, max_items);
    for (std::size_t removed = 0; removed <= records.size(); ++removed) {
      ClusterState state = new_cluster_state();
      for (std::size_t i = removed; i < records.size(); ++i) state.apply(records[i]);
      for (const auto& record : snapshots) state.apply(parse_entry(stored_entry({record})).records.at(0));
      for (const char* uid : {"j-1", "j-2", "j-3"}) {
        ASSERT_TRUE(state.find(uid).valid()) << uid << " with " << removed << " removed";
        const Job& expected = expected_state.job(expected_state.find(uid));
        const Job& actual = state.job(state.find(uid));
        EXPECT_EQ(actual.status, expected.status) << uid << " with " << removed << " removed";
        EXPECT_EQ(actual.tasks, expected.tasks) << uid << " with " << removed << " removed";
        EXPECT_EQ(actual.placed.size(), expected.placed.size());
      }
      EXPECT_DOUBLE_EQ(state.teams()[0].used.cores, expected_state.teams()[0].used.cores);
    }
  }
}

// A job continues, or ends, while its snapshot is written: records between the parts of the snapshot must be applied as well.
TEST(ClusterState, RecordsBetweenTheSnapshotRecordsOfAJobAreApplied) {
  for (const bool ends : {false, true}) {
    ClusterState expected_state = new_cluster_state(), rebuilt = new_cluster_state();
    expected_state.apply(JobAcceptedRecord{submission("j-1", 6), 0.5, 1});
    expected_state.apply(TasksStartedRecord{"j-1", 1, 4, {{"m-1", 1, {{0, 3}}}, {"m-2", 1, {{3, 5}}}}});
    expected_state.apply(TasksCompletedRecord{"j-1", {{0, 1}, {2, 3}}});
    const auto apply_to_both = [&](const Record& record) { expected_state.apply(record), rebuilt.apply(record); };
    std::uint32_t next_task = 0;
    apply_to_both(expected_state.snapshot_record(expected_state.find("j-1"), next_task, 2));
    ASSERT_FALSE(expected_state.is_snapshot_complete(expected_state.find("j-1"), next_task));
    apply_to_both(TasksRemovedRecord{"j-1", 1, {{3, 4}}});
    apply_to_both(TasksCompletedRecord{"j-1", {{4, 5}}});
    apply_to_both(TasksStartedRecord{"j-1", 2, 9, {{"m-1", 1, {{3, 4}, {5, 6}}}}});
    if (ends) apply_to_both(TasksCompletedRecord{"j-1", {{1, 2}, {3, 4}, {5, 6}}});
    while (!expected_state.is_snapshot_complete(expected_state.find("j-1"), next_task))
      apply_to_both(expected_state.snapshot_record(expected_state.find("j-1"), next_task, 2));
    if (ends) apply_to_both(expected_state.snapshot_record(expected_state.find("j-1"), next_task, 2));
    const Job& expected = expected_state.job(expected_state.find("j-1"));
    const Job& actual = rebuilt.job(rebuilt.find("j-1"));
    EXPECT_EQ(actual.status, expected.status);
    EXPECT_EQ(actual.ended(), ends);
    EXPECT_EQ(actual.tasks, expected.tasks);
    ASSERT_EQ(actual.placed.size(), expected.placed.size());
    for (const auto& [task, placement] : expected.placed) EXPECT_EQ(actual.placed.at(task).attempt, placement.attempt);
    EXPECT_DOUBLE_EQ(rebuilt.teams()[0].used.cores, expected_state.teams()[0].used.cores);
  }
}

// A record that is too large for the key-value store would make every leader fail in turn (found in a run with a large cluster).
// Snapshot records of a job with 2,500 tasks on 400 nodes, half of them done, must be much smaller than an entry.
TEST(ClusterState, SnapshotRecordsOfALargeJobStaySmall) {
  ClusterState state = new_cluster_state();
  state.apply(JobAcceptedRecord{submission("j-1", 2500), 0.5, 1});
  TasksStartedRecord start{"j-1", 1, 1793000000.123456, {}};
  for (std::uint32_t t = 0; t < 2500; ++t) start.assignments.push_back({"m-" + std::to_string(100000 + t % 400), 1, {{t, t + 1}}});
  state.apply(start);
  TasksCompletedRecord done{"j-1", {}};
  for (std::uint32_t t = 0; t < 2500; t += 2) done.tasks.push_back({t, t + 1});
  state.apply(done);
  std::size_t records = 0;
  for (const auto& record : snapshot_of_all_jobs(state, 100)) {
    EXPECT_LT(encoded_size(record), 5000u);
    ++records;
  }
  EXPECT_GT(records, 20u);
}

}  // namespace
}  // namespace thistlefront
