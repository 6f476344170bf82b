#include "scheduling/unit_placement.hpp"

#include <algorithm>

#include "scheduling/placement_rules.hpp"

namespace thistlefront {

namespace {
constexpr double kCostSlack = 1e-9;
}  // namespace

void UnitPlacement::place() {
  remaining_ = std::min(job_.units, builder_.startable(job_));
  if (remaining_ == 0) return;
  if (builder_.reservations_full() && failed_searches_.covers(job_)) {
    builder_.add_unserved(job_, job_.units, job_.units);
    return;
  }
  const auto& nodes = builder_.input().nodes;
  for (NodePosition position = 0; position < nodes.size(); ++position)
    if (may_run_on(job_, nodes[position]) && builder_.lends(job_, position)) add_candidate(position, builder_.input().now);
  while (remaining_ > 0 && !candidates_.empty()) {
    const Candidate candidate = candidates_.top();
    candidates_.pop();
    if (requeue_if_dearer(candidate)) continue;
    const std::uint32_t units = units_for(candidate);
    if (units == 0) continue;
    if (!builder_.is_now(candidate.at) && builder_.reservations_full()) break;
    take(candidate, units);
  }
  if (remaining_ > 0 && builder_.reservations_full() && builder_.startable(job_) > 0) failed_searches_.add(job_);
  if (reserved_ + remaining_ > 0) builder_.add_unserved(job_, reserved_ + remaining_, late_ + remaining_);
}

void UnitPlacement::add_candidate(NodePosition position, double from) {
  // With no reservation left to give, only room that is free now matters.
  if (builder_.reservations_full() && !job_.demand.fits(builder_.profile(position).steps().front().free)) return;
  const double at = builder_.earliest(job_, position, builder_.duration(job_, position), from);
  if (at == kForever) return;
  // A replica serves from when its image is there: of its slots the earliest in this sense is taken.
  const double serves_at = job_.service ? at + builder_.image_pull_s(job_, position) : at;
  candidates_.push({at, serves_at, builder_.cost(job_, position), position});
}

// Costs of services grow as replicas are put on the node or in its zone.
bool UnitPlacement::requeue_if_dearer(const Candidate& candidate) {
  if (!job_.service) return false;
  const double cost = builder_.cost(job_, candidate.position);
  if (cost <= candidate.cost + kCostSlack) return false;
  candidates_.push({candidate.at, candidate.serves_at, cost, candidate.position});
  return true;
}

std::uint32_t UnitPlacement::units_for(const Candidate& candidate) {
  const NodePosition position = candidate.position;
  const ZoneIndex zone = builder_.node(position).zone;
  const std::uint32_t in_zone = count_at(job_.tasks_by_zone, zone.value);
  if (in_zone >= job_.max_tasks_per_zone || !builder_.lends(job_, position)) return 0;
  if (job_.single_zone && elsewhere(job_.tasks_by_zone, zone)) return 0;
  std::uint32_t units = std::min(remaining_, job_.max_tasks_per_zone - in_zone);
  units = std::min(units, builder_.profile(position).fits(job_.demand, candidate.at, builder_.duration(job_, position)));
  if (job_.service) units = std::min(units, 1u);
  units = std::min(units, builder_.lendable_units(job_, position));
  return std::min(units, builder_.is_now(candidate.at) ? builder_.startable(job_) : builder_.reservable(job_));
}

void UnitPlacement::take(const Candidate& candidate, std::uint32_t units) {
  builder_.add_slot(job_, candidate.position, units, candidate.at);
  builder_.charge_team(job_, units, candidate.at);
  remaining_ -= units;
  if (!builder_.is_now(candidate.at)) reserved_ += units;
  if (candidate.at > builder_.input().horizon) late_ += units;
  add_candidate(candidate.position, candidate.at);
}

}  // namespace thistlefront
