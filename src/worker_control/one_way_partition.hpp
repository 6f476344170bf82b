// Detects unresponsive nodes: their heartbeats arrive, but no reply and no command reaches their agents. Each lease of such an agent
// expires although the leader replied to its heartbeats in time. Tasks placed there never start, and are lost with the agent's next
// incarnation. Called by the leader for each message and in its regular checks. Pure; times are steady seconds unless noted.
#pragma once
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "model/heartbeat.hpp"
#include "model/identifiers.hpp"

namespace thistlefront {

// Updates whether the node is unresponsive. Called with each message before `apply_heartbeat`. An agent that begins a new incarnation
// although the leader replied to a heartbeat within the last lease did not receive the replies.
void track_responsiveness(Node& node, const Heartbeat& heartbeat, bool is_heartbeat, double now, double lease_s);

// Whether the node is excluded from placement: replies do not reach it, or a task whose start was decided some time ago is still not
// reported. `wall_now`: wall seconds.
bool is_unresponsive(const Node& node, double wall_now, double heartbeat_interval_s);

// Returns nodes without tasks that have been unresponsive for so long that they should be replaced. Nodes are not replaced if many
// nodes of their zone are unresponsive: the fault then probably lies in the network and is temporary.
std::vector<NodeIndex> find_unresponsive_nodes_to_replace(const ClusterState& cluster_state, double now, double lease_s);

}  // namespace thistlefront
