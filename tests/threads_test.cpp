// No long-lived duty waits for the end of a thread. A thread that lingers after its work is played by one that has a
// destructor of its own to run.
#include "transport/threads.hpp"

#include <gtest/gtest.h>

#include <atomic>

#include "rig/state_service.hpp"
#include "transport/clock.hpp"
#include "transport/http.hpp"

namespace thistle {
namespace {

std::atomic<bool> lingers{false};
std::atomic<int> lingering{0};

struct Lingering {
  void touch() const {}
  ~Lingering() {
    ++lingering;
    while (lingers) std::this_thread::sleep_for(std::chrono::milliseconds(2));
    --lingering;
  }
};

void linger() {
  thread_local Lingering one;
  one.touch();
}

void let_go() {
  lingers = false;
  while (lingering > 0) std::this_thread::sleep_for(std::chrono::milliseconds(2));
}

// The day that stood still (lienzo fleet, restart, 0.38): the thread of a connection that had ended was joined by the one that
// accepts, and the join did not return.
TEST(Threads, AConnectionWhoseThreadLingersStopsNoOther) {
  lingers = true;
  const auto address = testing_::free_address();
  HttpServer server(address, 10, [](const HttpCall& call) -> HttpReply {
    if (call.target == "/lingers") linger();
    HttpReply reply{200, "{}"};
    reply.close = true;
    return reply;
  });
  HttpClient first(address);
  ASSERT_TRUE(first.get("/lingers", 2).is(200));
  for (int i = 0; i < 200 && lingering == 0; ++i) std::this_thread::sleep_for(std::chrono::milliseconds(5));
  ASSERT_EQ(lingering, 1);
  // The first of them makes the server look at what has ended; those behind it were never accepted.
  for (int i = 0; i < 5; ++i) {
    HttpClient other(address);
    EXPECT_TRUE(other.get("/", 1).is(200)) << i;
  }
  let_go();
}

TEST(Threads, WorkIsWaitedForAndNotItsThreads) {
  lingers = true;
  std::atomic<int> done{0};
  const double began = steady_now();
  run_at_once({[&] { linger(), ++done; }, [&] { ++done; }, [&] { ++done; }});
  EXPECT_EQ(done, 3);
  EXPECT_LT(steady_now() - began, 1);
  run_at_once({});
  let_go();
}

}  // namespace
}  // namespace thistle
