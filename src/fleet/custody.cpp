#include "fleet/custody.hpp"

#include <algorithm>

#include "protocol/types.hpp"

namespace thistle {

namespace {
constexpr double kMargin = 0.3;
constexpr double kDetached = 3.0;  // seconds without an answer of the leader before a follower goes on without it
}  // namespace

double custody_span(double cancel_s, double lease_s) {
  return std::max(0.0, (cancel_s - lease_s) * (1 - kClockDrift) - kMargin);
}

void Custody::observe_leader(std::uint64_t takeover) {
  if (takeover != takeover_) revoke();
  takeover_ = takeover;
}

void Custody::grant(std::uint64_t epoch, double asked_at, double owed_s) {
  if (asked_at < asked_at_) return;  // a beat that was held up
  epoch_ = epoch;
  asked_at_ = asked_at;
  until_ = asked_at + span_s_ - owed_s;
}

void Custody::revoke() {
  asked_at_ = until_ = 0;
}

bool Custody::is_active(double now) const {
  return now > asked_at_ + kDetached && now < until_;
}

void Granted::record_ack(double echoed_sent_at, double now, double kept_ago_s) {
  acked_ = true;
  acked_at_ = now;
  renewed_at_ = std::max(renewed_at_, now - kept_ago_s);
  // It had the leader's answer to what it asked after that beat, so it does not go on without it before this.
  if (echoed_sent_at > 0) attached_until_ = echoed_sent_at + kDetached * (1 - kClockDrift);
}

double Granted::renewals_until(double now) const {
  if (!acked_) return 0;
  if (granted_at_ == 0 || now <= attached_until_) return renewed_at_;
  return std::max(renewed_at_, std::min(now, granted_at_ + span_s_ * (1 + kClockDrift)));
}

double Granted::earlier_renewals_until(double now) const {
  return acked_ ? renewed_at_ : std::min(now, taken_over_at_ + span_s_ * (1 + kClockDrift));
}

}  // namespace thistle
