// Thread settings that suit a small machine, and an interruptible sleep for long-lived duties.
#pragma once
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <stop_token>
#include <vector>

namespace thistlefront {

// Small default stacks and one malloc arena: a connection costs a thread, so its memory is kept low.
void configure_process_memory();

// Sleeps until the time is over or the duty is asked to stop; false when asked to stop.
inline bool pause_for(std::stop_token stop, double seconds) {
  std::mutex m;
  std::condition_variable_any cv;
  std::unique_lock lock(m);
  cv.wait_for(lock, stop, std::chrono::duration<double>(seconds), [] { return false; });
  return !stop.stop_requested();
}

// Runs all of it at the same time, each in a thread of its own, and returns when all of it is done; what gets no thread is run
// here. The work is waited for, and not the threads: see Acceptor::Connection.
void run_at_once(const std::vector<std::function<void()>>& work);

}  // namespace thistlefront
