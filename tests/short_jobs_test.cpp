// For five minutes, four jobs with one task each are submitted per second, and a quarter of the jobs is cancelled. The key-value store
// accepts 15 changes of 2 KiB per second and 4 changes per transaction. Measures the ledger changes per job and how long users wait for a
// reply. Runs the leader's rate limiter, ledger writer and compactor in simulated time.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <iostream>
#include <random>

#include "in_memory_ledger.hpp"
#include "ledger/write_rate_limiter.hpp"
#include "model/identifiers.hpp"
#include "model/ledger_records.hpp"

namespace thistlefront {
namespace {

constexpr double kJobsPerSecond = 4, kDurationSeconds = 300, kRunSeconds = 12, kCommitSeconds = 0.01, kDeferralInWrites = 2.5;
constexpr std::size_t kMaxQueued = 3000;  // bound of the controller's record queue

struct LedgerLoad {
  ClusterState cluster_state{{Team{"red", {}, {1e6, 0, 0}, {}}}, max_record_bytes(1843)};
  LedgerWriter ledger_writer{LedgerWriter::Contents{}, 4};
  WriteRateLimiter write_limiter{15};
  std::deque<QueuedRecord> queue;
  std::map<std::uint64_t, double> enqueued_at;   // time of users' records, by ticket
  std::vector<std::pair<double, double>> waits;  // of users' records: time of enqueueing and wait in seconds
  std::map<std::string, std::string> entries;
  std::map<std::string, std::uint64_t> mod_revisions;
  std::size_t changes = 0, bytes = 0, max_queued = 0, max_entries = 0;
  std::uint64_t last_ticket = 0, mod_revision = 0;
  bool users_wait = false;
  double commit_at = 0;

