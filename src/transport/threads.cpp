#include "transport/threads.hpp"

#include <malloc.h>
#include <pthread.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <system_error>
#include <thread>

namespace thistlefront {

void configure_process_memory() {
  mallopt(M_ARENA_MAX, 1);
  mallopt(M_TRIM_THRESHOLD, 512 * 1024);
  mallopt(M_MMAP_THRESHOLD, 256 * 1024);
  pthread_attr_t attr;
  if (pthread_attr_init(&attr) != 0) return;
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
  pthread_attr_setstacksize(&attr, 256 * 1024);
  pthread_setattr_default_np(&attr);
#endif
  pthread_attr_destroy(&attr);
}

void run_at_once(const std::vector<std::function<void()>>& work) {
  struct Left {
    std::mutex mutex;
    std::condition_variable none;
    std::size_t count;
    void one_less() {
      std::lock_guard lock(mutex);
      if (--count == 0) none.notify_all();
    }
  };
  const auto left = std::make_shared<Left>();
  left->count = work.size();
  for (const auto& one : work) {
    try {
      std::thread([&one, left] {
        one();
        left->one_less();
      }).detach();
    } catch (const std::system_error& e) {
      spdlog::error("no thread: {}", e.what());
      one();
      left->one_less();
    }
  }
  std::unique_lock lock(left->mutex);
  left->none.wait(lock, [&] { return left->count == 0; });
}

}  // namespace thistlefront
