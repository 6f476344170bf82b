// Jobs of one task each, four a second for five minutes, a quarter of them cancelled, where the state service takes 15 changes of 2 KiB a
// second and 4 in a transaction: what a job costs the ledger, and how long users wait. The writer's own parts (budget, tail, rewriter),
// with the time that it waits played.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <iostream>
#include <random>

#include "kept_ledger.hpp"
#include "ledger/write_budget.hpp"

namespace thistle {
namespace {

constexpr double kRate = 4, kLasts = 300, kRuns = 12, kAnswers = 0.01, kLingers = 2.5;
constexpr std::size_t kMostQueued = 3000;  // as the requests' own

struct Load {
  Book book{{Team{"red", {}, {1e6, 0, 0}, {}}}, most_record_bytes(1843)};
  Tail tail{Tail::Contents{}, 4};
  WriteBudget budget{15};
  std::deque<Pending> queue;
  std::map<std::uint64_t, double> asked;          // of users' records, by ticket
  std::vector<std::pair<double, double>> waited;  // when they were asked, and for how long
  std::map<std::string, std::string> entries;
  std::map<std::string, std::uint64_t> stamps;
  std::size_t changes = 0, bytes = 0, most_queued = 0, most_entries = 0;
  std::uint64_t tickets = 0, stamp = 0;
  bool users = false;
  double commit_at = 0;

  void enqueue(Record r, double now, bool user, bool soon = false) {
    const double at = now + (soon ? kLingers / budget.rate() : 0);
    commit_at = queue.empty() ? at : std::min(commit_at, at);
    users = users || user;
    if (join_ends(queue, r)) return;
    queue.push_back({std::move(r), ++tickets});
    if (user) asked[tickets] = now;
    most_queued = std::max(most_queued, queue.size());
  }
  // Whether it wrote; what it wrote is known at `now` + kAnswers.
  bool commit(double now) {
    if (queue.empty() || now < commit_at || budget.delay_s(now, users) > 0) return false;
    auto draft = tail.prepare_commit(book, queue, {1843, 3, 4, budget.log_factor(1843)});
    if (queue.empty()) users = false;
    commit_at = 0;
    budget.charge(static_cast<double>(draft.changes()));
    changes += draft.changes();
    ++stamp;
    for (const auto& p : draft.puts) entries[p.key] = p.value, stamps[p.key] = stamp, bytes += p.value.size();
    for (const auto& k : draft.removes) entries.erase(k);
    most_entries = std::max(most_entries, entries.size());
    tail.record_committed(draft, stamp);
    for (std::size_t i = 0; i < draft.batch.size(); ++i) {
      const auto& q = draft.batch[i];
      const auto known = book.job_count();
      book.apply(q.record);
      if (book.job_count() > known) tail.record_first_entry(draft.batch_entries[i], JobIdx{static_cast<std::uint32_t>(known)});
      if (const auto it = asked.find(q.ticket); it != asked.end()) waited.emplace_back(it->second, now + kAnswers - it->second);
    }
    return true;
  }
  // Of users' records asked from `a` to `b`, the share answered within so long.
  [[nodiscard]] double within(double a, double b, double s) const {
    const auto in = [&](const auto& w) { return w.first >= a && w.first < b; };
    const auto all = std::count_if(waited.begin(), waited.end(), in);
    const auto fast = std::count_if(waited.begin(), waited.end(), [&](const auto& w) { return in(w) && w.second <= s; });
    return all == 0 ? 0 : static_cast<double>(fast) / static_cast<double>(all);
  }
};

TEST(ShortJobs, FourASecondKeepTheLedgerShortAndItsUsersAnswered) {
  Load load;
  std::mt19937 random(5);
  std::multimap<double, std::string> cancels, ends;  // by time: of which job
  int accepted = 0;
  double next = 0, busy_until = 0, next_pass = 0;
  for (double now = 0; now < kLasts + 60; now += 0.01) {
    if (now < kLasts && now >= next) {
      next = now + std::exponential_distribution<double>(kRate)(random);
      const std::string uid = "j-" + std::to_string(100000 + ++accepted);
      load.enqueue(AcceptRecord{submission(uid, 1, 1), 0.5, now}, now, true);
      if (random() % 4 == 0) cancels.emplace(now + 0.5 + 0.01 * (random() % 1200), uid);
    }
    for (; !cancels.empty() && cancels.begin()->first <= now; cancels.erase(cancels.begin()))
      load.enqueue(CancelRecord{cancels.begin()->second}, now, true);
    // What ended, or was killed.
    for (; !ends.empty() && ends.begin()->first <= now; ends.erase(ends.begin())) {
      const JobIdx j = load.book.find(ends.begin()->second);
      if (load.book.job(j).placed.empty()) continue;
      if (load.book.job(j).ended()) {
        load.enqueue(OffRecord{load.book.job(j).uid, 1, {{0, 1}}, 0}, now, false, true);
      } else {
        load.enqueue(DoneRecord{load.book.job(j).uid, {{0, 1}}}, now, false, true);
      }
    }
    // A pass starts what waits, once the starts before are in the ledger.
    const bool starting =
        std::any_of(load.queue.begin(), load.queue.end(), [](const Pending& p) { return std::holds_alternative<StartRecord>(p.record); });
    if (now >= next_pass && !starting) {
      next_pass = now + 0.1;
      for (JobIdx j : std::vector<JobIdx>(load.book.live())) {
        const Job& job = load.book.job(j);
        if (job.ended() || job.pending == 0) continue;
        load.enqueue(StartRecord{job.uid, 1, now, {{"m-" + std::to_string(j.v % 50), 1, {{0, 1}}}}}, now, false);
        ends.emplace(now + kRuns, job.uid);
      }
    }
    if (now >= busy_until && load.commit(now)) busy_until = now + kAnswers;
  }
  const double jobs = accepted;
  std::cout << accepted << " jobs: " << static_cast<double>(load.changes) / jobs << " changes and "
            << static_cast<double>(load.bytes) / jobs << " bytes written for each, " << load.most_queued << " records queued at most, "
            << load.most_entries << " entries at most; users answered within 0.2 s " << load.within(0, kLasts, 0.2)
            << ", in the last minute " << load.within(kLasts - 60, kLasts, 0.2) << ", within 1 s " << load.within(0, kLasts, 1) << "\n";
  EXPECT_GT(accepted, 1000);
  EXPECT_LT(load.most_queued, kMostQueued / 10);
  EXPECT_EQ(load.within(0, kLasts, 1), 1.0);
  EXPECT_GT(load.within(0, kLasts, 0.2), 0.9);
  EXPECT_GT(load.within(kLasts - 60, kLasts, 0.2), 0.9) << "no slower for what has ended by then";
  for (std::uint32_t j = 0; j < load.book.job_count(); ++j) EXPECT_TRUE(load.book.job(JobIdx{j}).ended()) << load.book.job(JobIdx{j}).uid;
  // What is left is what the next leader reads, and every job is known.
  Book next_book({Team{"red", {}, {1e6, 0, 0}, {}}}, most_record_bytes(1843));
  Reader reader(next_book, 1, 4);
  for (const auto& [key, value] : load.entries) {
    ASSERT_TRUE(reader.add_entry(Ledger::row(key, value, load.stamps[key]))) << reader.error();
  }
  ASSERT_TRUE(reader.finish()) << reader.error();
  expect_same(next_book, load.book, 5);
}

}  // namespace
}  // namespace thistle
