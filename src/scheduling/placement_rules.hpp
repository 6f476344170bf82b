// Rules that hold for every placement of a job on a node, whatever room is free now, and the order in which jobs are
// planned. Used by the planner and by the choice of preemption victims. Pure functions.
#pragma once
#include <cstdint>
#include <vector>

#include "model/identifiers.hpp"
#include "scheduling/plan.hpp"

namespace thistlefront {

// Whether the job's tasks may run there at all, whatever room is free now.
bool may_run_on(const PlanJob& job, const PlanNode& node);
// Seconds until the job's image is there; 0 where it is cached.
double image_pull_time(const PlanJob& job, const PlanNode& node);
// The order of a pass: the tier, then the key.
bool goes_before(const PlanJob& a, const PlanJob& b);
// Whether any of these tasks, counted by zone, is in another zone.
bool elsewhere(const std::vector<std::uint32_t>& by_zone, ZoneIndex zone);
// Whether what this job takes there counts against what the node lends.
bool borrows(const PlanJob& job, const PlanNode& node);
// random_draw / max(estimate, 10 s) + weight x waited; for services the second term alone.
double key_of(double random_draw, double estimate_s, double weight, double waited_s, bool service);

}  // namespace thistlefront
