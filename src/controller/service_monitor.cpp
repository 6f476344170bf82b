#include "controller/service_monitor.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "cluster_state/pending_summary.hpp"
#include "transport/clock.hpp"

namespace thistlefront {

namespace {
constexpr double kLongWaitS = 60.0;             // work unstarted for longer is logged
constexpr double kPendingReportPeriodS = 30.0;  // between reports of pending work
constexpr double kMaxObservationGapS = 10.0;    // after a longer gap this controller may not have led in between
}  // namespace

void ServiceMonitor::observe() {
  Lock lock(shared_.mutex);
  const double now = steady_now();
  const double previous = std::exchange(observed_at_, now);
  if (!shared_.may_decide()) return;
  if (now - previous < kMaxObservationGapS) metrics_.service_levels.add_replica_time(*shared_.term->cluster_state, now - previous);
  report_stalled_starts(now);
  if (now - pending_reported_at_ < kPendingReportPeriodS) return;
  pending_reported_at_ = now;
  report_pending_work();
  correct_quota_accounts();
}

void ServiceMonitor::report_stalled_starts(double now) {
  if (!shared_.start_stall_detector.should_report(now)) return;
  spdlog::info("scheduling: stalled, no start for {:.0f} s though work fits, {} records queued for the ledger, store writes {}",
               shared_.start_stall_detector.stalled_for(now), commit_queue_.size(), commit_queue_.is_failing() ? "fail" : "succeed");
}

void ServiceMonitor::report_pending_work() {
  for (const auto& pending : summarize_pending(*shared_.term->cluster_state, wall_now())) {
    if (pending.unstarted_s <= kLongWaitS) continue;
    spdlog::info("team {}, class {}: {} tasks pending, reason {}, oldest unstarted job {:.0f} s", pending.team, pending.job_class,
                 pending.tasks, name_of(pending.reason), pending.unstarted_s);
  }
}

void ServiceMonitor::correct_quota_accounts() {
  const auto corrected = shared_.term->cluster_state->correct_accounts();
  metrics_.counters.mismatched_accounts += corrected.size();
  for (const auto& team : corrected) spdlog::error("team {}: quota account differs from placed tasks, the larger figure applies", team);
}

}  // namespace thistlefront
