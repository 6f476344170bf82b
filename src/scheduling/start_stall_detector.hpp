// Tells when work that fits does not start: starts were planned, and none gets into the ledger. Pure; steady
// seconds.
#pragma once

namespace thistlefront {

class StartStallDetector {
 public:
  void record_planned(double now) {
    if (since_ == 0) since_ = now;
  }
  void record_started() { *this = {}; }
  [[nodiscard]] double stalled_for(double now) const { return since_ != 0 ? now - since_ : 0; }
  // Whether it is time to tell the operator, once for each stall.
  bool should_report(double now) {
    if (told_ || stalled_for(now) < kStalled) return false;
    told_ = true;
    return true;
  }

 private:
  static constexpr double kStalled = 10.0;
  double since_ = 0;
  bool told_ = false;
};

}  // namespace thistlefront
