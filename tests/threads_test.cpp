// Long-lived threads must not wait for other threads to end. A thread-local object whose destructor blocks simulates a thread that
// does not end after its function has returned.
#include "transport/threads.hpp"

#include <gtest/gtest.h>

#include <atomic>

#include "testbed/fake_state_store.hpp"
#include "transport/clock.hpp"
#include "transport/http.hpp"

namespace thistlefront {
namespace {

std::atomic<bool> destructors_block{false};
std::atomic<int> lingering_threads{0};

struct BlockingDestructor {
  void ensure_constructed() const {}
  ~BlockingDestructor() {
    ++lingering_threads;
    while (destructors_block) std::this_thread::sleep_for(std::chrono::milliseconds(2));
    --lingering_threads;
  }
};

void make_thread_linger() {
  thread_local BlockingDestructor blocking_destructor;
  blocking_destructor.ensure_constructed();
}

void end_lingering_threads() {
  destructors_block = false;
  while (lingering_threads > 0) std::this_thread::sleep_for(std::chrono::milliseconds(2));
}

// Regression: the accept loop joined the thread of an ended connection, the join did not return, and the controller accepted no
// more connections.
TEST(Threads, LingeringConnectionThreadDoesNotBlockAccepting) {
  destructors_block = true;
  const auto address = test_support::free_address();
  HttpServer server(address, 10, [](const HttpCall& call) -> HttpReply {
    if (call.target == "/lingers") make_thread_linger();
    HttpReply reply{200, "{}"};
    reply.close_connection = true;
    return reply;
  });
  HttpClient first(address);
  ASSERT_TRUE(first.get("/lingers", 2).is(200));
  for (int i = 0; i < 200 && lingering_threads == 0; ++i) std::this_thread::sleep_for(std::chrono::milliseconds(5));
  ASSERT_EQ(lingering_threads, 1);
  // The first of these connections makes the accept loop remove ended connections. With the fault, the others were never accepted.
  for (int i = 0; i < 5; ++i) {
    HttpClient other(address);
    EXPECT_TRUE(other.get("/", 1).is(200)) << i;
  }
  end_lingering_threads();
}

// A connection marked evict_last is evicted only if there is no other.
TEST(Threads, EvictsTheConnectionIdleLongestWhenMaxConnectionsAreOpen) {
  constexpr std::size_t kMaxConnections = 4;
  const auto address = test_support::free_address();
  HttpServer server(address, kMaxConnections, [](const HttpCall& call) -> HttpReply {
    HttpReply reply{200, "{}"};
    reply.evict_last = call.target == "/evict-last";
    return reply;
  });
  std::vector<std::unique_ptr<HttpClient>> clients;
  const auto connect = [&](const char* target) {
    clients.push_back(std::make_unique<HttpClient>(address));
    ASSERT_TRUE(clients.back()->post(target, "{}", 2).is(200));
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  };
  // A POST on a connection that the server closed fails and is not sent again.
  const auto is_open = [&](std::size_t i) { return clients[i]->post("/", "{}", 2).is(200); };
  connect("/evict-last");
  connect("/");
  connect("/");
  connect("/");
  ASSERT_TRUE(clients[1]->post("/", "{}", 2).is(200)) << "active again: connection 2 has now been idle longest";
  std::this_thread::sleep_for(std::chrono::milliseconds(10));
  connect("/");
  EXPECT_FALSE(is_open(2));
  EXPECT_TRUE(is_open(3));
  EXPECT_TRUE(is_open(1));
  EXPECT_TRUE(is_open(4));
  EXPECT_TRUE(is_open(0));
  EXPECT_EQ(server.count_open_connections(), kMaxConnections);
  // The bound also holds after hundreds of new connections.
  for (int i = 0; i < 300; ++i) connect("/");
  for (int i = 0; i < 200 && server.count_open_connections() > kMaxConnections; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  EXPECT_LE(server.count_open_connections(), kMaxConnections);
}

TEST(Threads, RunInParallelWaitsForFunctionsButNotForTheirThreads) {
  destructors_block = true;
  std::atomic<int> finished_functions{0};
  const double started_at = steady_now();
  run_in_parallel({[&] { make_thread_linger(), ++finished_functions; }, [&] { ++finished_functions; }, [&] { ++finished_functions; }});
  EXPECT_EQ(finished_functions, 3);
  EXPECT_LT(steady_now() - started_at, 1);
  run_in_parallel({});
  end_lingering_threads();
}

}  // namespace
}  // namespace thistlefront
