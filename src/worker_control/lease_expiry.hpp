// Determines when the lease of a node's agent has certainly expired, whichever controller replied to its heartbeats, and removes the
// tasks placed on nodes that run nothing any more. Called by the leader when it replies to a heartbeat and in each scheduling pass. Pure.
// It must never report a lease as expired while the agent may still run its tasks, because they are then started on other nodes.
#pragma once
#include <cstddef>
#include <cstdint>
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "model/identifiers.hpp"
#include "model/ledger_records.hpp"

namespace thistlefront {

// Records that the leader replies to a heartbeat. The reply renews the agent's lease from the moment when the heartbeat was sent. A
// stale heartbeat was sent before the newest message arrived, so its lease counts from the arrival of that message at the latest.
void record_lease_renewal(Node& node, bool stale, double steady_now);

// The latest times at which other controllers can have renewed leases of agents. Times are steady seconds.
struct FencingState {
  std::uint64_t fencing_token = 0;  // of this leader's takeover
  double taken_over_at = 0;
  // Since when no other controller replies to agents under an earlier token; below 0: some controller may still do so.
  double sole_leader_since = -1;
  // By zone: the latest time at which a peer there may have renewed leases under a partition lease, with this leader's token and
  // with an earlier leader's token.
  std::vector<double> latest_renewal_by_zone = {}, latest_earlier_renewal_by_zone = {};
};

// Whether the lease of the node's agent has certainly expired.
bool is_lease_expired(const Node& node, const FencingState& fencing_state, double lease_s, double steady_now);

// Whether nothing placed on the node runs there or can still start there: it was released, or its agent's lease has certainly expired.
bool runs_nothing(const Node& node);

// Marks all tasks placed on the node for removal and returns the records that remove them. Only for a node that runs nothing.
std::vector<Record> evict_all_tasks(ClusterState& cluster_state, NodeIndex node_index);

// Tasks evicted from one node.
struct Eviction {
  NodeIndex node;
  std::size_t task_count = 0;
  std::vector<Record> records;  // remove the tasks
};

// Marks the nodes whose agents' leases have expired, and evicts the tasks of all nodes that run nothing. Must be called in each pass: a
// start that is committed late places its tasks on a node that may have been released, or may have lost its lease, in the meantime.
std::vector<Eviction> evict_from_lost_nodes(ClusterState& cluster_state, const FencingState& fencing_state, double lease_s,
                                            double steady_now);

}  // namespace thistlefront
