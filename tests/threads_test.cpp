// No long-lived thread waits for the end of another one. A thread that lingers after its work is simulated by a thread-local
// object whose destructor blocks.
#include "transport/threads.hpp"

#include <gtest/gtest.h>

#include <atomic>

#include "testbed/fake_state_store.hpp"
#include "transport/clock.hpp"
#include "transport/http.hpp"

namespace thistlefront {
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

void release_lingering() {
  lingers = false;
  while (lingering > 0) std::this_thread::sleep_for(std::chrono::milliseconds(2));
}

// Regression: the accept loop joined the thread of a connection that had ended, the join did not return, and the controller
// accepted no connection any more.
TEST(Threads, ALingeringConnectionThreadDoesNotBlockOthers) {
  lingers = true;
  const auto address = test_support::free_address();
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
  // The first of them makes the server remove ended connections; at the time of the fault those behind it were never accepted.
  for (int i = 0; i < 5; ++i) {
    HttpClient other(address);
    EXPECT_TRUE(other.get("/", 1).is(200)) << i;
  }
  release_lingering();
}

// At the bound the connection idle for the longest time is closed, one marked evict_last only if there is no other.
TEST(Threads, AtTheBoundTheConnectionIdleLongestIsClosed) {
  constexpr std::size_t kMost = 4;
  const auto address = test_support::free_address();
  HttpServer server(address, kMost, [](const HttpCall& call) -> HttpReply {
    HttpReply reply{200, "{}"};
    reply.evict_last = call.target == "/dear";
    return reply;
  });
  std::vector<std::unique_ptr<HttpClient>> clients;
  const auto connect = [&](const char* target) {
    clients.push_back(std::make_unique<HttpClient>(address));
    ASSERT_TRUE(clients.back()->post(target, "{}", 2).is(200));
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  };
  // A POST on a kept connection that was closed fails, and isn't sent again.
  const auto alive = [&](std::size_t i) { return clients[i]->post("/", "{}", 2).is(200); };
  connect("/dear");
  connect("/");
  connect("/");
  connect("/");
  ASSERT_TRUE(clients[1]->post("/", "{}", 2).is(200)) << "active again: number 2 is the longest idle now";
  std::this_thread::sleep_for(std::chrono::milliseconds(10));
  connect("/");
  EXPECT_FALSE(alive(2));
  EXPECT_TRUE(alive(3));
  EXPECT_TRUE(alive(1));
  EXPECT_TRUE(alive(4));
  EXPECT_TRUE(alive(0));
  EXPECT_EQ(server.connections(), kMost);
  // Hundreds come and go; the number of open connections stays within the bound.
  for (int i = 0; i < 300; ++i) connect("/");
  for (int i = 0; i < 200 && server.connections() > kMost; ++i) std::this_thread::sleep_for(std::chrono::milliseconds(5));
  EXPECT_LE(server.connections(), kMost);
}

TEST(Threads, RunAtOnceWaitsForTheWorkAndNotForItsThreads) {
  lingers = true;
  std::atomic<int> done{0};
  const double began = steady_now();
  run_at_once({[&] { linger(), ++done; }, [&] { ++done; }, [&] { ++done; }});
  EXPECT_EQ(done, 3);
  EXPECT_LT(steady_now() - began, 1);
  run_at_once({});
  release_lingering();
}

}  // namespace
}  // namespace thistlefront
