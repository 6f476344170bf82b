#include "duties/backing.hpp"

#include <algorithm>

#include "protocol/types.hpp"

namespace thistle {

namespace {
constexpr double kAnswerLag = 1.0;  // an answer to a worker made within the grace may reach it so much later
}  // namespace

Backing::Backing(std::size_t peers, double taken_over_at, double grace_s)
    : peers_(peers), grace_s_(grace_s), alone_since_(peers == 0 ? taken_over_at : -1) {}

void Backing::answered(std::size_t peer, std::uint64_t process, double asked, std::uint64_t epoch, bool certain) {
  Peer& p = peers_[peer];
  p.epoch = std::max(p.epoch, epoch);
  if (certain) p.process = process;
  if (p.process == process) p.answered_at = asked;
}

std::size_t Backing::knowing(std::uint64_t epoch) const {
  return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [&](const Peer& p) { return p.epoch >= epoch; }));
}

// Half of them is enough: an earlier leader needs more than half.
bool Backing::known(std::uint64_t epoch) const {
  return 2 * (knowing(epoch) + 1) >= peers_.size() + 1;
}

double Backing::alone_since(std::uint64_t epoch, double now) {
  if (alone_since_ >= 0) return alone_since_;
  if (known(epoch) && majority_since_ < 0) majority_since_ = now;
  // An earlier leader that hears of none of those that know better falls silent after its grace.
  if (knowing(epoch) == peers_.size() || (majority_since_ >= 0 && now > majority_since_ + grace_s_ * (1 + kClockDrift) + kAnswerLag))
    alone_since_ = now;
  return alone_since_;
}

bool Backing::majority(double now) const {
  const auto lately =
      static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [&](const Peer& p) { return now - p.answered_at < grace_s_; }));
  return 2 * (lately + 1) > peers_.size() + 1;
}

bool Backing::lonely(double now, double for_s) const {
  return std::none_of(peers_.begin(), peers_.end(), [&](const Peer& p) { return now - p.answered_at < for_s; });
}

}  // namespace thistle
