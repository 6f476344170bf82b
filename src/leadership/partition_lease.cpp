#include "leadership/partition_lease.hpp"

#include <algorithm>

#include "model/clock_drift.hpp"

namespace thistlefront {

namespace {

// Slack of the bound by `cancel_s`, for delays of timers and scheduling.
constexpr double kMarginS = 0.3;
// A follower renews leases on its own only after the leader has not answered it for this long.
constexpr double kDetachedAfterS = 3.0;

}  // namespace

double max_partition_lease_s(double cancel_s, double lease_s) {
  return std::max(0.0, (cancel_s - lease_s) * (1 - kClockDrift) - kMarginS);
}

void PartitionLease::observe_leader(std::uint64_t takeover_token) {
  if (takeover_token != takeover_token_) revoke();
  takeover_token_ = takeover_token;
}

void PartitionLease::grant(std::uint64_t fencing_token, double asked_at, double oldest_cancellation_age_s) {
  if (asked_at < asked_at_) return;  // a delayed message
  fencing_token_ = fencing_token;
  asked_at_ = asked_at;
  ends_at_ = asked_at + span_s_ - oldest_cancellation_age_s;
}

void PartitionLease::revoke() {
  asked_at_ = ends_at_ = 0;
}

bool PartitionLease::is_active(double now) const {
  return now > asked_at_ + kDetachedAfterS && now < ends_at_;
}

void PartitionLeaseGrant::record_ack(double echoed_sent_at, double now, double last_renewal_age_s) {
  acked_ = true;
  acked_at_ = now;
  renewed_at_ = std::max(renewed_at_, now - last_renewal_age_s);
  // The peer had the leader's answer to a question asked after `echoed_sent_at`, so it renews nothing on its own before this.
  if (echoed_sent_at > 0) attached_until_ = echoed_sent_at + kDetachedAfterS * (1 - kClockDrift);
}

double PartitionLeaseGrant::renewals_until(double now) const {
  if (!acked_) return 0;
  if (granted_at_ == 0 || now <= attached_until_) return renewed_at_;
  const double lease_ends_at = granted_at_ + span_s_ * (1 + kClockDrift);
  return std::max(renewed_at_, std::min(now, lease_ends_at));
}

double PartitionLeaseGrant::earlier_renewals_until(double now) const {
  const double earlier_lease_ends_at = taken_over_at_ + span_s_ * (1 + kClockDrift);
  return acked_ ? renewed_at_ : std::min(now, earlier_lease_ends_at);
}

}  // namespace thistlefront
