// Memory settings for a process with many threads on a small machine, an interruptible sleep for long-lived threads, and running
// work in parallel.
#pragma once
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <stop_token>
#include <vector>

namespace thistlefront {

// Sets small default stacks and a single malloc arena, since each connection costs a thread. Called once, at the process's start.
void configure_process_memory();

// Sleeps for the time given, or until a stop is requested; false if it was.
inline bool pause_for(std::stop_token stop, double seconds) {
  std::mutex mutex;
  std::condition_variable_any never_notified;
  std::unique_lock lock(mutex);
  never_notified.wait_for(lock, stop, std::chrono::duration<double>(seconds), [] { return false; });
  return !stop.stop_requested();
}

// Runs all functions in parallel, each in a thread of its own, and returns when all have returned. One for which no thread can be
// made runs in the calling thread. Waits for the functions and not for the end of their threads: see Acceptor::Connection.
void run_at_once(const std::vector<std::function<void()>>& work);

}  // namespace thistlefront
