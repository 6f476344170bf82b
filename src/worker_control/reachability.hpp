// Which nodes the leader hears from, and how recently, according to its cluster state. Called by the leader. Pure; times are steady
// seconds.
#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "worker_control/failure_detector.hpp"

namespace thistlefront {

// Counts of nodes that sent a heartbeat to this leader and are not known to be gone.
struct Reachability {
  std::size_t known = 0;
  std::size_t recent = 0;     // heard from recently, directly or through another controller
  std::size_t direct = 0;     // heard from recently by the leader itself
  std::size_t via_peers = 0;  // heard from recently, and only through other controllers
};
// `recent_s`: for how long a message counts as recent.
Reachability measure_reachability(const ClusterState& cluster_state, double now, double recent_s);

// For how long each node has been silent, of those that may run tasks. Nodes never heard from are silent since the takeover.
std::vector<NodeSilence> measure_silence(const ClusterState& cluster_state, double now, double taken_over_at);

// The age, in seconds, of the oldest cancellation that is not carried out yet in this zone; 0: there is none. `otherwise`: the age to
// assume where an earlier leader cancelled the job.
double oldest_pending_cancellation_s(const ClusterState& cluster_state, const std::string& zone, double now, double otherwise);

}  // namespace thistlefront
