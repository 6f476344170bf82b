#include "worker_control/lease_renewal_policy.hpp"

#include <algorithm>

#include "leadership/partition_lease.hpp"
#include "model/job.hpp"

namespace thistlefront {

namespace {

constexpr double kMaxQuorumGraceS = 5.0;
// Fraction of the maximum duration of a partition lease.
constexpr double kQuorumGraceFraction = 0.25;

}  // namespace

LeaseRenewal decide_lease_renewal(const LeadershipEvidence& evidence, bool agent_has_tasks) {
  if (evidence.ledger_read && evidence.session_lease_valid) return LeaseRenewal::all_commands;
  if (evidence.has_partition_lease) return LeaseRenewal::kills_only;
  const bool may_lead = evidence.session_lease_valid || evidence.has_quorum;
  const bool knows_required_kills = evidence.ledger_read || !agent_has_tasks;
  return may_lead && knows_required_kills ? LeaseRenewal::kills_only : LeaseRenewal::refuse;
}

double quorum_grace_s(double cancel_s, double lease_s) {
  return std::min(max_partition_lease_s(cancel_s, lease_s) * kQuorumGraceFraction, kMaxQuorumGraceS);
}

bool may_still_start_cancelled_job(const ClusterState& cluster_state, const Node& node, double now, double min_cancellation_age_s) {
  const CommandState& commands = node.commands;
  const bool starts_are_fenced =
      commands.in_flight_token == 0 && (commands.indeterminate_token == 0 || node.agent.highest_token > commands.indeterminate_token);
  if (starts_are_fenced) return false;
  return std::any_of(node.placed.begin(), node.placed.end(), [&](const PlacedTask& placed) {
    const Job& job = cluster_state.job(placed.job);
    const bool cancelled_long_ago =
        job.status == JobStatus::cancelled && job.cancelled_at > 0 && now > job.cancelled_at + min_cancellation_age_s;
    const bool may_start_late = !placed.placement->reported && placed.placement->agent_incarnation == node.agent.incarnation;
    return cancelled_long_ago && may_start_late;
  });
}

}  // namespace thistlefront
