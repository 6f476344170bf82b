// Builds the planner's input from the cluster state: which nodes may take tasks, which jobs wait, and in which order
// they go. Called by the leader once in each pass. It does no I/O, takes no locks and reads no clock; the only thing that it
// changes in the cluster state is the count of tasks that agents report and that are placed nowhere.
#pragma once
#include <set>

#include "cluster_state/cluster_state.hpp"
#include "model/identifiers.hpp"
#include "scheduling/accelerator_reservation.hpp"
#include "scheduling/pass_context.hpp"
#include "scheduling/planner.hpp"
#include "scheduling/starvation_guard.hpp"

namespace thistlefront {

// Jobs that lie within their team's guaranteed resources: those that fit there together with the team's earlier unfinished
// jobs.
std::set<JobIndex> jobs_within_guarantee(const ClusterState& cluster_state);

class PlanInputBuilder {
 public:
  explicit PlanInputBuilder(PassParameters parameters);
  // Without nodes, jobs and teams where no job waits. Jobs in `within_guarantee` go before others of their priority.
  PlanInput build(ClusterState& cluster_state, const PassContext& context, const std::set<JobIndex>& within_guarantee);

 private:
  [[nodiscard]] PlanJob make_plan_job(const ClusterState& cluster_state, JobIndex index, const PlanInput& input, double wall) const;
  // How long a later slot of the job may be waited for, in seconds, before other work is preempted for it.
  [[nodiscard]] double patience_s(const Job& job, double wall) const;

  PassParameters parameters_;
  AcceleratorReservation accelerator_reservation_;
};

// Puts starved jobs ahead of all others in `input`, as far as the guard's share of the freed capacity allows; returns
// them. `release_rate`: cores that come free in a second, recently. Nothing is promoted while a job within a guarantee waits.
std::set<JobIndex> promote_starving_jobs(PlanInput& input, const ClusterState& cluster_state, StarvationGuard& guard, double release_rate,
                                         const PassContext& context, const std::set<JobIndex>& within_guarantee);

}  // namespace thistlefront
