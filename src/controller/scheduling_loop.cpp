#include "controller/scheduling_loop.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "controller/leadership_conditions.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"
#include "worker_control/reconciliation.hpp"

namespace thistlefront {

namespace {
constexpr double kMaxPassIntervalS = 1.0;      // without a pass request
constexpr double kStartCommitTimeoutS = 30.0;  // of one wait for the commit of starts; the wait is then repeated
constexpr double kMinTokenRaiseIntervalS = 1.0;

PassParameters make_pass_parameters(const ControllerConfig& config) {
  PassParameters out;
  out.weight = config.options.wait_weight;
  out.overrun_s = config.options.overrun_s;
  out.heartbeat_interval_s = config.settings.heartbeat_interval_s;
  for (const auto& objective : config.settings.objectives)
    if (objective.kind == "wait") out.start_targets[objective.job_class].push_back(objective.within_s);
  return out;
}

double shortest_boot_s(const ClusterState& cluster_state) {
  double out = kInfinity;
  for (const auto& type : cluster_state.machine_types()) out = std::min(out, type.boot_s);
  return out;
}
}  // namespace

SchedulingLoop::SchedulingLoop(SharedState& shared, CommitQueue& commit_queue, CommandSender& commands, ControllerMetrics& metrics)
    : shared_(shared),
      commit_queue_(commit_queue),
      command_sender_(commands),
      metrics_(metrics),
      plan_input_builder_(make_pass_parameters(shared.config)) {
  for (const auto& [job_class, targets] : plan_input_builder_.start_targets()) classes_with_start_targets_.insert(job_class);
}

void SchedulingLoop::run(std::stop_token stop) {
  const PassPacing pacing{shared_.config.options.pass_period_s, shared_.config.settings.cpu};
  Lock lock(shared_.mutex);
  while (!stop.stop_requested()) {
    shared_.wait_for_pass_request(lock, stop, kMaxPassIntervalS);
    if (stop.stop_requested()) return;
    PassCost cost;
    if (shared_.may_decide()) cost = run_pass(lock);
    lock.unlock();
    // The pause lets heartbeats and submissions proceed: a pass holds the mutex that they wait for, and uses CPU time.
    if (!pause_for(stop, rest_after_pass(cost, pacing))) return;
    lock.lock();
  }
}

PassCost SchedulingLoop::run_pass(Lock& lock) {
  const double processor_before = thread_processor_seconds();
  const PassContext context = make_pass_context();
  const auto term = shared_.term_number;
  evict_tasks_of_lost_nodes(context.steady_now);
  fence_earlier_starts(context.steady_now);
  std::set<NodeIndex> nodes_with_commands;
  mark_tasks_to_stop(context, nodes_with_commands);
  update_idle_times(context.steady_now);
  const Decision decision = make_decision(context, nodes_with_commands);
  const PlannedStarts starts = assign_tasks(*shared_.term->cluster_state, decision.plan.starts, context.wall_now);
  nodes_with_commands.insert(starts.nodes.begin(), starts.nodes.end());
  charge_promoted_jobs(decision);
  const PassCost cost = record_pass_cost(decision, context.steady_now, processor_before);
  if (!commit_starts(lock, starts, decision.plan.starts, context.steady_now)) return cost;
  // If leadership has become uncertain, the starts go out with heartbeat replies once it is certain again.
  if (!starts.records.empty() && !shared_.may_decide()) return cost;
  if (shared_.is_term(term))
    for (const NodeIndex node : nodes_with_commands) command_sender_.enqueue(node);
  return cost;
}

PassContext SchedulingLoop::make_pass_context() const {
  const Term& term = *shared_.term;
  PassContext out;
  out.steady_now = steady_now();
  out.wall_now = wall_now();
  out.takeover_token = term.takeover_token;
  out.taken_over_at = term.taken_over_at;
  out.first_term_ever = term.first_term_ever;
  return out;
}

void SchedulingLoop::evict_tasks_of_lost_nodes(double now) {
  ClusterState& cluster_state = *shared_.term->cluster_state;
  for (auto& eviction : evict_from_lost_nodes(cluster_state, fencing_state(shared_, now), shared_.config.settings.lease_s, now)) {
    const Node& node = cluster_state.node(eviction.node);
    spdlog::info("node {}: {}, {} tasks requeued", node.name, node.terminated ? "released" : "lease expired", eviction.task_count);
    commit_queue_.enqueue(std::move(eviction.records));
  }
}

void SchedulingLoop::fence_earlier_starts(double now) {
  Term& term = *shared_.term;
  if (now - term.token_raised_at <= kMinTokenRaiseIntervalS) return;
  const TokenRaise needed = needed_token_raise(*term.cluster_state, term.fencing_token);
  if (needed == TokenRaise::none) return;
  const double in_use_for_s = now - std::max(term.token_raised_at, term.taken_over_at);
  if (needed == TokenRaise::deferrable && in_use_for_s <= shared_.config.settings.lease_s) return;
  term.raise_token_requested = true;
  commit_queue_.wake_committer();
}

void SchedulingLoop::mark_tasks_to_stop(const PassContext& context, std::set<NodeIndex>& nodes_with_commands) {
  ClusterState& cluster_state = *shared_.term->cluster_state;
  for (const NodeIndex node : drain_interrupted_nodes(cluster_state, {context.steady_now, context.wall_now}))
    nodes_with_commands.insert(node);
  for (const NodeIndex node : resume_inherited_stops(cluster_state)) nodes_with_commands.insert(node);
  if (!stop_broken_gangs(cluster_state)) return;
  for (const JobIndex job : cluster_state.live())
    for (const auto& [task, placement] : cluster_state.job(job).placed)
      if (placement.stopping) nodes_with_commands.insert(placement.node);
}

void SchedulingLoop::update_idle_times(double now) {
  Term& term = *shared_.term;
  ClusterState& cluster_state = *term.cluster_state;
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
    Node& node = cluster_state.node(NodeIndex{i});
    const bool idle = node.placed.empty() && node.agent.has_reported &&
                      std::all_of(node.agent.tasks.begin(), node.agent.tasks.end(),
                                  [](const ReportedTask& task) { return task.phase == TaskPhase::exited; });
    if (!idle) {
      node.idle_since = 0;
    } else if (node.idle_since == 0) {
      node.idle_since = now;
    }
  }
  for (const JobIndex index : cluster_state.live()) {
    const Job& job = cluster_state.job(index);
    if (job.pending > 0 || job.spec.job_type != JobType::service) term.last_work_at = now;
  }
}

