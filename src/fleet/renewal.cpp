#include "fleet/renewal.hpp"

#include <algorithm>

#include "fleet/custody.hpp"

namespace thistle {

namespace {
constexpr double kLongestGrace = 5.0;
constexpr double kGraceShare = 0.25;  // of the time that cancel_s leaves beyond a lease
}  // namespace

Renewal renewal(const Standing& s, bool holds_tasks) {
  if (s.ledger_read && s.lease_valid) return Renewal::all_commands;
  if (s.has_partition_lease) return Renewal::kills_only;
  if ((s.lease_valid || s.has_quorum) && (s.ledger_read || !holds_tasks)) return Renewal::kills_only;
  return Renewal::refuse;
}

double backing_grace(double cancel_s, double lease_s) {
  return std::min(custody_span(cancel_s, lease_s) * kGraceShare, kLongestGrace);
}

bool late_start_of_cancelled(const Book& book, const Host& host, double now, double span_s) {
  const bool fenced = host.commands.in_flight_token == 0 &&
                      (host.commands.uncertain_token == 0 || host.agent.highest_token > host.commands.uncertain_token);
  if (fenced) return false;
  return std::any_of(host.placed.begin(), host.placed.end(), [&](const PlacedPiece& p) {
    const Job& job = book.job(p.job);
    return job.status == JobStatus::aborted && !p.placement->reported && p.placement->tenure == host.agent.incarnation &&
           job.cancelled_at > 0 && now > job.cancelled_at + span_s;
  });
}

}  // namespace thistle
