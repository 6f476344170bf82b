#include "fleet/hearing.hpp"

#include <algorithm>

namespace thistle {

Hearing hearing(const Book& book, double now, double lately_s) {
  Hearing out;
  for (std::uint32_t i = 0; i < book.host_count(); ++i) {
    const Host& host = book.host(HostIdx{i});
    if (!host.agent.has_reported || host.terminated || host.lease_expired) continue;
    const bool lately = now - host.agent.last_heartbeat_at < lately_s, direct = now - host.agent.last_direct_contact_at < lately_s;
    ++out.known;
    out.recent += lately;
    out.direct += direct;
    out.via_peers += lately && !direct;
  }
  return out;
}

std::vector<HeardOf> heard_of(const Book& book, double now, double taken_over_at) {
  std::vector<HeardOf> out;
  for (std::uint32_t i = 0; i < book.host_count(); ++i) {
    const Host& host = book.host(HostIdx{i});
    if (host.terminated || host.lease_expired) continue;
    // One that holds work and was never heard of since the takeover may have died with the earlier leader
    // (lienzo grown, troubles: 12 machines die as the leader ends, and their replicas waited for the whole
    // lease).
    if (!host.agent.has_reported && (host.placed.empty() || host.address.empty())) continue;
    const bool serves = std::any_of(host.placed.begin(), host.placed.end(),
                                    [&](const PieceRef& ref) { return book.job(ref.job).spec.shape == Shape::service; });
    out.push_back({HostIdx{i}, host.zone, now - (host.agent.has_reported ? host.agent.last_heartbeat_at : taken_over_at), serves,
                   !host.placed.empty()});
  }
  return out;
}

double oldest_owed(const Book& book, const std::string& site, double now, double otherwise) {
  double owed = 0;
  for (JobIdx j : book.live()) {
    const Job& job = book.job(j);
    if (job.status != JobStatus::aborted) continue;
    const bool there = std::any_of(job.placed.begin(), job.placed.end(), [&](const auto& p) {
      const ZoneIdx zone = book.host(p.second.host).zone;
      return !zone.valid() || book.zone_name(zone) == site;
    });
    if (there) owed = std::max(owed, job.cancelled_at > 0 ? now - job.cancelled_at : otherwise);
  }
  return owed;
}

}  // namespace thistle
