// How long a controller that gave leadership back on its own account stays out of the election, so that the others go first.
// Used by the leadership code of the controller alone. Pure; times are steady seconds.
#pragma once
#include <algorithm>

namespace thistlefront {

// The time doubles while hand-overs follow each other: then the cause is probably not this controller, and changing the leader
// again and again would only add to it.
class LeadershipBackoff {
 public:
  // Notes that this controller gives leadership back; returns for how long (seconds) it should stay out.
  double record_hand_over(double now) {
    const bool follows_another = now - handed_over_at_ < kMemoryS;
    repetitions_ = follows_another ? std::min(repetitions_ + 1, kMaxRepetitions) : 0;
    handed_over_at_ = now;
    return kFirstBackoffS * (1u << repetitions_);
  }
  void extend_until(double at) { until_ = at; }
  [[nodiscard]] double ends_at() const { return until_; }
  // Seconds left to stay out; 0 when it may lead again.
  [[nodiscard]] double remaining(double now) const { return std::max(0.0, until_ - now); }

 private:
  static constexpr double kFirstBackoffS = 15.0;
  static constexpr double kMemoryS = 120.0;  // hand-overs further apart do not count as following each other
  static constexpr unsigned kMaxRepetitions = 3;
  double until_ = 0, handed_over_at_ = -1e9;
  unsigned repetitions_ = 0;
};

}  // namespace thistlefront
