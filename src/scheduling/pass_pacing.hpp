// Computes how long the leader rests after each pass, so that planning leaves processor time for requests and lease renewals.
// Pure.
#pragma once

namespace thistlefront {

// What one pass cost.
struct PassCost {
  double elapsed_s = 0;    // time for which the pass held the controller's lock
  double processor_s = 0;  // processor seconds of the planning thread
};

struct PassPacing {
  double min_rest_s = 0.1;  // the configured pass period
  // Processor limit of this process. 0 is unknown. It and values above 1 count as one core, because a pass runs on one thread.
  double processor_limit_cores = 1;
};

// Seconds to rest before the next pass. Planning is limited to a fixed fraction of the elapsed time and to a fixed fraction of the
// processor limit. The rest never exceeds kMaxPassRestSeconds, unless the pass period is longer, so that planning goes
// on under any load.
double rest_after_pass(const PassCost& cost, const PassPacing& pacing);

inline constexpr double kMaxPassRestSeconds = 1.0;

}  // namespace thistlefront
