// Limits the rate of the leader's changes to the key-value store, so that the store never rejects one. It is a token bucket, part of
// which is reserved for records that users wait for. Called by the controller, under its lock, before and after each transaction.
// Pure: the caller passes the time.
#pragma once
#include <algorithm>

namespace thistlefront {

class WriteRateLimiter {
 public:
  // `max_changes_per_s`: changes per second that the store accepts from all clients together.
  explicit WriteRateLimiter(double max_changes_per_s)
      : rate_(max_changes_per_s * kLeaderFraction), burst_(std::max(1.0, rate_ * kBurstSeconds)) {}

  // Changes per second that the leader may make.
  [[nodiscard]] double rate() const { return rate_; }
  // Maximum length of the ledger, as a multiple of the entries that a snapshot of the cluster state would take. A longer ledger takes
  // the next leader longer to read. A shorter one is compacted more often, which is expensive if few writes are allowed: at 15 changes
  // of 2 KiB per second, compaction wrote as much as the new records. `entry_bytes`: capacity of an entry.
  [[nodiscard]] double length_factor(std::size_t entry_bytes) const {
    const double bytes_per_s = rate_ * static_cast<double>(entry_bytes);
    return std::clamp(kMinLengthFactor * kFullCompactionBytesPerS / bytes_per_s, kMinLengthFactor, kMaxLengthFactor);
  }
  // Seconds until a write may be made; 0: it may be made now. `now`: steady seconds. `for_users`: users wait for the write, so it
  // may use the reserved part of the bucket.
  double delay_s(double now, bool for_users) {
    tokens_ = std::min(burst_, tokens_ + (now - updated_at_) * rate_);
    updated_at_ = now;
    const double needed = for_users ? 1 : std::max(1.0, burst_ * kUserReserveFraction);
    return std::max(0.0, (needed - tokens_) / rate_);
  }
  // Charges changes that are made now.
  void charge(double changes) { tokens_ -= changes; }

 private:
  static constexpr double kFullCompactionBytesPerS = 64 * 1024;  // from this write rate on, the minimum length factor applies
  static constexpr double kMinLengthFactor = 2, kMaxLengthFactor = 4;
  static constexpr double kLeaderFraction = 0.85;       // of the changes per second that the store accepts
  static constexpr double kBurstSeconds = 0.7;          // a full bucket allows the changes of this time at once
  static constexpr double kUserReserveFraction = 0.35;  // of the bucket, reserved for records that users wait for

  double rate_;            // changes per second
  double burst_;           // changes that a full bucket allows at once
  double tokens_ = 0;      // changes allowed now; may be negative after a transaction with several changes
  double updated_at_ = 0;  // steady seconds
};

}  // namespace thistlefront
