// Watches on the leader how well work is served, for the operator's log and the metrics: stalled starts, what is pending for long
// and why, the time that replicas were up, and quota accounts that differ from what is placed.
#pragma once
#include "controller/commit_queue.hpp"
#include "controller/controller_metrics.hpp"
#include "controller/shared_state.hpp"

namespace thistlefront {

class ServiceMonitor {
 public:
  ServiceMonitor(SharedState& shared, CommitQueue& commit_queue, ControllerMetrics& metrics)
      : shared_(shared), commit_queue_(commit_queue), metrics_(metrics) {}
  // To be called every second or so.
  void observe();

 private:
  void report_stalled_starts(double now);
  void report_pending_work();
  void correct_quota_accounts();

  SharedState& shared_;
  CommitQueue& commit_queue_;
  ControllerMetrics& metrics_;
  // Of the cloud duty's thread alone, steady seconds:
  double observed_at_ = 0;
  double pending_reported_at_ = 0;
};

}  // namespace thistlefront
