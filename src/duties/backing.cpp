#include "duties/backing.hpp"

#include <algorithm>

#include "protocol/types.hpp"

namespace thistle {

namespace {
constexpr double kAnswerLag = 1.0;  // an answer to a worker made within the grace may reach it so much later
}  // namespace

Backing::Backing(std::size_t peers, double taken_over_at, double grace_s)
    : peers_(peers), grace_s_(grace_s), sole_leader_since_(peers == 0 ? taken_over_at : -1) {}

void Backing::record_ack(std::size_t peer, std::uint64_t process, double asked, std::uint64_t epoch, bool certain) {
  Peer& p = peers_[peer];
  p.epoch = std::max(p.epoch, epoch);
  if (certain) p.process = process;
  if (p.process == process) p.answered_at = asked;
}

std::size_t Backing::count_aware(std::uint64_t epoch) const {
  return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [&](const Peer& p) { return p.epoch >= epoch; }));
}

// Half of them is enough: an earlier leader needs more than half.
bool Backing::is_takeover_known(std::uint64_t epoch) const {
  return 2 * (count_aware(epoch) + 1) >= peers_.size() + 1;
}

double Backing::sole_leader_since(std::uint64_t epoch, double now) {
  if (sole_leader_since_ >= 0) return sole_leader_since_;
  if (is_takeover_known(epoch) && quorum_since_ < 0) quorum_since_ = now;
  // An earlier leader that hears of none of those that know better falls silent after its grace.
  if (count_aware(epoch) == peers_.size() || (quorum_since_ >= 0 && now > quorum_since_ + grace_s_ * (1 + kClockDrift) + kAnswerLag))
    sole_leader_since_ = now;
  return sole_leader_since_;
}

bool Backing::has_quorum(double now) const {
  const auto lately =
      static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [&](const Peer& p) { return now - p.answered_at < grace_s_; }));
  return 2 * (lately + 1) > peers_.size() + 1;
}

bool Backing::is_isolated(double now, double for_s) const {
  return std::none_of(peers_.begin(), peers_.end(), [&](const Peer& p) { return now - p.answered_at < for_s; });
}

}  // namespace thistle
