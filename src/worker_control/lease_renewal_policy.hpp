// Decides whether a controller may renew the lease of an agent, and which commands may go with the reply. Called by the controller for
// each heartbeat that it could reply to. Pure.
//
// The decision matters for a controller that took over, knows of no later leader, and cannot be certain that it still leads, because
// the key-value store is unreachable or because it is partitioned from the other controllers. If it renews leases, a task may outlive
// a cancellation that another leader has confirmed to its user. If it does not, an outage of the store lets the leases of all agents
// expire, and all their tasks are lost.
//
// Invariant: a controller that renews a lease while its leadership is uncertain does one of two things. Either the reply carries every
// kill that may have been confirmed to a user, or the controller stops renewing early enough that the lease ends within `cancel_s` of
// the first such confirmation.
//
// The first row that matches decides ("-": yes or no):
//
//   ledger read  certain to lead  has quorum  partition lease  |  reply to the heartbeat
//   yes          yes              -           -                |  all commands
//   -            -                -           yes              |  kills only
//   yes          no               yes         no               |  kills only
//   no           yes to at least one          no               |  kills only if the agent runs no task, else no reply
//   any other combination                                      |  no reply
//
// docs/design.md, "Who may renew a lease while leadership is uncertain", has the proof; tests/lease_renewal_policy_test.cpp explores it
// exhaustively.
#pragma once

#include "cluster_state/cluster_state.hpp"

namespace thistlefront {

// What a controller that took over, and knows of no later leader, can prove about its leadership at this moment.
struct LeadershipEvidence {
  bool ledger_read = false;          // it has read the ledger in this term, so it knows of all earlier cancellations
  bool session_lease_valid = false;  // its session lease is valid, so no other controller leads
  bool has_quorum = false;           // a majority of the controllers follows it (leadership/quorum_tracker)
  // The node is in its zone, and its partition lease is active or, until it has read the ledger, not expired
  // (leadership/partition_lease).
  bool has_partition_lease = false;
};

enum class LeaseRenewal {
  refuse,       // no reply: the lease is not renewed
  kills_only,   // the lease is renewed; the reply carries only kills of tasks of cancelled jobs
  all_commands  // the lease is renewed; the reply carries all commands that the node is due
};

// Decides by the table above. A controller that has not read the ledger knows of no kill, so it renews no lease of an agent with tasks
// except under a partition lease. `agent_has_tasks`: the agent reported tasks.
LeaseRenewal decide_lease_renewal(const LeadershipEvidence& evidence, bool agent_has_tasks);

// Returns for how many seconds the acknowledgement of a peer counts towards the quorum of a leader whose leadership is uncertain. Once a
// majority knows of its successor, the leader may still renew leases for this long. A lease renewed at the end of that time must still end
// in time for the cancellations that the successor confirms. 0 if `cancel_s` is too short for that.
double quorum_grace_s(double cancel_s, double lease_s);

// Whether the node may still execute a start of a job that this leader cancelled more than `min_cancellation_age_s` ago, and no message
// has shown that the start is fenced. The agent's lease must then not be renewed, so that a delayed start reaches a later incarnation,
// which refuses it. Times are steady seconds.
bool may_still_start_cancelled_job(const ClusterState& cluster_state, const Node& node, double now, double min_cancellation_age_s);

}  // namespace thistlefront
