#include "scheduling/plan_builder.hpp"

namespace thistlefront {

namespace {

// Weights of what is wrong with a slot, in seconds of delay. A fill grade between 0 and 1 is added to their sum.
constexpr double kAcceleratorNodeCost = 1000;
constexpr double kSpotBonus = 2;
constexpr double kSameNodeCost = 4;
constexpr double kSameZoneCost = 2;

}  // namespace

PlanBuilder::PlanBuilder(const PlanInput& input) : input_(input), teams_(input.teams), reserved_(input.teams.size()) {
  pull_seconds_.resize(input_.nodes.size());
  profiles_.reserve(input_.nodes.size());
  lent_.reserve(input_.nodes.size());
  for (const auto& node : input_.nodes) {
    profiles_.emplace_back(node, input_.now, input_.overrun_s);
    lent_.push_back(node.lent);
  }
}

double PlanBuilder::cost(PlanJob& job, NodePosition position) {
  const PlanNode& node = input_.nodes[position];
  double cost = image_pull_s(job, position);
  // Machines with accelerators are left to the work that needs them while there is room elsewhere.
  if (job.demand.accelerators == 0 && node.capacity.accelerators > 0) cost += kAcceleratorNodeCost;
  // Spot machines take what may run there, and leave the others to the work that may not.
  if (job.allows_spot && node.spot) cost -= kSpotBonus;
  // Replicas of one service go to different places, so that a lost machine or zone takes few of them.
  if (job.service)
    cost += kSameNodeCost * count_at(job.tasks_by_node, position) + kSameZoneCost * count_at(job.tasks_by_zone, node.zone.value);
  // Among equals the fuller machine, so that whole machines stay free.
  const Resources& free = profiles_[position].steps().front().free;
  return cost + (node.capacity.cores > 0 ? free.cores / node.capacity.cores : 0);
}

void PlanBuilder::add_slot(PlanJob& job, NodePosition position, std::uint32_t units, double at) {
  const PlanNode& node = input_.nodes[position];
  profiles_[position].take(job.demand * units, at, duration(job, position));
  if (borrows(job, node)) lent_[position] -= job.demand * units;
  count_at(job.tasks_by_zone, node.zone.value) += units;
  count_at(job.tasks_by_node, position) += units;
  auto& slots = is_now(at) ? plan_.starts : plan_.reservations;
  slots.push_back({job.job, node.node, units, at, image_pull_s(job, position)});
}

void PlanBuilder::charge_team(const PlanJob& job, std::uint32_t units, double at) {
  if (!job.team.valid()) return;
  if (is_now(at)) {
    teams_[job.team.value].remaining -= job.demand * units;
  } else {
    reserved_[job.team.value] += job.demand * units;
  }
}

}  // namespace thistlefront
