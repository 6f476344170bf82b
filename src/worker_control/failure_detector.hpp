// Tells nodes that are silent because they died or hang from those that are silent only because of a network partition. Called by
// the leader in its regular checks. Pure.
#pragma once
#include <vector>

#include "model/identifiers.hpp"

namespace thistlefront {

struct NodeSilence {
  NodeIndex node;
  ZoneIndex zone;
  double silence_s = 0;        // since it was last heard of, directly or through another controller
  bool runs_services = false;  // replicas of services are placed there
  bool runs_tasks = false;     // any tasks are
};

// The nodes that are worth asking directly whether they are alive. A partition silences a whole zone within one heartbeat interval,
// while a loss of nodes leaves the rest of their zone as it was: so each zone is judged by those of its nodes that still send
// heartbeats.
std::vector<NodeIndex> suspect_nodes(const std::vector<NodeSilence>& nodes, double heartbeat_interval_s);

}  // namespace thistlefront
