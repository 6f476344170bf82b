// Monitors on the leader how well work is served, for the operator's log and the metrics: stalled starts, tasks pending for long and
// the reason, the running time of service replicas, and quota accounts that differ from the placed tasks.
#pragma once
#include "controller/commit_queue.hpp"
#include "controller/controller_metrics.hpp"
#include "controller/shared_state.hpp"

namespace thistlefront {

class ServiceMonitor {
 public:
  ServiceMonitor(SharedState& shared, CommitQueue& commit_queue, ControllerMetrics& metrics)
      : shared_(shared), commit_queue_(commit_queue), metrics_(metrics) {}
  // Called by CloudManager about once a second.
  void observe();

 private:
  void report_stalled_starts(double now);
  void report_pending_work();
  void correct_quota_accounts();

  SharedState& shared_;
  CommitQueue& commit_queue_;
  ControllerMetrics& metrics_;
  // Steady seconds; used only by CloudManager's thread:
  double observed_at_ = 0;
  double pending_reported_at_ = 0;
};

}  // namespace thistlefront
