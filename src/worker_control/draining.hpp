// Decides which placed tasks to stop: tasks on spot instances with an interruption notice, tasks of gangs that lost a task, and tasks
// that an earlier leader began to stop. Called by the leader before it plans. Pure; it only marks placements, and
// `pending_commands` turns the marks into kills.
#pragma once
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "model/identifiers.hpp"
#include "worker_control/timestamps.hpp"

namespace thistlefront {

// Marks a placed task to be stopped. `grace_period_s`: time to write a checkpoint.
void mark_for_stop(Placement& placement, double grace_period_s);

// Stops tasks on nodes with an interruption notice, except those that complete before the interruption. Services are stopped in any
// case, and tasks with checkpoints get time to write one. Returns the nodes that have tasks to stop.
std::vector<NodeIndex> drain_interrupted_nodes(ClusterState& cluster_state, Timestamps now);

// Continues preemptions that an earlier leader began. They show as tasks that write a checkpoint although this leader did not stop
// them. For a gang, all of its tasks are stopped. A leader that treated such tasks as running would preempt further tasks for the
// same capacity, and leave gangs partly stopped. Returns the nodes that have tasks to stop.
std::vector<NodeIndex> resume_inherited_stops(ClusterState& cluster_state);

// Stops gangs that lost a task, so that they can be planned as a whole again. Returns whether any task was stopped.
bool stop_broken_gangs(ClusterState& cluster_state);

}  // namespace thistlefront
