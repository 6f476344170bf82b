// Which machines are silent because they died or hang, and which only because a cut hides them. Pure.
#pragma once
#include <vector>

#include "model/identifiers.hpp"

namespace thistlefront {

struct NodeSilence {
  NodeIndex node;
  ZoneIndex zone;
  double silence_s = 0;        // since it was last heard of, by whatever way
  bool runs_services = false;  // replicas are placed there
  bool runs_tasks = false;     // any task is
};

// Those worth asking whether they are alive. A cut silences a whole zone within a report period, a loss of
// machines leaves the others of the zone as they were: so each zone is judged by those of its machines that
// report still.
std::vector<NodeIndex> suspect_nodes(const std::vector<NodeSilence>& machines, double heartbeat_interval_s);

}  // namespace thistlefront
