// Under which conditions this controller may answer an agent, tell a user, or go on leading. Functions of the shared state, to be
// called with SharedState::mutex held; the rules themselves are pure and stand in worker_control/lease_renewal_policy and
// leadership/.
#pragma once
#include "cluster_state/cluster_state.hpp"
#include "controller/shared_state.hpp"
#include "model/heartbeat.hpp"
#include "worker_control/lease_renewal_policy.hpp"
#include "worker_control/reconciliation.hpp"

namespace thistlefront {

// How firmly this controller leads, as far as this agent's lease is concerned; only while it has taken the lead.
LeadershipEvidence leadership_evidence(const SharedState& shared, const Heartbeat& heartbeat, double now);

// Whether it goes on renewing the agent's lease in a partition, though it can't tell what the leader, or another one, decides.
bool may_renew_in_partition(const SharedState& shared, const Heartbeat& heartbeat, double now);

// Whether users may be told the job's state: that it is cancelled only when nothing of it is on a node, or when no earlier leader
// can go on renewing leases without knowing of it.
bool may_confirm(const SharedState& shared, const Job& job);

// Cut off from its peers and from most agents, though not from the key-value store: another controller serves better.
bool is_isolated(const SharedState& shared);

// Whether most agents are heard by way of other controllers only.
bool are_workers_heard_through_peers(const SharedState& shared);

// Since when, and in which zones until when, nobody but this leader can have renewed a lease.
FencingState fencing_state(SharedState& shared, double now);

}  // namespace thistlefront
