// Jobs that wait for others: what is ready, what is cancelled through another, what counts; and that every reading of
// the ledger, however it was written anew, says the same.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>

#include "fleet/dealings.hpp"
#include "kept_ledger.hpp"

namespace thistle {
namespace {

Submission after(const std::string& uid, std::vector<std::string> names, std::uint32_t pieces = 2) {
  Submission s = submission(uid, pieces, 1);
  s.rank = Rank::idle;
  s.waits_on = std::move(names);
  return s;
}
AcceptRecord accept(Submission s, double at) {
  return {std::move(s), 0.5, at};
}
StartRecord start(const std::string& uid, std::uint64_t attempt, Ranges tasks, const std::string& host = "m-1") {
  return {uid, attempt, 1, {{host, 1, std::move(tasks)}}};
}
const Job& job(const Book& book, const std::string& uid) {
  return book.job(book.find(uid));
}
bool is_live(const Book& book, const std::string& uid) {
  return std::find(book.live().begin(), book.live().end(), book.find(uid)) != book.live().end();
}

TEST(Pipelines, NothingOfAJobStartsBeforeTheEndsOfAllThatItNeedsAreInTheLedger) {
  Book book = fresh();
  book.apply(accept(after("j-1", {}), 10));
  book.apply(accept(after("j-2", {}), 11));
  book.apply(accept(after("j-3", {"j-1", "j-2"}), 12));
  EXPECT_FALSE(is_live(book, "j-3")) << "neither planned, nor rented for, nor counted";
  // Whatever way a start came into the ledger.
  book.apply(start("j-3", 1, {{0, 2}}));
  EXPECT_TRUE(job(book, "j-3").placed.empty());
  book.apply(start("j-1", 1, {{0, 2}}));
  book.apply(start("j-2", 1, {{0, 2}}));
  book.apply(DoneRecord{"j-1", {{0, 2}}, 20});
  book.apply(DoneRecord{"j-2", {{0, 1}}, 21});
  EXPECT_TRUE(job(book, "j-3").blocked) << "one task of what it needs is left";
  book.apply(DoneRecord{"j-2", {{1, 2}}, 25});
  EXPECT_TRUE(is_live(book, "j-3"));
  EXPECT_EQ(job(book, "j-3").eligible_since, 25) << "its times count from the end of the last job that it needs";
  EXPECT_EQ(job(book, "j-3").accepted_at, 12);
  book.apply(start("j-3", 2, {{0, 2}}));
  EXPECT_EQ(job(book, "j-3").placed.size(), 2u);
}

// One record cancels all of it, however deep; and what is done stays done.
TEST(Pipelines, ACancelledJobTakesAllThatNeedItAlongAndNothingElse) {
  constexpr int kDeep = 20000;
  Book book = fresh();
  book.apply(accept(after("j-0", {}), 1));
  book.apply(accept(after("j-900000", {}), 1));
  for (int i = 1; i <= kDeep; ++i) book.apply(accept(after("j-" + std::to_string(i), {"j-" + std::to_string(i - 1)}), 2));
  book.apply(accept(after("j-900001", {"j-0", "j-900000"}), 3));
  book.apply(accept(after("j-900002", {"j-900000"}), 3));
  EXPECT_EQ(book.pipelines().counts().blocked, kDeep + 2u);
  book.apply(CancelRecord{"j-0"});
  for (const auto& uid : {std::string("j-1"), "j-" + std::to_string(kDeep), std::string("j-900001")})
    EXPECT_EQ(job(book, uid).status, JobStatus::aborted) << uid;
  EXPECT_EQ(job(book, "j-900002").status, JobStatus::queued);
  EXPECT_EQ(book.pipelines().counts().blocked, 1u);
  EXPECT_EQ(book.pipelines().counts().cancelled, kDeep + 1u);
  // Naming one that is cancelled, when it comes; and one that is done.
  book.apply(accept(after("j-900003", {"j-900000", "j-1"}), 4));
  EXPECT_EQ(job(book, "j-900003").status, JobStatus::aborted);
  book.apply(start("j-900000", 1, {{0, 2}}));
  book.apply(DoneRecord{"j-900000", {{0, 2}}, 30});
  EXPECT_EQ(job(book, "j-900002").eligible_since, 30);
  book.apply(CancelRecord{"j-900000"});
  EXPECT_EQ(job(book, "j-900002").status, JobStatus::queued) << "answered done, it goes on";
  book.apply(accept(after("j-900004", {"j-900000"}), 40));
  EXPECT_TRUE(is_live(book, "j-900004"));
  EXPECT_EQ(job(book, "j-900004").eligible_since, 40);
}

TEST(Pipelines, RankAndDeadlineOfTheLastCountForAllBeforeIt) {
  Book book = fresh();
  auto last = after("j-4", {"j-2", "j-3"});
  last.rank = Rank::high;
  last.due_s = 100;
  last.expected_s = 8;
  book.apply(accept(after("j-1", {}), 10));
  book.apply(accept(after("j-2", {"j-1"}), 11));
  auto longer = after("j-3", {"j-1"});
  longer.expected_s = 30;
  book.apply(accept(longer, 11));
  EXPECT_EQ(job(book, "j-1").urgency, Urgency{});
  book.apply(accept(last, 12));
  EXPECT_EQ(job(book, "j-4").urgency, (Urgency{Rank::high, 112}));
  EXPECT_EQ(job(book, "j-3").urgency, (Urgency{Rank::high, 104}));
  EXPECT_EQ(job(book, "j-1").urgency, (Urgency{Rank::high, 74})) << "less what follows on the longest way";
  book.apply(CancelRecord{"j-4"});
  EXPECT_EQ(job(book, "j-1").urgency, Urgency{}) << "its user gave it up";
}

TEST(Pipelines, WhatCanNotBeWaitedForIsToldApart) {
  Book book = fresh();
  auto service = after("j-1", {});
  service.shape = Shape::service;
  book.apply(accept(service, 1));
  book.apply(accept(after("j-2", {}), 1));
  EXPECT_EQ(book.why_not_after(after("j-9", {"j-2"})), std::nullopt);
  EXPECT_NE(book.why_not_after(after("j-9", {"j-1"})), std::nullopt);
  EXPECT_NE(book.why_not_after(after("j-9", {"j-3"})), std::nullopt);
  EXPECT_NE(book.why_not_after(after("j-9", {"j-2", "j-9"})), std::nullopt);
  // Long ended, and read from its short form.
  book.apply(CancelRecord{"j-1"});
  std::uint32_t from = 0;
  Book later = fresh();
  later.apply(parse_entry(stored_entry({book.job_record(book.find("j-1"), from, 9)}, {4, 0, 1, 0})).records.at(0));
  EXPECT_NE(later.why_not_after(after("j-9", {"j-1"})), std::nullopt);
}

// Small entries, four changes a transaction, and jobs that name running, ended, cancelled and partly written ones. After
// each commit the rest of the ledger is read by a new leader, to whom a job may come before the one that it names.
TEST(Pipelines, EveryReadingOfTheLedgerSaysTheSame) {
  std::size_t reused = 0, ready = 0, cancelled = 0, before_named = 0;
  for (unsigned seed = 1; seed <= 6; ++seed) {
    std::mt19937 random(seed);
    const Tail::Limits limits{1843, 3, 4};
    Book book = fresh(most_record_bytes(limits.value_bytes));
    Ledger ledger(limits);
    ledger.tail.set_format_version(4);
    const auto some = [&](std::size_t n) { return static_cast<std::uint32_t>(random() % n); };
    for (int step = 0; step < 400; ++step) {
      std::vector<Record> records;
      const double now = 1.5 * step;
      const JobIdx j = book.live().empty() ? JobIdx{} : book.live()[some(book.live().size())];
      if (!j.valid() || (book.live().size() < 8 && some(2) == 0)) {
        const auto uid = "j-" + std::to_string(1000 + step);
        auto s = after(uid, {}, some(6) == 0 ? 300 : 1 + some(4));
        std::set<std::string> names;
        for (auto n = some(4); n > 0 && book.job_count() > 0; --n) {
          // Mostly late ones, sometimes any.
          const auto back = some(some(3) == 0 ? book.job_count() : std::min<std::size_t>(book.job_count(), 8));
          names.insert(book.job(JobIdx{static_cast<std::uint32_t>(book.job_count()) - 1 - back}).uid);
        }
        s.waits_on.assign(names.begin(), names.end());
        if (some(3) == 0) s.rank = Rank::high, s.due_s = 10 + some(50);
        records.emplace_back(accept(s, now));
      } else {
        const Job& of = book.job(j);
        StartRecord starts{of.uid, of.attempts + 1, now, {}};
        DoneRecord done{of.uid, {}, book.pipelines().has_dependents(j) ? now : 0};
        for (std::uint32_t t = 0; t < of.tasks.size(); ++t) {
          if (of.tasks[t] == TaskState::waiting && some(4) > 0 && !of.ended())
            starts.assignments.push_back({"m-" + std::to_string(t % 7), 1, {{t, t + 1}}});
          if (of.tasks[t] == TaskState::placed && some(5) > 0) add_to(done.tasks, t);
        }
        for (auto& r : in_fitting_records(starts, book.record_bytes())) records.emplace_back(std::move(r));
        if (!done.tasks.empty()) records.emplace_back(done);
        if (some(30) == 0) records = {CancelRecord{of.uid}};
        if (some(60) == 0) records = {CancelRecord{book.job(JobIdx{some(book.job_count())}).uid}};
      }
      ledger.commit(book, records);
      if (testing::Test::HasFatalFailure()) return;
      Tail found;
      const Book again = ledger.read(found, 4);
      expect_same(again, book, seed);
      if (testing::Test::HasFailure()) return;
      EXPECT_EQ(again.pipelines().counts().unresolved_names, 0u);
      EXPECT_EQ(again.pipelines().counts().blocked, book.pipelines().counts().blocked);
      EXPECT_EQ(std::set<std::string>([&] {
                  std::set<std::string> out;
                  for (JobIdx l : again.live()) out.insert(again.job(l).uid);
                  return out;
                }()),
                std::set<std::string>([&] {
                  std::set<std::string> out;
                  for (JobIdx l : book.live()) out.insert(book.job(l).uid);
                  return out;
                }()))
          << "seed " << seed;
      for (std::uint32_t i = 0; i < again.job_count(); ++i)
        for (const auto& name : again.job(JobIdx{i}).spec.waits_on) before_named += again.find(name).v > i;
      ready += book.pipelines().counts().eligible > 0;
      cancelled += book.pipelines().counts().cancelled > 0;
      if (some(50) == 0) book = ledger.read(ledger.tail, 4);
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
TEST(Pipelines, TheLargestOfEachRecordFitsIntoSmallEntries) {
  const Tail::Limits limits{1843, 4, 5};
  Book book = fresh(most_record_bytes(limits.value_bytes));
  Ledger ledger(limits);
  ledger.tail.set_format_version(4);
  const auto long_uid = [](int i) { return "j-" + std::string(26, '9') + std::to_string(1000 + i); };
  for (int i = 0; i < 120; ++i) ledger.commit(book, {accept(after(long_uid(i), {}), 1)});
  auto widest = after("j-1", {}, 4000);
  widest.job_class = std::string(200, 'c');
  widest.bundle = std::string(200, 'b');
  ASSERT_TRUE(Tail::fits_in_entry(accept(widest, 1), limits.value_bytes));
  ledger.commit(book, {accept(widest, 1)});
  auto names = after("j-2", {});
  while (Tail::fits_in_entry(accept(names, 1), limits.value_bytes))
    names.waits_on.push_back(long_uid(static_cast<int>(names.waits_on.size())));
  EXPECT_GT(names.waits_on.size(), 20u);
  names.waits_on.pop_back();
  ledger.commit(book, {accept(names, 1)});
  auto escaped = widest;
  escaped.bundle = std::string(200, '\1');
  EXPECT_FALSE(Tail::fits_in_entry(accept(escaped, 1), limits.value_bytes)) << "refused at the door";
  // Scattered tasks over many machines with long names.
  StartRecord all{"j-1", 1, 1, {}};
  for (std::uint32_t t = 0; t < 4000; t += 2)
    all.assignments.push_back({"m-" + std::string(40, 'x') + std::to_string(t % 97), 12345678901234567890u, {{t, t + 1}}});
  for (auto& r : in_fitting_records(all, book.record_bytes())) ledger.commit(book, {r});
  ASSERT_EQ(job(book, "j-1").placed.size(), 2000u);
  std::vector<Record> ends;
  for (std::uint32_t h = 0; h < book.host_count(); ++h)
    for (auto& r : clear_host(book, HostIdx{h})) ends.push_back(std::move(r));
  ledger.commit(book, ends);
  EXPECT_TRUE(job(book, "j-1").placed.empty());
  // Jobs that end while one that has not ended needs them, and a team of a long name; then all of it written anew.
  for (int i = 0; i < 120; ++i) ledger.commit(book, {DoneRecord{long_uid(i), {{0, 2}}, 20.123456789 + i}});
  ledger.commit(book, {TeamRecord{std::string(200, 't'), TeamTerms{{1.0 / 3, 1.0 / 7, 0}, {1e9 / 3, 1e9 / 7, 0}},
                                  TeamTerms{{1.0 / 3, 1.0 / 7, 0}, {1e9 / 3, 1e9 / 7, 0}}, true}});
  for (int i = 0; i < 600; ++i) ledger.commit(book, {accept(after("j-7" + std::to_string(i), {}), 30)});
  EXPECT_GT(ledger.reused, 10u) << "written anew, and shortened";
  Tail found;
  expect_same(ledger.read(found, 4), book, 0);
}

// Ends of single tasks come by the hundred: one record for those of a job that go together, and never past anything else
// about that job.
TEST(Queue, EndsOfAJobsTasksAreJoinedUnlessAnythingElseAboutItStandsBetween) {
  std::deque<Pending> queue;
  const auto put = [&](Record r) {
    if (!join_ends(queue, r)) queue.push_back({std::move(r), 0});
  };
  put(DoneRecord{"j-1", {{4, 5}}, 20});
  put(DoneRecord{"j-2", {{0, 1}}});
  put(DoneRecord{"j-1", {{3, 4}, {7, 8}}, 21});
  ASSERT_EQ(queue.size(), 2u);
  EXPECT_EQ(std::get<DoneRecord>(queue[0].record).tasks, (Ranges{{3, 5}, {7, 8}}));
  EXPECT_EQ(std::get<DoneRecord>(queue[0].record).at, 21);
  put(CancelRecord{"j-1"});
  put(DoneRecord{"j-1", {{9, 10}}});
  EXPECT_EQ(queue.size(), 4u) << "what was cancelled before it was done stays cancelled";
}

}  // namespace
}  // namespace thistle
