// Bounds the volume of log lines that can be written for each of thousands of nodes at once.
#pragma once
#include <cstddef>
#include <utility>

namespace thistlefront {

class LogRateLimit {
 public:
  // Whether one more line may be written now (steady seconds). Counts the lines that may not.
  bool allow(double now) {
    if (now - period_began_at_ >= kPeriodS) {
      period_began_at_ = now;
      lines_ = 0;
    }
    if (lines_ < kMaxLines) {
      ++lines_;
      return true;
    }
    ++suppressed_;
    return false;
  }
  // The number of lines that were not written since the last call.
  std::size_t take_suppressed() { return std::exchange(suppressed_, 0); }

 private:
  static constexpr double kPeriodS = 1;
  static constexpr std::size_t kMaxLines = 20;
  double period_began_at_ = 0;
  std::size_t lines_ = 0, suppressed_ = 0;
};

}  // namespace thistlefront
