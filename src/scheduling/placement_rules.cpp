#include "scheduling/placement_rules.hpp"

#include <algorithm>

namespace thistlefront {

namespace {

// Shorter estimates count as this in the key: without it a false estimate near zero would go before everything.
constexpr double kShortestEstimateSeconds = 10.0;

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
  if (borrows(job, node) && !job.demand.fits(node.lent)) return false;
  return job.demand.fits(node.capacity);
}

double image_pull_time(const PlanJob& job, const PlanNode& node) {
  if (contains(node.images, job.image)) return 0;
  return node.image_fetch_gb_per_s > 0 ? job.image_gb / node.image_fetch_gb_per_s : 0;
}

bool goes_before(const PlanJob& a, const PlanJob& b) {
  return a.tier != b.tier ? a.tier > b.tier : a.key > b.key;
}

bool elsewhere(const std::vector<std::uint32_t>& by_zone, ZoneIndex zone) {
  for (std::size_t z = 0; z < by_zone.size(); ++z)
    if (z != zone.value && by_zone[z] > 0) return true;
  return false;
}

bool borrows(const PlanJob& job, const PlanNode& node) {
  if (job.demand.accelerators > 0) return false;
  return node.lending == PlanNode::Lending::kept || (node.lending == PlanNode::Lending::not_to_services && job.service);
}

double key_of(double random_draw, double estimate_s, double weight, double waited_s, bool service) {
  const double delay = weight * std::max(0.0, waited_s);
  return service ? delay : random_draw / std::max(estimate_s, kShortestEstimateSeconds) + delay;
}

}  // namespace thistlefront
