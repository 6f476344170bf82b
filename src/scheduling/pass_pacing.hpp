// How long the leader rests after a pass, so that planning leaves the processor to requests and lease renewals. Called after
// each pass. Pure.
#pragma once

namespace thistlefront {

// What one pass cost.
struct PassCost {
  double elapsed_s = 0;    // steady seconds for which it kept the controller's lock
  double processor_s = 0;  // processor seconds of the planning thread
};

struct PassPacing {
  double shortest_rest_s = 0.1;  // the operator's pass period
  double processor_share = 1;    // of one core that this process may use; 0: not known, taken as a whole one
};

// Seconds to rest before the next pass may begin. Planning is kept to a fixed part of the elapsed time and to a fixed part of
// the process's share of a core; the rest never exceeds kLongestPassRest, so that planning goes on under any load.
double rest_after_pass(const PassCost& cost, const PassPacing& pacing);

inline constexpr double kLongestPassRest = 1.0;  // seconds

}  // namespace thistlefront
