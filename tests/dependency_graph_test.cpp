// Job dependencies: eligibility, cancellation of dependents and inherited urgency. Every replay of the ledger must give the same
// state, at any stage of compaction.
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

TasksStartedRecord start_record(const std::string& uid, std::uint64_t attempt, TaskRanges tasks, const std::string& node = "m-1") {
  return {uid, attempt, 1, {{node, 1, std::move(tasks)}}};
}
const Job& job(const ClusterState& cluster_state, const std::string& uid) {
  return cluster_state.job(cluster_state.find(uid));
}
bool is_live(const ClusterState& cluster_state, const std::string& uid) {
  return std::find(cluster_state.live().begin(), cluster_state.live().end(), cluster_state.find(uid)) != cluster_state.live().end();
}

std::set<std::string> live_uids(const ClusterState& cluster_state) {
  std::set<std::string> uids;
  for (const JobIndex job_index : cluster_state.live()) uids.insert(cluster_state.job(job_index).uid);
  return uids;
}

TEST(DependencyGraph, JobIsBlockedUntilAllItsDependenciesAreDone) {
  ClusterState cluster_state = empty_cluster_state();
  cluster_state.apply(accept_record(job_with_dependencies("j-1", {}), 10));
  cluster_state.apply(accept_record(job_with_dependencies("j-2", {}), 11));
  cluster_state.apply(accept_record(job_with_dependencies("j-3", {"j-1", "j-2"}), 12));
  EXPECT_FALSE(is_live(cluster_state, "j-3")) << "a live job would be planned, scaled out for and counted as pending";
  // A start record of a blocked job has no effect.
  cluster_state.apply(start_record("j-3", 1, {{0, 2}}));
  EXPECT_TRUE(job(cluster_state, "j-3").placed.empty());
  cluster_state.apply(start_record("j-1", 1, {{0, 2}}));
  cluster_state.apply(start_record("j-2", 1, {{0, 2}}));
  cluster_state.apply(TasksCompletedRecord{"j-1", {{0, 2}}, 20});
  cluster_state.apply(TasksCompletedRecord{"j-2", {{0, 1}}, 21});
  EXPECT_TRUE(job(cluster_state, "j-3").blocked) << "one task of a dependency is not done";
  cluster_state.apply(TasksCompletedRecord{"j-2", {{1, 2}}, 25});
  EXPECT_TRUE(is_live(cluster_state, "j-3"));
  EXPECT_EQ(job(cluster_state, "j-3").eligible_since, 25) << "the waiting time starts when the last dependency is done";
  EXPECT_EQ(job(cluster_state, "j-3").accepted_at, 12);
  cluster_state.apply(start_record("j-3", 2, {{0, 2}}));
  EXPECT_EQ(job(cluster_state, "j-3").placed.size(), 2u);
}

// One record cancels the whole chain of dependents; done jobs stay done.
TEST(DependencyGraph, CancellingAJobCancelsAllItsDependentsAndNothingElse) {
  constexpr int kDepth = 20000;
  ClusterState cluster_state = empty_cluster_state();
  cluster_state.apply(accept_record(job_with_dependencies("j-0", {}), 1));
  cluster_state.apply(accept_record(job_with_dependencies("j-900000", {}), 1));
  for (int i = 1; i <= kDepth; ++i)
    cluster_state.apply(accept_record(job_with_dependencies("j-" + std::to_string(i), {"j-" + std::to_string(i - 1)}), 2));
  cluster_state.apply(accept_record(job_with_dependencies("j-900001", {"j-0", "j-900000"}), 3));
  cluster_state.apply(accept_record(job_with_dependencies("j-900002", {"j-900000"}), 3));
  EXPECT_EQ(cluster_state.dependency_graph().counts().blocked, kDepth + 2u);
  cluster_state.apply(JobCancelledRecord{"j-0"});
  for (const auto& uid : {std::string("j-1"), "j-" + std::to_string(kDepth), std::string("j-900001")})
    EXPECT_EQ(job(cluster_state, uid).status, JobStatus::cancelled) << uid;
  EXPECT_EQ(job(cluster_state, "j-900002").status, JobStatus::queued);
  EXPECT_EQ(cluster_state.dependency_graph().counts().blocked, 1u);
  EXPECT_EQ(cluster_state.dependency_graph().counts().cancelled, kDepth + 1u);
  // j-900003 is accepted after one of its dependencies was cancelled, j-900004 after its dependency was done.
  cluster_state.apply(accept_record(job_with_dependencies("j-900003", {"j-900000", "j-1"}), 4));
  EXPECT_EQ(job(cluster_state, "j-900003").status, JobStatus::cancelled);
  cluster_state.apply(start_record("j-900000", 1, {{0, 2}}));
  cluster_state.apply(TasksCompletedRecord{"j-900000", {{0, 2}}, 30});
  EXPECT_EQ(job(cluster_state, "j-900002").eligible_since, 30);
  cluster_state.apply(JobCancelledRecord{"j-900000"});
  EXPECT_EQ(job(cluster_state, "j-900002").status, JobStatus::queued) << "its dependency is done, so it is not cancelled";
  cluster_state.apply(accept_record(job_with_dependencies("j-900004", {"j-900000"}), 40));
  EXPECT_TRUE(is_live(cluster_state, "j-900004"));
  EXPECT_EQ(job(cluster_state, "j-900004").eligible_since, 40);
}

