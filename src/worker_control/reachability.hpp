// Determines from the cluster state which nodes the leader receives heartbeats from, and how recently. Called by the leader. Pure;
// times are steady seconds.
#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "worker_control/failure_detector.hpp"

namespace thistlefront {

// Numbers of nodes that this leader has received a heartbeat from, without those that are terminated or whose lease has expired.
struct Reachability {
  std::size_t known_nodes = 0;
  std::size_t recent_nodes = 0;     // with a recent heartbeat, received directly or through another controller
  std::size_t direct_nodes = 0;     // with a recent heartbeat received by the leader itself
  std::size_t peer_only_nodes = 0;  // with recent heartbeats received only through other controllers
};
// `recent_s`: the age below which a heartbeat counts as recent.
Reachability measure_reachability(const ClusterState& cluster_state, double now, double recent_s);

// Returns the silence of each node that may run tasks. A node without any heartbeat so far counts as silent since the takeover.
std::vector<NodeSilence> measure_silence(const ClusterState& cluster_state, double now, double taken_over_at);

// Returns the age, in seconds, of the oldest cancelled job that still has a task placed in this zone, or 0 if there is none.
// `inherited_age_s`: the age to assume if an earlier leader cancelled the job.
double oldest_pending_cancellation_s(const ClusterState& cluster_state, const std::string& zone, double now, double inherited_age_s);

}  // namespace thistlefront
