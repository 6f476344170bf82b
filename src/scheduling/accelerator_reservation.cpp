#include "scheduling/accelerator_reservation.hpp"

#include <algorithm>
#include <cmath>

#include "model/job.hpp"
#include "model/machine.hpp"
#include "model/resources.hpp"

namespace thistlefront {

namespace {

constexpr double kDemandUnknownSeconds = 6.0;     // at the start of a cluster's first term
constexpr double kDemandDecaySeconds = 60.0;      // time constant of the recent demand
constexpr double kBackfillTaskRunSeconds = 60.0;  // typical run time of a task without accelerators
constexpr double kNegligibleNodes = 0.1;
constexpr double kDemandMemorySeconds = 300.0;  // after the last accelerator job, none is expected any more

// The first leader of a cluster knows no demand yet. It reserves all nodes with accelerators for the first seconds, so that the
// first CPU-only jobs do not occupy them before accelerator jobs are submitted: on a restarted cluster, arrays occupied 50 of
// these nodes for 80 s while gangs waited.
void reserve_all_nodes(PlanInput& input) {
  for (auto& node : input.nodes) {
    if (node.capacity.accelerators <= 0) continue;
    if (node.backfill_rule == PlanNode::BackfillRule::unrestricted) node.backfill_capacity = {};
    node.backfill_rule = PlanNode::BackfillRule::reserved;
  }
}

// The job's tasks by machine type. Pending tasks count for the type that the job requires, or, unless it names exactly one, for each
// type into which they fit.
std::map<MachineTypeIndex, double> tasks_by_machine_type(const ClusterState& cluster_state, const Job& job) {
  std::map<MachineTypeIndex, double> tasks;
  for (const auto& [task, placement] : job.placed) tasks[cluster_state.node(placement.node).machine_type] += 1;
  if (job.pending == 0) return tasks;
  if (job.machine_types.size() == 1) {
    tasks[job.machine_types.front()] += job.pending;
    return tasks;
  }
  for (const auto& machine_type : cluster_state.machine_types())
    if (job.spec.demand.fits(machine_type.capacity)) tasks[cluster_state.find_machine_type(machine_type.name)] += job.pending;
  return tasks;
}

// Reserves the nodes with the largest backfill capacity first.
void reserve_nodes(PlanInput& input, MachineTypeIndex machine_type, std::size_t count) {
  std::vector<PlanNode*> nodes;  // nodes that accelerator jobs may use
  for (auto& node : input.nodes)
    if (node.machine_type == machine_type && node.backfill_rule != PlanNode::BackfillRule::unrestricted) nodes.push_back(&node);
  std::stable_sort(nodes.begin(), nodes.end(),
                   [](const PlanNode* a, const PlanNode* b) { return a->backfill_capacity.cores > b->backfill_capacity.cores; });
  for (std::size_t i = 0; i < nodes.size() && i < count; ++i) nodes[i]->backfill_rule = PlanNode::BackfillRule::reserved;
}

// Opens all nodes of the machine type to work without accelerators.
void lift_limits(PlanInput& input, MachineTypeIndex machine_type) {
  for (auto& node : input.nodes)
    if (node.machine_type == machine_type) node.backfill_rule = PlanNode::BackfillRule::unrestricted;
}

}  // namespace

void AcceleratorReservation::apply(PlanInput& input, const ClusterState& cluster_state, const StartTargets& start_targets,
                                   const PassContext& context) {
  if (context.first_term_ever && context.steady_now - context.taken_over_at < kDemandUnknownSeconds) {
    reserve_all_nodes(input);
    return;
  }
  CurrentDemand current = measure_demand(cluster_state, start_targets);
  for (const auto& machine_type : cluster_state.machine_types()) {
    if (machine_type.capacity.accelerators <= 0) continue;
    const MachineTypeIndex index = cluster_state.find_machine_type(machine_type.name);
    const bool has_demand = current.nodes[index] > 0;
    if (!has_demand && context.wall_now - cluster_state.last_accelerator_demand_at(index) > kDemandMemorySeconds) {
      lift_limits(input, index);
      continue;
    }
    const RecentDemand& demand = update_recent_demand(index, current, context.steady_now);
    if (demand.nodes < kNegligibleNodes) continue;
    // Spare nodes for the next job. A gang starts only when the last of its nodes is free, so with gangs of several nodes, one more as
    // wide as the widest is provided for. Otherwise, one node is spare if the start target is too short to wait for backfilling tasks.
    const double spare = demand.widest_gang_nodes > 1 ? demand.widest_gang_nodes : demand.start_target_s < kBackfillTaskRunSeconds ? 1 : 0;
    reserve_nodes(input, index, static_cast<std::size_t>(std::ceil(demand.nodes + spare)));
  }
}

AcceleratorReservation::CurrentDemand AcceleratorReservation::measure_demand(const ClusterState& cluster_state,
                                                                             const StartTargets& start_targets) {
  CurrentDemand demand;
  for (JobIndex j : cluster_state.live()) {
    const Job& job = cluster_state.job(j);
    if (job.spec.demand.accelerators <= 0 || job.ended() || cluster_state.failure_attribution().is_suspect(j)) continue;
    add_job(demand, cluster_state, job, start_targets);
  }
  return demand;
}

void AcceleratorReservation::add_job(CurrentDemand& demand, const ClusterState& cluster_state, const Job& job,
                                     const StartTargets& start_targets) {
  const auto tasks = tasks_by_machine_type(cluster_state, job);
  if (const auto targets = start_targets.find(job.spec.job_class); targets != start_targets.end()) {
    for (double target_s : targets->second)
      for (const auto& [index, count] : tasks) {
        double& strictest_s = demand.start_target_s.try_emplace(index, target_s).first->second;
        strictest_s = std::min(strictest_s, target_s);
      }
  }
  for (const auto& [index, count] : tasks) {
    const MachineType* machine_type = cluster_state.machine_type(index);
    if (!machine_type || machine_type->capacity.accelerators <= 0) continue;
    const double nodes = count * job.spec.demand.accelerators / machine_type->capacity.accelerators;
    demand.nodes[index] += nodes;
    if (job.spec.job_type == JobType::gang) demand.widest_gang_nodes[index] = std::max(demand.widest_gang_nodes[index], nodes);
  }
}

const AcceleratorReservation::RecentDemand& AcceleratorReservation::update_recent_demand(MachineTypeIndex machine_type,
                                                                                         CurrentDemand& current, double steady_now) {
  RecentDemand& demand = recent_demand_[machine_type];
  const double decay = std::exp(-(steady_now - demand.updated_at) / kDemandDecaySeconds);
  demand.widest_gang_nodes = std::max(demand.widest_gang_nodes * decay, current.widest_gang_nodes[machine_type]);
  demand.nodes = std::max(demand.nodes * decay, current.nodes[machine_type]);
  demand.updated_at = steady_now;
  if (auto it = current.start_target_s.find(machine_type); it != current.start_target_s.end()) demand.start_target_s = it->second;
  return demand;
}

}  // namespace thistlefront
