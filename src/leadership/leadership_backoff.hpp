// Determines for how long a controller that handed over leadership voluntarily stays out of the election, so that other controllers
// can take over. Used only by the controller's leadership code. Pure; times are steady seconds.
#pragma once
#include <algorithm>

namespace thistlefront {

// The back-off doubles with each hand-over that follows another one closely: the cause is then probably not this controller, and
// frequent changes of the leader would only make it worse.
class LeadershipBackoff {
 public:
  // Records that this controller hands over leadership. Returns for how many seconds it should stay out of the election.
  double record_hand_over(double now) {
    const bool is_repeated = now - handed_over_at_ < kRepetitionWindowS;
    repetitions_ = is_repeated ? std::min(repetitions_ + 1, kMaxRepetitions) : 0;
    handed_over_at_ = now;
    return kFirstBackoffS * (1u << repetitions_);
  }
  void extend_until(double ends_at) { ends_at_ = ends_at; }
  [[nodiscard]] double ends_at() const { return ends_at_; }
  // Returns the remaining seconds of the back-off, or 0 if the controller may lead again.
  [[nodiscard]] double remaining_s(double now) const { return std::max(0.0, ends_at_ - now); }

 private:
  static constexpr double kFirstBackoffS = 15.0;
  static constexpr double kRepetitionWindowS = 120.0;  // hand-overs further apart do not count as repeated
  static constexpr unsigned kMaxRepetitions = 3;
  double ends_at_ = 0, handed_over_at_ = -1e9;
  unsigned repetitions_ = 0;
};

}  // namespace thistlefront
