// Makes the plan of a pass by conservative backfilling without guarantees (Zotkin, Keleher, Perkovic): jobs are placed in
// their order, and a job never delays a slot given to an earlier one. Called by the leader in each pass. Pure function of its
// input.
#pragma once
#include "scheduling/placement_rules.hpp"
#include "scheduling/plan.hpp"

namespace thistlefront {

Plan make_plan(const PlanInput& input);

}  // namespace thistlefront
