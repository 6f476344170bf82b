#include "scheduling/plan_builder.hpp"

namespace thistlefront {

namespace {

// Terms of the placement cost, in seconds of delay. The node's fraction of free cores, between 0 and 1, is added to them.
constexpr double kAcceleratorNodeCost = 1000;
constexpr double kKeptCapacityCost = 300;
constexpr double kSpotBonus = 2;
constexpr double kSameNodeCost = 4;
constexpr double kSameZoneCost = 2;

}  // namespace

PlanBuilder::PlanBuilder(const PlanInput& input) : input_(input), teams_(input.teams), reserved_by_team_(input.teams.size()) {
  pull_seconds_.resize(input_.nodes.size());
  profiles_.reserve(input_.nodes.size());
  backfill_capacity_.reserve(input_.nodes.size());
  for (const auto& node : input_.nodes) {
    profiles_.emplace_back(node, input_.now, input_.overrun_s);
    backfill_capacity_.push_back(node.backfill_capacity);
  }
}

double PlanBuilder::placement_cost(PlanJob& job, NodePosition position) {
  const PlanNode& node = input_.nodes[position];
  double cost = image_pull_s(job, position);
  // Keeps nodes with accelerators free for work that needs them while other nodes have capacity.
  if (job.demand.accelerators == 0 && node.capacity.accelerators > 0) cost += kAcceleratorNodeCost;
  // Units beyond the backfill capacity go where accelerator tasks have lost their room already, so that they lose few nodes.
  if (is_first_beyond_backfill(job, position)) cost += kKeptCapacityCost;
  // Prefers spot nodes for jobs that allow them, which leaves the others to jobs that do not.
  if (job.allows_spot && node.spot) cost -= kSpotBonus;
  // Spreads the replicas of a service, so that the loss of a node or zone takes few of them.
  if (job.service)
    cost += kSameNodeCost * count_at(job.tasks_by_node, position) + kSameZoneCost * count_at(job.tasks_by_zone, node.zone.value);
  // Prefers the fuller of otherwise equal nodes, so that whole nodes stay free.
  const Resources& free = profiles_[position].steps().front().free;
  return cost + (node.capacity.cores > 0 ? free.cores / node.capacity.cores : 0);
}

bool PlanBuilder::is_first_beyond_backfill(const PlanJob& job, NodePosition position) const {
  if (job.units_beyond_backfill == 0 || !is_backfill(job, input_.nodes[position])) return false;
  const Resources& left = backfill_capacity_[position];
  return left.cores >= 0 && left.ram_gb >= 0 && !job.demand.fits(left);
}

void PlanBuilder::add_slot(PlanJob& job, NodePosition position, std::uint32_t units, double start_at) {
  const PlanNode& node = input_.nodes[position];
  profiles_[position].allocate(job.demand * units, start_at, run_duration_s(job, position));
  if (is_backfill(job, node)) {
    if (!job.demand.fits(backfill_capacity_[position])) job.units_beyond_backfill -= std::min(job.units_beyond_backfill, units);
    backfill_capacity_[position] -= job.demand * units;
  }
  count_at(job.tasks_by_zone, node.zone.value) += units;
  count_at(job.tasks_by_node, position) += units;
  auto& slots = is_now(start_at) ? plan_.starts : plan_.reservations;
  slots.push_back({job.job, node.node, units, start_at, image_pull_s(job, position)});
}

void PlanBuilder::charge_team(const PlanJob& job, std::uint32_t units, double start_at) {
  if (!job.team.valid()) return;
  if (is_now(start_at)) {
    teams_[job.team.value].remaining -= job.demand * units;
  } else {
    reserved_by_team_[job.team.value] += job.demand * units;
  }
}

}  // namespace thistlefront
