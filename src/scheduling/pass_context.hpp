// Inputs of planning besides the cluster state: fixed parameters, and the time and term of one pass. Used by PlanInputBuilder
// and its parts. Plain data.
#pragma once
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace thistlefront {

// Service-level objectives for the wait until a job starts, in seconds: by job class, in the order of the settings.
using StartTargets = std::unordered_map<std::string, std::vector<double>>;

// Parameters that are the same for all passes of a process.
struct PassParameters {
  double weight = 0;     // of one second of waiting in a job's sort key
  double overrun_s = 0;  // a task that exceeds its estimate is expected to end this long after the pass
  double heartbeat_interval_s = 0;
  StartTargets start_targets;
};

// Time of a pass and the leader's term.
struct PassContext {
  double wall_now = 0;               // wall seconds
  double steady_now = 0;             // steady seconds
  std::uint64_t takeover_token = 0;  // fencing token with which this leader took over
  double taken_over_at = 0;          // steady seconds
  bool first_term_ever = false;      // no leader came before this one
};

}  // namespace thistlefront
