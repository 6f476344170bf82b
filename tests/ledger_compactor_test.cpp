// Compaction of the ledger: random work is committed entry by entry, as the leader does. What is left of the ledger is read
// again and again, as by a new leader, and must give the same cluster state.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "in_memory_ledger.hpp"
#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "model/task.hpp"

namespace thistlefront {
namespace {

JobSpec submission(const std::string& uid, std::uint32_t tasks) {
  return thistlefront::submission(uid, tasks, 1);
}

// The format version is raised and lowered at any moment, by the leader that writes and between two leaders. Entries of both
// versions are in one ledger, and at times only those of one are left.
TEST(LedgerCompactor, RemainingEntriesRestoreTheSameState) {
  std::size_t removed = 0, version_changes = 0, completed_changes = 0;
  for (unsigned seed = 1; seed <= 6; ++seed) {
    std::mt19937 random(seed);
    ClusterState cluster_state = fresh();
    Ledger ledger;
    if (seed > 4) ledger.ledger_writer.set_format_version(4);
    for (int step = 0; step < 500; ++step) {
      std::vector<Record> records;
      const auto random_below = [&](std::uint32_t n) { return static_cast<std::uint32_t>(random() % n); };
      const JobIndex job_index = cluster_state.live().empty()
                                     ? JobIndex{}
                                     : cluster_state.live()[random_below(static_cast<std::uint32_t>(cluster_state.live().size()))];
      if (!job_index.valid() || cluster_state.live().size() < 12) {
        // Some with more ranges than one record takes.
        records.emplace_back(JobAcceptedRecord{
            submission("j-" + std::to_string(1000 + step), random_below(2) == 0 ? 500 : 1 + random_below(8)), 0.5, 1.0 * step});
      } else {
        const Job& job = cluster_state.job(job_index);
        TasksStartedRecord started{job.uid, job.attempts + 1, 1.0 * step, {}};
        TasksCompletedRecord completed{job.uid, {}};
        std::map<std::uint64_t, TasksRemovedRecord> removed_by_attempt;
        const auto action = random_below(5);
        for (std::uint32_t t = 0; t < job.tasks.size(); ++t) {
          if (action < 2 && job.tasks[t] == TaskState::pending && random_below(3) > 0 && !job.ended())
            started.assignments.push_back({"m-" + std::to_string(t % 7), 1, {{t, t + 1}}});
          const auto placed = job.placed.find(t);
          if (placed == job.placed.end() || (action >= 2 && random_below(4) != 0)) continue;
          if (action == 2 || action == 3) append_task(completed.tasks, t);
          if (action == 4) {
            auto& removed_record = removed_by_attempt[placed->second.attempt];
            removed_record.uid = job.uid;
            removed_record.attempt = placed->second.attempt;
            append_task(removed_record.tasks, t);
          }
        }
        if (!started.assignments.empty()) records.emplace_back(started);
        if (!completed.tasks.empty()) records.emplace_back(completed);
        for (auto& [attempt, removed_record] : removed_by_attempt) records.emplace_back(removed_record);
        if (records.empty() || random_below(60) == 0) records.emplace_back(JobCancelledRecord{job.uid});
      }
      ledger.commit(cluster_state, records);
      if (testing::Test::HasFatalFailure()) return;
      ASSERT_TRUE(cluster_state.correct_accounts().empty()) << "the accounts are not what is placed, seed " << seed;
      if (random_below(3) == 0) {
        LedgerWriter found;
        expect_same(ledger.read(found, ledger.ledger_writer.format_version()), cluster_state, seed);
        if (testing::Test::HasFailure()) return;
        ASSERT_EQ(found.has_old_entries(), ledger.ledger_writer.has_old_entries()) << "seed " << seed;
      }
      std::uint32_t format_version = ledger.ledger_writer.format_version();
      if (seed > 2 && random_below(60) == 0) {
        if (!ledger.ledger_writer.has_old_entries()) ++completed_changes;
        // Seeds 3 and 4 change between versions 1 and 2, the others between 3 and 4, where keys are reused.
        format_version = (seed > 4 ? 7 : 3) - format_version;
        ++version_changes;
        if (random_below(2) == 0) ledger.ledger_writer.set_format_version(format_version);
      }
      // A new leader goes on with what it read.
      if (random_below(40) == 0) cluster_state = ledger.read(ledger.ledger_writer, format_version);
    }
    removed += ledger.removed;
  }
  EXPECT_GT(removed, 200u);  // it was shortened all along
  EXPECT_GT(version_changes, 10u);
  EXPECT_GT(completed_changes, 3u);
}

// Commits without records of their own rewrite all old entries, come to an end, and leave one entry.
TEST(LedgerCompactor, EntriesOfAnotherVersionAreRewrittenInFewCommits) {
  ClusterState cluster_state = fresh();
  Ledger ledger;
  for (int i = 0; i < 200; ++i) ledger.commit(cluster_state, {JobAcceptedRecord{submission("j-" + std::to_string(i), 3), 0.5, 1.0 * i}});
  ASSERT_FALSE(ledger.ledger_writer.has_old_entries());
  const auto entries = ledger.entries.size();
  ledger.ledger_writer.set_format_version(2);
  std::size_t writes = 0;
  for (; ledger.ledger_writer.has_old_entries() && writes < 1000; ++writes) ledger.commit(cluster_state, {});
  EXPECT_LT(writes, 20 * entries);
  for (const auto& [key, value] : ledger.entries) EXPECT_NE(value.find("\"level\":2"), std::string::npos) << key;
  LedgerWriter found;
  expect_same(ledger.read(found, 2), cluster_state, 0);
}

// A transaction that only adds an entry, because the one before is full, may be applied late, when both have been removed
// again: its own key is as absent as at first. Without the condition on the entry before it, the entry would come back, and in
// versions 2 and 3 nobody could read the ledger.
TEST(LedgerCompactor, ANewEntryIsConditionalOnTheOneBeforeIt) {
  ClusterState cluster_state = fresh();
  LedgerWriter ledger_writer(LedgerWriter::Contents{}, 2);
  const JobAcceptedRecord first{submission("j-1", 1), 0.5, 0}, second{submission("j-2", 1), 0.5, 0};
  const LedgerWriter::Limits limits{encoded_size(first) + 260, 4, 8};
  const auto prepare = [&](const JobAcceptedRecord& accept) {
    std::deque<QueuedRecord> queue{{accept, 0}};
    return ledger_writer.prepare_commit(cluster_state, queue, limits);
  };
  const auto first_commit = prepare(first);
  ledger_writer.record_committed(first_commit, 5);
  cluster_state.apply(first);
  ledger_writer.record_first_entry(0, cluster_state.find("j-1"));
  const auto second_commit = prepare(second);
  ASSERT_EQ(second_commit.puts.size(), 1u) << "the one before is left as it is";
  EXPECT_EQ(second_commit.puts[0].key, entry_key(1));
  const auto is_conditional_on = [&](const std::string& key, std::uint64_t mod_revision) {
    return std::any_of(second_commit.conditions.begin(), second_commit.conditions.end(),
                       [&](const Condition& c) { return c.key == key && c.mod_revision == mod_revision; });
  };
  EXPECT_TRUE(is_conditional_on(entry_key(1), 0));
  EXPECT_TRUE(is_conditional_on(entry_key(0), 5));
}

}  // namespace
}  // namespace thistlefront
