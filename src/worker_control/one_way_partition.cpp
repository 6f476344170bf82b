#include "worker_control/one_way_partition.hpp"

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>

namespace thistlefront {

namespace {

// An incarnation that has lasted for so many leases received an answer: nothing else renews its lease.
constexpr double kAnsweredAfterLeases = 1.3;
// Heartbeat intervals, and seconds more, after which a start must have been reported.
constexpr double kUnreportedStartHeartbeats = 2.5;
constexpr double kUnreportedStartSlackS = 1.5;
constexpr double kReplacedAfterLeases = 3;
// A node is replaced only where no more than one in so many nodes of its zone is unresponsive.
constexpr std::size_t kOneInMayBeUnresponsive = 3;

struct ZoneCount {
  std::size_t known = 0, unresponsive = 0;
};

}  // namespace

void observe_message(Node& node, const Heartbeat& heartbeat, bool is_heartbeat, double now, double lease_s) {
  AgentState& agent = node.agent;
  if (std::pair(heartbeat.agent_incarnation, heartbeat.serial) <= std::pair(agent.incarnation, agent.serial)) return;
  const bool new_incarnation = agent.incarnation > 0 && heartbeat.agent_incarnation > agent.incarnation;
  const bool answered_within_lease = agent.last_answered_heartbeat_at > 0 && now - agent.last_answered_heartbeat_at < lease_s;
  if (new_incarnation && is_heartbeat && answered_within_lease) {
    if (agent.unresponsive_since == 0) agent.unresponsive_since = now;
    agent.unresponsive_token = heartbeat.fencing_token;
    return;
  }
  if (agent.unresponsive_since == 0) return;
  const bool answered_command = !is_heartbeat;
  const bool saw_new_token = heartbeat.fencing_token > agent.unresponsive_token;
  const bool outlived_lease =
      !new_incarnation && agent.incarnation_since > 0 && now - agent.incarnation_since > kAnsweredAfterLeases * lease_s;
  if (answered_command || saw_new_token || outlived_lease) agent.unresponsive_since = 0;
}

bool is_unresponsive(const Node& node, double wall, double heartbeat_interval_s) {
  if (node.agent.unresponsive_since > 0) return true;
  const double start_reported_within_s = kUnreportedStartHeartbeats * heartbeat_interval_s + kUnreportedStartSlackS;
  return std::any_of(node.placed.begin(), node.placed.end(), [&](const PlacedTask& placed) {
    const Placement& placement = *placed.placement;
    const bool awaits_start = !placement.reported && !placement.removal_pending && placement.agent_incarnation == node.agent.incarnation;
    return awaits_start && wall - placement.decided_at > start_reported_within_s;
  });
}

std::vector<NodeIndex> unresponsive_nodes_to_replace(const ClusterState& cluster_state, double now, double lease_s) {
  std::map<ZoneIndex, ZoneCount> zones;
  std::vector<NodeIndex> to_replace;
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
    const Node& node = cluster_state.node(NodeIndex{i});
    if (!node.agent.has_reported || node.terminated || node.lease_expired) continue;
    ZoneCount& zone = zones[node.zone];
    ++zone.known;
    if (node.agent.unresponsive_since <= 0) continue;
    ++zone.unresponsive;
    const bool long_enough = now - node.agent.unresponsive_since > kReplacedAfterLeases * lease_s;
    if (long_enough && node.placed.empty()) to_replace.push_back(NodeIndex{i});
  }
  std::erase_if(to_replace, [&](NodeIndex node_index) {
    const ZoneCount& zone = zones[cluster_state.node(node_index).zone];
    return zone.unresponsive > 1 && kOneInMayBeUnresponsive * zone.unresponsive > zone.known;
  });
  return to_replace;
}

}  // namespace thistlefront