TEST(DependencyGraph, PriorityAndDeadlinePropagateToAllDependencies) {
  ClusterState cluster_state = empty_cluster_state();
  auto last = job_with_dependencies("j-4", {"j-2", "j-3"});
  last.priority = Priority::high;
  last.deadline_s = 100;
  last.estimated_run_s = 8;
  cluster_state.apply(accept_record(job_with_dependencies("j-1", {}), 10));
  cluster_state.apply(accept_record(job_with_dependencies("j-2", {"j-1"}), 11));
  auto longer = job_with_dependencies("j-3", {"j-1"});
  longer.estimated_run_s = 30;
  cluster_state.apply(accept_record(longer, 11));
  EXPECT_EQ(job(cluster_state, "j-1").urgency, Urgency{});
  cluster_state.apply(accept_record(last, 12));
  EXPECT_EQ(job(cluster_state, "j-4").urgency, (Urgency{Priority::high, 112}));
  EXPECT_EQ(job(cluster_state, "j-3").urgency, (Urgency{Priority::high, 104}));
  EXPECT_EQ(job(cluster_state, "j-1").urgency, (Urgency{Priority::high, 74}))
      << "earlier by the run times on the longest path to the last job";
  cluster_state.apply(JobCancelledRecord{"j-4"});
  EXPECT_EQ(job(cluster_state, "j-1").urgency, Urgency{}) << "its urgent dependent was cancelled";
}

TEST(DependencyGraph, RejectsUnknownJobsServicesAndTheJobItselfAsDependencies) {
  ClusterState cluster_state = empty_cluster_state();
  auto service = job_with_dependencies("j-1", {});
  service.job_type = JobType::service;
  cluster_state.apply(accept_record(service, 1));
  cluster_state.apply(accept_record(job_with_dependencies("j-2", {}), 1));
  EXPECT_EQ(cluster_state.dependency_rejection_reason(job_with_dependencies("j-9", {"j-2"})), std::nullopt);
  EXPECT_NE(cluster_state.dependency_rejection_reason(job_with_dependencies("j-9", {"j-1"})), std::nullopt);
  EXPECT_NE(cluster_state.dependency_rejection_reason(job_with_dependencies("j-9", {"j-3"})), std::nullopt);
  EXPECT_NE(cluster_state.dependency_rejection_reason(job_with_dependencies("j-9", {"j-2", "j-9"})), std::nullopt);
  // A service is also rejected after it has ended and was replayed from the record of ended jobs.
  cluster_state.apply(JobCancelledRecord{"j-1"});
  std::uint32_t next_task = 0;
  ClusterState replayed = empty_cluster_state();
  replayed.apply(
      parse_entry(stored_entry({cluster_state.snapshot_record(cluster_state.find("j-1"), next_task, 9)}, {4, 0, 1, 0})).records.at(0));
  EXPECT_NE(replayed.dependency_rejection_reason(job_with_dependencies("j-9", {"j-1"})), std::nullopt);
}

// Random records as a leader might write them: submissions of jobs that depend on earlier ones, starts, completions and
// cancellations.
class RandomHistory {
 public:
  explicit RandomHistory(unsigned seed) : random_(seed) {}

  std::uint32_t below(std::size_t bound) { return static_cast<std::uint32_t>(random_() % bound); }

  std::vector<Record> next_records(const ClusterState& cluster_state, int step) {
    const double now = 1.5 * step;
    const auto& live = cluster_state.live();
    const JobIndex job_index = live.empty() ? JobIndex{} : live[below(live.size())];
    if (!job_index.valid() || (live.size() < 8 && below(2) == 0)) return {accept_record(new_job(cluster_state, step), now)};
    return continue_job(cluster_state, job_index, now);
  }

