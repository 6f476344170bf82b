#include "worker_control/lease_expiry.hpp"

#include <algorithm>

#include "model/clock_drift.hpp"
#include "worker_control/task_records.hpp"

namespace thistlefront {

namespace {

// Slack beyond the lease itself, for delays of timers and scheduling.
constexpr double kExpiryMarginS = 0.3;

// Until when a peer in the node's zone may have renewed the lease; of all zones where the node's is not known.
double latest_renewal_by_peers(const Node& node, const std::vector<double>& renewed_until_by_zone) {
  double latest = 0;
  for (std::size_t zone = 0; zone < renewed_until_by_zone.size(); ++zone)
    if (zone == node.zone.value || !node.zone.valid()) latest = std::max(latest, renewed_until_by_zone[zone]);
  return latest;
}

}  // namespace

void record_lease_renewal(Node& node, bool stale, double steady) {
  const double renewed_at = stale ? std::min(node.agent.last_message_at, steady) : steady;
  node.agent.last_answered_heartbeat_at = std::max(node.agent.last_answered_heartbeat_at, renewed_at);
}

bool is_lease_expired(const Node& node, const FencingState& fencing_state, double lease_s, double steady) {
  // An earlier leader's answers count until the agent was known to have seen this leader's token. Without that, the lease of an
  // agent whose first contact was a direct command would count from the beginning of time, as this leader never renewed it.
  double renewed_at = std::max(node.agent.last_answered_heartbeat_at, node.agent.fenced_at);
  // A peer that a partition separates from this leader may renew the leases of its own zone for a while.
  renewed_at = std::max(renewed_at, latest_renewal_by_peers(node, fencing_state.renewed_until_by_zone));
  if (node.agent.highest_token < fencing_state.fencing_token) {
    // Another controller may have answered it under an earlier token until that controller knew of this takeover.
    if (fencing_state.peers_acked_at < 0) return false;
    renewed_at = std::max({renewed_at, fencing_state.peers_acked_at, fencing_state.taken_over_at,
                           latest_renewal_by_peers(node, fencing_state.earlier_renewed_until_by_zone)});
  }
  return steady > renewed_at + lease_s * (1 + kClockDrift) + kExpiryMarginS;
}

std::vector<Record> evict_all_tasks(ClusterState& cluster_state, NodeIndex node_index) {
  TaskEndRecords ends;
  for (const auto& placed : cluster_state.node(node_index).placed) {
    Placement& placement = *placed.placement;
    if (placement.removal_pending) continue;
    placement.removal_pending = true;
    ends.add_removed(cluster_state, placed, placement.attempt);
  }
  return ends.records(cluster_state);
}

}  // namespace thistlefront
