#include "controller/peer_monitor.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "transport/clock.hpp"
#include "transport/threads.hpp"
#include "worker_control/reachability.hpp"

namespace thistlefront {

namespace {
constexpr double kPeerHeartbeatPeriodS = 0.5;
constexpr double kPeerHeartbeatTimeoutS = 1.0;
constexpr double kMsPerSecond = 1000;
}  // namespace

void PeerMonitor::run(std::stop_token stop, std::size_t peer) {
  auto& link = shared_.peers[peer];
  bool reachable = true;
  while (pause_for(stop, kPeerHeartbeatPeriodS)) {
    const auto outgoing = next_heartbeat(stop, link);
    if (!outgoing) return;
    const double sent_at = steady_now();
    const auto reply_frame = link.heartbeats->call(pack(outgoing->heartbeat), kPeerHeartbeatTimeoutS);
    const auto ack = reply_frame ? unpack_peer_heartbeat_ack(*reply_frame) : std::nullopt;
    if (reachable != ack.has_value()) {
      reachable = ack.has_value();
      spdlog::info("peer {}: {}", link.peer.label, reachable ? "reachable" : "not reachable");
    }
    if (ack) apply_ack(peer, *outgoing, sent_at, *ack);
  }
}

std::optional<PeerMonitor::OutgoingHeartbeat> PeerMonitor::next_heartbeat(std::stop_token stop, PeerLink& link) {
  Lock lock(shared_.mutex);
  shared_.role_changed.wait(lock, stop, [&] { return shared_.role != Role::follower; });
  if (stop.stop_requested()) return std::nullopt;
  OutgoingHeartbeat out;
  out.term = shared_.term_number;
  out.heartbeat = make_heartbeat(link);
  if (out.heartbeat.echoed_process != 0) out.echoed_sent_at = link.last_acked_sent_at;
  return out;
}

PeerHeartbeat PeerMonitor::make_heartbeat(PeerLink& link) const {
  const Term& term = *shared_.term;
  const auto& settings = shared_.config.settings;
  PeerHeartbeat out;
  out.label = settings.label;
  out.fencing_token = term.fencing_token;
  out.takeover_token = term.takeover_token;
  if (!shared_.may_decide() || link.last_ack_process == 0) return out;
  const double oldest_cancellation_s = oldest_pending_cancellation_s(*term.cluster_state, link.peer.site, steady_now(), settings.cancel_s);
  if (oldest_cancellation_s >= settings.cancel_s) return out;
  out.echoed_process = link.last_ack_process;
  out.echoed_clock_ms = link.last_ack_clock_ms;
  out.oldest_cancellation_age_ms = static_cast<std::uint32_t>(oldest_cancellation_s * kMsPerSecond) + 1;
  link.partition_lease.record_heartbeat_sent();
  return out;
}

void PeerMonitor::apply_ack(std::size_t peer, const OutgoingHeartbeat& outgoing, double sent_at, const PeerHeartbeatAck& ack) {
  Lock lock(shared_.mutex);
  if (shared_.role == Role::follower || !shared_.is_term(outgoing.term)) return;
  Term& term = *shared_.term;
  if (ack.fencing_token > term.fencing_token && !is_own_raised_token(ack)) {
    shared_.observe_leader(ack.fencing_token, ack.leader);
    shared_.step_down(lock, "a peer reports a higher fencing token");
    return;
  }
  const double now = steady_now();
  term.quorum.record_ack(peer, ack.process, sent_at, ack.fencing_token, now < term.session_lease_valid_until);
  // Called on each acknowledgement for its side effect: the tracker takes the time of the first call that finds the takeover known as
  // the time since which it is known.
  term.quorum.sole_leader_since(term.takeover_token, now);
  auto& link = shared_.peers[peer];
  link.partition_lease.record_ack(outgoing.echoed_sent_at, steady_now(), ack.last_renewal_age_ms / kMsPerSecond);
  link.last_ack_process = ack.process;
  link.last_ack_clock_ms = ack.clock_ms;
  link.last_acked_sent_at = sent_at;
}

// If a raise of the token is committed but its reply is lost, the peers see the new token first. Ignoring it is safe: while the
// lease is valid no other controller can lead, and the ledger is not written before the key has been read again.
bool PeerMonitor::is_own_raised_token(const PeerHeartbeatAck& ack) const {
  const Term& term = *shared_.term;
  return term.leader_key_update_unacknowledged && ack.leader == shared_.config.settings.label &&
         steady_now() < term.session_lease_valid_until;
}

PeerHeartbeatAck PeerMonitor::receive_heartbeat(const PeerHeartbeat& heartbeat) {
  Lock lock(shared_.mutex);
  const auto& config = shared_.config;
  KnownLeader& leader = shared_.known_leader;
  if (heartbeat.fencing_token >= leader.fencing_token) observe_heartbeat(lock, heartbeat);
  const double now = steady_now();
  const bool from_leader = heartbeat.fencing_token == leader.fencing_token && heartbeat.label == leader.label;
  // The leader echoes this controller's acknowledgement of an earlier heartbeat. The partition lease runs from the time of that
  // acknowledgement.
  if (shared_.role == Role::follower && from_leader && heartbeat.echoed_process == config.incarnation) {
    shared_.ledger_unreadable_since = 0;  // only a leader that has read the ledger echoes acknowledgements
    shared_.partition_lease.grant(heartbeat.fencing_token, static_cast<double>(heartbeat.echoed_clock_ms) / kMsPerSecond,
                                  heartbeat.oldest_cancellation_age_ms / kMsPerSecond);
  }
  PeerHeartbeatAck ack;
  ack.fencing_token = leader.fencing_token;
  ack.leader = leader.label;
  ack.process = config.incarnation;
  ack.clock_ms = static_cast<std::uint64_t>(now * kMsPerSecond);
  ack.last_renewal_age_ms = static_cast<std::uint32_t>(std::max(0.0, now - shared_.partition_lease.last_renewal_at()) * kMsPerSecond);
  return ack;
}

void PeerMonitor::observe_heartbeat(const Lock& lock, const PeerHeartbeat& heartbeat) {
  KnownLeader& leader = shared_.known_leader;
  leader.last_heartbeat_at = steady_now();
  // A later takeover of the same controller: its process was restarted and leads again.
  const bool restarted =
      heartbeat.label == leader.label && leader.takeover_token != UINT64_MAX && heartbeat.takeover_token > leader.takeover_token;
  leader.takeover_token = heartbeat.takeover_token;
  if (restarted && shared_.role == Role::follower) shared_.handle_leader_change(true);
  if (shared_.role == Role::follower) shared_.partition_lease.observe_leader(heartbeat.takeover_token);
  if (shared_.role != Role::follower && heartbeat.fencing_token > shared_.term->fencing_token) {
    shared_.observe_leader(heartbeat.fencing_token, heartbeat.label);
    shared_.step_down(lock, "another leader has a higher fencing token");
  }
  shared_.observe_leader(heartbeat.fencing_token, heartbeat.label);
}

}  // namespace thistlefront
