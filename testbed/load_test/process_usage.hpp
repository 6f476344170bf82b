// Reads the resource usage of one process from /proc: processor time, memory, threads, sockets.
#pragma once
#include <sys/types.h>

#include <cstddef>

namespace thistlefront::testbed {

struct ProcessUsage {
  double processor_s = 0;  // user and system
  double memory_mb = 0;    // resident
  std::size_t threads = 0, sockets = 0;
};

// Returns zeros if there is no such process.
ProcessUsage usage_of(pid_t pid);

}  // namespace thistlefront::testbed
