#include "worker_control/failure_detector.hpp"

#include <algorithm>
#include <map>

namespace thistlefront {

namespace {
constexpr double kSilentHeartbeats = 2.0;  // then it is asked, so that little is lost by a mistake
constexpr double kSilentSlack = 0.5;
constexpr double kBatchPatience = 1.5;     // times as long for other work: its deadlines are shorter than a lease
constexpr double kFreshHeartbeats = 1.35;  // report periods within which all that can report have done so
constexpr std::size_t kFew = 3;            // one in so many of a zone may be lost without a thought of a cut
// With more than that silent, a cut is ruled out only when some of the zone are heard after all must have
// fallen silent.
constexpr double kSurelyCutHeartbeats = 3.5;
constexpr std::size_t kStillHeard = 10;  // one in so many
// A zone of many machines is heard of all the time, and falls silent at once when it is cut: there a machine
// that is only a little late is asked (kaubaalus fleet, zone: 86 machines hang, and deadlines of 28 s leave
// no time to wait).
constexpr double kWindow = 1.0;  // seconds; as long as asking takes
constexpr double kHeartbeatsPerWindow = 8.0;
constexpr double kLateHeartbeats = 1.4;
constexpr double kOfExpected = 0.33;  // of the reports that all of a zone would send
}  // namespace

std::vector<NodeIndex> suspect_nodes(const std::vector<NodeSilence>& machines, double heartbeat_interval_s) {
  struct Zone {
    std::size_t known = 0, fresh = 0, just_now = 0;
  };
  std::map<ZoneIndex, Zone> zones;
  for (const auto& m : machines) {
    auto& z = zones[m.zone];
    ++z.known;
    z.fresh += m.silence_s < kFreshHeartbeats * heartbeat_interval_s;
    z.just_now += m.silence_s < kWindow;
  }
  const double suspicious = kSilentHeartbeats * heartbeat_interval_s + kSilentSlack;
  std::vector<NodeIndex> out;
  for (const auto& m : machines) {
    if (!m.runs_services && !m.runs_tasks) continue;
    const Zone& z = zones[m.zone];
    const double expected = static_cast<double>(z.known) * kWindow / heartbeat_interval_s;
    const bool brisk = expected >= kHeartbeatsPerWindow && static_cast<double>(z.just_now) >= kOfExpected * expected;
    if (brisk && m.silence_s > kLateHeartbeats * heartbeat_interval_s) {
      out.push_back(m.node);
      continue;
    }
    if (m.silence_s < (m.runs_services ? suspicious : kBatchPatience * suspicious)) continue;
    const std::size_t stale = z.known - z.fresh;
    const bool few = z.fresh > 0 && (stale <= 1 || kFew * stale <= z.known);
    const bool no_cut = z.fresh > 0 && kStillHeard * z.fresh >= z.known && m.silence_s > kSurelyCutHeartbeats * heartbeat_interval_s;
    if ((few && expected < kHeartbeatsPerWindow) || no_cut) out.push_back(m.node);
  }
  return out;
}

}  // namespace thistlefront
