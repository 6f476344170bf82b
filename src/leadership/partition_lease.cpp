#include "leadership/partition_lease.hpp"

#include <algorithm>

#include "model/clock_drift.hpp"

namespace thistlefront {

namespace {

// Subtracted from the maximum duration for delays of timers and thread scheduling.
constexpr double kTimerMarginS = 0.3;
// A follower renews leases under its partition lease only after the leader has been silent for this long.
constexpr double kLeaderSilentAfterS = 3.0;

}  // namespace

double max_partition_lease_s(double cancel_s, double lease_s) {
  return std::max(0.0, (cancel_s - lease_s) * (1 - kClockDrift) - kTimerMarginS);
}

void PartitionLease::observe_leader(std::uint64_t takeover_token) {
  if (takeover_token != takeover_token_) revoke();
  takeover_token_ = takeover_token;
}

void PartitionLease::grant(std::uint64_t fencing_token, double requested_at, double oldest_cancellation_age_s) {
  if (requested_at < requested_at_) return;  // a delayed message
  fencing_token_ = fencing_token;
  requested_at_ = requested_at;
  ends_at_ = requested_at + max_duration_s_ - oldest_cancellation_age_s;
}

void PartitionLease::revoke() {
  requested_at_ = ends_at_ = 0;
}

bool PartitionLease::is_active(double now) const {
  return now > requested_at_ + kLeaderSilentAfterS && now < ends_at_;
}

void PartitionLeaseGrant::record_ack(double echoed_sent_at, double now, double last_renewal_age_s) {
  acked_ = true;
  acked_at_ = now;
  renewed_at_ = std::max(renewed_at_, now - last_renewal_age_s);
  // The heartbeat showed the peer that the leader had received an acknowledgement sent after `echoed_sent_at`, so until
  // kLeaderSilentAfterS after that time the peer does not regard the leader as silent and renews nothing.
  if (echoed_sent_at > 0) no_renewal_before_ = echoed_sent_at + kLeaderSilentAfterS * (1 - kClockDrift);
}

double PartitionLeaseGrant::latest_possible_renewal(double now) const {
  if (!acked_) return 0;
  if (granted_at_ == 0 || now <= no_renewal_before_) return renewed_at_;
  const double lease_ends_at = granted_at_ + max_duration_s_ * (1 + kClockDrift);
  return std::max(renewed_at_, std::min(now, lease_ends_at));
}

double PartitionLeaseGrant::latest_possible_earlier_renewal(double now) const {
  const double earlier_lease_ends_at = taken_over_at_ + max_duration_s_ * (1 + kClockDrift);
  return acked_ ? renewed_at_ : std::min(now, earlier_lease_ends_at);
}

}  // namespace thistlefront
