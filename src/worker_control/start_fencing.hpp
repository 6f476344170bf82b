// Fences direct start commands. The network may deliver a copy of a call to an agent at any later time, also of one that was executed and
// answered, and the agent executes it as long as it has seen no higher fencing token in the same incarnation. A copy of a start has no
// effect while the agent holds the attempt; so an exit is acknowledged only under a higher token than every direct start of its attempt.
// The leader raises its token when exits wait for that. Pure.
#pragma once
#include <cstdint>
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "model/command.hpp"
#include "model/identifiers.hpp"

namespace thistlefront {

bool includes_start(const std::vector<Command>& commands);

// Records that these commands are sent to the agent in a direct call under this fencing token. Must be called before they are sent.
void record_direct_call(ClusterState& cluster_state, NodeIndex node_index, std::uint64_t fencing_token,
                        const std::vector<Command>& commands);
// Records how a direct call ended. `outcome_unknown`: it may have been executed, or may be later.
void record_direct_call_end(Node& node, std::uint64_t fencing_token, bool has_start, bool outcome_unknown);

enum class TokenRaise : std::uint8_t {
  none,
  deferrable,  // exits are reported until the token is raised
  urgent,      // tasks or starts wait for it, or many exits are reported
};
// Whether the leader has to raise its fencing token so that agents refuse earlier direct starts.
TokenRaise needed_token_raise(const ClusterState& cluster_state, std::uint64_t fencing_token);

}  // namespace thistlefront
