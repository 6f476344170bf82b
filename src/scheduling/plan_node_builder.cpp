#include "scheduling/plan_node_builder.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/machine.hpp"
#include "model/resources.hpp"
#include "model/task.hpp"
#include "worker_control/one_way_partition.hpp"

namespace thistlefront {

namespace {

constexpr double kSilentHeartbeats = 1.5;     // heartbeat intervals without a heartbeat after which a node gets no new task
constexpr double kSilenceSlackSeconds = 1.0;  // added to them
constexpr double kEndGrainSeconds = 0.5;      // to which ends are rounded up: far finer than estimates are
constexpr double kStopSlackSeconds = 1.0;     // beyond its grace period, until a stopped task has left

bool may_take_tasks(const ClusterState& cluster_state, NodeIndex index, const PassContext& context, double heartbeat_interval_s) {
  const Node& node = cluster_state.node(index);
  if (!cluster_state.machine_type(node.machine_type) || !node.agent.has_reported || node.lease_expired || node.terminated) return false;
  if (cluster_state.failure_attribution().is_cordoned(index, context.wall)) return false;
  if (node.release_requested || node.agent.interruption_at || node.full_until > context.steady) return false;
  // A heartbeat may be a late copy of one to an earlier leader: nothing is placed on a node before it has shown that it
  // knows this leader. Machines that this leader requested itself sent no earlier heartbeats, nor did any in a first term.
  const bool knows_leader = node.agent.highest_token >= context.takeover_token;
  if (!knows_leader && node.instance.requested_at == 0 && !context.first_term_ever) return false;
  if (is_unresponsive(node, context.wall, heartbeat_interval_s)) return false;
  return context.steady - node.agent.last_heartbeat_at <= kSilentHeartbeats * heartbeat_interval_s + kSilenceSlackSeconds;
}

// Occupants that end at about the same time are taken together: they make one step of the capacity profile.
void add_occupant(PlanNode& plan_node, const Resources& demand, double until) {
  if (until != kForever) until = std::ceil(until / kEndGrainSeconds) * kEndGrainSeconds;
  auto& occupants = plan_node.occupants;
  const auto same_end = std::find_if(occupants.begin(), occupants.end(), [&](const auto& occupant) { return occupant.until == until; });
  if (same_end == occupants.end()) {
    occupants.push_back({demand, until});
  } else {
    same_end->demand += demand;
  }
}

// On a node where accelerator work may run, other tasks may borrow what whole tasks of the largest such demand leave.
void set_lent_room(PlanNode& plan_node, const Resources& largest_demand) {
  const Resources& capacity = plan_node.capacity;
  if (capacity.accelerators <= 0 || largest_demand.accelerators <= 0 || !largest_demand.fits(capacity)) return;
  plan_node.lending = PlanNode::Lending::not_to_services;
  plan_node.lent = capacity;
  for (Resources left = capacity; largest_demand.fits(left); left -= largest_demand) plan_node.lent -= largest_demand;
}

// Wall seconds at which the task is expected to have left.
double expected_end(const Job& job, const Placement& placement, double wall) {
  if (placement.stopping) return wall + placement.grace_period_s + kStopSlackSeconds;
  if (job.spec.job_type == JobType::service) return kForever;
  // One not seen running yet counts as just started.
  const double started_at = placement.running_since > 0 ? placement.running_since : std::max(placement.decided_at, wall - 1);
  return started_at + job.spec.estimated_run_s;
}

// Adds the tasks that the cluster state places there; returns how many of them the agent reports.
std::size_t add_placed_tasks(PlanNode& plan_node, const ClusterState& cluster_state, const Node& node, double wall) {
  std::size_t reported = 0;
  for (const auto& placed : node.placed) {
    const Placement& placement = *placed.placement;
    const Job& job = cluster_state.job(placed.job);
    if (placement.reported && placement.phase != TaskPhase::exited) ++reported;
    add_occupant(plan_node, job.spec.demand, expected_end(job, placement, wall));
    if (job.spec.demand.accelerators == 0) plan_node.lent -= job.spec.demand;
  }
  return reported;
}

// Adds the tasks that the agent still reports and that are no longer placed there: they are on their way out.
void add_leaving_tasks(PlanNode& plan_node, ClusterState& cluster_state, const Node& node, std::size_t placed_and_reported,
                       double leaves_at) {
  const auto is_present = [](const ReportedTask& task) { return task.phase != TaskPhase::exited; };
  const auto present = static_cast<std::size_t>(std::count_if(node.agent.tasks.begin(), node.agent.tasks.end(), is_present));
  if (present <= placed_and_reported) return;
  for (const auto& task : node.agent.tasks) {
    if (!is_present(task) || !task.ref.job.valid()) continue;
    const Placement* placement = cluster_state.placement(task.ref);
    if (placement && placement->node == plan_node.node && placement->attempt == task.attempt) continue;
    const Job& job = cluster_state.job(task.ref.job);
    if (!job.tasks.empty()) add_occupant(plan_node, job.spec.demand, leaves_at);
  }
}

PlanNode make_plan_node(ClusterState& cluster_state, NodeIndex index, double wall, double heartbeat_interval_s) {
  const Node& node = cluster_state.node(index);
  const MachineType& machine_type = *cluster_state.machine_type(node.machine_type);
  PlanNode plan_node;
  plan_node.node = index;
  plan_node.machine_type = node.machine_type;
  plan_node.zone = node.zone;
  plan_node.spot = node.spot;
  plan_node.capacity = machine_type.capacity;
  plan_node.image_fetch_gb_per_s = machine_type.image_fetch_gb_per_s;
  set_lent_room(plan_node, cluster_state.largest_accelerator_demand(node.machine_type, node.spot));
  plan_node.images.reserve(node.cached_images.size());
  for (const auto& [image, size_gb] : node.cached_images) plan_node.images.push_back(image);
  plan_node.occupants.reserve(node.placed.size());
  const std::size_t reported = add_placed_tasks(plan_node, cluster_state, node, wall);
  add_leaving_tasks(plan_node, cluster_state, node, reported, wall + heartbeat_interval_s);
  return plan_node;
}

}  // namespace

std::vector<PlanNode> make_plan_nodes(ClusterState& cluster_state, const PassContext& context, double heartbeat_interval_s) {
  std::vector<PlanNode> nodes;
  nodes.reserve(cluster_state.node_count());
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
    const NodeIndex index{i};
    if (may_take_tasks(cluster_state, index, context, heartbeat_interval_s))
      nodes.push_back(make_plan_node(cluster_state, index, context.wall, heartbeat_interval_s));
  }
  return nodes;
}

}  // namespace thistlefront
