#include "worker_control/reachability.hpp"

#include <algorithm>

#include "model/identifiers.hpp"
#include "model/job.hpp"

namespace thistlefront {

namespace {

// A node with tasks that has sent no heartbeat since the takeover may have died together with the earlier leader. If it were ignored,
// its replicas would be restarted only after a whole lease; one incident lost 12 nodes in this way.
bool may_run_tasks(const Node& node) {
  if (node.terminated || node.lease_expired) return false;
  return node.agent.has_reported || (!node.placed.empty() && !node.address.empty());
}

// Whether a task of the job is placed on a node that is or may be in this zone. A node of unknown zone may be in any zone.
bool is_placed_in_zone(const ClusterState& cluster_state, const Job& job, const std::string& zone_name) {
  return std::any_of(job.placed.begin(), job.placed.end(), [&](const auto& entry) {
    const ZoneIndex zone = cluster_state.node(entry.second.node).zone;
    return !zone.valid() || cluster_state.zone_name(zone) == zone_name;
  });
}

}  // namespace

Reachability measure_reachability(const ClusterState& cluster_state, double now, double recent_s) {
  Reachability reachability;
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
    const Node& node = cluster_state.node(NodeIndex{i});
    if (!node.agent.has_reported || node.terminated || node.lease_expired) continue;
    const bool recent = now - node.agent.last_heartbeat_at < recent_s;
    const bool direct = now - node.agent.last_direct_contact_at < recent_s;
    ++reachability.known_nodes;
    if (recent) ++reachability.recent_nodes;
    if (direct) ++reachability.direct_nodes;
    if (recent && !direct) ++reachability.peer_only_nodes;
  }
  return reachability;
}

std::vector<NodeSilence> measure_silence(const ClusterState& cluster_state, double now, double taken_over_at) {
  std::vector<NodeSilence> silences;
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
    const Node& node = cluster_state.node(NodeIndex{i});
    if (!may_run_tasks(node)) continue;
    const bool runs_services = std::any_of(node.placed.begin(), node.placed.end(), [&](const TaskRef& ref) {
      return cluster_state.job(ref.job).spec.job_type == JobType::service;
    });
    const double silent_since = node.agent.has_reported ? node.agent.last_heartbeat_at : taken_over_at;
    silences.push_back({NodeIndex{i}, node.zone, now - silent_since, runs_services, !node.placed.empty()});
  }
  return silences;
}

double oldest_pending_cancellation_s(const ClusterState& cluster_state, const std::string& zone, double now, double inherited_age_s) {
  double oldest_s = 0;
  for (JobIndex job_index : cluster_state.live()) {
    const Job& job = cluster_state.job(job_index);
    if (job.status != JobStatus::cancelled || !is_placed_in_zone(cluster_state, job, zone)) continue;
    oldest_s = std::max(oldest_s, job.cancelled_at > 0 ? now - job.cancelled_at : inherited_age_s);
  }
  return oldest_s;
}

}  // namespace thistlefront