 private:
  JobSpec new_job(const ClusterState& cluster_state, int step) {
    auto spec = job_with_dependencies("j-" + std::to_string(1000 + step), {}, below(6) == 0 ? 300 : 1 + below(4));
    const std::size_t job_count = cluster_state.job_count();
    std::set<std::string> names;
    for (auto n = below(4); n > 0 && job_count > 0; --n) {
      // Mostly recent jobs, sometimes any job.
      const auto age = below(below(3) == 0 ? job_count : std::min<std::size_t>(job_count, 8));
      names.insert(cluster_state.job(JobIndex{static_cast<std::uint32_t>(job_count) - 1 - age}).uid);
    }
    spec.depends_on.assign(names.begin(), names.end());
    if (below(3) == 0) {
      spec.priority = Priority::high;
      spec.deadline_s = 10 + below(50);
    }
    return spec;
  }

  std::vector<Record> continue_job(const ClusterState& cluster_state, JobIndex job_index, double now) {
    const Job& job = cluster_state.job(job_index);
    TasksStartedRecord starts{job.uid, job.attempts + 1, now, {}};
    TasksCompletedRecord done{job.uid, {}, cluster_state.dependency_graph().has_dependents(job_index) ? now : 0};
    for (std::uint32_t task = 0; task < job.tasks.size(); ++task) {
      if (job.tasks[task] == TaskState::pending && below(4) > 0 && !job.ended())
        starts.assignments.push_back({"m-" + std::to_string(task % 7), 1, {{task, task + 1}}});
      if (job.tasks[task] == TaskState::placed && below(5) > 0) append_task(done.tasks, task);
    }
    std::vector<Record> records;
    for (auto& part : split_by_size(starts, cluster_state.record_bytes())) records.emplace_back(std::move(part));
    if (!done.tasks.empty()) records.emplace_back(done);
    if (below(30) == 0) records = {JobCancelledRecord{job.uid}};
    if (below(60) == 0) records = {JobCancelledRecord{cluster_state.job(JobIndex{below(cluster_state.job_count())}).uid}};
    return records;
  }

  std::mt19937 random_;
};

std::size_t count_jobs_before_a_dependency(const ClusterState& cluster_state) {
  std::size_t count = 0;
  for (std::uint32_t i = 0; i < cluster_state.job_count(); ++i)
    for (const auto& name : cluster_state.job(JobIndex{i}).spec.depends_on) count += cluster_state.find(name).value > i;
  return count;
}

// Small entries, four changes per transaction, and dependencies that are running, ended, cancelled or partially replayed. After each
// commit a new leader replays the ledger, in which compaction may have moved a dependency after its dependents.
TEST(DependencyGraph, EveryReplayOfTheLedgerGivesTheSameState) {
  std::size_t reused = 0, steps_with_eligible = 0, steps_with_cancelled = 0, jobs_before_a_dependency = 0;
  for (unsigned seed = 1; seed <= 6; ++seed) {
    RandomHistory history(seed);
    const LedgerWriter::Limits limits{1843, 3, 4};
    ClusterState cluster_state = empty_cluster_state(max_record_bytes(limits.value_bytes));
    InMemoryLedger ledger(limits);
    ledger.ledger_writer.set_format_version(4);
    for (int step = 0; step < 400; ++step) {
      ledger.commit(cluster_state, history.next_records(cluster_state, step));
      if (testing::Test::HasFatalFailure()) return;
      LedgerWriter new_writer;
      const ClusterState replayed = ledger.read(new_writer, 4);
      expect_same_state(replayed, cluster_state, seed);
      if (testing::Test::HasFailure()) return;
      EXPECT_EQ(replayed.dependency_graph().counts().unresolved_names, 0u);
      EXPECT_EQ(replayed.dependency_graph().counts().blocked, cluster_state.dependency_graph().counts().blocked);
      EXPECT_EQ(live_uids(replayed), live_uids(cluster_state)) << "seed " << seed;
      jobs_before_a_dependency += count_jobs_before_a_dependency(replayed);
      steps_with_eligible += cluster_state.dependency_graph().counts().eligible > 0;
      steps_with_cancelled += cluster_state.dependency_graph().counts().cancelled > 0;
      if (history.below(50) == 0) cluster_state = ledger.read(ledger.ledger_writer, 4);
    }
    reused += ledger.reused_keys;
  }
  EXPECT_GT(reused, 300u) << "compaction must run, and keys of entries that are not needed any more must be reused";
  EXPECT_GT(steps_with_eligible, 500u);
  EXPECT_GT(steps_with_cancelled, 300u);
  EXPECT_GT(jobs_before_a_dependency, 20u) << "some jobs must be replayed before one of their dependencies";
}

