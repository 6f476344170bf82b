// What a report means, and what a worker is due: the invariants of dealings with workers.
#include "fleet/dealings.hpp"

#include <gtest/gtest.h>

#include <set>

#include "fleet/deafness.hpp"
#include "fleet/renewal.hpp"
#include "jobs.hpp"
#include "protocol/messages.hpp"

namespace thistle {
namespace {

constexpr std::uint64_t kEpoch = 10;

class Dealings : public testing::Test {
 protected:
  Dealings() : book({{"red", {}, {}, {}}}) {
    Flavor f;
    f.name = "big";
    f.capacity = {8, 0, 32};
    book.apply(FlavorsRecord{{f}});
  }
  void accept(const std::string& uid, std::uint32_t pieces, Shape shape = Shape::batch) {
    AcceptRecord r;
    r.job.uid = uid;
    r.job.owner = "red";
    r.job.job_class = "c";
    r.job.bundle = "i";
    r.job.shape = shape;
    r.job.task_count = pieces;
    r.job.demand = {1, 0, 1};
    book.apply(r);
  }
  void start(const std::string& uid, std::uint64_t attempt, Range tasks, std::uint64_t tenure = 1) {
    book.apply(StartRecord{uid, attempt, 0, {{"m-1", tenure, {tasks}}}});
  }
  ReportOutcome report(std::vector<ReportedPiece> pieces, bool by_report = true, std::uint64_t epoch = kEpoch, std::uint64_t tenure = 1) {
    Report r;
    r.host = "m-1";
    r.address = "127.0.0.1:1";
    r.machine_type = "big";
    r.yard = "x";
    r.tenure = tenure;
    r.serial = ++serial;
    r.epoch = epoch;
    r.tasks = std::move(pieces);
    return take_report(book, r, {steady, steady}, by_report, kEpoch);
  }
  void make_durable(const ReportOutcome& o) {
    for (const auto& r : o.records) book.apply(r);
  }
  Host& host() { return book.host(book.find_host("m-1")); }
  std::vector<Order> orders() { return orders_for(book, book.find_host("m-1"), kEpoch); }
  Job& job(const std::string& uid) { return book.job(book.find(uid)); }

