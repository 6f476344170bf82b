// How many changes the ledger's writer may make, so that the state service never refuses one: a bucket that
// fills with time, part of which is kept for records that users wait for. Pure.
#pragma once
#include <algorithm>

namespace thistlefront {

class WriteRateLimiter {
 public:
  // `allowed`: changes a second that the state service takes, of all who write to it.
  explicit WriteRateLimiter(double allowed) : rate_(allowed * kShare), burst_(std::max(1.0, rate_ * kBurst)) {}

  [[nodiscard]] double rate() const { return rate_; }  // changes a second
  // How long a ledger is kept, in entries for each that the book itself would take, where an entry holds so many bytes: a
  // longer one is read for longer by the next leader, a shorter one is written anew more often, which is dear where little
  // may be written (kaubaalus next, 15 changes of 2 KiB a second: as much was written anew as came).
  [[nodiscard]] double length_factor(std::size_t entry_bytes) const {
    return std::clamp(kLeastLog * kAmple / (rate_ * static_cast<double>(entry_bytes)), kLeastLog, kMostLog);
  }
  // Seconds until a write may be made; 0: now. `now`: steady seconds.
  double delay_s(double now, bool for_users) {
    tokens_ = std::min(burst_, tokens_ + (now - at_) * rate_);
    at_ = now;
    const double enough = for_users ? 1 : std::max(1.0, burst_ * kUsersShare);
    return std::max(0.0, (enough - tokens_) / rate_);
  }
  void charge(double changes) { tokens_ -= changes; }

 private:
  static constexpr double kAmple = 64 * 1024;  // bytes a second
  static constexpr double kLeastLog = 2, kMostLog = 4;
  static constexpr double kShare = 0.85;       // of the service's writes that the leader uses
  static constexpr double kBurst = 0.7;        // seconds' worth of them that may be made at once
  static constexpr double kUsersShare = 0.35;  // of those, kept for records that users wait for
  double rate_, burst_, tokens_ = 0, at_ = 0;
};

}  // namespace thistlefront
