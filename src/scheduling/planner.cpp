#include "scheduling/planner.hpp"

#include <algorithm>
#include <vector>

#include "scheduling/failed_searches.hpp"
#include "scheduling/gang_placement.hpp"
#include "scheduling/plan_builder.hpp"
#include "scheduling/unit_placement.hpp"

namespace thistlefront {

Plan make_plan(const PlanInput& input) {
  std::vector<const PlanJob*> order;
  order.reserve(input.jobs.size());
  for (const auto& job : input.jobs) order.push_back(&job);
  std::stable_sort(order.begin(), order.end(), [](const auto* a, const auto* b) { return is_planned_before(*a, *b); });
  PlanBuilder builder(input);
  FailedSearches failed_searches;
  for (const auto* next : order) {
    PlanJob job = *next;  // a copy: placement updates its task counts
    builder.begin_job();
    if (job.gang && job.units > 1) {
      GangPlacement(builder, job).place();
    } else {
      UnitPlacement(builder, job, failed_searches).place();
    }
  }
  return builder.finish();
}

}  // namespace thistlefront
