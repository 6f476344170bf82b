#include "worker_control/lease_expiry.hpp"

#include <algorithm>

#include "model/clock_drift.hpp"
#include "worker_control/task_records.hpp"

namespace thistlefront {

namespace {

// Added to the lease duration for delays of timers and thread scheduling.
constexpr double kExpiryMarginS = 0.3;

// Returns the latest time at which a peer in the node's zone may have renewed the lease. All zones count if the node's is unknown.
double latest_renewal_in_zone_of(const Node& node, const std::vector<double>& latest_renewal_by_zone) {
  double latest = 0;
  for (std::size_t zone = 0; zone < latest_renewal_by_zone.size(); ++zone)
    if (zone == node.zone.value || !node.zone.valid()) latest = std::max(latest, latest_renewal_by_zone[zone]);
  return latest;
}

bool is_evictable(const PlacedTask& placed) {
  return !placed.placement->removal_pending;
}

}  // namespace

void record_lease_renewal(Node& node, bool stale, double steady_now) {
  const double renewed_at = stale ? std::min(node.agent.last_message_at, steady_now) : steady_now;
  node.agent.last_replied_heartbeat_at = std::max(node.agent.last_replied_heartbeat_at, renewed_at);
}

bool is_lease_expired(const Node& node, const FencingState& fencing_state, double lease_s, double steady_now) {
  // Replies of an earlier leader may have renewed the lease until the agent was known to have seen this leader's token. Without
  // `fenced_at`, the lease of an agent whose first contact was a direct command would seem expired, as this leader never renewed it.
  double renewed_at = std::max(node.agent.last_replied_heartbeat_at, node.agent.fenced_at);
  // A peer that is partitioned from this leader may renew the leases in its own zone for a limited time.
  renewed_at = std::max(renewed_at, latest_renewal_in_zone_of(node, fencing_state.latest_renewal_by_zone));
  if (node.agent.highest_token < fencing_state.fencing_token) {
    // Another controller may have replied to the agent under an earlier token until that controller knew of this takeover.
    if (fencing_state.sole_leader_since < 0) return false;
    renewed_at = std::max({renewed_at, fencing_state.sole_leader_since, fencing_state.taken_over_at,
                           latest_renewal_in_zone_of(node, fencing_state.latest_earlier_renewal_by_zone)});
  }
  return steady_now > renewed_at + lease_s * (1 + kClockDrift) + kExpiryMarginS;
}

bool runs_nothing(const Node& node) {
  return node.terminated || node.lease_expired;
}

std::vector<Record> evict_all_tasks(ClusterState& cluster_state, NodeIndex node_index) {
  TaskEndRecords end_records;
  for (const auto& placed : cluster_state.node(node_index).placed) {
    if (!is_evictable(placed)) continue;
    placed.placement->removal_pending = true;
    end_records.add_removed(cluster_state, placed, placed.placement->attempt);
  }
  return end_records.records(cluster_state);
}

std::vector<Eviction> evict_from_lost_nodes(ClusterState& cluster_state, const FencingState& fencing_state, double lease_s,
                                            double steady_now) {
  std::vector<Eviction> evictions;
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
    const NodeIndex index{i};
    Node& node = cluster_state.node(index);
    if (!runs_nothing(node)) node.lease_expired = is_lease_expired(node, fencing_state, lease_s, steady_now);
    if (!runs_nothing(node)) continue;
    const auto task_count = static_cast<std::size_t>(std::count_if(node.placed.begin(), node.placed.end(), is_evictable));
    if (task_count > 0) evictions.push_back({index, task_count, evict_all_tasks(cluster_state, index)});
  }
  return evictions;
}

}  // namespace thistlefront
