// Detects nodes whose heartbeats arrive while no answer and no command reaches their agents. Each lease of such an agent expires
// although its heartbeats were answered in time; tasks placed there never start, and are lost with the agent's next incarnation.
// Called by the leader for each message and in its regular checks. Pure; times are steady seconds unless said otherwise.
#pragma once
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "model/heartbeat.hpp"
#include "model/identifiers.hpp"

namespace thistlefront {

// To be called with each message before `apply_heartbeat`. An agent that begins a new incarnation although its heartbeats were
// answered within its lease did not receive the answers.
void observe_message(Node& node, const Heartbeat& heartbeat, bool is_heartbeat, double now, double lease_s);

// Whether no new tasks are to be placed on the node: answers do not reach it, or what was to start there a while ago (wall seconds)
// has not started although its heartbeats come.
bool is_unresponsive(const Node& node, double wall, double heartbeat_interval_s);

// Empty nodes that have been unreachable for so long that another machine should replace them. None where more than a few nodes of
// the zone are: then the fault is probably not theirs, and will pass.
std::vector<NodeIndex> unresponsive_nodes_to_replace(const ClusterState& cluster_state, double now, double lease_s);

}  // namespace thistlefront
