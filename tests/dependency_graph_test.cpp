// Jobs that wait for others: what is ready, what is cancelled through another, what counts; and that every reading of
// the ledger, however it was written anew, says the same.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>

#include "in_memory_ledger.hpp"
#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "model/task.hpp"
#include "worker_control/reconciliation.hpp"

namespace thistlefront {
namespace {

JobSpec after(const std::string& uid, std::vector<std::string> names, std::uint32_t tasks = 2) {
  JobSpec s = submission(uid, tasks, 1);
  s.priority = Priority::idle;
  s.depends_on = std::move(names);
  return s;
}
JobAcceptedRecord accept(JobSpec s, double at) {
  return {std::move(s), 0.5, at};
}
TasksStartedRecord start(const std::string& uid, std::uint64_t attempt, TaskRanges tasks, const std::string& node = "m-1") {
  return {uid, attempt, 1, {{node, 1, std::move(tasks)}}};
}
const Job& job(const ClusterState& cluster_state, const std::string& uid) {
  return cluster_state.job(cluster_state.find(uid));
}
bool is_live(const ClusterState& cluster_state, const std::string& uid) {
  return std::find(cluster_state.live().begin(), cluster_state.live().end(), cluster_state.find(uid)) != cluster_state.live().end();
}

TEST(DependencyGraph, NothingOfAJobStartsBeforeTheEndsOfAllThatItNeedsAreInTheLedger) {
  ClusterState cluster_state = fresh();
  cluster_state.apply(accept(after("j-1", {}), 10));
  cluster_state.apply(accept(after("j-2", {}), 11));
  cluster_state.apply(accept(after("j-3", {"j-1", "j-2"}), 12));
  EXPECT_FALSE(is_live(cluster_state, "j-3")) << "neither planned, nor rented for, nor counted";
  // Whatever way a start came into the ledger.
  cluster_state.apply(start("j-3", 1, {{0, 2}}));
  EXPECT_TRUE(job(cluster_state, "j-3").placed.empty());
  cluster_state.apply(start("j-1", 1, {{0, 2}}));
  cluster_state.apply(start("j-2", 1, {{0, 2}}));
  cluster_state.apply(TasksCompletedRecord{"j-1", {{0, 2}}, 20});
  cluster_state.apply(TasksCompletedRecord{"j-2", {{0, 1}}, 21});
  EXPECT_TRUE(job(cluster_state, "j-3").blocked) << "one task of what it needs is left";
  cluster_state.apply(TasksCompletedRecord{"j-2", {{1, 2}}, 25});
  EXPECT_TRUE(is_live(cluster_state, "j-3"));
  EXPECT_EQ(job(cluster_state, "j-3").eligible_since, 25) << "its times count from the end of the last job that it needs";
  EXPECT_EQ(job(cluster_state, "j-3").accepted_at, 12);
  cluster_state.apply(start("j-3", 2, {{0, 2}}));
  EXPECT_EQ(job(cluster_state, "j-3").placed.size(), 2u);
}

// One record cancels all of it, however deep; and what is done stays done.
TEST(DependencyGraph, ACancelledJobTakesAllThatNeedItAlongAndNothingElse) {
  constexpr int kDeep = 20000;
  ClusterState cluster_state = fresh();
  cluster_state.apply(accept(after("j-0", {}), 1));
  cluster_state.apply(accept(after("j-900000", {}), 1));
  for (int i = 1; i <= kDeep; ++i) cluster_state.apply(accept(after("j-" + std::to_string(i), {"j-" + std::to_string(i - 1)}), 2));
  cluster_state.apply(accept(after("j-900001", {"j-0", "j-900000"}), 3));
  cluster_state.apply(accept(after("j-900002", {"j-900000"}), 3));
  EXPECT_EQ(cluster_state.dependency_graph().counts().blocked, kDeep + 2u);
  cluster_state.apply(JobCancelledRecord{"j-0"});
  for (const auto& uid : {std::string("j-1"), "j-" + std::to_string(kDeep), std::string("j-900001")})
    EXPECT_EQ(job(cluster_state, uid).status, JobStatus::cancelled) << uid;
  EXPECT_EQ(job(cluster_state, "j-900002").status, JobStatus::queued);
  EXPECT_EQ(cluster_state.dependency_graph().counts().blocked, 1u);
  EXPECT_EQ(cluster_state.dependency_graph().counts().cancelled, kDeep + 1u);
  // Naming one that is cancelled, when it comes; and one that is done.
  cluster_state.apply(accept(after("j-900003", {"j-900000", "j-1"}), 4));
  EXPECT_EQ(job(cluster_state, "j-900003").status, JobStatus::cancelled);
  cluster_state.apply(start("j-900000", 1, {{0, 2}}));
  cluster_state.apply(TasksCompletedRecord{"j-900000", {{0, 2}}, 30});
  EXPECT_EQ(job(cluster_state, "j-900002").eligible_since, 30);
  cluster_state.apply(JobCancelledRecord{"j-900000"});
  EXPECT_EQ(job(cluster_state, "j-900002").status, JobStatus::queued) << "answered done, it goes on";
  cluster_state.apply(accept(after("j-900004", {"j-900000"}), 40));
  EXPECT_TRUE(is_live(cluster_state, "j-900004"));
  EXPECT_EQ(job(cluster_state, "j-900004").eligible_since, 40);
}

TEST(DependencyGraph, RankAndDeadlineOfTheLastCountForAllBeforeIt) {
  ClusterState cluster_state = fresh();
  auto last = after("j-4", {"j-2", "j-3"});
  last.priority = Priority::high;
  last.deadline_s = 100;
  last.estimated_run_s = 8;
  cluster_state.apply(accept(after("j-1", {}), 10));
  cluster_state.apply(accept(after("j-2", {"j-1"}), 11));
  auto longer = after("j-3", {"j-1"});
  longer.estimated_run_s = 30;
  cluster_state.apply(accept(longer, 11));
  EXPECT_EQ(job(cluster_state, "j-1").urgency, Urgency{});
  cluster_state.apply(accept(last, 12));
  EXPECT_EQ(job(cluster_state, "j-4").urgency, (Urgency{Priority::high, 112}));
  EXPECT_EQ(job(cluster_state, "j-3").urgency, (Urgency{Priority::high, 104}));
  EXPECT_EQ(job(cluster_state, "j-1").urgency, (Urgency{Priority::high, 74})) << "less what follows on the longest way";
  cluster_state.apply(JobCancelledRecord{"j-4"});
  EXPECT_EQ(job(cluster_state, "j-1").urgency, Urgency{}) << "its user gave it up";
}

TEST(DependencyGraph, WhatCanNotBeWaitedForIsToldApart) {
  ClusterState cluster_state = fresh();
  auto service = after("j-1", {});
  service.job_type = JobType::service;
  cluster_state.apply(accept(service, 1));
  cluster_state.apply(accept(after("j-2", {}), 1));
  EXPECT_EQ(cluster_state.dependency_rejection_reason(after("j-9", {"j-2"})), std::nullopt);
  EXPECT_NE(cluster_state.dependency_rejection_reason(after("j-9", {"j-1"})), std::nullopt);
  EXPECT_NE(cluster_state.dependency_rejection_reason(after("j-9", {"j-3"})), std::nullopt);
  EXPECT_NE(cluster_state.dependency_rejection_reason(after("j-9", {"j-2", "j-9"})), std::nullopt);
  // Long ended, and read from its short form.
  cluster_state.apply(JobCancelledRecord{"j-1"});
  std::uint32_t from = 0;
  ClusterState later = fresh();
  later.apply(parse_entry(stored_entry({cluster_state.snapshot_record(cluster_state.find("j-1"), from, 9)}, {4, 0, 1, 0})).records.at(0));
  EXPECT_NE(later.dependency_rejection_reason(after("j-9", {"j-1"})), std::nullopt);
}

// Small entries, four changes a transaction, and jobs that name running, ended, cancelled and partly written ones. After
// each commit the rest of the ledger is read by a new leader, to whom a job may come before the one that it names.
TEST(DependencyGraph, EveryReadingOfTheLedgerSaysTheSame) {
  std::size_t reused = 0, ready = 0, cancelled = 0, before_named = 0;
  for (unsigned seed = 1; seed <= 6; ++seed) {
    std::mt19937 random(seed);
    const LedgerWriter::Limits limits{1843, 3, 4};
    ClusterState cluster_state = fresh(max_record_bytes(limits.value_bytes));
    Ledger ledger(limits);
    ledger.ledger_writer.set_format_version(4);
    const auto some = [&](std::size_t n) { return static_cast<std::uint32_t>(random() % n); };
    for (int step = 0; step < 400; ++step) {
      std::vector<Record> records;
      const double now = 1.5 * step;
      const JobIndex j = cluster_state.live().empty() ? JobIndex{} : cluster_state.live()[some(cluster_state.live().size())];
      if (!j.valid() || (cluster_state.live().size() < 8 && some(2) == 0)) {
        const auto uid = "j-" + std::to_string(1000 + step);
        auto s = after(uid, {}, some(6) == 0 ? 300 : 1 + some(4));
        std::set<std::string> names;
        for (auto n = some(4); n > 0 && cluster_state.job_count() > 0; --n) {
          // Mostly late ones, sometimes any.
          const auto back = some(some(3) == 0 ? cluster_state.job_count() : std::min<std::size_t>(cluster_state.job_count(), 8));
          names.insert(cluster_state.job(JobIndex{static_cast<std::uint32_t>(cluster_state.job_count()) - 1 - back}).uid);
        }
        s.depends_on.assign(names.begin(), names.end());
        if (some(3) == 0) s.priority = Priority::high, s.deadline_s = 10 + some(50);
        records.emplace_back(accept(s, now));
      } else {
        const Job& of = cluster_state.job(j);
        TasksStartedRecord starts{of.uid, of.attempts + 1, now, {}};
        TasksCompletedRecord done{of.uid, {}, cluster_state.dependency_graph().has_dependents(j) ? now : 0};
        for (std::uint32_t t = 0; t < of.tasks.size(); ++t) {
          if (of.tasks[t] == TaskState::pending && some(4) > 0 && !of.ended())
            starts.assignments.push_back({"m-" + std::to_string(t % 7), 1, {{t, t + 1}}});
          if (of.tasks[t] == TaskState::placed && some(5) > 0) append_task(done.tasks, t);
        }
        for (auto& r : split_by_size(starts, cluster_state.record_bytes())) records.emplace_back(std::move(r));
        if (!done.tasks.empty()) records.emplace_back(done);
        if (some(30) == 0) records = {JobCancelledRecord{of.uid}};
        if (some(60) == 0) records = {JobCancelledRecord{cluster_state.job(JobIndex{some(cluster_state.job_count())}).uid}};
      }
      ledger.commit(cluster_state, records);
      if (testing::Test::HasFatalFailure()) return;
      LedgerWriter found;
      const ClusterState again = ledger.read(found, 4);
      expect_same(again, cluster_state, seed);
      if (testing::Test::HasFailure()) return;
      EXPECT_EQ(again.dependency_graph().counts().unresolved_names, 0u);
      EXPECT_EQ(again.dependency_graph().counts().blocked, cluster_state.dependency_graph().counts().blocked);
      EXPECT_EQ(std::set<std::string>([&] {
                  std::set<std::string> out;
                  for (JobIndex l : again.live()) out.insert(again.job(l).uid);
                  return out;
                }()),
                std::set<std::string>([&] {
                  std::set<std::string> out;
                  for (JobIndex l : cluster_state.live()) out.insert(cluster_state.job(l).uid);
                  return out;
                }()))
          << "seed " << seed;
      for (std::uint32_t i = 0; i < again.job_count(); ++i)
        for (const auto& name : again.job(JobIndex{i}).spec.depends_on) before_named += again.find(name).value > i;
      ready += cluster_state.dependency_graph().counts().eligible > 0;
      cancelled += cluster_state.dependency_graph().counts().cancelled > 0;
      if (some(50) == 0) cluster_state = ledger.read(ledger.ledger_writer, 4);
    }
    reused += ledger.reused;
  }
  EXPECT_GT(reused, 300u) << "shortened all along, and what is left in between is not read";
  EXPECT_GT(ready, 500u);
  EXPECT_GT(cancelled, 300u);
  EXPECT_GT(before_named, 20u) << "some job came before one that it names";
}

// The largest of each kind of record where the state service takes 2 KiB a value and 5 changes at once: each is cut to size or
// refused at the door, and what is written anew of it fits as well.
TEST(DependencyGraph, TheLargestOfEachRecordFitsIntoSmallEntries) {
  const LedgerWriter::Limits limits{1843, 4, 5};
  ClusterState cluster_state = fresh(max_record_bytes(limits.value_bytes));
  Ledger ledger(limits);
  ledger.ledger_writer.set_format_version(4);
  const auto long_uid = [](int i) { return "j-" + std::string(26, '9') + std::to_string(1000 + i); };
  for (int i = 0; i < 120; ++i) ledger.commit(cluster_state, {accept(after(long_uid(i), {}), 1)});
  auto widest = after("j-1", {}, 4000);
  widest.job_class = std::string(200, 'c');
  widest.image = std::string(200, 'b');
  ASSERT_TRUE(LedgerWriter::fits_in_entry(accept(widest, 1), limits.value_bytes));
  ledger.commit(cluster_state, {accept(widest, 1)});
  auto names = after("j-2", {});
  while (LedgerWriter::fits_in_entry(accept(names, 1), limits.value_bytes))
    names.depends_on.push_back(long_uid(static_cast<int>(names.depends_on.size())));
  EXPECT_GT(names.depends_on.size(), 20u);
  names.depends_on.pop_back();
  ledger.commit(cluster_state, {accept(names, 1)});
  auto escaped = widest;
  escaped.image = std::string(200, '\1');
  EXPECT_FALSE(LedgerWriter::fits_in_entry(accept(escaped, 1), limits.value_bytes)) << "refused at the door";
  // Scattered tasks over many machines with long names.
  TasksStartedRecord all{"j-1", 1, 1, {}};
  for (std::uint32_t t = 0; t < 4000; t += 2)
    all.assignments.push_back({"m-" + std::string(40, 'x') + std::to_string(t % 97), 12345678901234567890u, {{t, t + 1}}});
  for (auto& r : split_by_size(all, cluster_state.record_bytes())) ledger.commit(cluster_state, {r});
  ASSERT_EQ(job(cluster_state, "j-1").placed.size(), 2000u);
  std::vector<Record> ends;
  for (std::uint32_t h = 0; h < cluster_state.node_count(); ++h)
    for (auto& r : evict_all_tasks(cluster_state, NodeIndex{h})) ends.push_back(std::move(r));
  ledger.commit(cluster_state, ends);
  EXPECT_TRUE(job(cluster_state, "j-1").placed.empty());
  // Jobs that end while one that has not ended needs them, and a team of a long name; then all of it written anew.
  for (int i = 0; i < 120; ++i) ledger.commit(cluster_state, {TasksCompletedRecord{long_uid(i), {{0, 2}}, 20.123456789 + i}});
  ledger.commit(cluster_state, {TeamQuotaRecord{std::string(200, 't'), TeamQuota{{1.0 / 3, 1.0 / 7, 0}, {1e9 / 3, 1e9 / 7, 0}},
                                                TeamQuota{{1.0 / 3, 1.0 / 7, 0}, {1e9 / 3, 1e9 / 7, 0}}, true}});
  for (int i = 0; i < 600; ++i) ledger.commit(cluster_state, {accept(after("j-7" + std::to_string(i), {}), 30)});
  EXPECT_GT(ledger.reused, 10u) << "written anew, and shortened";
  LedgerWriter found;
  expect_same(ledger.read(found, 4), cluster_state, 0);
}

// Ends of single tasks come by the hundred: one record for those of a job that go together, and never past anything else
// about that job.
TEST(Queue, EndsOfAJobsTasksAreJoinedUnlessAnythingElseAboutItStandsBetween) {
  std::deque<QueuedRecord> queue;
  const auto put = [&](Record r) {
    if (!merge_completions(queue, r)) queue.push_back({std::move(r), 0});
  };
  put(TasksCompletedRecord{"j-1", {{4, 5}}, 20});
  put(TasksCompletedRecord{"j-2", {{0, 1}}});
  put(TasksCompletedRecord{"j-1", {{3, 4}, {7, 8}}, 21});
  ASSERT_EQ(queue.size(), 2u);
  EXPECT_EQ(std::get<TasksCompletedRecord>(queue[0].record).tasks, (TaskRanges{{3, 5}, {7, 8}}));
  EXPECT_EQ(std::get<TasksCompletedRecord>(queue[0].record).at, 21);
  put(JobCancelledRecord{"j-1"});
  put(TasksCompletedRecord{"j-1", {{9, 10}}});
  EXPECT_EQ(queue.size(), 4u) << "what was cancelled before it was done stays cancelled";
}

}  // namespace
}  // namespace thistlefront
