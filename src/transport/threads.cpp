#include "transport/threads.hpp"

#include <malloc.h>
#include <pthread.h>

namespace thistle {

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

}  // namespace thistle
