#include "fleet/deafness.hpp"

#include <algorithm>
#include <map>

namespace thistle {

namespace {
constexpr double kSurelyHears = 1.3;      // leases of one tenure: some answer renewed it
constexpr double kUnheededReports = 2.5;  // report periods after which a start must have been told of
constexpr double kUnheededSlack = 1.5;
constexpr double kGivenUpLeases = 3;
constexpr std::size_t kFew = 3;  // one in so many of a zone
}  // namespace

void listen(Host& host, const Report& report, bool by_report, double now, double lease_s) {
  if (std::pair(report.tenure, report.serial) <= std::pair(host.agent.incarnation, host.agent.serial)) return;
  const bool began_anew = host.agent.incarnation > 0 && report.tenure > host.agent.incarnation;
  if (began_anew && by_report && host.agent.last_answered_at > 0 && now - host.agent.last_answered_at < lease_s) {
    if (host.agent.unresponsive_since == 0) host.agent.unresponsive_since = now;
    host.agent.unresponsive_token = report.epoch;
    return;
  }
  if (host.agent.unresponsive_since == 0) return;
  // A command that it answered, a token that it had not seen, or a tenure that outlived its lease.
  const bool outlived = !began_anew && host.agent.incarnation_since > 0 && now - host.agent.incarnation_since > kSurelyHears * lease_s;
  if (!by_report || report.epoch > host.agent.unresponsive_token || outlived) host.agent.unresponsive_since = 0;
}

bool unheeding(const Host& host, double wall, double report_s) {
  if (host.agent.unresponsive_since > 0) return true;
  return std::any_of(host.placed.begin(), host.placed.end(), [&](const PlacedPiece& ref) {
    const Placement& p = *ref.placement;
    return !p.reported && !p.end_pending && p.tenure == host.agent.incarnation &&
           wall - p.decided_at > kUnheededReports * report_s + kUnheededSlack;
  });
}

std::vector<HostIdx> given_up_as_deaf(const Book& book, double now, double lease_s) {
  std::map<ZoneIdx, std::pair<std::size_t, std::size_t>> zones;  // known, deaf
  std::vector<HostIdx> out;
  for (std::uint32_t i = 0; i < book.host_count(); ++i) {
    const Host& host = book.host(HostIdx{i});
    if (!host.agent.has_reported || host.terminated || host.lease_expired) continue;
    auto& [known, deaf] = zones[host.zone];
    ++known;
    deaf += host.agent.unresponsive_since > 0;
    if (host.agent.unresponsive_since > 0 && now - host.agent.unresponsive_since > kGivenUpLeases * lease_s && host.placed.empty())
      out.push_back(HostIdx{i});
  }
  std::erase_if(out, [&](HostIdx h) {
    const auto& [known, deaf] = zones[book.host(h).zone];
    return kFew * deaf > known && deaf > 1;
  });
  return out;
}

}  // namespace thistle
