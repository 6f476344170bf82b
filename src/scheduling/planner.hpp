// Makes the plan of a pass: conservative backfilling without guarantees (Zotkin, Keleher, Perkovic). Jobs are placed in their
// order; what is placed later never delays a slot given before. Called by the leader in each pass. Pure: it reads
// its input alone, and the same input always gives the same plan.
#pragma once
#include "scheduling/placement_rules.hpp"
#include "scheduling/plan.hpp"

namespace thistlefront {

Plan make_plan(const PlanInput& input);

}  // namespace thistlefront
