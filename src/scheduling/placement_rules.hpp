// Rules for placing a job on a node that hold whatever capacity is free now, and the order in which jobs are planned. Used by
// the planner and by the choice of preemption victims. Pure functions.
#pragma once
#include <cstdint>
#include <vector>

#include "model/identifiers.hpp"
#include "scheduling/plan.hpp"

namespace thistlefront {

// Whether the job's tasks may run on the node, whatever capacity is free now.
bool may_run_on(const PlanJob& job, const PlanNode& node);
// Seconds to fetch the job's image to the node; 0 if the node has it.
double image_pull_time(const PlanJob& job, const PlanNode& node);
// Orders the jobs of a pass by tier, then by sort key.
bool is_planned_before(const PlanJob& a, const PlanJob& b);
// Whether any of the tasks counted by zone is outside `zone`.
bool has_tasks_in_other_zone(const std::vector<std::uint32_t>& tasks_by_zone, ZoneIndex zone);
// Whether the job's tasks on this node are limited to its backfill capacity, but for the job's units beyond it.
bool is_backfill(const PlanJob& job, const PlanNode& node);
// Returns random_draw / max(estimate_s, 10 s) + weight * waited_s; for services the second term only.
double compute_sort_key(double random_draw, double estimate_s, double weight, double waited_s, bool service);

}  // namespace thistlefront
