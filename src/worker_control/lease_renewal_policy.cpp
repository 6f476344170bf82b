#include "worker_control/lease_renewal_policy.hpp"

#include <algorithm>

#include "leadership/partition_lease.hpp"
#include "model/job.hpp"

namespace thistlefront {

namespace {

constexpr double kMaxQuorumGraceS = 5.0;
// Of the time that `cancel_s` leaves beyond a lease.
constexpr double kQuorumGraceShare = 0.25;

}  // namespace

LeaseRenewal decide_lease_renewal(const LeadershipEvidence& evidence, bool holds_tasks) {
  if (evidence.ledger_read && evidence.lease_valid) return LeaseRenewal::all_commands;
  if (evidence.has_partition_lease) return LeaseRenewal::kills_only;
  const bool may_lead = evidence.lease_valid || evidence.has_quorum;
  const bool keeps_no_unknown_task = evidence.ledger_read || !holds_tasks;
  return may_lead && keeps_no_unknown_task ? LeaseRenewal::kills_only : LeaseRenewal::refuse;
}

double quorum_grace_s(double cancel_s, double lease_s) {
  return std::min(max_partition_lease_s(cancel_s, lease_s) * kQuorumGraceShare, kMaxQuorumGraceS);
}

bool has_late_start_of_cancelled_job(const ClusterState& cluster_state, const Node& node, double now, double span_s) {
  const CommandState& commands = node.commands;
  const bool starts_are_fenced =
      commands.in_flight_token == 0 && (commands.indeterminate_token == 0 || node.agent.highest_token > commands.indeterminate_token);
  if (starts_are_fenced) return false;
  return std::any_of(node.placed.begin(), node.placed.end(), [&](const PlacedTask& placed) {
    const Job& job = cluster_state.job(placed.job);
    const bool cancelled_long_ago = job.status == JobStatus::cancelled && job.cancelled_at > 0 && now > job.cancelled_at + span_s;
    const bool may_start_late = !placed.placement->reported && placed.placement->agent_incarnation == node.agent.incarnation;
    return cancelled_long_ago && may_start_late;
  });
}

}  // namespace thistlefront
