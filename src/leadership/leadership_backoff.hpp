// A controller that gave the lead back lets the others go first, for longer where it comes to that again and
// again: then it is not this controller that is at fault. Pure; times are steady seconds.
#pragma once
#include <algorithm>

namespace thistlefront {

class LeadershipBackoff {
 public:
  // It gives the lead back for a reason of its own: for how long it is to stand back.
  double record_hand_over(double now) {
    in_a_row_ = now - handed_over_at_ < kMemory ? std::min(in_a_row_ + 1, kMost) : 0;
    handed_over_at_ = now;
    return kLong * (1u << in_a_row_);
  }
  void extend_until(double at) { until_ = at; }
  [[nodiscard]] double ends_at() const { return until_; }
  [[nodiscard]] double remaining(double now) const { return std::max(0.0, until_ - now); }

 private:
  static constexpr double kLong = 15.0;  // one that the workers do not reach, or that can't read the ledger
  static constexpr double kMemory = 120.0;
  static constexpr unsigned kMost = 3;
  double until_ = 0, handed_over_at_ = -1e9;
  unsigned in_a_row_ = 0;
};

}  // namespace thistlefront
