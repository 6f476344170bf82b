// Selects the commands that a node is due: those that lead its agent from what it last reported to what the cluster state wants.
// Called by the leader for each answer to a heartbeat and for each direct command. Pure; it never starts a task that may already
// have been started elsewhere, and never acknowledges an exit whose outcome is not in the ledger.
#pragma once
#include <cstdint>
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "model/command.hpp"
#include "model/identifiers.hpp"

namespace thistlefront {

// All commands that the node is due, kills and acknowledgements before starts. `fencing_token`: of this leader's takeover.
std::vector<Command> pending_commands(const ClusterState& cluster_state, NodeIndex node_index, std::uint64_t fencing_token);

// Only the kills of tasks whose jobs are cancelled in the ledger. They stay right under every later leader, for a cancelled job
// stays cancelled and none of its tasks may start again: so a leader that is not certain to lead may send these and no others.
std::vector<Command> kills_for_cancelled_jobs(const ClusterState& cluster_state, NodeIndex node_index);

// Notes that these commands answer the node's heartbeat with this serial. Until its next heartbeat the answer may still be on its
// way, and no exit is acknowledged: a start that arrives after the acknowledgement of its attempt would run it once more.
void record_commands_sent(Node& node, std::uint64_t serial, const std::vector<Command>& commands);

}  // namespace thistlefront
