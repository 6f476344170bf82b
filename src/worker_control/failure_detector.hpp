// Distinguishes nodes that are silent because they died or hang from nodes that are silent because of a network partition. Called
// by the leader in its regular checks. Pure.
#pragma once
#include <vector>

#include "model/identifiers.hpp"

namespace thistlefront {

struct NodeSilence {
  NodeIndex node;
  ZoneIndex zone;
  double silence_s = 0;        // since its last heartbeat, received directly or through another controller
  bool runs_services = false;  // service replicas are placed on it
  bool runs_tasks = false;     // any tasks are placed on it
};

// Returns the nodes that the leader should probe directly. A partition silences a whole zone within one heartbeat interval, while a
// loss of nodes leaves the rest of their zone sending heartbeats. So each zone is judged by its nodes that still send heartbeats.
std::vector<NodeIndex> find_suspect_nodes(const std::vector<NodeSilence>& nodes, double heartbeat_interval_s);

}  // namespace thistlefront
