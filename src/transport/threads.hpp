// Memory settings for a process with many threads on a small machine, an interruptible sleep for long-lived threads, and parallel
// execution of functions.
#pragma once
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <stop_token>
#include <vector>

namespace thistlefront {

// Sets small default stacks and a single malloc arena, since each connection has a thread. Call once, before starting threads.
void configure_process_memory();

// Sleeps for `seconds` or until a stop is requested. Returns false if a stop was requested.
inline bool pause_for(std::stop_token stop, double seconds) {
  std::mutex mutex;
  std::condition_variable_any never_notified;
  std::unique_lock lock(mutex);
  never_notified.wait_for(lock, stop, std::chrono::duration<double>(seconds), [] { return false; });
  return !stop.stop_requested();
}

// Runs each function in a thread of its own and returns when all functions have returned. If no thread is available, the function
// runs in the calling thread. Does not wait for the threads to end: Acceptor::Connection::finished_ gives the reason.
void run_in_parallel(const std::vector<std::function<void()>>& functions);

}  // namespace thistlefront
