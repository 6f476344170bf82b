#include "worker_control/failure_detector.hpp"

#include <algorithm>
#include <cstddef>
#include <map>

namespace thistlefront {

namespace {

// A node is suspected after a silence of this many heartbeat intervals plus the slack. It is then only probed, so a false suspicion
// costs little.
constexpr double kSuspectAfterIntervals = 2.0;
constexpr double kSuspectSlackS = 0.5;
// Nodes that run no service are suspected after this many times that silence.
constexpr double kBatchSuspectFactor = 1.5;
// Heartbeat intervals within which every functioning node has sent a heartbeat. Such nodes are fresh, the others silent.
constexpr double kFreshIntervals = 1.35;
// In a zone with infrequent heartbeats, one node or one in this many nodes may be silent before a partition is considered.
constexpr std::size_t kMaxSilentDivisor = 3;
// Otherwise a partition is ruled out only if at least one in kMinFreshDivisor nodes of the zone is fresh when the suspected node has
// been silent for this many heartbeat intervals: a partition would have silenced all nodes of the zone by then.
constexpr double kPartitionVisibleIntervals = 3.5;
constexpr std::size_t kMinFreshDivisor = 10;
// A large zone sends heartbeats all the time, and a partition silences it at once. So a node there is probed as soon as it is
// slightly late: when 86 nodes hung, services with a deadline of 28 s could not wait longer.
constexpr double kWindowS = 1.0;  // as long as probing a node takes
constexpr double kMinHeartbeatsPerWindow = 8.0;
constexpr double kLateIntervals = 1.4;
constexpr double kMinReceivedFraction = 0.33;  // of the heartbeats that all nodes of the zone would send within the window

class ZoneSilence {
 public:
  void add(double silence_s, double heartbeat_interval_s) {
    ++nodes_;
    if (silence_s < kFreshIntervals * heartbeat_interval_s) ++fresh_nodes_;
    if (silence_s < kWindowS) ++received_within_window_;
  }

  // Whether heartbeats of the zone are frequent enough that a partition would show within the window, and enough were received in it.
  [[nodiscard]] bool is_certainly_reachable(double heartbeat_interval_s) const {
    return has_frequent_heartbeats(heartbeat_interval_s) &&
           static_cast<double>(received_within_window_) >= kMinReceivedFraction * expected_heartbeats_within_window(heartbeat_interval_s);
  }

  // Whether a partition can't be the reason why a node has been silent for `silence_s`.
  [[nodiscard]] bool rules_out_partition(double silence_s, double heartbeat_interval_s) const {
    if (fresh_nodes_ == 0) return false;
    const std::size_t silent_nodes = nodes_ - fresh_nodes_;
    const bool few_silent = silent_nodes <= 1 || kMaxSilentDivisor * silent_nodes <= nodes_;
    if (few_silent && !has_frequent_heartbeats(heartbeat_interval_s)) return true;
    return kMinFreshDivisor * fresh_nodes_ >= nodes_ && silence_s > kPartitionVisibleIntervals * heartbeat_interval_s;
  }

 private:
  [[nodiscard]] double expected_heartbeats_within_window(double heartbeat_interval_s) const {
    return static_cast<double>(nodes_) * kWindowS / heartbeat_interval_s;
  }
  [[nodiscard]] bool has_frequent_heartbeats(double heartbeat_interval_s) const {
    return expected_heartbeats_within_window(heartbeat_interval_s) >= kMinHeartbeatsPerWindow;
  }

  std::size_t nodes_ = 0, fresh_nodes_ = 0, received_within_window_ = 0;
};

bool is_suspect(const NodeSilence& node, const ZoneSilence& zone, double heartbeat_interval_s) {
  if (!node.runs_services && !node.runs_tasks) return false;
  if (zone.is_certainly_reachable(heartbeat_interval_s) && node.silence_s > kLateIntervals * heartbeat_interval_s) return true;
  const double suspect_after_s = kSuspectAfterIntervals * heartbeat_interval_s + kSuspectSlackS;
  if (node.silence_s < (node.runs_services ? suspect_after_s : kBatchSuspectFactor * suspect_after_s)) return false;
  return zone.rules_out_partition(node.silence_s, heartbeat_interval_s);
}

}  // namespace

std::vector<NodeIndex> find_suspect_nodes(const std::vector<NodeSilence>& nodes, double heartbeat_interval_s) {
  std::map<ZoneIndex, ZoneSilence> zones;
  for (const NodeSilence& node : nodes) zones[node.zone].add(node.silence_s, heartbeat_interval_s);
  std::vector<NodeIndex> suspects;
  for (const NodeSilence& node : nodes)
    if (is_suspect(node, zones[node.zone], heartbeat_interval_s)) suspects.push_back(node.node);
  return suspects;
}

}  // namespace thistlefront
