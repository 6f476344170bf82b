// Chooses which running tasks are preempted for work of higher priority, or for work within a team's guarantee. Called by the
// leader after each plan. Pure: it stops nothing itself.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "model/identifiers.hpp"
#include "scheduling/planner.hpp"

namespace thistlefront {

struct Victim {
  TaskRef ref;
  double grace_period_s = 0;
};

struct PreemptionInput {
  const ClusterState& cluster_state;
  const PlanInput& plan_input;
  const Plan& plan;
  const std::set<JobIndex>& within_guarantee;
  double wall_now = 0;
  double release_rate = 0;  // cores per second that completed tasks released recently, on nodes without accelerators
  std::set<std::string> classes_with_start_target;  // job classes with a target for the wait until a job starts
  const std::set<JobIndex>& protected_jobs;         // started by the starvation guard: preempted only for services or within a guarantee
};

struct PreemptionPlan {
  std::vector<Victim> victims;
  std::vector<Slot> cancelled_starts;  // planned starts that are not made: their units wait for the capacity of victims instead
};

// Preempts work of lower priority and, for work within a guarantee, also work of no higher priority that another team runs beyond
// its own guarantee. Prefers victims with the least lost work. Preempts all tasks of a gang or none.
PreemptionPlan choose_victims(const PreemptionInput& in);

}  // namespace thistlefront
