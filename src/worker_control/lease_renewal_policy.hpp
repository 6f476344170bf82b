// Who may renew the lease of an agent, and which commands may go with the answer. Called by the controller for each heartbeat
// that it could answer. Pure.
//
// The question arises when a controller took the lead, knows of no later leader, and yet cannot be certain that it still leads:
// the key-value store is out of reach, or a partition separates it from the others. If it renews leases, a task may outlive a
// cancellation that another leader has confirmed to its user. If it does not, the leases of all agents expire and all their tasks
// are lost for an outage of the store.
//
// Invariant: a controller that renews a lease without being certain to lead either sends, with that answer, every kill that any
// user may have been promised, or stops renewing so early that the lease ends within `cancel_s` of the first such promise.
//
//   ledger read  certain to lead  majority follows  partition lease  |  heartbeat is answered with
//   yes          yes              -                 -                |  all commands
//   -            (otherwise)      -                 active           |  kills only
//   yes          no               yes               -                |  kills only
//   no           either of the two                  -                |  kills only, if the agent runs no task; else not answered
//   any other combination                                            |  not answered
//
// docs/design.md, "Who may renew a lease in doubt", has the proof; tests/lease_renewal_policy_test.cpp explores it exhaustively.
#pragma once

#include "cluster_state/cluster_state.hpp"

namespace thistlefront {

// What a controller that took the lead, and knows of no later leader, can prove about its leadership at this moment.
struct LeadershipEvidence {
  bool ledger_read = false;          // it has read the ledger in this term, and so knows of all cancellations before it
  bool lease_valid = false;          // its session lease is alive: it is certain that nobody else leads
  bool has_quorum = false;           // a majority of the controllers follows it (leadership/quorum_tracker)
  bool has_partition_lease = false;  // the node is in its zone, and its partition lease has not ended (leadership/partition_lease)
};

enum class LeaseRenewal {
  refuse,       // the heartbeat is not answered, and the agent's lease runs towards its end
  kills_only,   // the lease is renewed; only kills of tasks of cancelled jobs go with the answer
  all_commands  // the lease is renewed; all commands that the node is due go with the answer
};

// Decides by the table above. `holds_tasks`: the agent reported tasks. A controller that has not read the ledger knows of no kill,
// so it renews no lease that keeps a task alive, except under a partition lease.
LeaseRenewal decide_lease_renewal(const LeadershipEvidence& evidence, bool holds_tasks);

// For how long (seconds) the answer of a peer counts for a leader that is not certain to lead. What its successor cancels, once a
// majority knows of the successor, must be gone in time although a lease was renewed until then. 0 where `cancel_s` leaves no room.
double quorum_grace_s(double cancel_s, double lease_s);

// Whether a start of a job that this leader cancelled more than `span_s` ago may yet be executed on the node, and no answer has
// fenced it off. The agent's lease must then not be renewed, so that a late start finds a later incarnation, which refuses it.
// Times are steady seconds.
bool has_late_start_of_cancelled_job(const ClusterState& cluster_state, const Node& node, double now, double span_s);

}  // namespace thistlefront
