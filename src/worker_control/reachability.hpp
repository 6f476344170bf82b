// What a leader hears of its machines, as its book has it. Pure; times are steady seconds.
#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "worker_control/failure_detector.hpp"

namespace thistlefront {

// Of the machines that reported to this leader and are not known to be gone.
struct Reachability {
  std::size_t known = 0;
  std::size_t recent = 0;     // heard of within the time asked for, by whatever way
  std::size_t direct = 0;     // by the leader itself
  std::size_t via_peers = 0;  // lately, and by way of other controllers only
};
Reachability measure_reachability(const ClusterState& cluster_state, double now, double lately_s);

// Machines that matter, and since when each is silent. Those never heard of count from the takeover.
std::vector<NodeSilence> measure_silence(const ClusterState& cluster_state, double now, double taken_over_at);

// How long ago the oldest cancellation was made that is not yet carried out in this zone; `otherwise` for one
// that an earlier leader made. 0: there is none.
double oldest_pending_cancellation_s(const ClusterState& cluster_state, const std::string& site, double now, double otherwise);

}  // namespace thistlefront
