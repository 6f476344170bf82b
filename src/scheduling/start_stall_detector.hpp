// Detects that work does not start although it fits: starts are planned, but none reaches the ledger. Updated by the scheduling
// passes and the ledger, polled by the service monitor. Pure; times are steady seconds.
#pragma once

namespace thistlefront {

class StartStallDetector {
 public:
  // Called when a pass has planned starts.
  void record_planned(double now) {
    if (planned_since_ == 0) planned_since_ = now;
  }
  // Called when a start is in the ledger: ends a stall.
  void record_started() { *this = {}; }
  // Seconds since the first planned start that is not in the ledger; 0 if there is none.
  [[nodiscard]] double stalled_for(double now) const { return planned_since_ != 0 ? now - planned_since_ : 0; }
  // Whether to report the stall to the operator; true once for each stall.
  bool should_report(double now) {
    if (reported_ || stalled_for(now) < kReportAfterSeconds) return false;
    reported_ = true;
    return true;
  }

 private:
  static constexpr double kReportAfterSeconds = 10.0;
  double planned_since_ = 0;  // 0: no planned start is missing in the ledger
  bool reported_ = false;
};

}  // namespace thistlefront
