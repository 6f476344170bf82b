#include "controller/leadership_conditions.hpp"

#include <algorithm>

#include "transport/clock.hpp"
#include "worker_control/reachability.hpp"

namespace thistlefront {

namespace {
constexpr double kPeersLostS = 3.0;  // no peer has answered for so long

Reachability recent_reachability(const SharedState& shared, double now) {
  return measure_reachability(*shared.term->cluster_state, now, kPeersLostS + shared.config.settings.heartbeat_interval_s);
}

void extend(std::vector<double>& until_by_zone, ZoneIndex zone, double until) {
  if (until_by_zone.size() <= zone.value) until_by_zone.resize(zone.value + 1, 0);
  until_by_zone[zone.value] = std::max(until_by_zone[zone.value], until);
}
}  // namespace

// A leader inside a partition would keep its agents' leases alive for as long as the partition lasts, while its successor tells
// users that their jobs are cancelled. A majority that knows of the successor leaves it without a quorum, so the successor can
// count on its silence soon after.
LeadershipEvidence leadership_evidence(const SharedState& shared, const Heartbeat& heartbeat, double now) {
  const Term& term = *shared.term;
  LeadershipEvidence evidence;
  evidence.ledger_read = term.cluster_state != nullptr;
  evidence.session_lease_valid = now < term.lease_valid_until;
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

bool may_confirm(const SharedState& shared, const Job& job) {
  if (job.status != JobStatus::cancelled || job.placed.empty()) return true;
  return shared.term->quorum.is_takeover_known(shared.term->takeover_token);
}

bool is_isolated(const SharedState& shared) {
  const double now = steady_now();
  if (shared.peers.empty() || shared.role != Role::leading) return false;
  const Term& term = *shared.term;
  if (now - term.taken_over_at < shared.config.settings.lease_s || !term.quorum.is_isolated(now, kPeersLostS)) return false;
  const auto heard = recent_reachability(shared, now);
  return heard.known_nodes > 2 * heard.recent_nodes;
}

bool are_workers_heard_through_peers(const SharedState& shared) {
  const double now = steady_now();
  if (shared.peers.empty() || shared.role != Role::leading) return false;
  if (now - shared.term->taken_over_at < shared.config.settings.lease_s / 2) return false;
  const auto heard = recent_reachability(shared, now);
  return heard.peer_only_nodes > 2 * heard.direct_nodes && 4 * heard.peer_only_nodes > heard.known_nodes;
}

FencingState fencing_state(SharedState& shared, double now) {
  Term& term = *shared.term;
  ClusterState& cluster_state = *term.cluster_state;
  FencingState out;
  out.fencing_token = term.takeover_token;
  out.taken_over_at = term.taken_over_at;
  out.sole_leader_since = term.quorum.sole_leader_since(term.takeover_token, now);
  const auto zone_of = [&](const std::string& site) { return cluster_state.intern_zone(site); };
  extend(out.latest_earlier_renewal_by_zone, zone_of(shared.config.settings.site), shared.partition_lease.last_renewal_at());
  for (const auto& link : shared.peers) {
    const ZoneIndex zone = zone_of(link.peer.site);
    extend(out.latest_renewal_by_zone, zone, link.partition_lease.latest_possible_renewal(now));
    extend(out.latest_earlier_renewal_by_zone, zone, link.partition_lease.latest_possible_earlier_renewal(now));
  }
  return out;
}

}  // namespace thistlefront
