// Machines whose reports arrive while no answer and no command reaches them. Each lease of theirs runs out though it is
// answered in time; what is placed there never starts, and is lost with the next tenure. Told by what their reports say.
// Pure; times are steady seconds unless said.
#pragma once
#include "cluster_state/cluster_state.hpp"
#include "model/heartbeat.hpp"
#include "model/identifiers.hpp"

namespace thistlefront {

// To be told of each message before apply_heartbeat(): a later tenure, though the one before was answered within its lease, is
// that of a machine that no answer reached.
void observe_message(Node& node, const Heartbeat& heartbeat, bool is_heartbeat, double now, double lease_s);
// Nothing new is placed there: it is deaf, or what was to start there a while ago (wall seconds) has not, though its
// reports come.
bool is_unresponsive(const Node& node, double wall, double heartbeat_interval_s);
// Deaf for so long that another machine in its place serves better, where few of its zone are: more of them are a trouble
// that will pass.
std::vector<NodeIndex> unresponsive_nodes_to_replace(const ClusterState& cluster_state, double now, double lease_s);

}  // namespace thistlefront
