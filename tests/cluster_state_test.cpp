// The book: what records do, and that what is written anew rebuilds it.
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

ClusterState fresh() {
  return book_of_red(10);
}

std::vector<Record> story() {
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
  ClusterState b = fresh();
  for (const auto& r : story()) b.apply(r);
  const Job& j1 = b.job(b.find("j-1"));
  EXPECT_EQ(j1.done, 1u);
  EXPECT_EQ(j1.pending, 1u);
  EXPECT_EQ(j1.placed.size(), 2u);
  EXPECT_EQ(j1.attempts, 2u);
  EXPECT_EQ(b.job(b.find("j-2")).status, JobStatus::done);
  EXPECT_EQ(b.job(b.find("j-3")).status, JobStatus::cancelled);
  EXPECT_DOUBLE_EQ(b.teams()[0].used.cores, 4);
}

TEST(ClusterState, ACancelledJobNeitherStartsNorBecomesDone) {
  ClusterState b = fresh();
  b.apply(JobAcceptedRecord{submission("j-1", 1), 0.5, 1});
  b.apply(TasksStartedRecord{"j-1", 1, 4, {{"m-1", 1, {{0, 1}}}}});
  b.apply(JobCancelledRecord{"j-1"});
  b.apply(TasksCompletedRecord{"j-1", {{0, 1}}});
  EXPECT_EQ(b.job(b.find("j-1")).status, JobStatus::cancelled);
  b.apply(JobAcceptedRecord{submission("j-2", 1), 0.5, 1});
  b.apply(JobCancelledRecord{"j-2"});
  b.apply(TasksStartedRecord{"j-2", 1, 4, {{"m-1", 1, {{0, 1}}}}});
  EXPECT_TRUE(b.job(b.find("j-2")).placed.empty());
}

TEST(ClusterState, ADoneJobIsNotCancelledAndALateOffOfAnotherAttemptIsIgnored) {
  ClusterState b = fresh();
  b.apply(JobAcceptedRecord{submission("j-1", 1), 0.5, 1});
  b.apply(TasksStartedRecord{"j-1", 2, 4, {{"m-1", 1, {{0, 1}}}}});
  b.apply(TasksRemovedRecord{"j-1", 1, {{0, 1}}});
  EXPECT_EQ(b.job(b.find("j-1")).placed.size(), 1u);
  b.apply(TasksCompletedRecord{"j-1", {{0, 1}}});
  b.apply(JobCancelledRecord{"j-1"});
  EXPECT_EQ(b.job(b.find("j-1")).status, JobStatus::done);
}

// The book's jobs as records, the ranges of one job spread over several.
std::vector<Record> written_anew(const ClusterState& cluster_state, std::size_t most_items) {
  std::vector<Record> out;
  for (std::uint32_t i = 0; i < cluster_state.job_count(); ++i) {
    std::uint32_t from = 0;
    do {
      out.push_back(cluster_state.snapshot_record(JobIndex{i}, from, most_items));
    } while (!cluster_state.is_snapshot_complete(JobIndex{i}, from));
  }
  return out;
}

// Jobs are written anew behind the entries they began in, and these go oldest first: whatever was removed when the
// leader ended, reading the rest in order gives the same book.
TEST(ClusterState, AnySuffixBeforeWhatWasWrittenAnewGivesTheSameBook) {
  for (std::size_t most_items : {1, 3, 100}) {
    ClusterState whole = fresh();
    const auto records = story();
    for (const auto& r : records) whole.apply(r);
    const auto anew = written_anew(whole, most_items);
    for (std::size_t removed = 0; removed <= records.size(); ++removed) {
      ClusterState b = fresh();
      for (std::size_t i = removed; i < records.size(); ++i) b.apply(records[i]);
      for (const auto& r : anew) b.apply(parse_entry(stored_entry({r})).records.at(0));
      for (const char* uid : {"j-1", "j-2", "j-3"}) {
        ASSERT_TRUE(b.find(uid).valid()) << uid << " with " << removed << " removed";
        const Job& want = whole.job(whole.find(uid));
        const Job& got = b.job(b.find(uid));
        EXPECT_EQ(got.status, want.status) << uid << " with " << removed << " removed";
        EXPECT_EQ(got.tasks, want.tasks) << uid << " with " << removed << " removed";
        EXPECT_EQ(got.placed.size(), want.placed.size());
      }
      EXPECT_DOUBLE_EQ(b.teams()[0].used.cores, whole.teams()[0].used.cores);
    }
  }
}

