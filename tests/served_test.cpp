// Each step of a job is counted once, by whoever wrote it.
#include "bookkeeping/served.hpp"

#include <gtest/gtest.h>

#include "jobs.hpp"

namespace thistle {
namespace {

Submission due(const std::string& uid, double due_s, const std::string& job_class = "c") {
  auto s = submission(uid, 2, 1);
  s.job_class = job_class;
  s.due_s = due_s;
  return s;
}

struct Leader {
  Book book = book_of_red(100);
  Served served{{"c", "web"}};
  void write(const Record& record, double wall) {
    served.before_apply(record, book);
    book.apply(record);
    served.after_apply(record, book, wall);
  }
};

TEST(Served, CountsStartsOnceEndsByTheirDeadlineAndWhatWasGivenUpOn) {
  Leader l;
  for (const auto* uid : {"j-1", "j-2", "j-3"}) l.write(AcceptRecord{due(uid, 50), 0.5, 100}, 100);
  l.write(AcceptRecord{due("j-1", 50), 0.5, 100}, 101);  // once more: it changes nothing
  l.write(AcceptRecord{due("j-4", 50, "unheard-of"), 0.5, 100}, 101);
  l.write(StartRecord{"j-1", 1, 110, {{"m-1", 1, {{0, 2}}}}}, 110);
  l.write(OffRecord{"j-1", 1, {{1, 2}}}, 115);
  l.write(StartRecord{"j-1", 2, 116, {{"m-1", 1, {{1, 2}}}}}, 116);
  l.write(DoneRecord{"j-1", {{0, 1}}}, 120);
  l.write(DoneRecord{"j-1", {{1, 2}}}, 140);
  l.write(DoneRecord{"j-1", {{1, 2}}}, 141);
  l.write(StartRecord{"j-2", 1, 130, {{"m-1", 1, {{0, 2}}}}}, 130);
  l.write(DoneRecord{"j-2", {{0, 2}}}, 151);
  l.write(CancelRecord{"j-3"}, 160);
  const Served::Counts c{3, 2, 2, 2, 1, 1, 0, 0}, other{1, 0, 0, 0, 0, 0, 0, 0};
  EXPECT_EQ(l.served.counts(), (std::map<Served::Key, Served::Counts>{{{"red", "c"}, c}, {{"red", "other"}, other}}));
}

// The successor reads what the one before wrote, counts none of it, and goes on: both together are the whole.
TEST(Served, OverATakeoverTheSumOfBothIsTheWhole) {
  Leader first;
  const std::vector<Record> written{AcceptRecord{due("j-1", 50), 0.5, 100}, AcceptRecord{due("j-2", 50), 0.5, 100},
                                    StartRecord{"j-1", 1, 110, {{"m-1", 1, {{0, 2}}}}}};
  for (const auto& r : written) first.write(r, 110);
  Leader next;
  for (const auto& r : written) next.book.apply(r);
  next.write(DoneRecord{"j-1", {{0, 2}}}, 120);
  next.write(StartRecord{"j-2", 1, 125, {{"m-1", 1, {{0, 2}}}}}, 125);
  const auto& a = first.served.counts().at({"red", "c"});
  const auto& b = next.served.counts().at({"red", "c"});
  EXPECT_EQ(a.accepted + b.accepted, 2u);
  EXPECT_EQ(a.started + b.started, 2u);
  EXPECT_EQ(a.done + b.done, 1u);
  EXPECT_EQ(b.in_time, 1u);
}

TEST(Served, ReplicasCountWhileTheyRun) {
  Leader l;
  auto web = submission("j-1", 4, 1);
  web.shape = Shape::service;
  web.job_class = "web";
  l.write(AcceptRecord{web, 0.5, 100}, 100);
  l.write(StartRecord{"j-1", 1, 110, {{"m-1", 1, {{0, 3}}}}}, 110);
  auto& first = l.book.job(l.book.find("j-1")).placed.at(0);
  first.phase = Phase::running;
  first.reported = true;
  l.served.add_replica_time(l.book, 2);
  const auto& f = l.served.counts().at({"red", "web"});
  EXPECT_DOUBLE_EQ(f.replica_s, 8);
  EXPECT_DOUBLE_EQ(f.replica_up_s, 2);
}

// Said by what the class asked for lately: a large gang among small ones, and none where all are alike.
TEST(Largest, AreToldByWhatTheClassAskedForLately) {
  const ClassIdx gangs{0}, alike{1};
  Largest largest;
  EXPECT_FALSE(largest.is_among_largest(gangs, 8));
  for (int i = 0; i < 40; ++i) {
    largest.record(gangs, i % 5 == 0 ? 8 : 1);
    largest.record(alike, 3);
  }
  EXPECT_TRUE(largest.is_among_largest(gangs, 8));
  EXPECT_FALSE(largest.is_among_largest(gangs, 1));
  EXPECT_FALSE(largest.is_among_largest(alike, 3));
  for (int i = 0; i < 64; ++i) largest.record(gangs, 8);
  EXPECT_FALSE(largest.is_among_largest(gangs, 8)) << "what was small is long past";
  EXPECT_TRUE(largest.is_among_largest(gangs, 16));

  Book book = book_of_red(100);
  Served served({"c"});
  for (int i = 0; i < 20; ++i) book.apply(AcceptRecord{submission("j-" + std::to_string(i), i % 10 == 9 ? 8 : 1, 1), 0.5, 10});
  const auto begins = [&](const std::string& uid, double at) {
    const Record start = StartRecord{uid, 1, at, {{"m-1", 1, {{0, 1}}}}};
    served.before_apply(start, book);
    book.apply(start);
  };
  begins("j-9", 100), begins("j-19", 300), begins("j-3", 400);
  const auto& f = served.counts().begin()->second;
  EXPECT_EQ(f.started, 3u);
  EXPECT_EQ(f.largest, 2u);
  EXPECT_EQ(f.largest_in_time, 1u) << "one began after four minutes";
}

}  // namespace
}  // namespace thistle
