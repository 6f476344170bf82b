// Selects the commands that a node is due: those that take its agent from the state it last reported to the state that the cluster
// state requires. Called by the leader for each reply to a heartbeat and for each direct command. Pure. It never starts a task that
// may already have been started elsewhere, and never acknowledges an exit before its outcome is in the ledger.
#pragma once
#include <cstdint>
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "model/command.hpp"
#include "model/identifiers.hpp"

namespace thistlefront {

// Fencing tokens of a leader: of its takeover, and the one that its messages carry now.
struct LeaderTokens {
  std::uint64_t takeover = 0, current = 0;
};

// Returns all commands that the node is due, kills and acknowledgements before starts. They must be sent under `tokens.current`.
std::vector<Command> pending_commands(const ClusterState& cluster_state, NodeIndex node_index, LeaderTokens tokens);

// Returns only the kills of tasks whose jobs are cancelled in the ledger. A cancelled job stays cancelled and none of its tasks may
// start again, so these kills remain valid under every later leader. A leader whose leadership is uncertain may send these commands
// and no others.
std::vector<Command> kills_for_cancelled_jobs(const ClusterState& cluster_state, NodeIndex node_index);

// Records that these commands go with the reply to the node's heartbeat with this serial. The reply may be in transit until the next
// heartbeat, and no exit is acknowledged before: a start that arrived after the acknowledgement of its attempt would run the
// attempt again.
void record_commands_sent(Node& node, std::uint64_t serial, const std::vector<Command>& commands);

}  // namespace thistlefront
