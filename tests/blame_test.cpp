// Who is at fault for failures: kept stories of jobs and machines.
#include "bookkeeping/blame.hpp"

#include <gtest/gtest.h>

#include "bookkeeping/book.hpp"
#include "jobs.hpp"
#include "protocol/messages.hpp"

namespace thistle {
namespace {

constexpr JobIdx a{0}, b{1}, c{2};
constexpr HostIdx m1{0}, m2{1}, m3{2}, m4{3};

TEST(Blame, AMachineThatFailsTwoSoundJobsIsSetAsideAndTriedAgain) {
  Blame blame;
  blame.failed(a, m1, 100, true);
  EXPECT_FALSE(blame.set_aside(m1, 100));
  blame.failed(b, m1, 101, true);
  EXPECT_TRUE(blame.set_aside(m1, 102));
  EXPECT_FALSE(blame.set_aside(m1, 140)) << "not forgotten: it is tried again";
  blame.failed(c, m1, 141, true);
  EXPECT_TRUE(blame.set_aside(m1, 142)) << "one more failure is enough then";
  EXPECT_TRUE(blame.given_up(m1, 142));
}

TEST(Blame, ASuccessInBetweenSpeaksForTheMachine) {
  Blame blame;
  blame.failed(a, m1, 100, true);
  blame.succeeded(b, m1);
  blame.failed(c, m1, 101, true);
  EXPECT_FALSE(blame.set_aside(m1, 102));
}

// As it was, machines that a job at fault had failed on stayed out of use for good.
TEST(Blame, AJobThatFailsOnSoundMachinesIsSuspectedAndTheMachinesAreNot) {
  Blame blame;
  blame.failed(a, m1, 100, false);
  blame.failed(b, m1, 100, false);
  EXPECT_TRUE(blame.set_aside(m1, 100)) << "so far it looks like the machine";
  blame.failed(a, m2, 101, false);
  blame.failed(a, m3, 101, false);
  EXPECT_TRUE(blame.suspect(a));
  for (HostIdx h : {m1, m2, m3}) EXPECT_FALSE(blame.set_aside(h, 102));
  blame.failed(b, m2, 103, false);
  EXPECT_TRUE(blame.suspect(b));
  blame.failed(c, m2, 104, true);
  EXPECT_FALSE(blame.set_aside(m2, 105)) << "failures of suspected jobs no longer count against it";
}

TEST(Blame, ASuspectedJobTriesAfterGrowingPausesAndOneWaveOfFailuresIsOneTry) {
  Blame blame;
  blame.failed(a, m1, 100, false);
  for (int i = 0; i < 50; ++i) blame.failed(a, m2, 100, false);
  ASSERT_TRUE(blame.suspect(a));
  double pause = blame.not_before(a) - 100, at = blame.not_before(a);
  EXPECT_LT(pause, 5);
  for (int i = 0; i < 8; ++i) {
    blame.failed(a, m3, at, false);
    EXPECT_GE(blame.not_before(a) - at, pause);
    pause = blame.not_before(a) - at;
    at = blame.not_before(a);
  }
  EXPECT_LE(pause, 60);
  EXPECT_GE(pause, 30);
}

// An array whose first tasks all met one faulty machine is not at fault for that.
TEST(Blame, ManyTasksThatFailAtOnceOnOneMachineSayNoMoreThanOne) {
  Blame blame;
  for (int i = 0; i < 8; ++i) blame.failed(a, m1, 100, false);
  EXPECT_FALSE(blame.suspect(a));
  for (int i = 1; i < 4; ++i) blame.failed(a, m1, 100 + 20 * i, false);
  EXPECT_TRUE(blame.suspect(a)) << "again and again on the only machine it may use";
}

TEST(Blame, OneSuccessClearsAJobAndItsFailuresCountAgainstTheMachines) {
  Blame blame;
  for (JobIdx j : {a, b}) {
    blame.failed(j, m1, 100, false);
    blame.failed(j, m2, 100, false);
  }
  blame.succeeded(a, m3);
  blame.succeeded(b, m3);
  EXPECT_FALSE(blame.suspect(a));
  EXPECT_DOUBLE_EQ(blame.not_before(a), 0);
  EXPECT_TRUE(blame.set_aside(m1, 101));
  EXPECT_TRUE(blame.set_aside(m2, 101));
  EXPECT_FALSE(blame.set_aside(m3, 101));
}

TEST(Blame, AJobIsKeptOffAMachineOnlyForAWhile) {
  Blame blame;
  blame.failed(a, m4, 100, true);
  EXPECT_EQ(blame.avoided(a, 110), std::vector<HostIdx>{m4});
  EXPECT_TRUE(blame.avoided(a, 200).empty()) << "it may be the only machine allowed";
}

TEST(Blame, AJobCancelledWithoutASuccessLeavesNothingAgainstItsMachines) {
  Blame blame;
  blame.failed(a, m1, 100, false);
  blame.forget(a, false);
  blame.failed(b, m1, 101, true);
  EXPECT_FALSE(blame.set_aside(m1, 102));
}

// A later leader judges by the same records, also where the job was written anew.
TEST(Blame, SurvivesATakeover) {
  const std::vector<Record> records{AcceptRecord{submission("j-1", 4, 1), 0.5, 1},
                                    StartRecord{"j-1", 1, 4, {{"m-1", 1, {{0, 2}}}, {"m-2", 1, {{2, 4}}}}},
                                    OffRecord{"j-1", 1, {{0, 2}}, 5.5}, OffRecord{"j-1", 1, {{2, 4}}, 5.5}};
  Book first = book_of_red(10), second = book_of_red(10), third = book_of_red(10);
  for (const auto& r : records) first.apply(r);
  ASSERT_TRUE(first.blame().suspect(first.find("j-1")));
  for (const auto& r : parse_entry(stored_entry(records)).records) second.apply(r);
  EXPECT_TRUE(second.blame().suspect(second.find("j-1")));
  std::uint32_t from = 0;
  third.apply(parse_entry(stored_entry({first.job_record(first.find("j-1"), from, 100)})).records.at(0));
  EXPECT_TRUE(third.blame().suspect(third.find("j-1")));
}

}  // namespace
}  // namespace thistle
