// Detects that work does not start although it fits: starts were planned, and none gets into the ledger. Told by the passes and
// by the ledger, asked by the duty that reports to the operator. Pure; times are steady seconds.
#pragma once

namespace thistlefront {

class StartStallDetector {
 public:
  // A pass planned starts.
  void record_planned(double now) {
    if (planned_since_ == 0) planned_since_ = now;
  }
  // A start got into the ledger: the stall, if there was one, is over.
  void record_started() { *this = {}; }
  // Seconds since the first planned start that was not recorded; 0: there is none.
  [[nodiscard]] double stalled_for(double now) const { return planned_since_ != 0 ? now - planned_since_ : 0; }
  // Whether it is time to tell the operator, once for each stall.
  bool should_report(double now) {
    if (reported_ || stalled_for(now) < kStalledSeconds) return false;
    reported_ = true;
    return true;
  }

 private:
  static constexpr double kStalledSeconds = 10.0;
  double planned_since_ = 0;  // 0: nothing is awaited
  bool reported_ = false;
};

}  // namespace thistlefront
