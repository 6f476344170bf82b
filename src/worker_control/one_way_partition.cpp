#include "worker_control/one_way_partition.hpp"

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>

namespace thistlefront {

namespace {

// An incarnation that has lasted for this many leases has received a reply, because nothing else renews its lease.
constexpr double kResponsiveAfterLeases = 1.3;
// A start must be reported within this many heartbeat intervals plus the slack.
constexpr double kStartReportedWithinIntervals = 2.5;
constexpr double kStartReportSlackS = 1.5;
// An unresponsive node is replaced after this many leases.
constexpr double kReplaceAfterLeases = 3;
// A node is replaced only if it is the only unresponsive node of its zone, or at most one in this many nodes there is unresponsive.
constexpr std::size_t kMaxUnresponsiveDivisor = 3;

struct ZoneNodeCounts {
  std::size_t known = 0, unresponsive = 0;
};

}  // namespace

void track_responsiveness(Node& node, const Heartbeat& heartbeat, bool is_heartbeat, double now, double lease_s) {
  AgentState& agent = node.agent;
  if (std::pair(heartbeat.agent_incarnation, heartbeat.serial) <= std::pair(agent.incarnation, agent.serial)) return;
  const bool new_incarnation = agent.incarnation > 0 && heartbeat.agent_incarnation > agent.incarnation;
  const bool replied_within_lease = agent.last_replied_heartbeat_at > 0 && now - agent.last_replied_heartbeat_at < lease_s;
  if (new_incarnation && is_heartbeat && replied_within_lease) {
    if (agent.unresponsive_since == 0) agent.unresponsive_since = now;
    agent.unresponsive_token = heartbeat.fencing_token;
    return;
  }
  if (agent.unresponsive_since == 0) return;
  const bool replied_to_command = !is_heartbeat;
  const bool saw_new_token = heartbeat.fencing_token > agent.unresponsive_token;
  const bool outlived_lease =
      !new_incarnation && agent.incarnation_since > 0 && now - agent.incarnation_since > kResponsiveAfterLeases * lease_s;
  if (replied_to_command || saw_new_token || outlived_lease) agent.unresponsive_since = 0;
}

bool is_unresponsive(const Node& node, double wall_now, double heartbeat_interval_s) {
  if (node.agent.unresponsive_since > 0) return true;
  const double start_reported_within_s = kStartReportedWithinIntervals * heartbeat_interval_s + kStartReportSlackS;
  return std::any_of(node.placed.begin(), node.placed.end(), [&](const PlacedTask& placed) {
    const Placement& placement = *placed.placement;
    const bool awaits_start = !placement.reported && !placement.removal_pending && placement.agent_incarnation == node.agent.incarnation;
    return awaits_start && wall_now - placement.decided_at > start_reported_within_s;
  });
}

std::vector<NodeIndex> find_unresponsive_nodes_to_replace(const ClusterState& cluster_state, double now, double lease_s) {
  std::map<ZoneIndex, ZoneNodeCounts> zones;
  std::vector<NodeIndex> to_replace;
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
    const Node& node = cluster_state.node(NodeIndex{i});
    if (!node.agent.has_reported || node.terminated || node.lease_expired) continue;
    ZoneNodeCounts& zone = zones[node.zone];
    ++zone.known;
    if (node.agent.unresponsive_since <= 0) continue;
    ++zone.unresponsive;
    const bool is_due_for_replacement = now - node.agent.unresponsive_since > kReplaceAfterLeases * lease_s;
    if (is_due_for_replacement && node.placed.empty()) to_replace.push_back(NodeIndex{i});
  }
  std::erase_if(to_replace, [&](NodeIndex node_index) {
    const ZoneNodeCounts& zone = zones[cluster_state.node(node_index).zone];
    return zone.unresponsive > 1 && kMaxUnresponsiveDivisor * zone.unresponsive > zone.known;
  });
  return to_replace;
}

}  // namespace thistlefront
