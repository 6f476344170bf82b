#include "coordination/silence.hpp"

#include <algorithm>
#include <map>

namespace thistle {

namespace {
constexpr double kSilentReports = 2.0;   // then it is asked, so that little is lost by a mistake
constexpr double kSilentSlack = 0.5;
constexpr double kBatchPatience = 1.5;   // times as long for other work: its deadlines are shorter than a lease
constexpr double kFreshReports = 1.35;   // report periods within which all that can report have done so
constexpr std::size_t kFew = 3;          // one in so many of a zone may be lost without a thought of a cut
// With more than that silent, a cut is ruled out only when some of the zone are heard after all must have fallen silent.
constexpr double kSurelyCutReports = 3.5;
constexpr std::size_t kStillHeard = 10;  // one in so many
}  // namespace

std::vector<HostIdx> doubtful(const std::vector<HeardOf>& machines, double report_s) {
  struct Zone {
    std::size_t known = 0, fresh = 0;
  };
  std::map<ZoneIdx, Zone> zones;
  for (const auto& m : machines) {
    auto& z = zones[m.zone];
    ++z.known;
    z.fresh += m.silence_s < kFreshReports * report_s;
  }
  const double suspicious = kSilentReports * report_s + kSilentSlack;
  std::vector<HostIdx> out;
  for (const auto& m : machines) {
    if (!m.serves && !m.works) continue;
    if (m.silence_s < (m.serves ? suspicious : kBatchPatience * suspicious)) continue;
    const Zone& z = zones[m.zone];
    const std::size_t stale = z.known - z.fresh;
    const bool few = z.fresh > 0 && (stale <= 1 || kFew * stale <= z.known);
    const bool no_cut = z.fresh > 0 && kStillHeard * z.fresh >= z.known && m.silence_s > kSurelyCutReports * report_s;
    if (few || no_cut) out.push_back(m.host);
  }
  return out;
}

}  // namespace thistle
