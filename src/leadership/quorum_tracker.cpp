#include "leadership/quorum_tracker.hpp"

#include <algorithm>

#include "model/clock_drift.hpp"

namespace thistlefront {

namespace {

// Time for a reply that an earlier leader sent within its grace period to reach the agent.
constexpr double kReplyDelayS = 1.0;

}  // namespace

QuorumTracker::QuorumTracker(std::size_t peers, double taken_over_at, double grace_s)
    : peers_(peers), grace_s_(grace_s), sole_leader_since_(peers == 0 ? taken_over_at : -1) {}

void QuorumTracker::record_ack(std::size_t peer, std::uint64_t process, double sent_at, std::uint64_t fencing_token,
                               bool leadership_certain) {
  Peer& state = peers_[peer];
  state.fencing_token = std::max(state.fencing_token, fencing_token);
  if (leadership_certain) state.process = process;
  if (state.process == process) state.acked_sent_at = sent_at;
}

std::size_t QuorumTracker::count_peers_aware_of(std::uint64_t fencing_token) const {
  const auto is_aware = [&](const Peer& peer) { return peer.fencing_token >= fencing_token; };
  return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), is_aware));
}

std::size_t QuorumTracker::count_peers_acked_within(double now, double duration_s) const {
  const auto acked = [&](const Peer& peer) { return now - peer.acked_sent_at < duration_s; };
  return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), acked));
}

bool QuorumTracker::is_takeover_known(std::uint64_t fencing_token) const {
  // Half of the controllers is enough because an earlier leader needs more than half.
  const std::size_t controllers = peers_.size() + 1;
  return 2 * (count_peers_aware_of(fencing_token) + 1) >= controllers;
}

double QuorumTracker::sole_leader_since(std::uint64_t fencing_token, double now) {
  if (sole_leader_since_ >= 0) return sole_leader_since_;
  if (takeover_known_since_ < 0 && is_takeover_known(fencing_token)) takeover_known_since_ = now;
  // An earlier leader that receives no acknowledgement from the controllers that know of this one loses its quorum after its grace period.
  const double earlier_replies_s = grace_s_ * (1 + kClockDrift) + kReplyDelayS;
  const bool earlier_leader_lost_quorum = takeover_known_since_ >= 0 && now > takeover_known_since_ + earlier_replies_s;
  if (earlier_leader_lost_quorum || count_peers_aware_of(fencing_token) == peers_.size()) sole_leader_since_ = now;
  return sole_leader_since_;
}

bool QuorumTracker::has_quorum(double now) const {
  const std::size_t controllers = peers_.size() + 1;
  return 2 * (count_peers_acked_within(now, grace_s_) + 1) > controllers;
}

bool QuorumTracker::is_isolated(double now, double duration_s) const {
  return count_peers_acked_within(now, duration_s) == 0;
}

}  // namespace thistlefront
