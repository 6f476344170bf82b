#include "controller/leadership_conditions.hpp"

#include <algorithm>

#include "transport/clock.hpp"
#include "worker_control/reachability.hpp"

namespace thistlefront {

namespace {
constexpr double kPeerSilenceLimitS = 3.0;  // the leader counts as isolated if no peer has sent an acknowledgement for this long

Reachability recent_reachability(const SharedState& shared, double now) {
  return measure_reachability(*shared.term->cluster_state, now, kPeerSilenceLimitS + shared.config.settings.heartbeat_interval_s);
}

void raise_to(std::vector<double>& until_by_zone, ZoneIndex zone, double until) {
  if (until_by_zone.size() <= zone.value) until_by_zone.resize(zone.value + 1, 0);
  until_by_zone[zone.value] = std::max(until_by_zone[zone.value], until);
}
}  // namespace

// The quorum bounds how long a leader renews leases inside a partition. Without it, the leader would keep its agents' leases alive as
// long as the partition lasts, while its successor confirms cancellations to users. Once a majority knows of the successor, the
// earlier leader has no quorum and soon stops replying to agents, on which the successor relies.
LeadershipEvidence leadership_evidence(const SharedState& shared, const Heartbeat& heartbeat, double now) {
  const Term& term = *shared.term;
  LeadershipEvidence evidence;
  evidence.ledger_read = term.cluster_state != nullptr;
  evidence.session_lease_valid = now < term.session_lease_valid_until;
  evidence.has_quorum = term.quorum.has_quorum(now);
  const bool own_zone = heartbeat.zone == shared.config.settings.site;
  evidence.has_partition_lease =
      evidence.ledger_read ? may_renew_in_partition(shared, heartbeat, now) : own_zone && shared.partition_lease.is_unexpired(now);
  return evidence;
}

bool may_renew_in_partition(const SharedState& shared, const Heartbeat& heartbeat, double now) {
  return shared.partition_lease.is_active(now) && heartbeat.zone == shared.config.settings.site &&
         heartbeat.fencing_token <= shared.partition_lease.fencing_token();
}

bool may_confirm_status(const SharedState& shared, const Job& job) {
  if (job.status != JobStatus::cancelled || job.placed.empty()) return true;
  return shared.term->quorum.is_takeover_known(shared.term->takeover_token);
}

bool is_isolated(const SharedState& shared) {
  const double now = steady_now();
  if (shared.peers.empty() || shared.role != Role::leading) return false;
  const Term& term = *shared.term;
  if (now - term.taken_over_at < shared.config.settings.lease_s || !term.quorum.is_isolated(now, kPeerSilenceLimitS)) return false;
  const auto reachability = recent_reachability(shared, now);
  return reachability.known_nodes > 2 * reachability.recent_nodes;
}

bool are_most_heartbeats_relayed(const SharedState& shared) {
  const double now = steady_now();
  if (shared.peers.empty() || shared.role != Role::leading) return false;
  if (now - shared.term->taken_over_at < shared.config.settings.lease_s / 2) return false;
  const auto reachability = recent_reachability(shared, now);
  return reachability.peer_only_nodes > 2 * reachability.direct_nodes && 4 * reachability.peer_only_nodes > reachability.known_nodes;
}

FencingState fencing_state(SharedState& shared, double now) {
  Term& term = *shared.term;
  ClusterState& cluster_state = *term.cluster_state;
  FencingState out;
  out.fencing_token = term.takeover_token;
  out.taken_over_at = term.taken_over_at;
  out.sole_leader_since = term.quorum.sole_leader_since(term.takeover_token, now);
  const auto zone_of = [&](const std::string& site) { return cluster_state.intern_zone(site); };
  raise_to(out.latest_earlier_renewal_by_zone, zone_of(shared.config.settings.site), shared.partition_lease.last_renewal_at());
  for (const auto& link : shared.peers) {
    const ZoneIndex zone = zone_of(link.peer.site);
    raise_to(out.latest_renewal_by_zone, zone, link.partition_lease.latest_possible_renewal(now));
    raise_to(out.latest_earlier_renewal_by_zone, zone, link.partition_lease.latest_possible_earlier_renewal(now));
  }
  return out;
}

}  // namespace thistlefront
