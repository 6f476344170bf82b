// Attribution of failures to jobs or nodes.
#include "cluster_state/failure_attribution.hpp"

#include <gtest/gtest.h>

#include "cluster_state/cluster_state.hpp"
#include "job_builders.hpp"
#include "model/identifiers.hpp"
#include "model/ledger_records.hpp"
#include "protocol/messages.hpp"

namespace thistlefront {
namespace {

constexpr JobIndex job_a{0}, job_b{1}, job_c{2};
constexpr NodeIndex node_1{0}, node_2{1}, node_3{2}, node_4{3};

TEST(FailureAttribution, NodeThatFailsTwoSoundJobsIsCordonedAndUsedAgainLater) {
  FailureAttribution failure_attribution;
  failure_attribution.record_failure(job_a, node_1, 100, true);
  EXPECT_FALSE(failure_attribution.is_cordoned(node_1, 100));
  failure_attribution.record_failure(job_b, node_1, 101, true);
  EXPECT_TRUE(failure_attribution.is_cordoned(node_1, 102));
  EXPECT_FALSE(failure_attribution.is_cordoned(node_1, 140)) << "it is used again, but its failures are remembered";
  failure_attribution.record_failure(job_c, node_1, 141, true);
  EXPECT_TRUE(failure_attribution.is_cordoned(node_1, 142)) << "one more failure is enough by then";
  EXPECT_TRUE(failure_attribution.should_replace(node_1, 142));
}

TEST(FailureAttribution, SuccessBetweenFailuresPreventsCordon) {
  FailureAttribution failure_attribution;
  failure_attribution.record_failure(job_a, node_1, 100, true);
  failure_attribution.record_success(job_b, node_1);
  failure_attribution.record_failure(job_c, node_1, 101, true);
  EXPECT_FALSE(failure_attribution.is_cordoned(node_1, 102));
}

// Once, nodes on which a faulty job had failed stayed out of use for good.
TEST(FailureAttribution, JobThatFailsOnSoundNodesIsSuspectAndTheNodesAreNotCordoned) {
  FailureAttribution failure_attribution;
  failure_attribution.record_failure(job_a, node_1, 100, false);
  failure_attribution.record_failure(job_b, node_1, 100, false);
  EXPECT_TRUE(failure_attribution.is_cordoned(node_1, 100)) << "so far the node looks faulty";
  failure_attribution.record_failure(job_a, node_2, 101, false);
  failure_attribution.record_failure(job_a, node_3, 101, false);
  EXPECT_TRUE(failure_attribution.is_suspect(job_a));
  for (NodeIndex node : {node_1, node_2, node_3}) EXPECT_FALSE(failure_attribution.is_cordoned(node, 102));
  failure_attribution.record_failure(job_b, node_2, 103, false);
  EXPECT_TRUE(failure_attribution.is_suspect(job_b));
  failure_attribution.record_failure(job_c, node_2, 104, true);
  EXPECT_FALSE(failure_attribution.is_cordoned(node_2, 105)) << "failures of suspect jobs no longer count against the node";
}

TEST(FailureAttribution, SuspectJobRetriesAfterGrowingDelaysAndOneWaveIsOneRetry) {
  FailureAttribution failure_attribution;
  failure_attribution.record_failure(job_a, node_1, 100, false);
  for (int i = 0; i < 50; ++i) failure_attribution.record_failure(job_a, node_2, 100, false);
  ASSERT_TRUE(failure_attribution.is_suspect(job_a));
  double delay = failure_attribution.next_retry_at(job_a) - 100, at = failure_attribution.next_retry_at(job_a);
  EXPECT_LT(delay, 5);
  for (int i = 0; i < 8; ++i) {
    failure_attribution.record_failure(job_a, node_3, at, false);
    EXPECT_GE(failure_attribution.next_retry_at(job_a) - at, delay);
    delay = failure_attribution.next_retry_at(job_a) - at;
    at = failure_attribution.next_retry_at(job_a);
  }
  EXPECT_LE(delay, 60);
  EXPECT_GE(delay, 30);
}

// An array whose first tasks all ran on one faulty node is not at fault for that.
TEST(FailureAttribution, SimultaneousFailuresOnOneNodeCountOnce) {
  FailureAttribution failure_attribution;
  for (int i = 0; i < 8; ++i) failure_attribution.record_failure(job_a, node_1, 100, false);
  EXPECT_FALSE(failure_attribution.is_suspect(job_a));
  for (int i = 1; i < 4; ++i) failure_attribution.record_failure(job_a, node_1, 100 + 20 * i, false);
  EXPECT_TRUE(failure_attribution.is_suspect(job_a)) << "it failed again and again on the only node that it may use";
}

TEST(FailureAttribution, OneSuccessClearsAJobAndItsFailuresCountAgainstTheNodes) {
  FailureAttribution failure_attribution;
  for (JobIndex job : {job_a, job_b}) {
    failure_attribution.record_failure(job, node_1, 100, false);
    failure_attribution.record_failure(job, node_2, 100, false);
  }
  failure_attribution.record_success(job_a, node_3);
  failure_attribution.record_success(job_b, node_3);
  EXPECT_FALSE(failure_attribution.is_suspect(job_a));
  EXPECT_DOUBLE_EQ(failure_attribution.next_retry_at(job_a), 0);
  EXPECT_TRUE(failure_attribution.is_cordoned(node_1, 101));
  EXPECT_TRUE(failure_attribution.is_cordoned(node_2, 101));
  EXPECT_FALSE(failure_attribution.is_cordoned(node_3, 101));
}

TEST(FailureAttribution, JobAvoidsANodeOnlyForAWhile) {
  FailureAttribution failure_attribution;
  failure_attribution.record_failure(job_a, node_4, 100, true);
  EXPECT_EQ(failure_attribution.avoided_nodes(job_a, 110), std::vector<NodeIndex>{node_4});
  EXPECT_TRUE(failure_attribution.avoided_nodes(job_a, 200).empty()) << "it may be the only node that the job may use";
}

TEST(FailureAttribution, JobCancelledWithoutASuccessLeavesNoEvidenceAgainstItsNodes) {
  FailureAttribution failure_attribution;
  failure_attribution.record_failure(job_a, node_1, 100, false);
  failure_attribution.forget_job(job_a, false);
  failure_attribution.record_failure(job_b, node_1, 101, true);
  EXPECT_FALSE(failure_attribution.is_cordoned(node_1, 102));
}

// A later leader decides alike from the same records, also from the snapshot of a job.
TEST(FailureAttribution, SurvivesAFailover) {
  const std::vector<Record> records{JobAcceptedRecord{submission("j-1", 4, 1), 0.5, 1},
                                    TasksStartedRecord{"j-1", 1, 4, {{"m-1", 1, {{0, 2}}}, {"m-2", 1, {{2, 4}}}}},
                                    TasksRemovedRecord{"j-1", 1, {{0, 2}}, 5.5}, TasksRemovedRecord{"j-1", 1, {{2, 4}}, 5.5}};
  ClusterState first = cluster_state_with_core_limit(10), second = cluster_state_with_core_limit(10),
               third = cluster_state_with_core_limit(10);
  for (const auto& record : records) first.apply(record);
  ASSERT_TRUE(first.failure_attribution().is_suspect(first.find("j-1")));
  for (const auto& record : parse_entry(stored_entry(records)).records) second.apply(record);
  EXPECT_TRUE(second.failure_attribution().is_suspect(second.find("j-1")));
  std::uint32_t from = 0;
  third.apply(parse_entry(stored_entry({first.snapshot_record(first.find("j-1"), from, 100)})).records.at(0));
  EXPECT_TRUE(third.failure_attribution().is_suspect(third.find("j-1")));
}

}  // namespace
}  // namespace thistlefront
