#include "transport/threads.hpp"

#include <malloc.h>
#include <pthread.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <system_error>
#include <thread>

namespace thistlefront {

namespace {
constexpr int kTrimThresholdBytes = 512 * 1024;
constexpr int kMmapThresholdBytes = 256 * 1024;
[[maybe_unused]] constexpr std::size_t kStackBytes = std::size_t{256} * 1024;  // not for sanitizers: they need the default size
}  // namespace

void configure_process_memory() {
  // NOLINTBEGIN(concurrency-mt-unsafe): called before any other thread is started
  mallopt(M_ARENA_MAX, 1);
  mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  // NOLINTEND(concurrency-mt-unsafe)
  pthread_attr_t attr;
  if (pthread_attr_init(&attr) != 0) return;
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
  pthread_attr_setstacksize(&attr, kStackBytes);
  pthread_setattr_default_np(&attr);
#endif
  pthread_attr_destroy(&attr);
}

void run_in_parallel(const std::vector<std::function<void()>>& functions) {
  struct UnfinishedFunctions {
    std::mutex mutex;
    std::condition_variable all_finished;
    std::size_t count;
    void count_down() {
      std::lock_guard lock(mutex);
      if (--count == 0) all_finished.notify_all();
    }
  };
  const auto unfinished = std::make_shared<UnfinishedFunctions>();
  unfinished->count = functions.size();
  for (const auto& function : functions) {
    try {
      std::thread([&function, unfinished] {
        function();
        unfinished->count_down();
      }).detach();
    } catch (const std::system_error& error) {
      spdlog::error("parallel execution: no thread available, runs in the calling thread: {}", error.what());
      function();
      unfinished->count_down();
    }
  }
  std::unique_lock lock(unfinished->mutex);
  unfinished->all_finished.wait(lock, [&] { return unfinished->count == 0; });
}

}  // namespace thistlefront
