// Attribution of task failures to jobs or nodes.
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

TEST(FailureAttribution, NodeIsCordonedWhenTwoJobsFailOnItAndUsedAgainLater) {
  FailureAttribution failure_attribution;
  failure_attribution.record_failure(job_a, node_1, 100, true);
  EXPECT_FALSE(failure_attribution.is_cordoned(node_1, 100));
  failure_attribution.record_failure(job_b, node_1, 101, true);
  EXPECT_TRUE(failure_attribution.is_cordoned(node_1, 102));
  EXPECT_FALSE(failure_attribution.is_cordoned(node_1, 140)) << "the cordon has expired, but the failures still count";
  failure_attribution.record_failure(job_c, node_1, 141, true);
  EXPECT_TRUE(failure_attribution.is_cordoned(node_1, 142)) << "one more failure is enough to cordon it again";
  EXPECT_TRUE(failure_attribution.should_replace(node_1, 142));
}

TEST(FailureAttribution, SuccessBetweenFailuresPreventsCordon) {
  FailureAttribution failure_attribution;
  failure_attribution.record_failure(job_a, node_1, 100, true);
  failure_attribution.record_success(job_b, node_1);
  failure_attribution.record_failure(job_c, node_1, 101, true);
  EXPECT_FALSE(failure_attribution.is_cordoned(node_1, 102));
}

// Guards against nodes that stay cordoned permanently because a faulty job failed on them.
TEST(FailureAttribution, JobThatFailsOnSeveralNodesIsSuspectAndTheNodesAreNotCordoned) {
  FailureAttribution failure_attribution;
  failure_attribution.record_failure(job_a, node_1, 100, false);
  failure_attribution.record_failure(job_b, node_1, 100, false);
  EXPECT_TRUE(failure_attribution.is_cordoned(node_1, 100)) << "so far the failures are attributed to the node";
  failure_attribution.record_failure(job_a, node_2, 101, false);
  failure_attribution.record_failure(job_a, node_3, 101, false);
  EXPECT_TRUE(failure_attribution.is_suspect(job_a));
  for (NodeIndex node : {node_1, node_2, node_3}) EXPECT_FALSE(failure_attribution.is_cordoned(node, 102));
  failure_attribution.record_failure(job_b, node_2, 103, false);
  EXPECT_TRUE(failure_attribution.is_suspect(job_b));
  failure_attribution.record_failure(job_c, node_2, 104, true);
  EXPECT_FALSE(failure_attribution.is_cordoned(node_2, 105)) << "failures of suspect jobs do not count against the node";
}

TEST(FailureAttribution, SuspectJobIsRetriedAfterIncreasingDelaysAndABurstCountsAsOneRetry) {
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

// An array whose first tasks all ran on the same faulty node must not become suspect.
TEST(FailureAttribution, SimultaneousFailuresOnOneNodeCountOnce) {
  FailureAttribution failure_attribution;
  for (int i = 0; i < 8; ++i) failure_attribution.record_failure(job_a, node_1, 100, false);
  EXPECT_FALSE(failure_attribution.is_suspect(job_a));
  for (int i = 1; i < 4; ++i) failure_attribution.record_failure(job_a, node_1, 100 + 20 * i, false);
  EXPECT_TRUE(failure_attribution.is_suspect(job_a)) << "it failed repeatedly on the only node that it may use";
}

TEST(FailureAttribution, OneSuccessClearsAJobAndAttributesItsFailuresToTheNodes) {
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

TEST(FailureAttribution, JobAvoidsANodeOnlyForALimitedTime) {
  FailureAttribution failure_attribution;
  failure_attribution.record_failure(job_a, node_4, 100, true);
  EXPECT_EQ(failure_attribution.avoided_nodes(job_a, 110), std::vector<NodeIndex>{node_4});
  EXPECT_TRUE(failure_attribution.avoided_nodes(job_a, 200).empty()) << "it may be the only node on which the job can run";
}

TEST(FailureAttribution, FailuresOfAJobThatEndsWithoutASuccessDoNotCountAgainstNodes) {
  FailureAttribution failure_attribution;
  failure_attribution.record_failure(job_a, node_1, 100, false);
  failure_attribution.remove_job(job_a, false);
  failure_attribution.record_failure(job_b, node_1, 101, true);
  EXPECT_FALSE(failure_attribution.is_cordoned(node_1, 102));
}

// The next leader makes the same decision, from the same records as well as from a snapshot of the job.
TEST(FailureAttribution, SuspectJobStaysSuspectAfterAFailover) {
  const std::vector<Record> records{JobAcceptedRecord{submission("j-1", 4, 1), 0.5, 1},
                                    TasksStartedRecord{"j-1", 1, 4, {{"m-1", 1, {{0, 2}}}, {"m-2", 1, {{2, 4}}}}},
                                    TasksRemovedRecord{"j-1", 1, {{0, 2}}, 5.5}, TasksRemovedRecord{"j-1", 1, {{2, 4}}, 5.5}};
  ClusterState first_leader = cluster_state_with_core_limit(10), second_leader = cluster_state_with_core_limit(10),
               leader_with_snapshot = cluster_state_with_core_limit(10);
  for (const auto& record : records) first_leader.apply(record);
  ASSERT_TRUE(first_leader.failure_attribution().is_suspect(first_leader.find("j-1")));
  for (const auto& record : parse_entry(stored_entry(records)).records) second_leader.apply(record);
  EXPECT_TRUE(second_leader.failure_attribution().is_suspect(second_leader.find("j-1")));
  std::uint32_t next_task = 0;
  leader_with_snapshot.apply(
      parse_entry(stored_entry({first_leader.snapshot_record(first_leader.find("j-1"), next_task, 100)})).records.at(0));
  EXPECT_TRUE(leader_with_snapshot.failure_attribution().is_suspect(leader_with_snapshot.find("j-1")));
}

}  // namespace
}  // namespace thistlefront
