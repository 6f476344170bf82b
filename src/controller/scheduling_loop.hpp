// The leader's scheduling loop: runs a scheduling pass after each change, and at least once a second. A pass expires leases, marks
// tasks that have to stop, makes a plan (scheduling/), and commits the task starts in one transaction. No start command is sent, and
// no further pass is run, before the starts are known to be committed.
#pragma once
#include <cstdint>
#include <set>
#include <stop_token>

#include "controller/command_sender.hpp"
#include "controller/commit_queue.hpp"
#include "controller/controller_metrics.hpp"
#include "controller/shared_state.hpp"
#include "scheduling/pass_pacing.hpp"
#include "scheduling/plan_input_builder.hpp"
#include "scheduling/preemption.hpp"
#include "scheduling/start_records.hpp"

namespace thistlefront {

class SchedulingLoop {
 public:
  SchedulingLoop(SharedState& shared, CommitQueue& commit_queue, CommandSender& commands, ControllerMetrics& metrics);
  // Runs until a stop is requested.
  void run(std::stop_token stop);

 private:
  // The result of planning in one pass.
  struct Decision {
    PlanInput input;
    Plan plan;
    std::set<JobIndex> promoted_jobs;
    std::size_t preempted_tasks = 0;
  };

  // Makes one plan and commits its starts. Returns the cost of making the plan.
  PassCost run_pass(Lock& lock);
  PassContext make_pass_context() const;
  // Requeues the tasks of nodes that run nothing any more.
  void evict_tasks_of_lost_nodes(double now);
  // Requests a higher fencing token if agents may still execute earlier start commands and something waits for that to end; at most one
  // token a second, and one a lease if only acknowledgements of exits wait.
  void fence_earlier_starts(double now);
  // Marks the tasks that have to stop regardless of the plan, and adds their nodes to `nodes_with_commands`.
  void mark_tasks_to_stop(const PassContext& context, std::set<NodeIndex>& nodes_with_commands);
  void update_idle_times(double now);
  Decision make_decision(const PassContext& context, std::set<NodeIndex>& nodes_with_commands);
  // Preempts running tasks and returns how many.
  std::size_t preempt_tasks(const PlanInput& input, Plan& plan, const PassContext& context, std::set<NodeIndex>& nodes_with_commands);
  void charge_promoted_jobs(const Decision& decision);
  // Returns true once the starts are committed, or if there are none; false if the term has ended.
  bool commit_starts(Lock& lock, const PlannedStarts& starts, const std::vector<Slot>& slots, double now);
  PassCost record_pass_cost(const Decision& decision, double started_at, double processor_before);

  SharedState& shared_;
  CommitQueue& commit_queue_;
  CommandSender& command_sender_;
  ControllerMetrics& metrics_;
  PlanInputBuilder plan_input_builder_;  // guarded by SharedState::mutex
  std::set<std::string> classes_with_start_targets_;
};

}  // namespace thistlefront
