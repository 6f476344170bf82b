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

// A node gets no new task after this many heartbeat intervals plus the slack without a heartbeat.
constexpr double kMaxSilentIntervals = 1.5;
constexpr double kSilenceSlackSeconds = 1.0;
constexpr double kEndRoundingSeconds = 0.5;  // expected ends are rounded up to multiples of this; estimates are far coarser
constexpr double kStopSlackSeconds = 1.0;    // time after its grace period within which a stopped task leaves its node

bool may_take_tasks(const ClusterState& cluster_state, NodeIndex index, const PassContext& context, double heartbeat_interval_s) {
  const Node& node = cluster_state.node(index);
  if (!cluster_state.machine_type(node.machine_type) || !node.agent.has_reported || node.lease_expired || node.terminated) return false;
  if (cluster_state.failure_attribution().is_cordoned(index, context.wall_now)) return false;
  if (node.release_requested || node.agent.interruption_at || node.full_until > context.steady_now) return false;
  // A heartbeat may be a delayed copy of one sent to an earlier leader. Nothing is placed on a node until its agent has seen this
  // leader's token, unless there can be no earlier heartbeats: on nodes that this leader requested, and in the first term ever.
  const bool knows_leader = node.agent.highest_token >= context.takeover_token;
  if (!knows_leader && node.instance.requested_at == 0 && !context.first_term_ever) return false;
  if (is_unresponsive(node, context.wall_now, heartbeat_interval_s)) return false;
  return context.steady_now - node.agent.last_heartbeat_at <= kMaxSilentIntervals * heartbeat_interval_s + kSilenceSlackSeconds;
}

// Merges occupants with about the same end, so that they form one step of the capacity profile.
void add_occupant(PlanNode& plan_node, const Resources& demand, double ends_at) {
  if (ends_at != kInfinity) ends_at = std::ceil(ends_at / kEndRoundingSeconds) * kEndRoundingSeconds;
  auto& occupants = plan_node.occupants;
  const auto same_end = std::find_if(occupants.begin(), occupants.end(), [&](const auto& occupant) { return occupant.ends_at == ends_at; });
  if (same_end == occupants.end()) {
    occupants.push_back({demand, ends_at});
  } else {
    same_end->demand += demand;
  }
}

// The backfill capacity of a node is what remains when as many tasks of the largest accelerator demand as fit run there.
void set_backfill_capacity(PlanNode& plan_node, const Resources& largest_demand) {
  const Resources& capacity = plan_node.capacity;
  if (capacity.accelerators <= 0 || largest_demand.accelerators <= 0 || !largest_demand.fits(capacity)) return;
  plan_node.backfill_rule = PlanNode::BackfillRule::limited_for_services;
  plan_node.backfill_capacity = capacity;
  for (Resources left = capacity; largest_demand.fits(left); left -= largest_demand) plan_node.backfill_capacity -= largest_demand;
}

// Wall seconds at which the task is expected to have left its node.
double expected_end(const Job& job, const Placement& placement, double wall_now) {
  if (placement.stopping) return wall_now + placement.grace_period_s + kStopSlackSeconds;
  if (job.spec.job_type == JobType::service) return kInfinity;
  // A task not yet reported as running counts as started when its start was decided, but no earlier than 1 s ago.
  const double started_at = placement.running_since > 0 ? placement.running_since : std::max(placement.decided_at, wall_now - 1);
  return started_at + job.spec.estimated_run_s;
}

// Adds the tasks that the cluster state places on the node; returns how many of them the agent reports.
std::size_t add_placed_tasks(PlanNode& plan_node, const ClusterState& cluster_state, const Node& node, double wall_now) {
  std::size_t reported = 0;
  for (const auto& placed : node.placed) {
    const Placement& placement = *placed.placement;
    const Job& job = cluster_state.job(placed.job);
    if (placement.reported && placement.phase != TaskPhase::exited) ++reported;
    add_occupant(plan_node, job.spec.demand, expected_end(job, placement, wall_now));
    if (job.spec.demand.accelerators == 0) plan_node.backfill_capacity -= job.spec.demand;
  }
  return reported;
}

// Adds the tasks that the agent still reports but that are no longer placed on the node.
void add_leaving_tasks(PlanNode& plan_node, ClusterState& cluster_state, const Node& node, std::size_t placed_and_reported,
                       double removed_at) {
  const auto is_present = [](const ReportedTask& task) { return task.phase != TaskPhase::exited; };
  const auto present = static_cast<std::size_t>(std::count_if(node.agent.tasks.begin(), node.agent.tasks.end(), is_present));
  if (present <= placed_and_reported) return;
  for (const auto& task : node.agent.tasks) {
    if (!is_present(task) || !task.ref.job.valid()) continue;
    const Placement* placement = cluster_state.placement(task.ref);
    if (placement && placement->node == plan_node.node && placement->attempt == task.attempt) continue;
    const Job& job = cluster_state.job(task.ref.job);
    if (!job.tasks.empty()) add_occupant(plan_node, job.spec.demand, removed_at);
  }
}

PlanNode make_plan_node(ClusterState& cluster_state, NodeIndex index, double wall_now, double heartbeat_interval_s) {
  const Node& node = cluster_state.node(index);
  const MachineType& machine_type = *cluster_state.machine_type(node.machine_type);
  PlanNode plan_node;
  plan_node.node = index;
  plan_node.machine_type = node.machine_type;
  plan_node.zone = node.zone;
  plan_node.spot = node.spot;
  plan_node.capacity = machine_type.capacity;
  plan_node.image_fetch_gb_per_s = machine_type.image_fetch_gb_per_s;
  set_backfill_capacity(plan_node, cluster_state.largest_accelerator_demand(node.machine_type, node.spot));
  plan_node.images.reserve(node.cached_images.size());
  for (const auto& [image, size_gb] : node.cached_images) plan_node.images.push_back(image);
  plan_node.occupants.reserve(node.placed.size());
  const std::size_t reported = add_placed_tasks(plan_node, cluster_state, node, wall_now);
  add_leaving_tasks(plan_node, cluster_state, node, reported, wall_now + heartbeat_interval_s);
  return plan_node;
}

}  // namespace

std::vector<PlanNode> make_plan_nodes(ClusterState& cluster_state, const PassContext& context, double heartbeat_interval_s) {
  std::vector<PlanNode> nodes;
  nodes.reserve(cluster_state.node_count());
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
    const NodeIndex index{i};
    if (may_take_tasks(cluster_state, index, context, heartbeat_interval_s))
      nodes.push_back(make_plan_node(cluster_state, index, context.wall_now, heartbeat_interval_s));
  }
  return nodes;
}

}  // namespace thistlefront
