// Builds the planner's view of the nodes: which may take new tasks, and when the tasks on them are expected to end. Used by
// PlanInputBuilder only; changes nothing.
#pragma once
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "scheduling/pass_context.hpp"
#include "scheduling/planner.hpp"

namespace thistlefront {

// The nodes that may take new tasks now, by ascending index.
std::vector<PlanNode> make_plan_nodes(ClusterState& cluster_state, const PassContext& context, double heartbeat_interval_s);

}  // namespace thistlefront
