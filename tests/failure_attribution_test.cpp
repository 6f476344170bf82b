// Who is at fault for failures: kept stories of jobs and machines.
#include "cluster_state/failure_attribution.hpp"

#include <gtest/gtest.h>

#include "cluster_state/cluster_state.hpp"
#include "job_builders.hpp"
#include "model/identifiers.hpp"
#include "model/ledger_records.hpp"
#include "protocol/messages.hpp"

namespace thistlefront {
namespace {

constexpr JobIndex a{0}, b{1}, c{2};
constexpr NodeIndex m1{0}, m2{1}, m3{2}, m4{3};

TEST(FailureAttribution, AMachineThatFailsTwoSoundJobsIsSetAsideAndTriedAgain) {
  FailureAttribution failure_attribution;
  failure_attribution.record_failure(a, m1, 100, true);
  EXPECT_FALSE(failure_attribution.is_cordoned(m1, 100));
  failure_attribution.record_failure(b, m1, 101, true);
  EXPECT_TRUE(failure_attribution.is_cordoned(m1, 102));
  EXPECT_FALSE(failure_attribution.is_cordoned(m1, 140)) << "not forgotten: it is tried again";
  failure_attribution.record_failure(c, m1, 141, true);
  EXPECT_TRUE(failure_attribution.is_cordoned(m1, 142)) << "one more failure is enough then";
  EXPECT_TRUE(failure_attribution.should_replace(m1, 142));
}

TEST(FailureAttribution, ASuccessInBetweenSpeaksForTheMachine) {
  FailureAttribution failure_attribution;
  failure_attribution.record_failure(a, m1, 100, true);
  failure_attribution.record_success(b, m1);
  failure_attribution.record_failure(c, m1, 101, true);
  EXPECT_FALSE(failure_attribution.is_cordoned(m1, 102));
}

// As it was, machines that a job at fault had failed on stayed out of use for good.
TEST(FailureAttribution, AJobThatFailsOnSoundMachinesIsSuspectedAndTheMachinesAreNot) {
  FailureAttribution failure_attribution;
  failure_attribution.record_failure(a, m1, 100, false);
  failure_attribution.record_failure(b, m1, 100, false);
  EXPECT_TRUE(failure_attribution.is_cordoned(m1, 100)) << "so far it looks like the machine";
  failure_attribution.record_failure(a, m2, 101, false);
  failure_attribution.record_failure(a, m3, 101, false);
  EXPECT_TRUE(failure_attribution.is_suspect(a));
  for (NodeIndex h : {m1, m2, m3}) EXPECT_FALSE(failure_attribution.is_cordoned(h, 102));
  failure_attribution.record_failure(b, m2, 103, false);
  EXPECT_TRUE(failure_attribution.is_suspect(b));
  failure_attribution.record_failure(c, m2, 104, true);
  EXPECT_FALSE(failure_attribution.is_cordoned(m2, 105)) << "failures of suspected jobs no longer count against it";
}

TEST(FailureAttribution, ASuspectedJobTriesAfterGrowingPausesAndOneWaveOfFailuresIsOneTry) {
  FailureAttribution failure_attribution;
  failure_attribution.record_failure(a, m1, 100, false);
  for (int i = 0; i < 50; ++i) failure_attribution.record_failure(a, m2, 100, false);
  ASSERT_TRUE(failure_attribution.is_suspect(a));
  double pause = failure_attribution.next_try_at(a) - 100, at = failure_attribution.next_try_at(a);
  EXPECT_LT(pause, 5);
  for (int i = 0; i < 8; ++i) {
    failure_attribution.record_failure(a, m3, at, false);
    EXPECT_GE(failure_attribution.next_try_at(a) - at, pause);
    pause = failure_attribution.next_try_at(a) - at;
    at = failure_attribution.next_try_at(a);
  }
  EXPECT_LE(pause, 60);
  EXPECT_GE(pause, 30);
}

// An array whose first tasks all met one faulty machine is not at fault for that.
TEST(FailureAttribution, ManyTasksThatFailAtOnceOnOneMachineSayNoMoreThanOne) {
  FailureAttribution failure_attribution;
  for (int i = 0; i < 8; ++i) failure_attribution.record_failure(a, m1, 100, false);
  EXPECT_FALSE(failure_attribution.is_suspect(a));
  for (int i = 1; i < 4; ++i) failure_attribution.record_failure(a, m1, 100 + 20 * i, false);
  EXPECT_TRUE(failure_attribution.is_suspect(a)) << "again and again on the only machine it may use";
}

TEST(FailureAttribution, OneSuccessClearsAJobAndItsFailuresCountAgainstTheMachines) {
  FailureAttribution failure_attribution;
  for (JobIndex j : {a, b}) {
    failure_attribution.record_failure(j, m1, 100, false);
    failure_attribution.record_failure(j, m2, 100, false);
  }
  failure_attribution.record_success(a, m3);
  failure_attribution.record_success(b, m3);
  EXPECT_FALSE(failure_attribution.is_suspect(a));
  EXPECT_DOUBLE_EQ(failure_attribution.next_try_at(a), 0);
  EXPECT_TRUE(failure_attribution.is_cordoned(m1, 101));
  EXPECT_TRUE(failure_attribution.is_cordoned(m2, 101));
  EXPECT_FALSE(failure_attribution.is_cordoned(m3, 101));
}

TEST(FailureAttribution, AJobIsKeptOffAMachineOnlyForAWhile) {
  FailureAttribution failure_attribution;
  failure_attribution.record_failure(a, m4, 100, true);
  EXPECT_EQ(failure_attribution.avoided_nodes(a, 110), std::vector<NodeIndex>{m4});
  EXPECT_TRUE(failure_attribution.avoided_nodes(a, 200).empty()) << "it may be the only machine allowed";
}

TEST(FailureAttribution, AJobCancelledWithoutASuccessLeavesNothingAgainstItsMachines) {
  FailureAttribution failure_attribution;
  failure_attribution.record_failure(a, m1, 100, false);
  failure_attribution.forget_job(a, false);
  failure_attribution.record_failure(b, m1, 101, true);
  EXPECT_FALSE(failure_attribution.is_cordoned(m1, 102));
}

// A later leader judges by the same records, also where the job was written anew.
TEST(FailureAttribution, SurvivesATakeover) {
  const std::vector<Record> records{JobAcceptedRecord{submission("j-1", 4, 1), 0.5, 1},
                                    TasksStartedRecord{"j-1", 1, 4, {{"m-1", 1, {{0, 2}}}, {"m-2", 1, {{2, 4}}}}},
                                    TasksRemovedRecord{"j-1", 1, {{0, 2}}, 5.5}, TasksRemovedRecord{"j-1", 1, {{2, 4}}, 5.5}};
  ClusterState first = book_of_red(10), second = book_of_red(10), third = book_of_red(10);
  for (const auto& r : records) first.apply(r);
  ASSERT_TRUE(first.failure_attribution().is_suspect(first.find("j-1")));
  for (const auto& r : parse_entry(stored_entry(records)).records) second.apply(r);
  EXPECT_TRUE(second.failure_attribution().is_suspect(second.find("j-1")));
  std::uint32_t from = 0;
  third.apply(parse_entry(stored_entry({first.snapshot_record(first.find("j-1"), from, 100)})).records.at(0));
  EXPECT_TRUE(third.failure_attribution().is_suspect(third.find("j-1")));
}

}  // namespace
}  // namespace thistlefront
