// Decides which placed tasks are to be stopped: on spot instances that the cloud takes back, of gangs that lost a task, and those
// whose stop an earlier leader began. Called by the leader before it plans. Pure; it only marks placements, and
// `pending_commands` turns the marks into kills.
#pragma once
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "model/identifiers.hpp"
#include "worker_control/timestamps.hpp"

namespace thistlefront {

// Marks a placed task to be stopped, with this long to write a checkpoint.
void mark_for_stop(Placement& placement, double grace_period_s);

// Nodes about to be interrupted: services move at once, tasks with checkpoints write one, and of the others those that cannot end
// in time start again elsewhere. Returns the nodes that have something to stop.
std::vector<NodeIndex> drain_interrupted_nodes(ClusterState& cluster_state, Timestamps now);

// Tasks that write a checkpoint although this leader stops none of them: an earlier leader did, to make room. The stop goes on,
// for a gang with all of its tasks. A leader that took them for running would stop other tasks for the same need, and leave gangs
// half stopped. Returns the nodes that have something to stop.
std::vector<NodeIndex> resume_inherited_stops(ClusterState& cluster_state);

// Stops gangs that lost a task, so that they can be planned as a whole again. Returns whether there was any.
bool stop_broken_gangs(ClusterState& cluster_state);

}  // namespace thistlefront
