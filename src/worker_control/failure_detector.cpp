#include "worker_control/failure_detector.hpp"

#include <algorithm>
#include <cstddef>
#include <map>

namespace thistlefront {

namespace {

// Silence after which a node is suspected, in heartbeat intervals and in seconds. It is then only asked, so a mistake costs little.
constexpr double kSuspectAfterHeartbeats = 2.0;
constexpr double kSuspectSlackS = 0.5;
// Nodes that run no service are given so many times as long.
constexpr double kBatchPatience = 1.5;
// Heartbeat intervals within which every node that can send a heartbeat has done so.
constexpr double kFreshHeartbeats = 1.35;
// One in so many nodes of a zone may be lost without a partition being considered.
constexpr std::size_t kOneInMayBeLost = 3;
// With more than that silent, a partition is ruled out only where one in so many nodes of the zone is still heard when a partition
// would have silenced all of them, after so many heartbeat intervals.
constexpr double kPartitionSurelySeenHeartbeats = 3.5;
constexpr std::size_t kOneInStillHeard = 10;
// A large zone is heard of all the time, and falls silent at once when a partition cuts it off: a node there is asked as soon as it is
// a little late. When 86 nodes of a fleet hung, services with deadlines of 28 s had no time to wait for more.
constexpr double kWindowS = 1.0;  // as long as asking a node takes
constexpr double kMinHeartbeatsPerWindow = 8.0;
constexpr double kLateHeartbeats = 1.4;
constexpr double kMinShareOfExpected = 0.33;  // of the heartbeats that all nodes of the zone would send within the window

class ZoneSilence {
 public:
  void add(double silence_s, double heartbeat_interval_s) {
    ++nodes_;
    if (silence_s < kFreshHeartbeats * heartbeat_interval_s) ++fresh_;
    if (silence_s < kWindowS) ++heard_within_window_;
  }

  // Whether heartbeats of the zone come so often that a partition would show within the window, and it does not.
  [[nodiscard]] bool is_surely_reachable(double heartbeat_interval_s) const {
    return is_frequent(heartbeat_interval_s) &&
           static_cast<double>(heard_within_window_) >= kMinShareOfExpected * expected_within_window(heartbeat_interval_s);
  }

  // Whether a node that has been silent for so long is so for a reason of its own.
  [[nodiscard]] bool rules_out_partition(double silence_s, double heartbeat_interval_s) const {
    if (fresh_ == 0) return false;
    const std::size_t silent = nodes_ - fresh_;
    const bool few_silent = silent <= 1 || kOneInMayBeLost * silent <= nodes_;
    if (few_silent && !is_frequent(heartbeat_interval_s)) return true;
    return kOneInStillHeard * fresh_ >= nodes_ && silence_s > kPartitionSurelySeenHeartbeats * heartbeat_interval_s;
  }

 private:
  [[nodiscard]] double expected_within_window(double heartbeat_interval_s) const {
    return static_cast<double>(nodes_) * kWindowS / heartbeat_interval_s;
  }
  [[nodiscard]] bool is_frequent(double heartbeat_interval_s) const {
    return expected_within_window(heartbeat_interval_s) >= kMinHeartbeatsPerWindow;
  }

  std::size_t nodes_ = 0, fresh_ = 0, heard_within_window_ = 0;
};

bool is_suspect(const NodeSilence& node, const ZoneSilence& zone, double heartbeat_interval_s) {
  if (!node.runs_services && !node.runs_tasks) return false;
  if (zone.is_surely_reachable(heartbeat_interval_s) && node.silence_s > kLateHeartbeats * heartbeat_interval_s) return true;
  const double suspicious_s = kSuspectAfterHeartbeats * heartbeat_interval_s + kSuspectSlackS;
  if (node.silence_s < (node.runs_services ? suspicious_s : kBatchPatience * suspicious_s)) return false;
  return zone.rules_out_partition(node.silence_s, heartbeat_interval_s);
}

}  // namespace

std::vector<NodeIndex> suspect_nodes(const std::vector<NodeSilence>& nodes, double heartbeat_interval_s) {
  std::map<ZoneIndex, ZoneSilence> zones;
  for (const NodeSilence& node : nodes) zones[node.zone].add(node.silence_s, heartbeat_interval_s);
  std::vector<NodeIndex> suspects;
  for (const NodeSilence& node : nodes)
    if (is_suspect(node, zones[node.zone], heartbeat_interval_s)) suspects.push_back(node.node);
  return suspects;
}

}  // namespace thistlefront
