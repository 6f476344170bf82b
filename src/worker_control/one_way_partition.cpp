#include "worker_control/one_way_partition.hpp"

#include <algorithm>
#include <map>

#include "model/heartbeat.hpp"
#include "model/identifiers.hpp"

namespace thistlefront {

namespace {
constexpr double kSurelyHears = 1.3;                // leases of one tenure: some answer renewed it
constexpr double kUnreportedStartHeartbeats = 2.5;  // report periods after which a start must have been told of
constexpr double kUnreportedStartSlack = 1.5;
constexpr double kGivenUpLeases = 3;
constexpr std::size_t kFew = 3;  // one in so many of a zone
}  // namespace

void observe_message(Node& node, const Heartbeat& heartbeat, bool is_heartbeat, double now, double lease_s) {
  if (std::pair(heartbeat.agent_incarnation, heartbeat.serial) <= std::pair(node.agent.incarnation, node.agent.serial)) return;
  const bool began_anew = node.agent.incarnation > 0 && heartbeat.agent_incarnation > node.agent.incarnation;
  if (began_anew && is_heartbeat && node.agent.last_answered_at > 0 && now - node.agent.last_answered_at < lease_s) {
    if (node.agent.unresponsive_since == 0) node.agent.unresponsive_since = now;
    node.agent.unresponsive_token = heartbeat.fencing_token;
    return;
  }
  if (node.agent.unresponsive_since == 0) return;
  // A command that it answered, a token that it had not seen, or a tenure that outlived its lease.
  const bool outlived = !began_anew && node.agent.incarnation_since > 0 && now - node.agent.incarnation_since > kSurelyHears * lease_s;
  if (!is_heartbeat || heartbeat.fencing_token > node.agent.unresponsive_token || outlived) node.agent.unresponsive_since = 0;
}

bool is_unresponsive(const Node& node, double wall, double heartbeat_interval_s) {
  if (node.agent.unresponsive_since > 0) return true;
  return std::any_of(node.placed.begin(), node.placed.end(), [&](const PlacedTask& ref) {
    const Placement& p = *ref.placement;
    return !p.reported && !p.end_pending && p.agent_incarnation == node.agent.incarnation &&
           wall - p.decided_at > kUnreportedStartHeartbeats * heartbeat_interval_s + kUnreportedStartSlack;
  });
}

std::vector<NodeIndex> unresponsive_nodes_to_replace(const ClusterState& cluster_state, double now, double lease_s) {
  std::map<ZoneIndex, std::pair<std::size_t, std::size_t>> zones;  // known, deaf
  std::vector<NodeIndex> out;
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
    const Node& node = cluster_state.node(NodeIndex{i});
    if (!node.agent.has_reported || node.terminated || node.lease_expired) continue;
    auto& [known, unresponsive] = zones[node.zone];
    ++known;
    unresponsive += node.agent.unresponsive_since > 0;
    if (node.agent.unresponsive_since > 0 && now - node.agent.unresponsive_since > kGivenUpLeases * lease_s && node.placed.empty())
      out.push_back(NodeIndex{i});
  }
  std::erase_if(out, [&](NodeIndex h) {
    const auto& [known, unresponsive] = zones[cluster_state.node(h).zone];
    return kFew * unresponsive > known && unresponsive > 1;
  });
  return out;
}

}  // namespace thistlefront
