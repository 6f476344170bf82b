// A ledger in memory: applies commits as the key-value store does, and reads the entries as a new leader does.
#pragma once
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <string>

#include "job_builders.hpp"
#include "ledger/ledger_reader.hpp"
#include "ledger/ledger_writer.hpp"
#include "model/identifiers.hpp"
#include "model/ledger_records.hpp"

namespace thistlefront {

inline ClusterState empty_cluster_state(std::size_t record_bytes = kDefaultRecordBytes) {
  return ClusterState({Team{"red", {}, {1e6, 0, 0}, {}}}, record_bytes);
}

inline void expect_same_state(const ClusterState& actual, const ClusterState& expected, unsigned seed) {
  for (std::uint32_t i = 0; i < expected.job_count(); ++i) {
    const Job& expected_job = expected.job(JobIndex{i});
    const std::string& uid = expected_job.uid;
    const JobIndex index = actual.find(uid);
    ASSERT_TRUE(index.valid()) << uid << " is missing, seed " << seed;
    const Job& job = actual.job(index);
    ASSERT_EQ(job.status, expected_job.status) << uid << ", seed " << seed;
    ASSERT_EQ(job.tasks, expected_job.tasks) << uid << ", seed " << seed;
    ASSERT_EQ(job.placed.size(), expected_job.placed.size()) << uid << ", seed " << seed;
    for (const auto& [task, placement] : expected_job.placed) {
      ASSERT_EQ(job.placed.at(task).attempt, placement.attempt) << uid << "/" << task << ", seed " << seed;
      ASSERT_EQ(job.placed.at(task).stopping, placement.stopping) << uid << "/" << task << ", seed " << seed;
    }
    if (expected_job.ended()) continue;
    ASSERT_EQ(job.blocked, expected_job.blocked) << uid << ", seed " << seed;
    ASSERT_EQ(job.eligible_since, expected_job.eligible_since) << uid << ", seed " << seed;
    ASSERT_EQ(job.urgency, expected_job.urgency) << uid << ", seed " << seed;
    ASSERT_GE(job.attempts, expected_job.attempts) << uid << ", seed " << seed;
  }
  EXPECT_NEAR(actual.teams()[0].used.cores, expected.teams()[0].used.cores, 1e-6);
}

class InMemoryLedger {
 public:
  explicit InMemoryLedger(LedgerWriter::Limits limits = {8000, 4, 8}) : limits_(limits) {}
  // Commits the records and applies them, as the leader does.
  void commit(ClusterState& cluster_state, const std::vector<Record>& records) {
    std::deque<QueuedRecord> queue;
    for (const auto& record : records) queue.push_back({record, 0});
    do {
      const auto pending_commit = ledger_writer.prepare_commit(cluster_state, queue, limits_);
      sent_.emplace_back(pending_commit, 0);
      ASSERT_TRUE(pending_commit.too_large.empty()) << pending_commit.too_large.front();
      ++mod_revision_;
      for (const auto& condition : pending_commit.conditions)
        ASSERT_EQ(condition.mod_revision, entries.contains(condition.key) ? mod_revisions_[condition.key] : 0) << condition.key;
      for (const auto& put : pending_commit.puts) {
        if (const auto it = entries.find(put.key); it != entries.end())
          reused_keys += parse_entry(it->second).number != parse_entry(put.value).number;
        entries[put.key] = put.value;
        mod_revisions_[put.key] = mod_revision_;
        ASSERT_LT(put.value.size(), limits_.value_bytes + 8) << put.key;
      }
      for (const auto& key : pending_commit.removes) ASSERT_EQ(entries.erase(key), 1u) << key;
      removed_keys += pending_commit.removes.size();
      ledger_writer.record_committed(pending_commit, mod_revision_);
      expect_late_transactions_change_nothing();
      for (std::size_t i = 0; i < pending_commit.batch.size(); ++i) {
        const auto jobs_before = cluster_state.job_count();
        cluster_state.apply(pending_commit.batch[i].record);
        if (cluster_state.job_count() > jobs_before)
          ledger_writer.record_first_entry(pending_commit.batch_entries[i], JobIndex{static_cast<std::uint32_t>(jobs_before)});
      }
    } while (!queue.empty());
  }
  // Reads the ledger as a new leader does. `new_writer` becomes that leader's writer, which writes in this format version.
  ClusterState read(LedgerWriter& new_writer, std::uint32_t format_version) const {
    ClusterState cluster_state = empty_cluster_state(max_record_bytes(limits_.value_bytes));
    LedgerReader reader(cluster_state, 1, 4);
    for (const auto& [key, value] : entries)
      EXPECT_TRUE(reader.add_entry(stored_row(key, value, mod_revisions_.at(key)))) << reader.error();
    EXPECT_TRUE(reader.finish()) << reader.error();
    new_writer = LedgerWriter(std::move(reader).contents(), format_version);
    return cluster_state;
  }

  LedgerWriter ledger_writer;
  std::map<std::string, std::string> entries;
  std::size_t removed_keys = 0, reused_keys = 0;  // by all commits

 private:
  // Each transaction sent so far may be applied again after newer ones of the same leader. Then one of its conditions must fail, or
  // reading the ledger must give the same state as without it.
  void expect_late_transactions_change_nothing() {
    while (sent_.size() > kMaxLateTransactions) sent_.pop_front();
    for (auto& [late, times_conditions_held] : sent_) {
      // The very first entry has no previous entry. If the outcome of its commit is unknown, LedgerCommitter raises the fencing token.
      if (std::all_of(late.conditions.begin(), late.conditions.end(), [](const Condition& c) { return c.mod_revision == 0; })) continue;
      const bool conditions_hold = std::all_of(late.conditions.begin(), late.conditions.end(), [&](const Condition& c) {
        const auto it = mod_revisions_.find(c.key);
        return c.mod_revision == (entries.contains(c.key) && it != mod_revisions_.end() ? it->second : 0);
      });
      if (!conditions_hold) continue;
      // Below version 4, a removed entry that reappears is readable only directly before the oldest entry, so no such entry may be written.
      // From version 4 on, readers recognize it as not needed.
      if (!reuses_keys(ledger_writer.format_version())) {
        ASSERT_TRUE(late.puts.empty()) << late.puts.front().key << " would be written again";
      }
      if (++times_conditions_held != 1 && times_conditions_held != 8) continue;
      const auto entries_before = entries;
      const auto mod_revisions_before = mod_revisions_;
      LedgerWriter new_writer;
      const ClusterState expected = read(new_writer, ledger_writer.format_version());
      for (const auto& put : late.puts) entries[put.key] = put.value, mod_revisions_[put.key] = mod_revision_;
      for (const auto& key : late.removes) entries.erase(key);
      const ClusterState actual = read(new_writer, ledger_writer.format_version());
      expect_same_state(actual, expected, 0);
      entries = entries_before;
      mod_revisions_ = mod_revisions_before;
      if (testing::Test::HasFailure()) FAIL() << late.conditions.front().key << " was applied late";
    }
  }

  static constexpr std::size_t kMaxLateTransactions = 200;
  std::deque<std::pair<LedgerWriter::PendingCommit, int>> sent_;  // each with the number of times its conditions held later
  LedgerWriter::Limits limits_;
  std::map<std::string, std::uint64_t> mod_revisions_;
  std::uint64_t mod_revision_ = 0;
};

}  // namespace thistlefront