  void enqueue(Record record, double now, bool from_user, bool deferrable = false) {
    const double due_at = now + (deferrable ? kDeferralInWrites / write_limiter.rate() : 0);
    commit_at = queue.empty() ? due_at : std::min(commit_at, due_at);
    users_wait = users_wait || from_user;
    if (merge_completions(queue, record)) return;
    queue.push_back({std::move(record), ++last_ticket});
    if (from_user) enqueued_at[last_ticket] = now;
    max_queued = std::max(max_queued, queue.size());
  }
  // Returns whether it committed; the outcome is known at `now` + kCommitSeconds.
  bool commit(double now) {
    if (queue.empty() || now < commit_at || write_limiter.delay_s(now, users_wait) > 0) return false;
    auto pending_commit = ledger_writer.prepare_commit(cluster_state, queue, {1843, 3, 4, write_limiter.length_factor(1843)});
    if (queue.empty()) users_wait = false;
    commit_at = 0;
    write_limiter.charge(static_cast<double>(pending_commit.changes()));
    changes += pending_commit.changes();
    ++mod_revision;
    for (const auto& put : pending_commit.puts)
      entries[put.key] = put.value, mod_revisions[put.key] = mod_revision, bytes += put.value.size();
    for (const auto& key : pending_commit.removes) entries.erase(key);
    max_entries = std::max(max_entries, entries.size());
    ledger_writer.record_committed(pending_commit, mod_revision);
    for (std::size_t i = 0; i < pending_commit.batch.size(); ++i) {
      const auto& queued = pending_commit.batch[i];
      const auto known_jobs = cluster_state.job_count();
      cluster_state.apply(queued.record);
      if (cluster_state.job_count() > known_jobs)
        ledger_writer.record_first_entry(pending_commit.batch_entries[i], JobIndex{static_cast<std::uint32_t>(known_jobs)});
      if (const auto it = enqueued_at.find(queued.ticket); it != enqueued_at.end())
        waits.emplace_back(it->second, now + kCommitSeconds - it->second);
    }
    return true;
  }
  // Fraction of users' records enqueued in [from, until) that were replied to within `limit_s`.
  [[nodiscard]] double fraction_within(double from, double until, double limit_s) const {
    const auto is_in_interval = [&](const auto& wait) { return wait.first >= from && wait.first < until; };
    const auto all = std::count_if(waits.begin(), waits.end(), is_in_interval);
    const auto fast =
        std::count_if(waits.begin(), waits.end(), [&](const auto& wait) { return is_in_interval(wait) && wait.second <= limit_s; });
    return all == 0 ? 0 : static_cast<double>(fast) / static_cast<double>(all);
  }
};

TEST(ShortJobs, KeepLedgerShortAndRepliesFastAtFourJobsPerSecond) {
  LedgerLoad load;
  std::mt19937 random(5);
  std::multimap<double, std::string> cancellations, ends;  // uid of the job, by time
  int accepted = 0;
  double next_submission = 0, busy_until = 0, next_pass = 0;
  for (double now = 0; now < kDurationSeconds + 60; now += 0.01) {
    if (now < kDurationSeconds && now >= next_submission) {
      next_submission = now + std::exponential_distribution<double>(kJobsPerSecond)(random);
      const std::string uid = "j-" + std::to_string(100000 + ++accepted);
      load.enqueue(JobAcceptedRecord{submission(uid, 1, 1), 0.5, now}, now, true);
      if (random() % 4 == 0) cancellations.emplace(now + 0.5 + 0.01 * (random() % 1200), uid);
    }
    for (; !cancellations.empty() && cancellations.begin()->first <= now; cancellations.erase(cancellations.begin()))
      load.enqueue(JobCancelledRecord{cancellations.begin()->second}, now, true);
    // Tasks that completed or were killed.
    for (; !ends.empty() && ends.begin()->first <= now; ends.erase(ends.begin())) {
      const JobIndex j = load.cluster_state.find(ends.begin()->second);
      if (load.cluster_state.job(j).placed.empty()) continue;
      if (load.cluster_state.job(j).ended()) {
        load.enqueue(TasksRemovedRecord{load.cluster_state.job(j).uid, 1, {{0, 1}}, 0}, now, false, true);
      } else {
        load.enqueue(TasksCompletedRecord{load.cluster_state.job(j).uid, {{0, 1}}}, now, false, true);
      }
    }
    // A pass starts pending jobs once the starts of the previous pass are in the ledger.
    const bool has_uncommitted_starts = std::any_of(load.queue.begin(), load.queue.end(), [](const QueuedRecord& queued) {
      return std::holds_alternative<TasksStartedRecord>(queued.record);
    });
    if (now >= next_pass && !has_uncommitted_starts) {
      next_pass = now + 0.1;
      for (JobIndex j : std::vector<JobIndex>(load.cluster_state.live())) {
        const Job& job = load.cluster_state.job(j);
        if (job.ended() || job.pending == 0) continue;
        load.enqueue(TasksStartedRecord{job.uid, 1, now, {{"m-" + std::to_string(j.value % 50), 1, {{0, 1}}}}}, now, false);
        ends.emplace(now + kRunSeconds, job.uid);
      }
    }
    if (now >= busy_until && load.commit(now)) busy_until = now + kCommitSeconds;
  }
  const double jobs = accepted;
  std::cout << accepted << " jobs: " << static_cast<double>(load.changes) / jobs << " changes and "
            << static_cast<double>(load.bytes) / jobs << " bytes written for each, " << load.max_queued << " records queued at most, "
            << load.max_entries << " entries at most; users answered within 0.2 s " << load.fraction_within(0, kDurationSeconds, 0.2)
            << ", in the last minute " << load.fraction_within(kDurationSeconds - 60, kDurationSeconds, 0.2) << ", within 1 s "
            << load.fraction_within(0, kDurationSeconds, 1) << "\n";
  EXPECT_GT(accepted, 1000);
  EXPECT_LT(load.max_queued, kMaxQueued / 10);
  EXPECT_EQ(load.fraction_within(0, kDurationSeconds, 1), 1.0);
  EXPECT_GT(load.fraction_within(0, kDurationSeconds, 0.2), 0.9);
  EXPECT_GT(load.fraction_within(kDurationSeconds - 60, kDurationSeconds, 0.2), 0.9) << "ended jobs do not slow replies down";
  for (std::uint32_t j = 0; j < load.cluster_state.job_count(); ++j)
    EXPECT_TRUE(load.cluster_state.job(JobIndex{j}).ended()) << load.cluster_state.job(JobIndex{j}).uid;
  // The next leader reads the remaining entries and knows every job.
  ClusterState restored({Team{"red", {}, {1e6, 0, 0}, {}}}, max_record_bytes(1843));
  LedgerReader reader(restored, 1, 4);
  for (const auto& [key, value] : load.entries) {
    ASSERT_TRUE(reader.add_entry(stored_row(key, value, load.mod_revisions[key]))) << reader.error();
  }
  ASSERT_TRUE(reader.finish()) << reader.error();
  expect_same_state(restored, load.cluster_state, 5);
}

}  // namespace
}  // namespace thistlefront
