// Clocks: steady seconds for leases and timeouts, wall seconds for what is stored in the ledger.
#pragma once
#include <time.h>

#include <chrono>

namespace thistlefront {

// Seconds on a clock that never goes back; comparable within one process only.
inline double steady_now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
// Seconds since the Unix epoch; may be set back.
inline double wall_now() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// Processor seconds that the calling thread has used; 0 if the system does not tell.
inline double thread_processor_seconds() {
  timespec used{};
  if (::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used) != 0) return 0;
  return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
}

}  // namespace thistlefront
