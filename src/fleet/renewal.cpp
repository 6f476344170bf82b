#include "fleet/renewal.hpp"

#include <algorithm>

#include "fleet/custody.hpp"

namespace thistle {

namespace {
constexpr double kLongestGrace = 5.0;
constexpr double kGraceShare = 0.25;  // of the time that cancel_s leaves beyond a lease
}  // namespace

Renewal renewal(const Standing& s, bool holds_tasks) {
  if (s.read && s.certain) return Renewal::orders;
  if (s.granted) return Renewal::kills;
  if ((s.certain || s.backed) && (s.read || !holds_tasks)) return Renewal::kills;
  return Renewal::none;
}

double backing_grace(double cancel_s, double lease_s) {
  return std::min(custody_span(cancel_s, lease_s) * kGraceShare, kLongestGrace);
}

bool late_start_of_cancelled(const Book& book, const Host& host, double now, double span_s) {
  const bool fenced = host.in_flight_epoch == 0 && (host.doubt_epoch == 0 || host.epoch_seen > host.doubt_epoch);
  if (fenced) return false;
  return std::any_of(host.placed.begin(), host.placed.end(), [&](const PlacedPiece& p) {
    const Job& job = book.job(p.job);
    return job.status == JobStatus::aborted && !p.at->seen && p.at->tenure == host.tenure && job.cancelled_at > 0 &&
           now > job.cancelled_at + span_s;
  });
}

}  // namespace thistle
