#include "leadership/quorum_tracker.hpp"

#include <algorithm>

#include "model/clock_drift.hpp"

namespace thistlefront {

namespace {
constexpr double kAnswerLag = 1.0;  // an answer to a worker made within the grace may reach it so much later
}  // namespace

QuorumTracker::QuorumTracker(std::size_t peers, double taken_over_at, double grace_s)
    : peers_(peers), grace_s_(grace_s), sole_leader_since_(peers == 0 ? taken_over_at : -1) {}

void QuorumTracker::record_ack(std::size_t peer, std::uint64_t process, double asked, std::uint64_t fencing_token, bool certain) {
  Peer& p = peers_[peer];
  p.fencing_token = std::max(p.fencing_token, fencing_token);
  if (certain) p.process = process;
  if (p.process == process) p.answered_at = asked;
}

std::size_t QuorumTracker::count_aware(std::uint64_t fencing_token) const {
  return static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [&](const Peer& p) { return p.fencing_token >= fencing_token; }));
}

// Half of them is enough: an earlier leader needs more than half.
bool QuorumTracker::is_takeover_known(std::uint64_t fencing_token) const {
  return 2 * (count_aware(fencing_token) + 1) >= peers_.size() + 1;
}

double QuorumTracker::sole_leader_since(std::uint64_t fencing_token, double now) {
  if (sole_leader_since_ >= 0) return sole_leader_since_;
  if (is_takeover_known(fencing_token) && quorum_since_ < 0) quorum_since_ = now;
  // An earlier leader that hears of none of those that know better falls silent after its grace.
  if (count_aware(fencing_token) == peers_.size() ||
      (quorum_since_ >= 0 && now > quorum_since_ + grace_s_ * (1 + kClockDrift) + kAnswerLag))
    sole_leader_since_ = now;
  return sole_leader_since_;
}

bool QuorumTracker::has_quorum(double now) const {
  const auto lately =
      static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [&](const Peer& p) { return now - p.answered_at < grace_s_; }));
  return 2 * (lately + 1) > peers_.size() + 1;
}

bool QuorumTracker::is_isolated(double now, double for_s) const {
  return std::none_of(peers_.begin(), peers_.end(), [&](const Peer& p) { return now - p.answered_at < for_s; });
}

}  // namespace thistlefront
