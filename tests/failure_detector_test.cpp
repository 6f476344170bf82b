// The failure detector distinguishes lost nodes from a network partition by the silence of each node. Nodes of a zone that is only
// partitioned must never be released, and tasks of nodes that died together must not wait until the leases expire.
#include <gtest/gtest.h>

#include <random>

#include "job_builders.hpp"
#include "model/identifiers.hpp"
#include "model/ledger_records.hpp"
#include "worker_control/reachability.hpp"

namespace thistlefront {
namespace {

constexpr double kHeartbeatIntervalS = 4;

// 600 nodes in two zones, each sending a heartbeat every 4 s plus or minus a quarter, `elapsed_s` seconds after the first zone was
// partitioned (`partitioned`) or after the fraction `lost_fraction` of all nodes died.
struct Fleet {
  explicit Fleet(unsigned seed, double lost_fraction, bool partitioned, double elapsed_s) {
    std::mt19937 random(seed);
    const auto uniform = [&](double low, double high) { return std::uniform_real_distribution<double>(low, high)(random); };
    for (std::uint32_t i = 0; i < 600; ++i) {
      const ZoneIndex zone{i % 2};
      const bool silent = (partitioned && zone.value == 0) || (!partitioned && uniform(0, 1) < lost_fraction);
      lost_nodes += silent;
      const double heartbeat_age_s = uniform(0, uniform(3, 5));
      nodes.push_back({NodeIndex{i}, zone, silent ? heartbeat_age_s + elapsed_s : heartbeat_age_s, i % 3 == 0, true});
    }
  }
  std::vector<NodeSilence> nodes;
  std::size_t lost_nodes = 0;
};

TEST(FailureDetector, SuspectsNoNodeOfAPartitionedZone) {
  for (unsigned seed = 1; seed <= 20; ++seed)
    for (double elapsed_s = 1; elapsed_s < 120; elapsed_s += 0.25)
      EXPECT_TRUE(find_suspect_nodes(Fleet(seed, 0, true, elapsed_s).nodes, kHeartbeatIntervalS).empty())
          << "seed " << seed << " after " << elapsed_s;
  // Not checked for the first second, when some nodes of the zone are late and the others not yet silent. Late nodes are probed, which
  // takes a second, and then rechecked: no partitioned node is suspected both times.
}

TEST(FailureDetector, SuspectsNodesLostTogetherWithinTheirLease) {
  for (double lost_fraction : {0.02, 0.15, 0.3, 0.5, 0.8}) {
    const Fleet fleet(7, lost_fraction, false, 16);
    EXPECT_EQ(find_suspect_nodes(fleet.nodes, kHeartbeatIntervalS).size(), fleet.lost_nodes) << lost_fraction << " lost";
  }
  // In a zone that keeps sending heartbeats, lost nodes are suspected as soon as they are late.
  const Fleet soon_after_loss(7, 0.15, false, 6);
  EXPECT_EQ(find_suspect_nodes(soon_after_loss.nodes, kHeartbeatIntervalS).size(), soon_after_loss.lost_nodes);
  EXPECT_TRUE(find_suspect_nodes(Fleet(7, 0, false, 0).nodes, kHeartbeatIntervalS).empty()) << "none is late";
}

TEST(FailureDetector, SuspectsOneOfTwoNodesOfAZone) {
  const std::vector<NodeSilence> two_nodes{{NodeIndex{0}, ZoneIndex{0}, 1, true, true}, {NodeIndex{1}, ZoneIndex{0}, 9, true, true}};
  EXPECT_EQ(find_suspect_nodes(two_nodes, kHeartbeatIntervalS), std::vector<NodeIndex>{NodeIndex{1}});
}

// Nodes that are terminated, whose lease has expired, or that have sent no heartbeat are not counted.
TEST(Reachability, CountsNodesByTheRouteOfTheirHeartbeats) {
  ClusterState cluster_state = cluster_state_with_core_limit(10);
  const auto add_node = [&](const std::string& name, double last_heartbeat_at, double last_direct_contact_at) -> Node& {
    Node& node = cluster_state.node(cluster_state.find_or_add_node(name));
    node.agent.has_reported = true;
    node.agent.last_heartbeat_at = last_heartbeat_at;
    node.agent.last_direct_contact_at = last_direct_contact_at;
    return node;
  };
  add_node("m-1", 99, 99);
  add_node("m-2", 99, 50);
  add_node("m-3", 60, 60);
  add_node("m-4", 99, 99).terminated = true;
  add_node("m-5", 99, 99).lease_expired = true;
  cluster_state.find_or_add_node("m-6");
  const auto reachability = measure_reachability(cluster_state, 100, 5);
  EXPECT_EQ(reachability.known_nodes, 3u);
  EXPECT_EQ(reachability.recent_nodes, 2u);
  EXPECT_EQ(reachability.direct_nodes, 1u);
  EXPECT_EQ(reachability.peer_only_nodes, 1u);
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
  const auto cancel = [&](const std::string& uid, double cancelled_at) {
    cluster_state.apply(JobCancelledRecord{uid});
    cluster_state.job(cluster_state.find(uid)).cancelled_at = cancelled_at;
  };
  cancel("j-1", 97);
  cancel("j-2", 93);
  EXPECT_EQ(oldest_pending_cancellation_s(cluster_state, "x", 100, 20), 7);
  EXPECT_EQ(oldest_pending_cancellation_s(cluster_state, "y", 100, 20), 0);
  cancel("j-3", 0);
  EXPECT_EQ(oldest_pending_cancellation_s(cluster_state, "y", 100, 20), 20) << "an earlier leader cancelled it, so its age is unknown";
  cluster_state.apply(TasksRemovedRecord{"j-2", 1, {{0, 1}}});
  EXPECT_EQ(oldest_pending_cancellation_s(cluster_state, "x", 100, 20), 3);
}

}  // namespace
}  // namespace thistlefront
