// Clocks: steady seconds for leases and timeouts, wall seconds for what is written to the ledger.
#pragma once
#include <chrono>

namespace thistle {

inline double steady_now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
inline double wall_now() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}  // namespace thistle
