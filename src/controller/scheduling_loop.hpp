// The scheduling loop of the leader: on a change, and at least once a second, it makes one pass. A pass expires leases, marks
// what must stop, plans (scheduling/), and commits the starts in one transaction; nothing starts, and no other pass is made,
// until that is known to be committed.
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
  // Until asked to stop.
  void run(std::stop_token stop);

 private:
  // What one pass decided.
  struct Decision {
    PlanInput input;
    Plan plan;
    std::set<JobIndex> promoted;
    std::size_t preempted_tasks = 0;
  };

  // Makes one plan and commits its starts; what making the plan cost.
  PassCost pass(Lock& lock);
  PassContext pass_context() const;
  void expire_leases(double steady);
  // Starts without an answer are fenced by a higher token, one for all that came up within a second.
  void fence_uncertain_starts(double steady);
  // Marks the tasks that must stop whatever is planned; adds the nodes that have commands due by that.
  void mark_stops(const PassContext& context, std::set<NodeIndex>& touched);
  void update_idle_times(double steady);
  Decision plan(const PassContext& context, std::set<NodeIndex>& touched);
  // Stops running tasks to make room; returns how many.
  std::size_t preempt(const PlanInput& input, Plan& plan, const PassContext& context, std::set<NodeIndex>& touched);
  void charge_promoted(const Decision& decision);
  // Whether the starts are in the ledger, or there are none; false when the term has ended.
  bool commit_starts(Lock& lock, const PlannedStarts& starts, const std::vector<Slot>& slots, double steady);
  PassCost record_cost(const Decision& decision, double began, double processor_before);

  SharedState& shared_;
  CommitQueue& commit_queue_;
  CommandSender& commands_;
  ControllerMetrics& metrics_;
  PlanInputBuilder plan_input_builder_;  // guarded by SharedState::mutex
  std::set<std::string> classes_with_start_targets_;
};

}  // namespace thistlefront
