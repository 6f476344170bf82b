#include "cluster_state/pending_summary.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>
#include <utility>

#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/resources.hpp"

namespace thistlefront {

const char* name_of(PendingSummary::Reason reason) {
  switch (reason) {
    case PendingSummary::Reason::capacity: return "room";
    case PendingSummary::Reason::team_limit: return "limit";
    case PendingSummary::Reason::missing_quota: return "terms";
    case PendingSummary::Reason::suspected: return "evidence";
    case PendingSummary::Reason::stopping_gang: return "stopped";
  }
  return "";
}

namespace {
PendingSummary::Reason pending_reason(const ClusterState& cluster_state, JobIndex job_index) {
  const Job& job = cluster_state.job(job_index);
  const QuotaAccounts& quota_accounts = cluster_state.quota_accounts();
  if (quota_accounts.team(job.team).lacks_quota) return PendingSummary::Reason::missing_quota;
  if (cluster_state.failure_attribution().is_suspect(job_index)) return PendingSummary::Reason::suspected;
  const bool gang = job.spec.job_type == JobType::gang;
  if (gang && !job.placed.empty()) return PendingSummary::Reason::stopping_gang;
  // Demand of what must start together: the whole gang, or one task.
  const Resources start_demand = job.spec.demand * (gang ? static_cast<double>(job.tasks.size()) : 1.0);
  const bool fits = start_demand.fits(quota_accounts.headroom(job.team, std::numeric_limits<double>::max()));
  return fits ? PendingSummary::Reason::capacity : PendingSummary::Reason::team_limit;
}
}  // namespace

std::vector<PendingSummary> summarize_pending(const ClusterState& cluster_state, double wall_s) {
  std::map<std::tuple<std::string, std::string, PendingSummary::Reason>, PendingSummary> by_key;
  for (const JobIndex job_index : cluster_state.live()) {
    const Job& job = cluster_state.job(job_index);
    if (job.ended() || job.pending == 0) continue;
    const auto reason = pending_reason(cluster_state, job_index);
    PendingSummary& summary = by_key[{job.spec.owner, job.spec.job_class, reason}];
    summary.team = job.spec.owner;
    summary.job_class = job.spec.job_class;
    summary.reason = reason;
    summary.tasks += job.pending;
    if (job.attempts == 0) summary.unstarted_s = std::max(summary.unstarted_s, wall_s - job.eligible_since);
  }
  std::vector<PendingSummary> summaries;
  summaries.reserve(by_key.size());
  for (auto& [key, summary] : by_key) summaries.push_back(std::move(summary));
  return summaries;
}

}  // namespace thistlefront
