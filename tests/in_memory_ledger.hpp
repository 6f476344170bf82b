// A ledger in memory: commits are applied as the key-value store would, and the entries are read as by a new leader.
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

inline ClusterState fresh(std::size_t record_bytes = kDefaultRecordBytes) {
  return ClusterState({Team{"red", {}, {1e6, 0, 0}, {}}}, record_bytes);
}

inline void expect_same(const ClusterState& got, const ClusterState& want, unsigned seed) {
  for (std::uint32_t i = 0; i < want.job_count(); ++i) {
    const Job& w = want.job(JobIndex{i});
    const JobIndex j = got.find(w.uid);
    ASSERT_TRUE(j.valid()) << w.uid << " is forgotten, seed " << seed;
    const Job& g = got.job(j);
    ASSERT_EQ(g.status, w.status) << w.uid << ", seed " << seed;
    ASSERT_EQ(g.tasks, w.tasks) << w.uid << ", seed " << seed;
    ASSERT_EQ(g.placed.size(), w.placed.size()) << w.uid << ", seed " << seed;
    for (const auto& [task, p] : w.placed) {
      ASSERT_EQ(g.placed.at(task).attempt, p.attempt) << w.uid << "/" << task << ", seed " << seed;
      ASSERT_EQ(g.placed.at(task).stopping, p.stopping) << w.uid << "/" << task << ", seed " << seed;
    }
    if (w.ended()) continue;
    ASSERT_EQ(g.blocked, w.blocked) << w.uid << ", seed " << seed;
    ASSERT_EQ(g.eligible_since, w.eligible_since) << w.uid << ", seed " << seed;
    ASSERT_EQ(g.urgency, w.urgency) << w.uid << ", seed " << seed;
    ASSERT_GE(g.attempts, w.attempts) << w.uid << ", seed " << seed;
  }
  EXPECT_NEAR(got.teams()[0].used.cores, want.teams()[0].used.cores, 1e-6);
}

class Ledger {
 public:
  explicit Ledger(LedgerWriter::Limits limits = {8000, 4, 8}) : limits_(limits) {}
  // Commits the records and applies them, as the leader does.
  void commit(ClusterState& cluster_state, const std::vector<Record>& records) {
    std::deque<QueuedRecord> queue;
    for (const auto& r : records) queue.push_back({r, 0});
    do {
      const auto pending_commit = ledger_writer.prepare_commit(cluster_state, queue, limits_);
      sent_.emplace_back(pending_commit, 0);
      ASSERT_TRUE(pending_commit.too_large.empty()) << pending_commit.too_large.front();
      ++mod_revision_;
      for (const auto& c : pending_commit.conditions)
        ASSERT_EQ(c.mod_revision, entries.contains(c.key) ? mod_revisions_[c.key] : 0) << c.key;
      for (const auto& p : pending_commit.puts) {
        if (const auto it = entries.find(p.key); it != entries.end())
          reused += parse_entry(it->second).number != parse_entry(p.value).number;
        entries[p.key] = p.value;
        mod_revisions_[p.key] = mod_revision_;
        ASSERT_LT(p.value.size(), limits_.value_bytes + 8) << p.key;
      }
      for (const auto& k : pending_commit.removes) ASSERT_EQ(entries.erase(k), 1u) << k;
      removed += pending_commit.removes.size();
      ledger_writer.record_committed(pending_commit, mod_revision_);
      expect_late_transactions_change_nothing();
      for (std::size_t i = 0; i < pending_commit.batch.size(); ++i) {
        const auto known = cluster_state.job_count();
        cluster_state.apply(pending_commit.batch[i].record);
        if (cluster_state.job_count() > known)
          ledger_writer.record_first_entry(pending_commit.batch_entries[i], JobIndex{static_cast<std::uint32_t>(known)});
      }
    } while (!queue.empty());
  }
  // Reads the ledger as a new leader does, which then writes in this format version.
  ClusterState read(LedgerWriter& found, std::uint32_t format_version) const {
    ClusterState cluster_state = fresh(max_record_bytes(limits_.value_bytes));
    LedgerReader reader(cluster_state, 1, 4);
    for (const auto& [key, value] : entries) EXPECT_TRUE(reader.add_entry(row(key, value, mod_revisions_.at(key)))) << reader.error();
    EXPECT_TRUE(reader.finish()) << reader.error();
    found = LedgerWriter(std::move(reader).contents(), format_version);
    return cluster_state;
  }
  static EntryPage::Row row(const std::string& key, const std::string& value, std::uint64_t mod_revision) {
    const auto page =
        parse_entries(R"({"rows":[{"path":")" + key + R"(","stamp":)" + std::to_string(mod_revision) + R"(,"value":)" + value + "}]}");
    return page.rows.at(0);
  }

  LedgerWriter ledger_writer;
  std::map<std::string, std::string> entries;
  std::size_t removed = 0, reused = 0;  // keys, of all commits

 private:
  // Any transaction sent so far may be applied once more, after newer ones of the same leader: one of its conditions fails, or the
  // ledger reads as without it.
  void expect_late_transactions_change_nothing() {
    while (sent_.size() > kMaxLateTransactions) sent_.pop_front();
    for (auto& [late, times_held] : sent_) {
      // The very first entry has none before it: if its commit was in doubt, the fencing token is raised (controller/ledger.cpp).
      if (std::all_of(late.conditions.begin(), late.conditions.end(), [](const Condition& c) { return c.mod_revision == 0; })) continue;
      const bool holds = std::all_of(late.conditions.begin(), late.conditions.end(), [&](const Condition& c) {
        const auto it = mod_revisions_.find(c.key);
        return c.mod_revision == (entries.contains(c.key) && it != mod_revisions_.end() ? it->second : 0);
      });
      if (!holds) continue;
      // A removed entry that came back could be read only directly before the oldest one; from version 4 on it isn't needed.
      if (!reuses_keys(ledger_writer.format_version())) {
        ASSERT_TRUE(late.puts.empty()) << late.puts.front().key << " would be written again";
      }
      if (++times_held != 1 && times_held != 8) continue;
      const auto entries_before = entries;
      const auto mod_revisions_before = mod_revisions_;
      LedgerWriter found;
      const ClusterState want = read(found, ledger_writer.format_version());
      for (const auto& p : late.puts) entries[p.key] = p.value, mod_revisions_[p.key] = mod_revision_;
      for (const auto& k : late.removes) entries.erase(k);
      const ClusterState got = read(found, ledger_writer.format_version());
      expect_same(got, want, 0);
      entries = entries_before;
      mod_revisions_ = mod_revisions_before;
      if (testing::Test::HasFailure()) FAIL() << late.conditions.front().key << " was applied late";
    }
  }

  static constexpr std::size_t kMaxLateTransactions = 200;
  std::deque<std::pair<LedgerWriter::PendingCommit, int>> sent_;  // with how often its conditions held later
  LedgerWriter::Limits limits_;
  std::map<std::string, std::uint64_t> mod_revisions_;
  std::uint64_t mod_revision_ = 0;
};

}  // namespace thistlefront
