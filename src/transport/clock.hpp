// Clocks: steady seconds for leases and timeouts, wall-clock seconds for times stored in the ledger.
#pragma once
#include <time.h>

#include <chrono>

namespace thistlefront {

// Seconds on the monotonic clock; comparable within one process only.
inline double steady_now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
// Seconds since the Unix epoch; the clock may be set back.
inline double wall_now() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// Processor seconds that the calling thread has used; 0 if the system does not report it.
inline double thread_processor_seconds() {
  timespec used{};
  if (::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used) != 0) return 0;
  return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
}

}  // namespace thistlefront
