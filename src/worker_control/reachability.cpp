#include "worker_control/reachability.hpp"

#include <algorithm>

#include "model/identifiers.hpp"
#include "model/job.hpp"

namespace thistlefront {

Reachability measure_reachability(const ClusterState& cluster_state, double now, double lately_s) {
  Reachability out;
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
    const Node& node = cluster_state.node(NodeIndex{i});
    if (!node.agent.has_reported || node.terminated || node.lease_expired) continue;
    const bool lately = now - node.agent.last_heartbeat_at < lately_s, direct = now - node.agent.last_direct_contact_at < lately_s;
    ++out.known;
    out.recent += lately;
    out.direct += direct;
    out.via_peers += lately && !direct;
  }
  return out;
}

std::vector<NodeSilence> measure_silence(const ClusterState& cluster_state, double now, double taken_over_at) {
  std::vector<NodeSilence> out;
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
    const Node& node = cluster_state.node(NodeIndex{i});
    if (node.terminated || node.lease_expired) continue;
    // One that holds work and was never heard of since the takeover may have died with the earlier leader
    // (lienzo grown, troubles: 12 machines die as the leader ends, and their replicas waited for the whole
    // lease).
    if (!node.agent.has_reported && (node.placed.empty() || node.address.empty())) continue;
    const bool serves = std::any_of(node.placed.begin(), node.placed.end(),
                                    [&](const TaskRef& ref) { return cluster_state.job(ref.job).spec.job_type == JobType::service; });
    out.push_back({NodeIndex{i}, node.zone, now - (node.agent.has_reported ? node.agent.last_heartbeat_at : taken_over_at), serves,
                   !node.placed.empty()});
  }
  return out;
}

double oldest_pending_cancellation_s(const ClusterState& cluster_state, const std::string& site, double now, double otherwise) {
  double oldest_cancellation_s = 0;
  for (JobIndex j : cluster_state.live()) {
    const Job& job = cluster_state.job(j);
    if (job.status != JobStatus::cancelled) continue;
    const bool there = std::any_of(job.placed.begin(), job.placed.end(), [&](const auto& p) {
      const ZoneIndex zone = cluster_state.node(p.second.node).zone;
      return !zone.valid() || cluster_state.zone_name(zone) == site;
    });
    if (there) oldest_cancellation_s = std::max(oldest_cancellation_s, job.cancelled_at > 0 ? now - job.cancelled_at : otherwise);
  }
  return oldest_cancellation_s;
}

}  // namespace thistlefront
