// Tells when the lease of a node's agent has expired for certain, wherever its heartbeats were answered, and what follows for the
// tasks placed there. Called by the leader when it answers a heartbeat and in each of its regular checks. Pure; it must never
// call a lease expired while the agent may still run its tasks, for they are then started elsewhere.
#pragma once
#include <cstdint>
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "model/identifiers.hpp"
#include "model/ledger_records.hpp"

namespace thistlefront {

// The leader answers a heartbeat, which renews the agent's lease from the moment when it was sent. A stale heartbeat was sent
// before the newest message was heard: a copy of it, however late, renews the lease no further than that.
void record_lease_renewal(Node& node, bool stale, double steady);

// From when on nobody but this leader can have renewed the leases of agents. Times are steady seconds.
struct FencingState {
  std::uint64_t fencing_token = 0;  // of this leader's takeover
  double taken_over_at = 0;
  double peers_acked_at = -1;  // when all peers knew of the takeover; below 0: some peer may still answer under an earlier token
  // By zone: until when a peer there may have renewed leases on its own, under this leader's token and under an earlier one.
  std::vector<double> renewed_until_by_zone = {}, earlier_renewed_until_by_zone = {};
};

// Whether the lease of the node's agent has expired for certain.
bool is_lease_expired(const Node& node, const FencingState& fencing_state, double lease_s, double steady);

// Records that end everything placed on a node which is known to run nothing: its lease has expired, or it was released.
std::vector<Record> evict_all_tasks(ClusterState& cluster_state, NodeIndex node_index);

}  // namespace thistlefront
