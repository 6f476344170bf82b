#include "scheduling/unit_placement.hpp"

#include <algorithm>

#include "scheduling/placement_rules.hpp"

namespace thistlefront {

namespace {
constexpr double kCostSlack = 1e-9;  // absorbs rounding
}  // namespace

void UnitPlacement::place() {
  remaining_units_ = std::min(job_.units, builder_.startable_units(job_));
  if (remaining_units_ == 0) return;
  if (builder_.reservations_full() && failed_searches_.covers(job_)) {
    builder_.add_unserved(job_, job_.units, job_.units);
    return;
  }
  const auto& nodes = builder_.input().nodes;
  for (NodePosition position = 0; position < nodes.size(); ++position)
    if (may_run_on(job_, nodes[position]) && builder_.backfill_units(job_, position) > 0) add_candidate(position, builder_.input().now);
  while (remaining_units_ > 0 && !candidates_.empty()) {
    const Candidate candidate = candidates_.top();
    candidates_.pop();
    if (requeue_if_cost_grew(candidate)) continue;
    const std::uint32_t units = placeable_units(candidate);
    if (units == 0) continue;
    if (!builder_.is_now(candidate.start_at) && builder_.reservations_full()) break;
    place_units(candidate, units);
  }
  if (remaining_units_ > 0 && builder_.reservations_full() && builder_.startable_units(job_) > 0) failed_searches_.add(job_);
  if (reserved_units_ + remaining_units_ > 0)
    builder_.add_unserved(job_, reserved_units_ + remaining_units_, units_after_horizon_ + remaining_units_);
}

void UnitPlacement::add_candidate(NodePosition position, double from) {
  // Once all reservations are given out, only capacity that is free now matters.
  if (builder_.reservations_full() && !job_.demand.fits(builder_.profile(position).steps().front().free)) return;
  const double start_at = builder_.find_earliest_fit(job_, position, builder_.run_duration_s(job_, position), from);
  if (start_at == kInfinity) return;
  // A replica serves once its image is fetched, so slots of services are compared by that time. An overdue one takes what is free now: a
  // later slot on a node that has the image recedes for as long as the tasks there exceed their estimates.
  const bool waits_for_image = job_.service && !job_.overdue;
  const double serves_at = waits_for_image ? start_at + builder_.image_pull_s(job_, position) : start_at;
  candidates_.push({start_at, serves_at, builder_.placement_cost(job_, position), position});
}

// Costs of services grow as replicas are placed on the node or in its zone.
bool UnitPlacement::requeue_if_cost_grew(const Candidate& candidate) {
  if (!job_.service) return false;
  const double cost = builder_.placement_cost(job_, candidate.position);
  if (cost <= candidate.cost + kCostSlack) return false;
  candidates_.push({candidate.start_at, candidate.serves_at, cost, candidate.position});
  return true;
}

std::uint32_t UnitPlacement::placeable_units(const Candidate& candidate) {
  const NodePosition position = candidate.position;
  const ZoneIndex zone = builder_.node(position).zone;
  const std::uint32_t tasks_in_zone = count_at(job_.tasks_by_zone, zone.value);
  if (tasks_in_zone >= job_.max_tasks_per_zone || builder_.backfill_units(job_, position) == 0) return 0;
  if (job_.single_zone && has_tasks_in_other_zone(job_.tasks_by_zone, zone)) return 0;
  std::uint32_t units = std::min(remaining_units_, job_.max_tasks_per_zone - tasks_in_zone);
  units = std::min(
      units, builder_.profile(position).count_fitting_units(job_.demand, candidate.start_at, builder_.run_duration_s(job_, position)));
  if (job_.service) units = std::min(units, 1u);
  units = std::min(units, builder_.backfill_units(job_, position));
  return std::min(units, builder_.is_now(candidate.start_at) ? builder_.startable_units(job_) : builder_.reservable_units(job_));
}

void UnitPlacement::place_units(const Candidate& candidate, std::uint32_t units) {
  builder_.add_slot(job_, candidate.position, units, candidate.start_at);
  builder_.charge_team(job_, units, candidate.start_at);
  remaining_units_ -= units;
  if (!builder_.is_now(candidate.start_at)) reserved_units_ += units;
  if (candidate.start_at > builder_.input().horizon) units_after_horizon_ += units;
  add_candidate(candidate.position, candidate.start_at);
}

}  // namespace thistlefront
