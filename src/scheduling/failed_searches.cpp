#include "scheduling/failed_searches.hpp"

#include <algorithm>
#include <cstdint>

namespace thistlefront {

namespace {

bool needs_at_least(const Resources& a, const Resources& b) {
  return a.cores >= b.cores && a.ram_gb >= b.ram_gb;
}

}  // namespace

bool FailedSearches::is_comparable(const PlanJob& job) {
  return !job.service && job.avoided_nodes.empty() && job.max_tasks_per_zone == UINT32_MAX && !job.single_zone &&
         job.demand.accelerators == 0;
}

bool FailedSearches::covers(const PlanJob& job) const {
  if (!is_comparable(job)) return false;
  const auto it = smallest_demands_.find(eligibility_of(job));
  if (it == smallest_demands_.end()) return false;
  return std::any_of(it->second.begin(), it->second.end(), [&](const Resources& failed) { return needs_at_least(job.demand, failed); });
}

void FailedSearches::add(const PlanJob& job) {
  if (!is_comparable(job)) return;
  auto& demands = smallest_demands_[eligibility_of(job)];
  std::erase_if(demands, [&](const Resources& failed) { return needs_at_least(failed, job.demand); });
  demands.push_back(job.demand);
}

}  // namespace thistlefront