// A job that goes on, or ends, while it is being written anew: the records between its parts count as well.
TEST(ClusterState, AJobWrittenAnewInPartsTakesWhatHappensBetweenThem) {
  for (const bool ends : {false, true}) {
    ClusterState whole = fresh(), rest = fresh();
    whole.apply(JobAcceptedRecord{submission("j-1", 6), 0.5, 1});
    whole.apply(TasksStartedRecord{"j-1", 1, 4, {{"m-1", 1, {{0, 3}}}, {"m-2", 1, {{3, 5}}}}});
    whole.apply(TasksCompletedRecord{"j-1", {{0, 1}, {2, 3}}});
    const auto both = [&](const Record& r) { whole.apply(r), rest.apply(r); };
    std::uint32_t from = 0;
    both(whole.snapshot_record(whole.find("j-1"), from, 2));
    ASSERT_FALSE(whole.is_snapshot_complete(whole.find("j-1"), from));
    both(TasksRemovedRecord{"j-1", 1, {{3, 4}}});
    both(TasksCompletedRecord{"j-1", {{4, 5}}});
    both(TasksStartedRecord{"j-1", 2, 9, {{"m-1", 1, {{3, 4}, {5, 6}}}}});
    if (ends) both(TasksCompletedRecord{"j-1", {{1, 2}, {3, 4}, {5, 6}}});
    while (!whole.is_snapshot_complete(whole.find("j-1"), from)) both(whole.snapshot_record(whole.find("j-1"), from, 2));
    if (ends) both(whole.snapshot_record(whole.find("j-1"), from, 2));
    const Job& want = whole.job(whole.find("j-1"));
    const Job& got = rest.job(rest.find("j-1"));
    EXPECT_EQ(got.status, want.status);
    EXPECT_EQ(got.ended(), ends);
    EXPECT_EQ(got.tasks, want.tasks);
    ASSERT_EQ(got.placed.size(), want.placed.size());
    for (const auto& [task, p] : want.placed) EXPECT_EQ(got.placed.at(task).attempt, p.attempt);
    EXPECT_DOUBLE_EQ(rest.teams()[0].used.cores, whole.teams()[0].used.cores);
  }
}

// What the state service does not take would end every leader in turn (kaubaalus grown, steady): with 2,500 tasks on
// 400 machines, every second one done, no record is larger than a part of an entry.
TEST(ClusterState, RecordsOfALargeJobStaySmall) {
  ClusterState b = fresh();
  b.apply(JobAcceptedRecord{submission("j-1", 2500), 0.5, 1});
  TasksStartedRecord start{"j-1", 1, 1793000000.123456, {}};
  for (std::uint32_t t = 0; t < 2500; ++t) start.assignments.push_back({"m-" + std::to_string(100000 + t % 400), 1, {{t, t + 1}}});
  b.apply(start);
  TasksCompletedRecord done{"j-1", {}};
  for (std::uint32_t t = 0; t < 2500; t += 2) done.tasks.push_back({t, t + 1});
  b.apply(done);
  std::size_t records = 0;
  for (const auto& r : written_anew(b, 100)) {
    EXPECT_LT(encoded_size(r), 5000u);
    ++records;
  }
  EXPECT_GT(records, 20u);
}

}  // namespace
}  // namespace thistlefront
