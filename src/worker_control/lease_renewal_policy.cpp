#include "worker_control/lease_renewal_policy.hpp"

#include <algorithm>

#include "leadership/partition_lease.hpp"
#include "model/job.hpp"

namespace thistlefront {

namespace {
constexpr double kLongestGrace = 5.0;
constexpr double kGraceShare = 0.25;  // of the time that cancel_s leaves beyond a lease
}  // namespace

LeaseRenewal decide_lease_renewal(const LeadershipEvidence& s, bool holds_tasks) {
  if (s.ledger_read && s.lease_valid) return LeaseRenewal::all_commands;
  if (s.has_partition_lease) return LeaseRenewal::kills_only;
  if ((s.lease_valid || s.has_quorum) && (s.ledger_read || !holds_tasks)) return LeaseRenewal::kills_only;
  return LeaseRenewal::refuse;
}

double quorum_grace_s(double cancel_s, double lease_s) {
  return std::min(max_partition_lease_s(cancel_s, lease_s) * kGraceShare, kLongestGrace);
}

bool has_late_start_of_cancelled_job(const ClusterState& cluster_state, const Node& node, double now, double span_s) {
  const bool fenced = node.commands.in_flight_token == 0 &&
                      (node.commands.uncertain_token == 0 || node.agent.highest_token > node.commands.uncertain_token);
  if (fenced) return false;
  return std::any_of(node.placed.begin(), node.placed.end(), [&](const PlacedTask& p) {
    const Job& job = cluster_state.job(p.job);
    return job.status == JobStatus::cancelled && !p.placement->reported && p.placement->agent_incarnation == node.agent.incarnation &&
           job.cancelled_at > 0 && now > job.cancelled_at + span_s;
  });
}

}  // namespace thistlefront
