// Lost nodes told from a network partition, by when each node was last heard from. A zone that is only partitioned must never be
// released, and nodes that died together must not wait for their leases to expire.
#include <gtest/gtest.h>

#include <random>

#include "job_builders.hpp"
#include "model/identifiers.hpp"
#include "model/ledger_records.hpp"
#include "worker_control/reachability.hpp"

namespace thistlefront {
namespace {

constexpr double kHeartbeat = 4;

// 600 nodes in two zones, each sending a heartbeat every 4 s plus or minus a quarter, as it looks `after` seconds after the first zone
// was partitioned (`partitioned`) or a share of the nodes died.
struct Fleet {
  explicit Fleet(unsigned seed, double share_lost, bool partitioned, double after) {
    std::mt19937 random(seed);
    const auto uniform = [&](double a, double b) { return std::uniform_real_distribution<double>(a, b)(random); };
    for (std::uint32_t i = 0; i < 600; ++i) {
      const ZoneIndex zone{i % 2};
      const bool gone = (partitioned && zone.value == 0) || (!partitioned && uniform(0, 1) < share_lost);
      lost += gone;
      const double age = uniform(0, uniform(3, 5));
      nodes.push_back({NodeIndex{i}, zone, gone ? age + after : age, i % 3 == 0, true});
    }
  }
  std::vector<NodeSilence> nodes;
  std::size_t lost = 0;
};

TEST(FailureDetector, NoNodeOfAPartitionedZoneIsSuspected) {
  for (unsigned seed = 1; seed <= 20; ++seed)
    for (double after = 1; after < 120; after += 0.25)
      EXPECT_TRUE(suspect_nodes(Fleet(seed, 0, true, after).nodes, kHeartbeat).empty()) << "seed " << seed << " after " << after;
  // In the first second some of the zone are late before the rest has fallen silent. They are asked, which takes a second, and then
  // judged once more: no node that a partition hides is suspected both times.
}

TEST(FailureDetector, NodesLostTogetherAreSuspectedWithinTheirLease) {
  for (double share : {0.02, 0.15, 0.3, 0.5, 0.8}) {
    const Fleet fleet(7, share, false, 16);
    EXPECT_EQ(suspect_nodes(fleet.nodes, kHeartbeat).size(), fleet.lost) << share << " lost";
  }
  // In a zone that goes on sending heartbeats they are suspected as soon as they are late.
  const Fleet soon(7, 0.15, false, 6);
  EXPECT_EQ(suspect_nodes(soon.nodes, kHeartbeat).size(), soon.lost);
  EXPECT_TRUE(suspect_nodes(Fleet(7, 0, false, 0).nodes, kHeartbeat).empty()) << "none is late";
}

TEST(FailureDetector, OneOfTwoNodesOfAZoneIsSuspected) {
  const std::vector<NodeSilence> two{{NodeIndex{0}, ZoneIndex{0}, 1, true, true}, {NodeIndex{1}, ZoneIndex{0}, 9, true, true}};
  EXPECT_EQ(suspect_nodes(two, kHeartbeat), std::vector<NodeIndex>{NodeIndex{1}});
}

// Heard from directly, only through other controllers, not recently; nodes that are terminated, expired or were never heard from are
// not counted.
TEST(Reachability, CountsNodesByHowTheyAreHeardFrom) {
  ClusterState cluster_state = cluster_state_with_core_limit(10);
  const auto add_node = [&](const std::string& name, double heartbeat_at, double direct_at) -> Node& {
    Node& node = cluster_state.node(cluster_state.find_or_add_node(name));
    node.agent.has_reported = true;
    node.agent.last_heartbeat_at = heartbeat_at;
    node.agent.last_direct_contact_at = direct_at;
    return node;
  };
  add_node("m-1", 99, 99);
  add_node("m-2", 99, 50);
  add_node("m-3", 60, 60);
  add_node("m-4", 99, 99).terminated = true;
  add_node("m-5", 99, 99).lease_expired = true;
  cluster_state.find_or_add_node("m-6");
  const auto reachability = measure_reachability(cluster_state, 100, 5);
  EXPECT_EQ(reachability.known, 3u);
  EXPECT_EQ(reachability.recent, 2u);
  EXPECT_EQ(reachability.direct, 1u);
  EXPECT_EQ(reachability.via_peers, 1u);
}

// A partition lease is shortened by the age of the oldest cancellation that is not carried out in its zone.
TEST(Reachability, FindsTheOldestPendingCancellationOfAZone) {
  ClusterState cluster_state = cluster_state_with_core_limit(10);
  for (const auto* uid : {"j-1", "j-2", "j-3"}) {
    cluster_state.apply(JobAcceptedRecord{submission(uid, 1, 1), 0.5, 1});
    cluster_state.apply(TasksStartedRecord{uid, 1, 2, {{uid == std::string("j-3") ? "m-2" : "m-1", 1, {{0, 1}}}}});
  }
  cluster_state.set_node_attributes(cluster_state.find_node("m-1"), "a", "big", "x", false);
  cluster_state.set_node_attributes(cluster_state.find_node("m-2"), "a", "big", "y", false);
  EXPECT_EQ(oldest_pending_cancellation_s(cluster_state, "x", 100, 20), 0);
  const auto cancel = [&](const std::string& uid, double at) {
    cluster_state.apply(JobCancelledRecord{uid});
    cluster_state.job(cluster_state.find(uid)).cancelled_at = at;
  };
  cancel("j-1", 97);
  cancel("j-2", 93);
  EXPECT_EQ(oldest_pending_cancellation_s(cluster_state, "x", 100, 20), 7);
  EXPECT_EQ(oldest_pending_cancellation_s(cluster_state, "y", 100, 20), 0);
  cancel("j-3", 0);
  EXPECT_EQ(oldest_pending_cancellation_s(cluster_state, "y", 100, 20), 20) << "an earlier leader's: its age is not known";
  cluster_state.apply(TasksRemovedRecord{"j-2", 1, {{0, 1}}});
  EXPECT_EQ(oldest_pending_cancellation_s(cluster_state, "x", 100, 20), 3);
}

}  // namespace
}  // namespace thistlefront
