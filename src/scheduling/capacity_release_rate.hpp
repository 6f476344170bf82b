// The rate at which tasks give back cores by ending, on machines without accelerators: an average that fades with time. Fed
// by the leader as tasks end, read in each pass. Pure; times are steady seconds.
#pragma once
#include <cmath>

namespace thistlefront {

class CapacityReleaseRate {
 public:
  // Cores in a second, recently.
  [[nodiscard]] double rate(double now) const { return faded(now) / kMemorySeconds; }
  // A task ended and gave these back.
  void add(double cores, double now) {
    cores_ = faded(now) + cores;
    at_ = now;
  }

 private:
  static constexpr double kMemorySeconds = 8.0;
  [[nodiscard]] double faded(double now) const { return cores_ * std::exp((at_ - now) / kMemorySeconds); }
  double cores_ = 0, at_ = 0;
};

}  // namespace thistlefront