SchedulingLoop::Decision SchedulingLoop::make_decision(const PassContext& context, std::set<NodeIndex>& nodes_with_commands) {
  Term& term = *shared_.term;
  ClusterState& cluster_state = *term.cluster_state;
  term.within_guarantee = jobs_within_guarantee(cluster_state);
  Decision out;
  out.input = plan_input_builder_.build(cluster_state, context, term.within_guarantee);
  out.promoted_jobs = promote_starving_jobs(out.input, cluster_state, term.starvation_guard,
                                            shared_.capacity_release_rate.rate(context.steady_now), context, term.within_guarantee);
  // Units whose slot starts after the horizon are late: an instance requested now could have booted by then.
  out.input.horizon = context.wall_now + shortest_boot_s(cluster_state);
  out.plan = make_plan(out.input);
  term.unserved = out.plan.unserved;
  out.preempted_tasks = preempt_tasks(out.input, out.plan, context, nodes_with_commands);
  return out;
}

// Later passes allocate the freed resources, highest priority tier first.
std::size_t SchedulingLoop::preempt_tasks(const PlanInput& input, Plan& plan, const PassContext& context,
                                          std::set<NodeIndex>& nodes_with_commands) {
  Term& term = *shared_.term;
  ClusterState& cluster_state = *term.cluster_state;
  const PreemptionInput preemption_input{cluster_state,
                                         input,
                                         plan,
                                         term.within_guarantee,
                                         context.wall_now,
                                         shared_.capacity_release_rate.rate(context.steady_now),
                                         classes_with_start_targets_,
                                         term.starvation_guard.protected_jobs()};
  const PreemptionPlan preemption = choose_victims(preemption_input);
  for (const auto& cancelled : preemption.cancelled_starts)
    std::erase_if(plan.starts, [&](const Slot& slot) {
      return slot.job == cancelled.job && slot.node == cancelled.node && slot.start_at == cancelled.start_at;
    });
  for (const auto& victim : preemption.victims) {
    Placement* placement = cluster_state.placement(victim.ref);
    mark_for_stop(*placement, victim.grace_period_s);
    nodes_with_commands.insert(placement->node);
    ++metrics_.counters.preempted;
  }
  return preemption.victims.size();
}

void SchedulingLoop::charge_promoted_jobs(const Decision& decision) {
  Term& term = *shared_.term;
  for (const auto& slot : decision.plan.starts) {
    if (!decision.promoted_jobs.contains(slot.job)) continue;
    term.starvation_guard.charge(slot.job, term.cluster_state->job(slot.job).spec.demand.cores * slot.units);
  }
}

PassCost SchedulingLoop::record_pass_cost(const Decision& decision, double started_at, double processor_before) {
  const PassCost cost{steady_now() - started_at, thread_processor_seconds() - processor_before};
  Counters& counters = metrics_.counters;
  ++counters.passes;
  counters.pass_seconds = counters.pass_seconds + cost.elapsed_s;
  counters.pass_processor_seconds = counters.pass_processor_seconds + cost.processor_s;
  metrics_.pass_times.add(cost.elapsed_s);
  const Plan& plan = decision.plan;
  spdlog::debug(
      "pass: {:.1f} ms, {:.2f} ms CPU, {} nodes, {} jobs pending, {} starts, {} reservations, {} unserved, {} preempted, {:.0f} ms behind",
      cost.elapsed_s * 1000, cost.processor_s * 1000, decision.input.nodes.size(), decision.input.jobs.size(), plan.starts.size(),
      plan.reservations.size(), plan.unserved.size(), decision.preempted_tasks, counters.renewal_lag_s * 1000);
  return cost;
}

bool SchedulingLoop::commit_starts(Lock& lock, const PlannedStarts& starts, const std::vector<Slot>& slots, double now) {
  if (starts.records.empty()) return true;
  const auto term = shared_.term_number;
  std::vector<Record> records;
  for (const auto& [job, start] : starts.records) {
    for (auto& record : split_by_size(start, shared_.term->cluster_state->record_bytes())) {
      for (const auto& assignment : record.assignments)
        for (const auto& range : assignment.tasks) metrics_.counters.started += range.end - range.first;
      records.emplace_back(std::move(record));
    }
  }
  for (const auto& slot : slots) shared_.term->starting_nodes.insert(slot.node);
  shared_.start_stall_detector.record_planned(now);
  const auto ticket = commit_queue_.enqueue(std::move(records));
  while (!commit_queue_.wait_applied(lock, ticket, kStartCommitTimeoutS))
    if (!shared_.is_term(term)) return false;
  shared_.term->starting_nodes.clear();
  return true;
}

}  // namespace thistlefront
