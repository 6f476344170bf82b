#include "cluster_state/pending_summary.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/resources.hpp"

namespace thistlefront {

const char* name_of(PendingSummary::Reason what) {
  switch (what) {
    case PendingSummary::Reason::capacity: return "room";
    case PendingSummary::Reason::team_limit: return "limit";
    case PendingSummary::Reason::missing_quota: return "terms";
    case PendingSummary::Reason::suspected: return "evidence";
    case PendingSummary::Reason::stopping_gang: return "stopped";
  }
  return "";
}

namespace {
PendingSummary::Reason reason(const ClusterState& cluster_state, JobIndex j) {
  const Job& job = cluster_state.job(j);
  const QuotaAccounts& quota_accounts = cluster_state.quota_accounts();
  if (quota_accounts.team(job.team).lacks_quota) return PendingSummary::Reason::missing_quota;
  if (cluster_state.failure_attribution().is_suspect(j)) return PendingSummary::Reason::suspected;
  const bool gang = job.spec.job_type == JobType::gang;
  if (gang && !job.placed.empty()) return PendingSummary::Reason::stopping_gang;
  const Resources unit = job.spec.demand * (gang ? static_cast<double>(job.tasks.size()) : 1.0);
  const bool fits = unit.fits(quota_accounts.headroom(job.team, std::numeric_limits<double>::max()));
  return fits ? PendingSummary::Reason::capacity : PendingSummary::Reason::team_limit;
}
}  // namespace

std::vector<PendingSummary> summarize_pending(const ClusterState& cluster_state, double wall) {
  std::map<std::tuple<std::string, std::string, PendingSummary::Reason>, PendingSummary> out;
  for (JobIndex j : cluster_state.live()) {
    const Job& job = cluster_state.job(j);
    if (job.ended() || job.pending == 0) continue;
    const auto what = reason(cluster_state, j);
    auto& w = out[{job.spec.owner, job.spec.job_class, what}];
    w.team = job.spec.owner;
    w.job_class = job.spec.job_class;
    w.reason = what;
    w.tasks += job.pending;
    if (job.attempts == 0) w.unstarted_s = std::max(w.unstarted_s, wall - job.eligible_since);
  }
  std::vector<PendingSummary> list;
  for (auto& [key, w] : out) list.push_back(std::move(w));
  return list;
}

}  // namespace thistlefront
