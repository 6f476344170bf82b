#include "leadership/partition_lease.hpp"

#include <algorithm>

#include "model/clock_drift.hpp"

namespace thistlefront {

namespace {
constexpr double kMargin = 0.3;
constexpr double kDetached = 3.0;  // seconds without an answer of the leader before a follower goes on without it
}  // namespace

double max_partition_lease_s(double cancel_s, double lease_s) {
  return std::max(0.0, (cancel_s - lease_s) * (1 - kClockDrift) - kMargin);
}

void PartitionLease::observe_leader(std::uint64_t takeover_token) {
  if (takeover_token != takeover_token_) revoke();
  takeover_token_ = takeover_token;
}

void PartitionLease::grant(std::uint64_t fencing_token, double asked_at, double oldest_cancellation_age_s) {
  if (asked_at < asked_at_) return;  // a beat that was held up
  fencing_token_ = fencing_token;
  asked_at_ = asked_at;
  until_ = asked_at + span_s_ - oldest_cancellation_age_s;
}

void PartitionLease::revoke() {
  asked_at_ = until_ = 0;
}

bool PartitionLease::is_active(double now) const {
  return now > asked_at_ + kDetached && now < until_;
}

void PartitionLeaseGrant::record_ack(double echoed_sent_at, double now, double last_renewal_age_s) {
  acked_ = true;
  acked_at_ = now;
  renewed_at_ = std::max(renewed_at_, now - last_renewal_age_s);
  // It had the leader's answer to what it asked after that beat, so it does not go on without it before this.
  if (echoed_sent_at > 0) attached_until_ = echoed_sent_at + kDetached * (1 - kClockDrift);
}

double PartitionLeaseGrant::renewals_until(double now) const {
  if (!acked_) return 0;
  if (granted_at_ == 0 || now <= attached_until_) return renewed_at_;
  return std::max(renewed_at_, std::min(now, granted_at_ + span_s_ * (1 + kClockDrift)));
}

double PartitionLeaseGrant::earlier_renewals_until(double now) const {
  return acked_ ? renewed_at_ : std::min(now, taken_over_at_ + span_s_ * (1 + kClockDrift));
}

}  // namespace thistlefront
