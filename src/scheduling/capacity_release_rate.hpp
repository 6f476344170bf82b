// Rate at which completed tasks release cores on nodes without accelerators, as an exponentially decaying average. The leader
// updates it as tasks complete and reads it in each pass. Pure; times are steady seconds.
#pragma once
#include <cmath>

namespace thistlefront {

class CapacityReleaseRate {
 public:
  // The recent rate, in cores per second.
  [[nodiscard]] double rate(double now) const { return decayed_cores(now) / kDecaySeconds; }
  // Counts the cores of a completed task.
  void add(double cores, double now) {
    cores_ = decayed_cores(now) + cores;
    updated_at_ = now;
  }

 private:
  static constexpr double kDecaySeconds = 8.0;
  [[nodiscard]] double decayed_cores(double now) const { return cores_ * std::exp((updated_at_ - now) / kDecaySeconds); }
  double cores_ = 0, updated_at_ = 0;
};

}  // namespace thistlefront
