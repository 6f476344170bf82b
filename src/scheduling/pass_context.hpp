// What the planner's input depends on besides the cluster state: fixed parameters and the moment of one pass.
// Used by the builder of the planner's input and by what it consists of; plain data, no logic.
#pragma once
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace thistlefront {

// Service-level objectives for the wait until a job starts, in seconds, by job class, in the settings' order.
using StartTargets = std::unordered_map<std::string, std::vector<double>>;

// The same for all passes of a process.
struct PassParameters {
  double weight = 0;     // of one second waited, in a job's key
  double overrun_s = 0;  // a task over its estimate counts as ending this long after the pass
  double heartbeat_interval_s = 0;
  StartTargets start_targets;
};

// When a pass is made, and in which term of the leader.
struct PassContext {
  double wall = 0;                   // wall seconds
  double steady = 0;                 // steady seconds
  std::uint64_t takeover_token = 0;  // fencing token with which this leader took over
  double taken_over_at = 0;          // steady seconds
  bool first_term_ever = false;      // no leader came before this one
};

}  // namespace thistlefront