  Book book;
  std::uint64_t serial = 0;
  double steady = 100;
};

ReportedPiece piece(const std::string& uid, std::uint32_t task, std::uint64_t attempt, Phase phase, Cause cause = Cause::none) {
  return {{uid, task}, attempt, phase, cause, false};
}

TEST_F(Dealings, RunIsRepeatedUntilTheWorkerShowsTheTask) {
  accept("j-1", 1);
  report({});
  start("j-1", 1, {0, 1});
  ASSERT_EQ(orders().size(), 1u);
  EXPECT_EQ(orders()[0].type, Verb::run);
  report({});
  EXPECT_EQ(orders().size(), 1u);
  report({piece("j-1", 0, 1, Phase::pulling)});
  EXPECT_TRUE(orders().empty());
}

TEST_F(Dealings, ReapOnlyAfterTheOutcomeIsInTheLedgerAndRunNeverAfterwards) {
  accept("j-1", 1);
  report({});
  start("j-1", 1, {0, 1});
  const auto outcome = report({piece("j-1", 0, 1, Phase::exited, Cause::done)});
  ASSERT_EQ(outcome.records.size(), 1u);
  EXPECT_TRUE(orders().empty()) << "neither reap nor run while the outcome is on its way";
  make_durable(outcome);
  EXPECT_EQ(job("j-1").status, JobStatus::done);
  ASSERT_EQ(orders().size(), 1u);
  EXPECT_EQ(orders()[0].type, Verb::reap);
  report({});
  EXPECT_TRUE(orders().empty());
}

TEST_F(Dealings, NoReapWhileADirectStartIsInDoubt) {
  accept("j-1", 1);
  report({});
  start("j-1", 1, {0, 1});
  host().commands.uncertain_token = kEpoch;
  make_durable(report({piece("j-1", 0, 1, Phase::exited, Cause::error)}));
  // A late start would run it again if the worker had forgotten this attempt.
  EXPECT_TRUE(orders().empty());
  report({piece("j-1", 0, 1, Phase::exited, Cause::error)}, true, kEpoch + 1);
  ASSERT_EQ(orders().size(), 1u);
  EXPECT_EQ(orders()[0].type, Verb::reap);
}

TEST_F(Dealings, AStoppedTaskThatIsAbsentIsOffOnlyWhenNoStartCanBeOnItsWay) {
  accept("j-1", 1);
  report({});
  start("j-1", 1, {0, 1});
  book.apply(CancelRecord{"j-1"});
  EXPECT_EQ(orders()[0].type, Verb::kill);
  EXPECT_TRUE(report({}, false).records.empty()) << "the answer to a direct command says nothing of reports' answers";
  EXPECT_TRUE(report({}, true, kEpoch - 1).records.empty()) << "an earlier leader's start may be on its way";
  host().commands.uncertain_token = kEpoch;
  EXPECT_TRUE(report({}).records.empty()) << "a start of this leader is in doubt";
  const auto outcome = report({}, true, kEpoch + 1);
  ASSERT_EQ(outcome.records.size(), 1u);
  make_durable(outcome);
  EXPECT_TRUE(host().placed.empty());
}

TEST_F(Dealings, ALaterTenureMeansThatAllIsOff) {
  accept("j-1", 2);
  report({});
  start("j-1", 1, {0, 2});
  make_durable(report({}, true, kEpoch, 2));
  EXPECT_EQ(job("j-1").pending, 2u);
  EXPECT_TRUE(orders().empty());
}

// Planned for one session, in the ledger after the next one was heard of.
TEST_F(Dealings, AStartForAnEarlierTenureIsOffWithTheNextReport) {
  accept("j-1", 1);
  report({}, true, kEpoch, 1);
  report({}, true, kEpoch, 2);
  start("j-1", 1, {0, 1}, 1);
  make_durable(report({}, true, kEpoch, 2));
  EXPECT_EQ(job("j-1").pending, 1u);
}

TEST_F(Dealings, AnOlderReportChangesNothing) {
  accept("j-1", 1);
  report({});
  start("j-1", 1, {0, 1});
  report({piece("j-1", 0, 1, Phase::running)});
  serial = 0;
  EXPECT_TRUE(report({}).stale);
  EXPECT_EQ(job("j-1").running(), 1u);
}

TEST_F(Dealings, StrayAttemptsAreKilled) {
  accept("j-1", 1);
  report({piece("j-1", 0, 7, Phase::running), piece("j-9", 3, 1, Phase::running)});
  const auto due = orders();
  ASSERT_EQ(due.size(), 2u);
  EXPECT_EQ(due[0].type, Verb::kill);
  EXPECT_EQ(due[1].type, Verb::kill);
}

TEST_F(Dealings, ABrokenGangIsStopped) {
  accept("j-1", 2, Shape::group);
  report({});
  start("j-1", 1, {0, 2});
  make_durable(report({piece("j-1", 0, 1, Phase::running), piece("j-1", 1, 1, Phase::exited, Cause::error)}));
  EXPECT_TRUE(stop_broken_gangs(book));
  EXPECT_TRUE(job("j-1").placed.at(0).stopping);
}

// A leader ended while it stopped a gang to make room: its successor stops the rest of it in order, and counts on the room.
TEST_F(Dealings, StopsThatAnEarlierLeaderBeganGoOn) {
  accept("j-1", 2, Shape::group);
  accept("j-2", 2);
  for (const auto* uid : {"j-1", "j-2"}) {
    job(uid).spec.snapshot_every_s = 30;
    job(uid).spec.snapshot_s = 4;
    start(uid, 1, {0, 2});
  }
  report({piece("j-1", 0, 1, Phase::running), piece("j-1", 1, 1, Phase::running), piece("j-2", 0, 1, Phase::running),
          piece("j-2", 1, 1, Phase::running)});
  EXPECT_TRUE(go_on_with_stops(book).empty());
  report({piece("j-1", 0, 1, Phase::saving), piece("j-1", 1, 1, Phase::running), piece("j-2", 0, 1, Phase::saving),
          piece("j-2", 1, 1, Phase::running)});
  EXPECT_EQ(go_on_with_stops(book).size(), 1u);
  EXPECT_TRUE(job("j-1").placed.at(0).stopping);
  EXPECT_TRUE(job("j-2").placed.at(0).stopping);
  EXPECT_FALSE(job("j-2").placed.at(1).stopping) << "the tasks of an array are stopped one by one";
  ASSERT_EQ(orders().size(), 1u);
  EXPECT_EQ(orders()[0].type, Verb::kill);
  EXPECT_EQ(orders()[0].id.uid + "/" + std::to_string(orders()[0].id.task), "j-1/1");
  EXPECT_EQ(orders()[0].wind_down_s, 4);
  EXPECT_TRUE(go_on_with_stops(book).empty()) << "once";
}

TEST_F(Dealings, ARecalledMachineIsDrained) {
  accept("j-1", 1, Shape::service);
  accept("j-2", 1);
  report({});
  start("j-1", 1, {0, 1});
  start("j-2", 1, {0, 1});
  job("j-2").spec.expected_s = 5;
  host().agent.interruption_at = steady + 20;
  EXPECT_EQ(drain_recalled(book, {steady, steady}).size(), 1u);
  EXPECT_TRUE(job("j-1").placed.at(0).stopping) << "a service moves at once";
  EXPECT_FALSE(job("j-2").placed.at(0).stopping) << "it ends before the machine goes";
  job("j-2").spec.expected_s = 50;
  drain_recalled(book, {steady, steady});
  EXPECT_TRUE(job("j-2").placed.at(0).stopping);
}

// Tasks that come back scattered, as after a cut, made a start too large for an entry: it was refused, and every leader in
// turn stepped down for it (kaubaalus ops, operations, once).
TEST(FittingRecords, ScatteredStartsAndEndsFitIntoAnEntry) {
  StartRecord r{"j-000001", 3, 1234567.891, {}};
  std::size_t tasks = 0;
  for (int h = 0; h < 40; ++h) {
    StartRecord::NodeAssignment part{"m-" + std::to_string(100000 + h), 12, {}};
    for (int i = 0; i < 256; ++i, ++tasks) add_to(part.tasks, 20000 + static_cast<std::uint32_t>(2 * tasks));
    r.assignments.push_back(std::move(part));
  }
  std::size_t found = 0;
  for (const auto& s : in_fitting_records(r)) {
    EXPECT_LT(encoded_size(s), 4000u);
    EXPECT_EQ(s.attempt, 3u);
    for (const auto& p : s.assignments)
      for (const auto& range : p.tasks) found += range.last - range.first;
  }
  EXPECT_EQ(found, tasks);

  Book book = book_of_red(1e6);
  book.apply(AcceptRecord{submission("j-1", 4000, 0.01), 0.5, 1});
  StartRecord all{"j-1", 1, 1, {{"m-1", 1, {}}}};
  for (std::uint32_t t = 0; t < 4000; t += 2) add_to(all.assignments[0].tasks, t);
  for (const auto& s : in_fitting_records(all)) book.apply(s);
  ASSERT_EQ(book.job(book.find("j-1")).placed.size(), 2000u);
  std::size_t off = 0;
  for (const auto& end : clear_host(book, book.find_host("m-1"))) {
    EXPECT_LT(encoded_size(end), 4000u);
    for (const auto& range : std::get<OffRecord>(end).tasks) off += range.last - range.first;
  }
  EXPECT_EQ(off, 2000u);
}

// A new leader greets a worker before it has answered any of its reports: its lease must not count from never.
TEST(Lease, OfAGreetedWorkerCountsFromWhenItWasKnownToHaveSeenTheEpoch) {
  Host host;
  host.agent.highest_token = kEpoch;
  host.agent.fenced_at = 100;
  const Fencing fencing{kEpoch, 99, 99.5};
  EXPECT_FALSE(lease_over(host, fencing, 10, 101));
  EXPECT_FALSE(lease_over(host, fencing, 10, 109.9));
  EXPECT_TRUE(lease_over(host, fencing, 10, 111));
}

// Found by the randomised test: a worker's new session lives for a whole lease without any answer.
TEST_F(Dealings, ANewTenureHasAWholeLeaseFromWhenItIsHeardOf) {
  report({});
  host().agent.last_answered_at = 100;
  steady = 109;
  report({}, false, kEpoch, 2);
  const Fencing fencing{kEpoch, 50, 50};
  EXPECT_FALSE(lease_over(host(), fencing, 10, 112));
  EXPECT_TRUE(lease_over(host(), fencing, 10, 120));
}

// An answer that says run is on its way; a command starts, stops and would reap the same attempt: the answer, coming last,
// would start it again.
TEST_F(Dealings, NothingIsReapedWhileAnAnswerThatSaysRunMayBeOnItsWay) {
  accept("j-1", 1);
  report({});
  start("j-1", 1, {0, 1});
  const auto told = orders();
  ASSERT_EQ(told.size(), 1u);
  note_orders(host(), serial, told);
  book.apply(CancelRecord{"j-1"});
  make_durable(report({piece("j-1", 0, 1, Phase::exited, Cause::halted)}, false));
  EXPECT_TRUE(orders().empty()) << "by the answer to a command nobody knows what became of the report's";
  report({piece("j-1", 0, 1, Phase::exited, Cause::halted)});
  ASSERT_EQ(orders().size(), 1u) << "its next report: the answer came, or never will";
  EXPECT_EQ(orders()[0].type, Verb::reap);
}

// Copies of a dead machine's reports, to the leader that had them and to its successor, which never heard of it.
TEST_F(Dealings, ACopyOfAReportIsNoSignOfLife) {
  report({}, true, kEpoch);
  const Report first{"m-1", "a", "big", "x", false, 1, host().agent.serial, kEpoch, std::nullopt, {}};
  const double heard = steady;
  note_answer(host(), false, heard);
  for (steady = heard + 1; steady < heard + 30; steady += 3) {
    const auto outcome = take_report(book, first, {steady, steady}, true, kEpoch);
    EXPECT_TRUE(outcome.stale);
    note_answer(host(), outcome.stale, steady);
  }
  EXPECT_EQ(host().agent.last_heartbeat_at, heard);
  EXPECT_EQ(host().agent.last_answered_at, heard);
  EXPECT_TRUE(lease_over(host(), {kEpoch, 1, 1}, 10, heard + 11)) << "found lost when it would have been without them";

  constexpr std::uint64_t kLater = kEpoch + 5;
  Book next = book_of_red(10);
  Host* there = nullptr;
  for (std::uint64_t serial = 1; serial < 9; ++serial, steady += 2) {
    Report copy = first;
    copy.serial = serial;
    take_report(next, copy, {steady, steady}, true, kLater);
    there = &next.host(next.find_host("m-1"));
    EXPECT_LT(there->agent.highest_token, kLater) << "so nothing is placed there";
  }
  EXPECT_EQ(there->agent.last_heartbeat_at, steady - 16) << "silent since the first of them";
  there->lease_expired = true;
  Report copy = first;
  copy.serial = 20;
  take_report(next, copy, {steady, steady}, true, kLater);
  EXPECT_TRUE(there->lease_expired);
  copy.serial = 21;
  copy.epoch = kLater;
  take_report(next, copy, {steady, steady}, true, kLater);
  EXPECT_FALSE(there->lease_expired) << "it has seen this leader";
}

// Reports come and answers do not arrive: it is told when a tenure ends that was answered all along.
TEST_F(Dealings, AMachineThatAnswersDoNotReachIsToldByWhatItReports) {
  constexpr double kLease = 10, kReport = 1;
  std::uint64_t tenure = 1, serial = 100, epoch = kEpoch;
  const auto heard = [&](bool by_report) {
    const Report r{"m-1", "a", "big", "x", false, tenure, ++serial, epoch, std::nullopt, {}};
    Host& h = book.host(book.host_named("m-1"));
    listen(h, r, by_report, steady, kLease);
    const auto outcome = take_report(book, r, {steady, steady}, by_report, kEpoch);
    if (by_report) note_answer(h, outcome.stale, steady);
  };
  heard(true);
  const double began = steady;
  for (; steady < began + 9; steady += kReport) heard(true);
  EXPECT_FALSE(unheeding(host(), steady, kReport));
  ++tenure, serial = 0, steady = began + 10;
  heard(true);
  EXPECT_TRUE(unheeding(host(), steady, kReport)) << "its lease ran out, though it was answered a second ago";
  for (; steady < began + 19; steady += kReport) heard(true);
  EXPECT_TRUE(unheeding(host(), steady, kReport));
  EXPECT_TRUE(given_up_as_deaf(book, steady, kLease).empty());
  EXPECT_EQ(given_up_as_deaf(book, steady + 3 * kLease, kLease).size(), 1u) << "replaced, if it stays so";
  heard(false);
  EXPECT_FALSE(unheeding(host(), steady, kReport)) << "it answered a command";
  // One that stood still for longer than its lease heard all that it was sent.
  ++tenure, serial = 0, steady += 11;
  heard(true);
  EXPECT_FALSE(unheeding(host(), steady, kReport));
}

TEST(Lease, OfASilentWorkerIsNotOverWhileAPeerMayStillAnswerIt) {
  Host host;
  Fencing fencing{kEpoch, 100, -1};
  EXPECT_FALSE(lease_over(host, fencing, 10, 1e6));
  fencing.peers_acked_at = 200;
  EXPECT_FALSE(lease_over(host, fencing, 10, 205));
  EXPECT_TRUE(lease_over(host, fencing, 10, 211));
}

// A leader in doubt gives these and nothing else: no start, no stop to make room, no reap.
TEST_F(Dealings, KillsOfWhatIsCancelledAreAllThatALeaderInDoubtGives) {
  accept("j-1", 3);
  accept("j-2", 3);
  accept("j-3", 1);
  report({});
  start("j-1", 1, {0, 3});
  start("j-2", 1, {0, 2});
  report({piece("j-1", 0, 1, Phase::running), piece("j-1", 1, 1, Phase::exited, Cause::error), piece("j-2", 0, 1, Phase::running),
          piece("j-3", 0, 4, Phase::pulling)});
  stop_task(job("j-2").placed.at(0), 0);
  const auto kills = [&] { return kills_of_cancelled(book, book.find_host("m-1")); };
  EXPECT_TRUE(kills().empty());
  EXPECT_FALSE(orders().empty());
  book.apply(CancelRecord{"j-1"});
  book.apply(CancelRecord{"j-3"});
  std::set<std::string> killed;
  for (const auto& o : kills()) {
    EXPECT_EQ(o.type, Verb::kill);
    EXPECT_EQ(o.wind_down_s, 0);
    killed.insert(o.id.uid + "/" + std::to_string(o.id.task));
  }
  // One that runs, one whose start may be on its way, and one that the book places nowhere.
  EXPECT_EQ(killed, (std::set<std::string>{"j-1/0", "j-1/2", "j-3/0"}));
}

// Stopped to make room, it saves; cancelled meanwhile, it was left to save and to wait for its gang.
TEST_F(Dealings, WhatIsCancelledWhileItSavesIsEndedAtOnce) {
  accept("j-1", 1);
  report({});
  start("j-1", 1, {0, 1});
  stop_task(job("j-1").placed.at(0), 4);
  report({piece("j-1", 0, 1, Phase::saving)});
  EXPECT_TRUE(orders().empty()) << "it saves";
  book.apply(CancelRecord{"j-1"});
  ASSERT_EQ(orders().size(), 1u);
  EXPECT_EQ(orders()[0].type, Verb::kill);
  EXPECT_EQ(orders()[0].wind_down_s, 0);
}

// Held up on its way, a start of a job that is cancelled since may be carried out as long as the session lasts and no higher
// token was seen: no report is answered for longer than the command may still matter.
TEST_F(Dealings, ALeaseIsNotRenewedBeyondWhatALateStartOfACancelledJobAllows) {
  constexpr double span = 20;
  accept("j-1", 1);
  report({});
  start("j-1", 1, {0, 1});
  book.apply(CancelRecord{"j-1"});
  job("j-1").cancelled_at = 100;
  const auto late = [&](double now) { return late_start_of_cancelled(book, host(), now, span); };
  EXPECT_FALSE(late(200)) << "no command is on its way";
  host().commands.uncertain_token = kEpoch;
  EXPECT_FALSE(late(119));
  EXPECT_TRUE(late(121));
  report({}, true, kEpoch + 1);
  EXPECT_FALSE(late(121)) << "fenced by a higher token";
  host().commands.uncertain_token = kEpoch + 1;
  job("j-1").cancelled_at = 0;
  EXPECT_FALSE(late(121)) << "an earlier leader's: it is fenced by any answer of this one";
}

}  // namespace
}  // namespace thistle
