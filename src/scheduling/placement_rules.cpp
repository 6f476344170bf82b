#include "scheduling/placement_rules.hpp"

#include <algorithm>

namespace thistlefront {

namespace {

// Lower bound of the estimate in the sort key: without it, a job with a false estimate near zero would be planned first.
constexpr double kMinEstimateSeconds = 10.0;

template <class Value>
bool contains(const std::vector<Value>& values, const Value& value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

}  // namespace

bool may_run_on(const PlanJob& job, const PlanNode& node) {
  if (node.spot && !job.allows_spot) return false;
  if (job.zone.valid() && node.zone != job.zone) return false;
  if (!job.machine_types.empty() && !contains(job.machine_types, node.machine_type)) return false;
  if (contains(job.avoided_nodes, node.node)) return false;
  if (is_backfill(job, node) && job.units_beyond_backfill == 0 && !job.demand.fits(node.backfill_capacity)) return false;
  return job.demand.fits(node.capacity);
}

double image_pull_time(const PlanJob& job, const PlanNode& node) {
  if (contains(node.images, job.image)) return 0;
  return node.image_fetch_gb_per_s > 0 ? job.image_gb / node.image_fetch_gb_per_s : 0;
}

bool is_planned_before(const PlanJob& a, const PlanJob& b) {
  return a.tier != b.tier ? a.tier > b.tier : a.sort_key > b.sort_key;
}

bool has_tasks_in_other_zone(const std::vector<std::uint32_t>& tasks_by_zone, ZoneIndex zone) {
  for (std::size_t z = 0; z < tasks_by_zone.size(); ++z)
    if (z != zone.value && tasks_by_zone[z] > 0) return true;
  return false;
}

bool is_backfill(const PlanJob& job, const PlanNode& node) {
  if (job.demand.accelerators > 0) return false;
  return node.backfill_rule == PlanNode::BackfillRule::reserved ||
         (node.backfill_rule == PlanNode::BackfillRule::limited_for_services && job.service);
}

double compute_sort_key(double random_draw, double estimate_s, double weight, double waited_s, bool service) {
  const double wait_term = weight * std::max(0.0, waited_s);
  return service ? wait_term : random_draw / std::max(estimate_s, kMinEstimateSeconds) + wait_term;
}

}  // namespace thistlefront
