// Chooses which running tasks are stopped to make room for work of higher priority, or for what a team is guaranteed. Called
// by the leader after each plan. Pure: it stops nothing itself.
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
  double wall = 0;
  double release_rate = 0;  // cores that come free in a second by themselves, recently, on machines without accelerators
  std::set<std::string> classes_with_start_target;  // job classes with a target for their wait
  const std::set<JobIndex>& protected_jobs;         // started by the starvation guard: not stopped for priority alone
};

struct PreemptionPlan {
  std::vector<Victim> victims;
  std::vector<Slot> waived;  // starts of the plan that are not made: their units wait for the room that is made instead
};

// Never stops work of equal or higher priority, except what another team runs beyond its guarantee, of no higher priority,
// for work within a guarantee. The least useful work lost goes first; all of a gang is stopped or none.
PreemptionPlan choose_victims(const PreemptionInput& in);

}  // namespace thistlefront
