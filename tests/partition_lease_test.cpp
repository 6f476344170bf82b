// How long a follower renews leases on its own in a partition, and how long the leader has to allow for it. safety_test and
// lease_renewal_policy_test check that this is safe.
#include "leadership/partition_lease.hpp"

#include <gtest/gtest.h>

namespace thistlefront {
namespace {

constexpr double kSpan = 20;

TEST(PartitionLease, IsActiveFromSomeSecondsAfterTheLeadersLastAnswerUntilItEnds) {
  PartitionLease follower(kSpan, 0);
  EXPECT_FALSE(follower.is_active(10)) << "nothing was granted";
  follower.grant(7, 100, 0);
  EXPECT_FALSE(follower.is_active(102)) << "the leader may well be there";
  EXPECT_TRUE(follower.is_active(104));
  EXPECT_FALSE(follower.is_active(120.5));
  follower.grant(7, 90, 0);  // delayed by the partition
  EXPECT_TRUE(follower.is_active(115.5));
  follower.grant(7, 130, 15);  // a cancellation made 15 s ago is not carried out yet
  EXPECT_TRUE(follower.is_active(134));
  EXPECT_FALSE(follower.is_active(136));
  follower.observe_leader(8);  // a new leader, if the same controller, counts only on what it granted itself
  EXPECT_FALSE(follower.is_active(134));
}

// Each heartbeat sent into the partition once seemed to grant anew, so that the leases of 24 nodes never expired while it lasted, and
// their replicas waited for 80 s.
TEST(PartitionLease, ASilentPeerIsAllowedForDuringOneSpanOnly) {
  PartitionLeaseGrant leader(kSpan, 50);
  EXPECT_EQ(leader.renewals_until(60), 0) << "nothing was granted in this term";
  EXPECT_EQ(leader.earlier_renewals_until(60), 60) << "an earlier leader may have granted until now";
  EXPECT_NEAR(leader.earlier_renewals_until(200), 50 + kSpan, 0.1);
  leader.record_ack(0, 99.5, 99);
  leader.record_sent();
  leader.record_ack(99.4, 100, 99);
  EXPECT_NEAR(leader.renewals_until(101), 1, 0.1) << "it has the leader's answer, and told when it last renewed a lease";
  for (double now = 100; now < 300; now += 0.5) leader.record_sent();
  EXPECT_EQ(leader.renewals_until(110), 110) << "it may be renewing leases now";
  EXPECT_NEAR(leader.renewals_until(300), 100 + kSpan, 0.1);
}

TEST(PartitionLease, SpanAndOneLeaseEndBeforeACancellationMustBeCarriedOut) {
  EXPECT_LT(max_partition_lease_s(52, 22) + 22, 52);
  EXPECT_EQ(max_partition_lease_s(20, 22), 0);
}

}  // namespace
}  // namespace thistlefront
