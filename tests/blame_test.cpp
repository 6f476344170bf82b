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
  blame.record_failure(a, m1, 100, true);
  EXPECT_FALSE(blame.is_cordoned(m1, 100));
  blame.record_failure(b, m1, 101, true);
  EXPECT_TRUE(blame.is_cordoned(m1, 102));
  EXPECT_FALSE(blame.is_cordoned(m1, 140)) << "not forgotten: it is tried again";
  blame.record_failure(c, m1, 141, true);
  EXPECT_TRUE(blame.is_cordoned(m1, 142)) << "one more failure is enough then";
  EXPECT_TRUE(blame.should_replace(m1, 142));
}

TEST(Blame, ASuccessInBetweenSpeaksForTheMachine) {
  Blame blame;
  blame.record_failure(a, m1, 100, true);
  blame.record_success(b, m1);
  blame.record_failure(c, m1, 101, true);
  EXPECT_FALSE(blame.is_cordoned(m1, 102));
}

// As it was, machines that a job at fault had failed on stayed out of use for good.
TEST(Blame, AJobThatFailsOnSoundMachinesIsSuspectedAndTheMachinesAreNot) {
  Blame blame;
  blame.record_failure(a, m1, 100, false);
  blame.record_failure(b, m1, 100, false);
  EXPECT_TRUE(blame.is_cordoned(m1, 100)) << "so far it looks like the machine";
  blame.record_failure(a, m2, 101, false);
  blame.record_failure(a, m3, 101, false);
  EXPECT_TRUE(blame.is_suspect(a));
  for (HostIdx h : {m1, m2, m3}) EXPECT_FALSE(blame.is_cordoned(h, 102));
  blame.record_failure(b, m2, 103, false);
  EXPECT_TRUE(blame.is_suspect(b));
  blame.record_failure(c, m2, 104, true);
  EXPECT_FALSE(blame.is_cordoned(m2, 105)) << "failures of suspected jobs no longer count against it";
}

TEST(Blame, ASuspectedJobTriesAfterGrowingPausesAndOneWaveOfFailuresIsOneTry) {
  Blame blame;
  blame.record_failure(a, m1, 100, false);
  for (int i = 0; i < 50; ++i) blame.record_failure(a, m2, 100, false);
  ASSERT_TRUE(blame.is_suspect(a));
  double pause = blame.next_try_at(a) - 100, at = blame.next_try_at(a);
  EXPECT_LT(pause, 5);
  for (int i = 0; i < 8; ++i) {
    blame.record_failure(a, m3, at, false);
    EXPECT_GE(blame.next_try_at(a) - at, pause);
    pause = blame.next_try_at(a) - at;
    at = blame.next_try_at(a);
  }
  EXPECT_LE(pause, 60);
  EXPECT_GE(pause, 30);
}

// An array whose first tasks all met one faulty machine is not at fault for that.
TEST(Blame, ManyTasksThatFailAtOnceOnOneMachineSayNoMoreThanOne) {
  Blame blame;
  for (int i = 0; i < 8; ++i) blame.record_failure(a, m1, 100, false);
  EXPECT_FALSE(blame.is_suspect(a));
  for (int i = 1; i < 4; ++i) blame.record_failure(a, m1, 100 + 20 * i, false);
  EXPECT_TRUE(blame.is_suspect(a)) << "again and again on the only machine it may use";
}

TEST(Blame, OneSuccessClearsAJobAndItsFailuresCountAgainstTheMachines) {
  Blame blame;
  for (JobIdx j : {a, b}) {
    blame.record_failure(j, m1, 100, false);
    blame.record_failure(j, m2, 100, false);
  }
  blame.record_success(a, m3);
  blame.record_success(b, m3);
  EXPECT_FALSE(blame.is_suspect(a));
  EXPECT_DOUBLE_EQ(blame.next_try_at(a), 0);
  EXPECT_TRUE(blame.is_cordoned(m1, 101));
  EXPECT_TRUE(blame.is_cordoned(m2, 101));
  EXPECT_FALSE(blame.is_cordoned(m3, 101));
}

TEST(Blame, AJobIsKeptOffAMachineOnlyForAWhile) {
  Blame blame;
  blame.record_failure(a, m4, 100, true);
  EXPECT_EQ(blame.avoided_nodes(a, 110), std::vector<HostIdx>{m4});
  EXPECT_TRUE(blame.avoided_nodes(a, 200).empty()) << "it may be the only machine allowed";
}

TEST(Blame, AJobCancelledWithoutASuccessLeavesNothingAgainstItsMachines) {
  Blame blame;
  blame.record_failure(a, m1, 100, false);
  blame.forget_job(a, false);
  blame.record_failure(b, m1, 101, true);
  EXPECT_FALSE(blame.is_cordoned(m1, 102));
}

// A later leader judges by the same records, also where the job was written anew.
TEST(Blame, SurvivesATakeover) {
  const std::vector<Record> records{AcceptRecord{submission("j-1", 4, 1), 0.5, 1},
                                    StartRecord{"j-1", 1, 4, {{"m-1", 1, {{0, 2}}}, {"m-2", 1, {{2, 4}}}}},
                                    OffRecord{"j-1", 1, {{0, 2}}, 5.5}, OffRecord{"j-1", 1, {{2, 4}}, 5.5}};
  Book first = book_of_red(10), second = book_of_red(10), third = book_of_red(10);
  for (const auto& r : records) first.apply(r);
  ASSERT_TRUE(first.blame().is_suspect(first.find("j-1")));
  for (const auto& r : parse_entry(stored_entry(records)).records) second.apply(r);
  EXPECT_TRUE(second.blame().is_suspect(second.find("j-1")));
  std::uint32_t from = 0;
  third.apply(parse_entry(stored_entry({first.job_record(first.find("j-1"), from, 100)})).records.at(0));
  EXPECT_TRUE(third.blame().is_suspect(third.find("j-1")));
}

}  // namespace
}  // namespace thistle
