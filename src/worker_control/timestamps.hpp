// The moment at which something was observed, on both clocks that the controllers use.
#pragma once

namespace thistlefront {

// `steady` measures durations (leases, silences) and is this process's own; `wall` is comparable between controllers and is what
// the ledger stores. Both in seconds.
struct Timestamps {
  double steady = 0, wall = 0;
};

}  // namespace thistlefront
