// Which machines are silent because they died or hang, and which only because a cut hides them. Pure.
#pragma once
#include <vector>

#include "protocol/types.hpp"

namespace thistle {

struct HeardOf {
  HostIdx host;
  ZoneIdx zone;
  double silence_s = 0;        // since it was last heard of, by whatever way
  bool runs_services = false;  // replicas are placed there
  bool runs_tasks = false;     // any task is
};

// Those worth asking whether they are alive. A cut silences a whole zone within a report period, a loss of
// machines leaves the others of the zone as they were: so each zone is judged by those of its machines that
// report still.
std::vector<HostIdx> doubtful(const std::vector<HeardOf>& machines, double report_s);

}  // namespace thistle
