// How many changes the ledger's writer may make, so that the state service never refuses one: a bucket that
// fills with time, part of which is kept for records that users wait for. Pure.
#pragma once
#include <algorithm>

namespace thistle {

class WriteBudget {
 public:
  // `allowed`: changes a second that the state service takes, of all who write to it.
  explicit WriteBudget(double allowed) : rate_(allowed * kShare), burst_(std::max(1.0, rate_ * kBurst)) {}

  [[nodiscard]] double rate() const { return rate_; }  // changes a second
  // Seconds until a write may be made; 0: now. `now`: steady seconds.
  double wait(double now, bool for_users) {
    tokens_ = std::min(burst_, tokens_ + (now - at_) * rate_);
    at_ = now;
    const double enough = for_users ? 1 : std::max(1.0, burst_ * kUsersShare);
    return std::max(0.0, (enough - tokens_) / rate_);
  }
  void charge(double changes) { tokens_ -= changes; }

 private:
  static constexpr double kShare = 0.85;       // of the service's writes that the leader uses
  static constexpr double kBurst = 0.7;        // seconds' worth of them that may be made at once
  static constexpr double kUsersShare = 0.35;  // of those, kept for records that users wait for
  double rate_, burst_, tokens_ = 0, at_ = 0;
};

}  // namespace thistle
