// How long a follower renews leases under its partition lease, and until when the leader must expect such renewals. safety_test and
// lease_renewal_policy_test check that this is safe.
#include "leadership/partition_lease.hpp"

#include <gtest/gtest.h>

namespace thistlefront {
namespace {

constexpr double kMaxDurationS = 20;

TEST(PartitionLease, IsActiveAfterTheLeaderFallsSilentUntilItExpires) {
  PartitionLease follower(kMaxDurationS, 0);
  EXPECT_FALSE(follower.is_active(10)) << "nothing was granted";
  follower.grant(7, 100, 0);
  EXPECT_FALSE(follower.is_active(102)) << "the leader is not silent yet";
  EXPECT_TRUE(follower.is_active(104));
  EXPECT_FALSE(follower.is_active(120.5));
  follower.grant(7, 90, 0);  // delayed by the partition
  EXPECT_TRUE(follower.is_active(115.5));
  follower.grant(7, 130, 15);  // a cancellation of 15 s ago is not carried out yet
  EXPECT_TRUE(follower.is_active(134));
  EXPECT_FALSE(follower.is_active(136));
  follower.observe_leader(8);  // a new term, also of the same controller, relies only on its own grants
  EXPECT_FALSE(follower.is_active(134));
}

// Guards against a grant that each peer heartbeat extends although the partitioned peer does not receive it. The leases of 24 nodes
// then did not expire during the partition, and their replicas were not restarted for 80 s.
TEST(PartitionLeaseGrant, ExpiresWhilePeerHeartbeatsStayUnacknowledged) {
  PartitionLeaseGrant grant(kMaxDurationS, 50);
  EXPECT_EQ(grant.latest_possible_renewal(60), 0) << "nothing was granted in this term";
  EXPECT_EQ(grant.latest_possible_earlier_renewal(60), 60) << "an earlier leader may have granted a lease that is still valid";
  EXPECT_NEAR(grant.latest_possible_earlier_renewal(200), 50 + kMaxDurationS, 0.1);
  grant.record_ack(0, 99.5, 99);
  grant.record_heartbeat_sent();
  grant.record_ack(99.4, 100, 99);
  EXPECT_NEAR(grant.latest_possible_renewal(101), 1, 0.1) << "the leader is not silent for the peer, whose last renewal is known";
  for (double now = 100; now < 300; now += 0.5) grant.record_heartbeat_sent();
  EXPECT_EQ(grant.latest_possible_renewal(110), 110) << "the peer may be renewing leases now";
  EXPECT_NEAR(grant.latest_possible_renewal(300), 100 + kMaxDurationS, 0.1);
}

TEST(PartitionLease, EndsOneLeaseBeforeACancellationMustBeCarriedOut) {
  EXPECT_LT(max_partition_lease_s(52, 22) + 22, 52);
  EXPECT_EQ(max_partition_lease_s(20, 22), 0);
}

}  // namespace
}  // namespace thistlefront
