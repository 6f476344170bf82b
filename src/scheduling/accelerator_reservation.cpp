#include "scheduling/accelerator_reservation.hpp"

#include <algorithm>
#include <cmath>

#include "model/job.hpp"
#include "model/machine.hpp"
#include "model/resources.hpp"

namespace thistlefront {

namespace {

constexpr double kDemandUnknownSeconds = 6.0;      // of a cluster's first term
constexpr double kDemandMemorySeconds = 60.0;      // over which the demand for accelerators fades
constexpr double kBorrowingTaskRunSeconds = 60.0;  // about how long a task without accelerators runs
constexpr double kNegligibleMachines = 0.1;

// A cluster's first leader knows no demand yet: what its first users send in the first seconds is not lent away before the
// rest of them have sent theirs (measured on a restarted cluster: arrays held 50 machines for 80 s while gangs waited).
void reserve_all(PlanInput& input) {
  for (auto& node : input.nodes) {
    if (node.capacity.accelerators <= 0) continue;
    if (node.lending == PlanNode::Lending::all) node.lent = {};
    node.lending = PlanNode::Lending::kept;
  }
}

// The job's tasks by the machine type that they run on or may run on.
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

// Those with the most room for other tasks already are kept first.
void reserve_nodes(PlanInput& input, MachineTypeIndex machine_type, std::size_t count) {
  std::vector<PlanNode*> nodes;  // those that accelerator work may use
  for (auto& node : input.nodes)
    if (node.machine_type == machine_type && node.lending != PlanNode::Lending::all) nodes.push_back(&node);
  std::stable_sort(nodes.begin(), nodes.end(), [](const PlanNode* a, const PlanNode* b) { return a->lent.cores > b->lent.cores; });
  for (std::size_t i = 0; i < nodes.size() && i < count; ++i) nodes[i]->lending = PlanNode::Lending::kept;
}

}  // namespace

void AcceleratorReservation::apply(PlanInput& input, const ClusterState& cluster_state, const StartTargets& start_targets,
                                   const PassContext& context) {
  if (context.first_term_ever && context.steady - context.taken_over_at < kDemandUnknownSeconds) {
    reserve_all(input);
    return;
  }
  CurrentDemand current = measure_demand(cluster_state, start_targets);
  for (const auto& machine_type : cluster_state.machine_types()) {
    if (machine_type.capacity.accelerators <= 0) continue;
    const MachineTypeIndex index = cluster_state.find_machine_type(machine_type.name);
    const FadingDemand& demand = update(index, current, context.steady);
    if (demand.machines < kNegligibleMachines) continue;
    // A spare machine only where the target for the wait leaves no time for tasks that borrowed it to end. Gangs over
    // several machines wait for the last of them: for these there is room for one more of the widest.
    const double spare = demand.widest_gang > 1 ? demand.widest_gang : demand.start_target_s < kBorrowingTaskRunSeconds ? 1 : 0;
    reserve_nodes(input, index, static_cast<std::size_t>(std::ceil(demand.machines + spare)));
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
    const double machines = count * job.spec.demand.accelerators / machine_type->capacity.accelerators;
    demand.machines[index] += machines;
    if (job.spec.job_type == JobType::gang) demand.widest_gang[index] = std::max(demand.widest_gang[index], machines);
  }
}

const AcceleratorReservation::FadingDemand& AcceleratorReservation::update(MachineTypeIndex machine_type, CurrentDemand& current,
                                                                           double steady) {
  FadingDemand& demand = demand_[machine_type];
  const double remaining = std::exp(-(steady - demand.updated_at) / kDemandMemorySeconds);
  demand.widest_gang = std::max(demand.widest_gang * remaining, current.widest_gang[machine_type]);
  demand.machines = std::max(demand.machines * remaining, current.machines[machine_type]);
  demand.updated_at = steady;
  if (auto it = current.start_target_s.find(machine_type); it != current.start_target_s.end()) demand.start_target_s = it->second;
  return demand;
}

}  // namespace thistlefront
