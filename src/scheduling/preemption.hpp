// Which running tasks make room for work of higher rank, or for what a team is guaranteed. Pure.
#pragma once
#include <set>
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
  const PlanInput& make_plan_input;
  const Plan& plan;
  const std::set<JobIndex>& within_guarantee;
  double wall = 0;
  double release_rate = 0;                   // cores that come free in a second by themselves, lately, on machines without accelerators
  std::set<std::string> starts_count;        // job classes with an aim for their wait
  const std::set<JobIndex>& protected_jobs;  // run by the floor: not stopped for rank alone
};

// Never of equal or higher rank, except work that another team runs beyond its guarantee, of no higher rank, for
// work within a guarantee. Least useful work lost first; all of a gang or none.
struct PreemptionPlan {
  std::vector<Victim> victims;
  std::vector<Slot> waived;  // starts of the plan that are not made: their units wait for the room that is made instead
};
PreemptionPlan choose_victims(const PreemptionInput& in);

}  // namespace thistlefront
