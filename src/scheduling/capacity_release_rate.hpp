// Cores that tasks gave back by ending, on machines without accelerators, fading with time. Pure; steady
// seconds.
#pragma once
#include <cmath>

namespace thistlefront {

class CapacityReleaseRate {
 public:
  // Cores a second, lately.
  [[nodiscard]] double rate(double now) const { return faded(now) / kMemory; }
  void add(double cores, double now) {
    cores_ = faded(now) + cores;
    at_ = now;
  }

 private:
  static constexpr double kMemory = 8.0;  // seconds
  [[nodiscard]] double faded(double now) const { return cores_ * std::exp((at_ - now) / kMemory); }
  double cores_ = 0, at_ = 0;
};

}  // namespace thistlefront
