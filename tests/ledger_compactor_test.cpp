// Compaction of the ledger: random records are committed as by a leader. The remaining entries are read repeatedly, as by a new
// leader, and must give the same cluster state.
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

// The format version changes at random times, under a running leader and between two leaders. The ledger then holds entries of both
// versions, at times of only one.
TEST(LedgerCompactor, RemainingEntriesRestoreTheSameState) {
  std::size_t removed_keys = 0, version_changes = 0, completed_changes = 0;
  for (unsigned seed = 1; seed <= 6; ++seed) {
    std::mt19937 random(seed);
    ClusterState cluster_state = empty_cluster_state();
    InMemoryLedger ledger;
    if (seed > 4) ledger.ledger_writer.set_format_version(4);
    for (int step = 0; step < 500; ++step) {
      std::vector<Record> records;
      const auto random_below = [&](std::uint32_t n) { return static_cast<std::uint32_t>(random() % n); };
      const JobIndex job_index = cluster_state.live().empty()
                                     ? JobIndex{}
                                     : cluster_state.live()[random_below(static_cast<std::uint32_t>(cluster_state.live().size()))];
      if (!job_index.valid() || cluster_state.live().size() < 12) {
        // Some jobs have more task ranges than fit into one record.
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
      ASSERT_TRUE(cluster_state.correct_accounts().empty()) << "the quota accounts differ from the placed tasks, seed " << seed;
      if (random_below(3) == 0) {
        LedgerWriter new_writer;
        expect_same_state(ledger.read(new_writer, ledger.ledger_writer.format_version()), cluster_state, seed);
        if (testing::Test::HasFailure()) return;
        ASSERT_EQ(new_writer.has_old_entries(), ledger.ledger_writer.has_old_entries()) << "seed " << seed;
      }
      std::uint32_t format_version = ledger.ledger_writer.format_version();
      if (seed > 2 && random_below(60) == 0) {
        if (!ledger.ledger_writer.has_old_entries()) ++completed_changes;
        // Seeds 3 and 4 alternate between versions 1 and 2, higher seeds between 3 and 4; version 4 reuses keys.
        format_version = (seed > 4 ? 7 : 3) - format_version;
        ++version_changes;
        if (random_below(2) == 0) ledger.ledger_writer.set_format_version(format_version);
      }
      // A new leader continues with what it read.
      if (random_below(40) == 0) cluster_state = ledger.read(ledger.ledger_writer, format_version);
    }
    removed_keys += ledger.removed_keys;
  }
  EXPECT_GT(removed_keys, 200u);  // the ledger was trimmed throughout
  EXPECT_GT(version_changes, 10u);
  EXPECT_GT(completed_changes, 3u);
}

// Commits without new records rewrite all old entries, in a bounded number of commits.
TEST(LedgerCompactor, EntriesOfAnotherVersionAreRewrittenInFewCommits) {
  ClusterState cluster_state = empty_cluster_state();
  InMemoryLedger ledger;
  for (int i = 0; i < 200; ++i) ledger.commit(cluster_state, {JobAcceptedRecord{submission("j-" + std::to_string(i), 3), 0.5, 1.0 * i}});
  ASSERT_FALSE(ledger.ledger_writer.has_old_entries());
  const auto entries = ledger.entries.size();
  ledger.ledger_writer.set_format_version(2);
  std::size_t writes = 0;
  for (; ledger.ledger_writer.has_old_entries() && writes < 1000; ++writes) ledger.commit(cluster_state, {});
  EXPECT_LT(writes, 20 * entries);
  for (const auto& [key, value] : ledger.entries) EXPECT_NE(value.find("\"level\":2"), std::string::npos) << key;
  LedgerWriter new_writer;
  expect_same_state(ledger.read(new_writer, 2), cluster_state, 0);
}

// A transaction that only adds an entry, because the previous one is full, may be applied late, after both entries have been removed.
// The key of the new entry then does not exist, as expected. Without the condition on the previous entry, the entry would reappear, and
// in versions 2 and 3 nobody could read the ledger.
TEST(LedgerCompactor, NewEntryIsConditionalOnThePreviousEntry) {
  ClusterState cluster_state = empty_cluster_state();
  LedgerWriter ledger_writer(LedgerWriter::Contents{}, 2);
  const JobAcceptedRecord first{submission("j-1", 1), 0.5, 0}, second{submission("j-2", 1), 0.5, 0};
  const LedgerWriter::Limits limits{encoded_size(first) + 260, 4, 8};
  const auto prepare = [&](const JobAcceptedRecord& accepted) {
    std::deque<QueuedRecord> queue{{accepted, 0}};
    return ledger_writer.prepare_commit(cluster_state, queue, limits);
  };
  const auto first_commit = prepare(first);
  ledger_writer.record_committed(first_commit, 5);
  cluster_state.apply(first);
  ledger_writer.record_first_entry(0, cluster_state.find("j-1"));
  const auto second_commit = prepare(second);
  ASSERT_EQ(second_commit.puts.size(), 1u) << "the previous entry is not rewritten";
  EXPECT_EQ(second_commit.puts[0].key, entry_key(1));
  const auto is_conditional_on = [&](const std::string& key, std::uint64_t mod_revision) {
    return std::any_of(second_commit.conditions.begin(), second_commit.conditions.end(),
                       [&](const Condition& condition) { return condition.key == key && condition.mod_revision == mod_revision; });
  };
  EXPECT_TRUE(is_conditional_on(entry_key(1), 0));
  EXPECT_TRUE(is_conditional_on(entry_key(0), 5));
}

}  // namespace
}  // namespace thistlefront
