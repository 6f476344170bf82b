// Limits the rate of the leader's changes to the key-value store, so that the store never refuses one: a token bucket, part of
// which is kept for records that users wait for. Called by the controller, under its lock, before and after each transaction.
// Pure: the caller tells the time.
#pragma once
#include <algorithm>

namespace thistlefront {

class WriteRateLimiter {
 public:
  // `allowed`: changes a second that the store takes, of all who write to it.
  explicit WriteRateLimiter(double allowed) : rate_(allowed * kLeaderShare), burst_(std::max(1.0, rate_ * kBurstSeconds)) {}

  // Changes a second that the leader may make.
  [[nodiscard]] double rate() const { return rate_; }
  // How long a ledger is kept, in entries for each that the cluster state itself would take, if an entry holds so many bytes. A
  // longer ledger takes the next leader longer to read. A shorter one is written anew more often, which is expensive where few
  // writes are allowed: at 15 changes of 2 KiB a second, as much was written anew as came.
  [[nodiscard]] double length_factor(std::size_t entry_bytes) const {
    const double bytes_per_s = rate_ * static_cast<double>(entry_bytes);
    return std::clamp(kMinLengthFactor * kAmpleBytesPerSecond / bytes_per_s, kMinLengthFactor, kMaxLengthFactor);
  }
  // Seconds until a write may be made; 0: now. `now`: steady seconds. `for_users`: users wait for it, so that it may use the
  // part of the bucket that is kept for them.
  double delay_s(double now, bool for_users) {
    tokens_ = std::min(burst_, tokens_ + (now - updated_at_) * rate_);
    updated_at_ = now;
    const double needed = for_users ? 1 : std::max(1.0, burst_ * kUserShare);
    return std::max(0.0, (needed - tokens_) / rate_);
  }
  // So many changes are made now.
  void charge(double changes) { tokens_ -= changes; }

 private:
  static constexpr double kAmpleBytesPerSecond = 64 * 1024;  // at this rate or more the ledger is kept as short as it may be
  static constexpr double kMinLengthFactor = 2, kMaxLengthFactor = 4;
  static constexpr double kLeaderShare = 0.85;  // of the store's changes a second
  static constexpr double kBurstSeconds = 0.7;  // the bucket holds the changes of so many seconds
  static constexpr double kUserShare = 0.35;    // of the bucket, kept for records that users wait for

  double rate_;            // changes a second
  double burst_;           // changes that the full bucket allows at once
  double tokens_ = 0;      // changes allowed now; below 0 after a transaction of several
  double updated_at_ = 0;  // steady seconds
};

}  // namespace thistlefront
