// Lost machines told from a cut: kept traces of when each machine was last heard of. A zone that is only cut
// must never be released, and machines that died together must not wait for their leases.
#include <gtest/gtest.h>

#include <random>

#include "job_builders.hpp"
#include "model/identifiers.hpp"
#include "model/ledger_records.hpp"
#include "worker_control/reachability.hpp"

namespace thistlefront {
namespace {

constexpr double kHeartbeat = 4;

// 600 machines in two zones, each reporting every 4 s plus or minus a quarter until `cut` (all of the first
// zone) or its death; as it looks `after` seconds later.
struct Fleet {
  explicit Fleet(unsigned seed, double share_lost, bool cut, double after) {
    std::mt19937 random(seed);
    const auto uniform = [&](double a, double b) { return std::uniform_real_distribution<double>(a, b)(random); };
    for (std::uint32_t i = 0; i < 600; ++i) {
      const ZoneIndex zone{i % 2};
      const bool gone = (cut && zone.value == 0) || (!cut && uniform(0, 1) < share_lost);
      lost += gone;
      const double age = uniform(0, uniform(3, 5));
      machines.push_back({NodeIndex{i}, zone, gone ? age + after : age, i % 3 == 0, true});
    }
  }
  std::vector<NodeSilence> machines;
  std::size_t lost = 0;
};

TEST(Silence, AZoneThatIsCutIsNeverDoubted) {
  for (unsigned seed = 1; seed <= 20; ++seed)
    for (double after = 1; after < 120; after += 0.25)
      EXPECT_TRUE(suspect_nodes(Fleet(seed, 0, true, after).machines, kHeartbeat).empty()) << "seed " << seed << " after " << after;
  // In its first second some of it are late before the rest has fallen silent. They are asked, which takes a
  // second, and looked at once more: no machine that a cut hides is doubted both times.
}

TEST(Silence, MachinesLostTogetherAreFoundWithinTheirLease) {
  for (double share : {0.02, 0.15, 0.3, 0.5, 0.8}) {
    const Fleet fleet(7, share, false, 16);
    EXPECT_EQ(suspect_nodes(fleet.machines, kHeartbeat).size(), fleet.lost) << share << " lost";
  }
  // Of a zone that goes on reporting they are found as soon as they are late.
  const Fleet soon(7, 0.15, false, 6);
  EXPECT_EQ(suspect_nodes(soon.machines, kHeartbeat).size(), soon.lost);
  EXPECT_TRUE(suspect_nodes(Fleet(7, 0, false, 0).machines, kHeartbeat).empty()) << "none is late";
}

TEST(Silence, OneOfTwoMachinesOfAZoneIsFound) {
  const std::vector<NodeSilence> two{{NodeIndex{0}, ZoneIndex{0}, 1, true, true}, {NodeIndex{1}, ZoneIndex{0}, 9, true, true}};
  EXPECT_EQ(suspect_nodes(two, kHeartbeat), std::vector<NodeIndex>{NodeIndex{1}});
}

// Reported by way of others only, by itself, lately not at all; gone, lost and never heard of are not
// counted.
TEST(Reachability, TellsMachinesApartByHowTheyAreHeardOf) {
  ClusterState cluster_state = book_of_red(10);
  const auto machine = [&](const std::string& name, double reported_at, double direct_at) -> Node& {
    Node& node = cluster_state.node(cluster_state.find_or_add_node(name));
    node.agent.has_reported = true;
    node.agent.last_heartbeat_at = reported_at;
    node.agent.last_direct_contact_at = direct_at;
    return node;
  };
  machine("m-1", 99, 99);
  machine("m-2", 99, 50);
  machine("m-3", 60, 60);
  machine("m-4", 99, 99).terminated = true;
  machine("m-5", 99, 99).lease_expired = true;
  cluster_state.find_or_add_node("m-6");
  const auto heard = measure_reachability(cluster_state, 100, 5);
  EXPECT_EQ(heard.known, 3u);
  EXPECT_EQ(heard.recent, 2u);
  EXPECT_EQ(heard.direct, 1u);
  EXPECT_EQ(heard.via_peers, 1u);
}

// What may be kept in a cut is shortened by the oldest cancellation not carried out there.
TEST(Reachability, OwesTheOldestCancellationOfAZone) {
  ClusterState cluster_state = book_of_red(10);
  for (const auto* uid : {"j-1", "j-2", "j-3"}) {
    cluster_state.apply(JobAcceptedRecord{submission(uid, 1, 1), 0.5, 1});
    cluster_state.apply(TasksStartedRecord{uid, 1, 2, {{uid == std::string("j-3") ? "m-2" : "m-1", 1, {{0, 1}}}}});
  }
  cluster_state.describe_node(cluster_state.find_node("m-1"), "a", "big", "x", false);
  cluster_state.describe_node(cluster_state.find_node("m-2"), "a", "big", "y", false);
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
