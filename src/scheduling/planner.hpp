// Makes the plan of a pass by conservative backfilling: jobs are placed in the order of their tiers and sort keys, and a job
// never delays a slot given to an earlier one. Reservations hold for one pass only, which the literature calls "without
// guarantees" (Zotkin, Keleher, Perkovic). Called by the leader in each pass. Pure function of its input.
#pragma once
#include "scheduling/placement_rules.hpp"
#include "scheduling/plan.hpp"

namespace thistlefront {

Plan make_plan(const PlanInput& input);

}  // namespace thistlefront
