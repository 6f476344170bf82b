// Builds the planner's input from the cluster state: the nodes that may take tasks, the waiting jobs and their order. Called by
// the leader once in each pass. No I/O, no locks, no clock. The only change to the cluster state is the recount of tasks that
// agents report but that are not placed.
#pragma once
#include <set>

#include "cluster_state/cluster_state.hpp"
#include "model/identifiers.hpp"
#include "scheduling/accelerator_reservation.hpp"
#include "scheduling/pass_context.hpp"
#include "scheduling/planner.hpp"
#include "scheduling/starvation_guard.hpp"
#include "scheduling/waiting_times.hpp"

namespace thistlefront {

// Jobs within their team's guaranteed resources: those that fit into the guarantee together with the team's earlier unfinished
// jobs.
std::set<JobIndex> jobs_within_guarantee(const ClusterState& cluster_state);

class PlanInputBuilder {
 public:
  explicit PlanInputBuilder(PassParameters parameters);
  [[nodiscard]] const StartTargets& start_targets() const { return parameters_.start_targets; }
  // The input has no nodes, jobs or teams if no job waits. Jobs in `within_guarantee` are planned before others of their priority, and
  // before all other jobs once they are overdue.
  PlanInput build(ClusterState& cluster_state, const PassContext& context, const std::set<JobIndex>& within_guarantee);

 private:
  [[nodiscard]] PlanJob make_plan_job(const ClusterState& cluster_state, JobIndex index, const PlanInput& input, double wall_now) const;
  // Maximum wait for a reserved slot of the job before other work is preempted for it.
  [[nodiscard]] double max_wait_s(const Job& job, double wall_now) const;

  PassParameters parameters_;
  AcceleratorReservation accelerator_reservation_;
  WaitingTimes waiting_times_;
};

// Raises starving jobs above all others in `input` except production jobs, within the guard's balance; returns them.
// `release_rate`: cores released per second, recently. Promotes nothing while a job within a guarantee waits.
std::set<JobIndex> promote_starving_jobs(PlanInput& input, const ClusterState& cluster_state, StarvationGuard& guard, double release_rate,
                                         const PassContext& context, const std::set<JobIndex>& within_guarantee);

}  // namespace thistlefront
