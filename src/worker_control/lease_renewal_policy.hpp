// Who may renew a worker's lease, and what goes along with the answer. Pure; docs/design.md, "Who may renew a lease in doubt",
// has the invariant and its proof: whoever renews a lease without being certain to lead either hands out every kill that some
// user may have been told of, or stops so early that the lease ends within cancel_s of the earliest such telling.
#pragma once

#include "cluster_state/cluster_state.hpp"

namespace thistlefront {

// How a controller that took the lead, and knows of no later one, stands at this moment.
struct LeadershipEvidence {
  bool ledger_read = false;          // the ledger, so it knows of all that was cancelled before and by it
  bool lease_valid = false;          // its hold is alive: no one else leads
  bool has_quorum = false;           // a majority of the controllers stands behind it (duties/backing)
  bool has_partition_lease = false;  // the worker is of its own zone, and what it was granted for that is not over (fleet/custody)
};

enum class LeaseRenewal {
  refuse,       // the report is not answered: the worker's lease runs on towards its end
  kills_only,   // the kills of what is cancelled, as far as it knows of it, and nothing else
  all_commands  // all that the worker is due
};

// `holds_tasks`: the worker showed some. One that has not read the ledger knows of no kill, and renews no lease that keeps a
// task alive beyond what it was granted as a follower.
LeaseRenewal decide_lease_renewal(const LeadershipEvidence& leadership_evidence, bool holds_tasks);

// For how long (seconds) an answer of another controller counts for an uncertain leader: what a successor cancels once a
// majority knows of it must be gone in time though a lease was renewed until then. 0 where cancel_s leaves no room for it.
double quorum_grace_s(double cancel_s, double lease_s);

// Whether a start of a job that this leader cancelled more than `span_s` ago may yet be carried out there, and no answer has
// fenced it: its lease must not be renewed, so that the command finds another session. Times are steady seconds.
bool has_late_start_of_cancelled_job(const ClusterState& cluster_state, const Node& node, double now, double span_s);

}  // namespace thistlefront
