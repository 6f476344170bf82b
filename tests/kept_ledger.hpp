// A ledger as its writer keeps it, entry by entry, and as a new leader reads it.
#pragma once
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <string>

#include "jobs.hpp"
#include "ledger/reader.hpp"

namespace thistle {

inline Book fresh(std::size_t record_bytes = kRecordBytes) {
  return Book({Team{"red", {}, {1e6, 0, 0}, {}}}, record_bytes);
}

inline void expect_same(const Book& got, const Book& want, unsigned seed) {
  for (std::uint32_t i = 0; i < want.job_count(); ++i) {
    const Job& w = want.job(JobIdx{i});
    const JobIdx j = got.find(w.uid);
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
  explicit Ledger(Tail::Limits limits = {8000, 4, 8}) : limits_(limits) {}
  // One commit, as the ledger's writer makes it.
  void commit(Book& book, const std::vector<Record>& records) {
    std::deque<Pending> queue;
    for (const auto& r : records) queue.push_back({r, 0});
    do {
      const auto draft = tail.prepare_commit(book, queue, limits_);
      sent_.emplace_back(draft, 0);
      ASSERT_TRUE(draft.too_large.empty()) << draft.too_large.front();
      ++stamp_;
      for (const auto& c : draft.conditions) ASSERT_EQ(c.stamp, entries.contains(c.key) ? stamps_[c.key] : 0) << c.key;
      for (const auto& p : draft.puts) {
        if (const auto it = entries.find(p.key); it != entries.end())
          reused += parse_entry(it->second).number != parse_entry(p.value).number;
        entries[p.key] = p.value;
        stamps_[p.key] = stamp_;
        ASSERT_LT(p.value.size(), limits_.value_bytes + 8) << p.key;
      }
      for (const auto& k : draft.removes) ASSERT_EQ(entries.erase(k), 1u) << k;
      removed += draft.removes.size();
      tail.record_committed(draft, stamp_);
      expect_late_ones_change_nothing();
      for (std::size_t i = 0; i < draft.batch.size(); ++i) {
        const auto known = book.job_count();
        book.apply(draft.batch[i].record);
        if (book.job_count() > known) tail.record_first_entry(draft.batch_entries[i], JobIdx{static_cast<std::uint32_t>(known)});
      }
    } while (!queue.empty());
  }
  // As a new leader reads it, which then writes at this level.
  Book read(Tail& found, std::uint32_t level) const {
    Book book = fresh(most_record_bytes(limits_.value_bytes));
    Reader reader(book, 1, 4);
    for (const auto& [key, value] : entries) EXPECT_TRUE(reader.add_entry(row(key, value, stamps_.at(key)))) << reader.error();
    EXPECT_TRUE(reader.finish()) << reader.error();
    found = Tail(std::move(reader).contents(), level);
    return book;
  }
  static EntryPage::Row row(const std::string& key, const std::string& value, std::uint64_t stamp) {
    const auto page =
        parse_entries(R"({"rows":[{"path":")" + key + R"(","stamp":)" + std::to_string(stamp) + R"(,"value":)" + value + "}]}");
    return page.rows.at(0);
  }

  Tail tail;
  std::map<std::string, std::string> entries;
  std::size_t removed = 0, reused = 0;  // keys

 private:
  // Any transaction sent so far, carried out once more after newer ones of the same writer and under the same lead: a condition
  // of its own fails, or the ledger reads as without it.
  void expect_late_ones_change_nothing() {
    while (sent_.size() > kLateOnes) sent_.pop_front();
    for (auto& [late, looked] : sent_) {
      // The first entry of all has none before it: a doubt about that one is fenced by a raised epoch (coordination/ledger.cpp).
      if (std::all_of(late.conditions.begin(), late.conditions.end(), [](const Condition& c) { return c.stamp == 0; })) continue;
      const bool holds = std::all_of(late.conditions.begin(), late.conditions.end(), [&](const Condition& c) {
        const auto it = stamps_.find(c.key);
        return c.stamp == (entries.contains(c.key) && it != stamps_.end() ? it->second : 0);
      });
      if (!holds) continue;
      // A removed entry that came back would fit directly before the oldest one alone; from level 4 on it is not needed.
      if (!slots_at(tail.level())) {
        ASSERT_TRUE(late.puts.empty()) << late.puts.front().key << " would be written again";
      }
      if (++looked != 1 && looked != 8) continue;
      const auto was = entries;
      const auto stamps_were = stamps_;
      Tail found;
      const Book want = read(found, tail.level());
      for (const auto& p : late.puts) entries[p.key] = p.value, stamps_[p.key] = stamp_;
      for (const auto& k : late.removes) entries.erase(k);
      const Book got = read(found, tail.level());
      expect_same(got, want, 0);
      entries = was;
      stamps_ = stamps_were;
      if (testing::Test::HasFailure()) FAIL() << late.conditions.front().key << " was carried out late";
    }
  }

  static constexpr std::size_t kLateOnes = 200;
  std::deque<std::pair<Tail::PendingCommit, int>> sent_;  // and how often its conditions held later
  Tail::Limits limits_;
  std::map<std::string, std::uint64_t> stamps_;
  std::uint64_t stamp_ = 0;
};

}  // namespace thistle
