// The conditions under which this controller may reply to an agent or a user, or has to hand over leadership. Functions of the
// shared state, called with SharedState::mutex held. The rules themselves are pure: see worker_control/lease_renewal_policy and
// leadership/.
#pragma once
#include "cluster_state/cluster_state.hpp"
#include "controller/shared_state.hpp"
#include "model/heartbeat.hpp"
#include "worker_control/lease_renewal_policy.hpp"
#include "worker_control/reconciliation.hpp"

namespace thistlefront {

// What this controller can prove about its leadership when it decides on this agent's lease. Requires a term.
LeadershipEvidence leadership_evidence(const SharedState& shared, const Heartbeat& heartbeat, double now);

// Whether this controller may renew the agent's lease in a partition, without knowing what the current leader decides.
bool may_renew_in_partition(const SharedState& shared, const Heartbeat& heartbeat, double now);

// Whether the job's status may be reported to users. A cancellation may be reported only if no task of the job is placed, or if no
// earlier leader can go on renewing leases without knowing of the cancellation.
bool may_confirm_status(const SharedState& shared, const Job& job);

// Whether the leader is partitioned from its peers and from most agents, although it reaches the key-value store. Another controller
// should then lead.
bool is_isolated(const SharedState& shared);

// Whether the heartbeats of most agents arrive only through other controllers.
bool are_most_heartbeats_relayed(const SharedState& shared);

// What this leader knows of lease renewals by other controllers: since when no controller renews leases under an earlier token, and
// for each zone the latest time at which a controller there may have renewed leases under a partition lease.
FencingState fencing_state(SharedState& shared, double now);

}  // namespace thistlefront
