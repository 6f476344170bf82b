// The time of an observation on both clocks that the controllers use.
#pragma once

namespace thistlefront {

// The steady clock measures durations such as leases and silences, and is valid within this process only. The wall clock is comparable
// between controllers, and the ledger stores its times.
struct Timestamps {
  double steady_s = 0, wall_s = 0;
};

}  // namespace thistlefront