// The largest record of each kind, with a key-value store that accepts values of 2 KiB and 5 changes per transaction: each record is
// split or rejected on submission, and the snapshot records fit as well.
TEST(DependencyGraph, LargestRecordOfEachKindFitsIntoSmallEntries) {
  const LedgerWriter::Limits limits{1843, 4, 5};
  ClusterState cluster_state = empty_cluster_state(max_record_bytes(limits.value_bytes));
  InMemoryLedger ledger(limits);
  ledger.ledger_writer.set_format_version(4);
  const auto long_uid = [](int i) { return "j-" + std::string(26, '9') + std::to_string(1000 + i); };
  for (int i = 0; i < 120; ++i) ledger.commit(cluster_state, {accept_record(job_with_dependencies(long_uid(i), {}), 1)});
  auto widest = job_with_dependencies("j-1", {}, 4000);
  widest.job_class = std::string(200, 'c');
  widest.image = std::string(200, 'b');
  ASSERT_TRUE(LedgerWriter::fits_in_entry(accept_record(widest, 1), limits.value_bytes));
  ledger.commit(cluster_state, {accept_record(widest, 1)});
  auto with_many_dependencies = job_with_dependencies("j-2", {});
  while (LedgerWriter::fits_in_entry(accept_record(with_many_dependencies, 1), limits.value_bytes))
    with_many_dependencies.depends_on.push_back(long_uid(static_cast<int>(with_many_dependencies.depends_on.size())));
  EXPECT_GT(with_many_dependencies.depends_on.size(), 20u);
  with_many_dependencies.depends_on.pop_back();
  ledger.commit(cluster_state, {accept_record(with_many_dependencies, 1)});
  auto escaped = widest;
  escaped.image = std::string(200, '\1');
  EXPECT_FALSE(LedgerWriter::fits_in_entry(accept_record(escaped, 1), limits.value_bytes)) << "rejected on submission";
  // Tasks scattered over many nodes with long names.
  TasksStartedRecord all_starts{"j-1", 1, 1, {}};
  for (std::uint32_t t = 0; t < 4000; t += 2)
    all_starts.assignments.push_back({"m-" + std::string(40, 'x') + std::to_string(t % 97), 12345678901234567890u, {{t, t + 1}}});
  for (auto& r : split_by_size(all_starts, cluster_state.record_bytes())) ledger.commit(cluster_state, {r});
  ASSERT_EQ(job(cluster_state, "j-1").placed.size(), 2000u);
  std::vector<Record> removals;
  for (std::uint32_t h = 0; h < cluster_state.node_count(); ++h)
    for (auto& r : evict_all_tasks(cluster_state, NodeIndex{h})) removals.push_back(std::move(r));
  ledger.commit(cluster_state, removals);
  EXPECT_TRUE(job(cluster_state, "j-1").placed.empty());
  // Jobs that end while another one depends on them, and a team with a long name; then compaction writes snapshots of all of them.
  for (int i = 0; i < 120; ++i) ledger.commit(cluster_state, {TasksCompletedRecord{long_uid(i), {{0, 2}}, 20.123456789 + i}});
  ledger.commit(cluster_state, {TeamQuotaRecord{std::string(200, 't'), TeamQuota{{1.0 / 3, 1.0 / 7, 0}, {1e9 / 3, 1e9 / 7, 0}},
                                                TeamQuota{{1.0 / 3, 1.0 / 7, 0}, {1e9 / 3, 1e9 / 7, 0}}, true}});
  for (int i = 0; i < 600; ++i) ledger.commit(cluster_state, {accept_record(job_with_dependencies("j-7" + std::to_string(i), {}), 30)});
  EXPECT_GT(ledger.reused_keys, 10u) << "the ledger was compacted";
  LedgerWriter new_writer;
  expect_same_state(ledger.read(new_writer, 4), cluster_state, 0);
}

// Hundreds of completions of single tasks may be queued at once: those of one job are merged into one queued record, but never across
// another record of that job.
TEST(RecordQueue, CompletionsOfAJobAreMergedUnlessAnotherRecordOfTheJobIsBetween) {
  std::deque<QueuedRecord> queue;
  const auto put = [&](Record r) {
    if (!merge_completions(queue, r)) queue.push_back({std::move(r), 0});
  };
  put(TasksCompletedRecord{"j-1", {{4, 5}}, 20});
  put(TasksCompletedRecord{"j-2", {{0, 1}}});
  put(TasksCompletedRecord{"j-1", {{3, 4}, {7, 8}}, 21});
  ASSERT_EQ(queue.size(), 2u);
  EXPECT_EQ(std::get<TasksCompletedRecord>(queue[0].record).tasks, (TaskRanges{{3, 5}, {7, 8}}));
  EXPECT_EQ(std::get<TasksCompletedRecord>(queue[0].record).completed_at, 21);
  put(JobCancelledRecord{"j-1"});
  put(TasksCompletedRecord{"j-1", {{9, 10}}});
  EXPECT_EQ(queue.size(), 4u) << "a merge would complete the job before it was cancelled";
}

}  // namespace
}  // namespace thistlefront
