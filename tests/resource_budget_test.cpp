// Threads and sockets are split so that a controller of any size can lead. With a thread for each worker beside one for each connection, a
// leader of a whole fleet once exceeded what its process may have, and crashed.
#include "controller/resource_budget.hpp"

#include <gtest/gtest.h>

#include <thread>

#include "model/identifiers.hpp"
#include "testbed/fake_state_store.hpp"
#include "transport/clock.hpp"
#include "transport/connection_pool.hpp"
#include "worker_control/command_queue.hpp"

namespace thistlefront {
namespace {

TEST(ResourceBudget, StaysWithinTheThreadsAndSocketsOfEverySize) {
  for (std::size_t threads : {100u, 300u, 2000u, 20000u}) {
    for (std::size_t sockets : {256u, 900u, 3059u, 20000u}) {
      for (std::size_t peers : {0u, 2u, 4u, 6u}) {
        const auto b = split_resource_budget(threads, sockets, peers);
        const auto what =
            std::to_string(threads) + " threads, " + std::to_string(sockets) + " sockets, " + std::to_string(peers) + " peers";
        EXPECT_LE(b.most_sockets(), sockets) << what;
        if (threads >= 300) {
          EXPECT_LE(b.most_threads(), threads) << what;
        }
        EXPECT_GE(b.clients, 8u) << what;
        EXPECT_GE(b.senders, 4u) << what;
        EXPECT_GE(b.peers, 8u) << what;
      }
    }
  }
}

TEST(ResourceBudget, AThousandWorkersAndTheirUsersHaveRoom) {
  const auto b = split_resource_budget(2000, 2929, 2);
  EXPECT_GT(b.clients, 1500u);
  EXPECT_GT(b.worker_connections, 900u);
}

TEST(CommandQueue, ANodeIsServedByOneSenderAndAgainWhenItBecameDueMeanwhile) {
  CommandQueue due(2);
  due.enqueue(NodeIndex{1}, false, 0);
  due.enqueue(NodeIndex{1}, true, 0);
  const auto first = due.dequeue();
  ASSERT_TRUE(first);
  EXPECT_TRUE(first->announce_leader);
  EXPECT_FALSE(due.dequeue());
  due.enqueue(NodeIndex{1}, false, 0);
  EXPECT_FALSE(due.has_ready());  // a sender serves it
  due.complete(NodeIndex{1});
  const auto again = due.dequeue();
  ASSERT_TRUE(again);
  EXPECT_FALSE(again->announce_leader);
}

TEST(CommandQueue, NodesThatDoNotAnswerNeverHoldUpTheOthers) {
  CommandQueue due(2);
  // Ten nodes die together: each fails once.
  for (std::uint32_t i = 0; i < 10; ++i) due.enqueue(NodeIndex{i}, false, 0);
  for (std::uint32_t i = 0; i < 10; ++i) due.back_off(due.dequeue()->node, 1.5);
  due.enqueue(NodeIndex{0}, false, 1);
  EXPECT_FALSE(due.has_ready());  // backs off
  for (std::uint32_t i = 0; i < 10; ++i) due.enqueue(NodeIndex{i}, false, 2);
  due.enqueue(NodeIndex{50}, false, 2);
  EXPECT_EQ(due.dequeue()->node, NodeIndex{50});
  EXPECT_TRUE(due.dequeue());
  EXPECT_TRUE(due.dequeue());
  EXPECT_FALSE(due.dequeue());  // two senders wait for slow nodes: no third
  due.enqueue(NodeIndex{51}, false, 2);
  EXPECT_EQ(due.dequeue()->node, NodeIndex{51});
  due.complete(NodeIndex{0});  // it answers again
  due.enqueue(NodeIndex{0}, false, 2);
  EXPECT_EQ(due.dequeue()->node, NodeIndex{0});
}

TEST(ConnectionPool, OverTheBoundTheLeastRecentlyUsedConnectionIsClosed) {
  const std::string first = test_support::free_address();
  HttpServer server(first, 10, [](const HttpCall&) { return HttpReply{200, "{}"}; });
  const std::string second = test_support::free_address();
  HttpServer other(second, 10, [](const HttpCall&) { return HttpReply{200, "{}"}; });
  ConnectionPool pool(1);
  for (const auto& address : {first, second}) {
    auto client = pool.acquire(address);
    ASSERT_TRUE(client->get("/", 2).ok());
    pool.release(address, std::move(client));
  }
  EXPECT_EQ(pool.size(), 1u);
  EXPECT_FALSE(pool.acquire(first)->connected());
  EXPECT_TRUE(pool.acquire(second)->connected());
}

// A leader of a large fleet has a connection for each worker and room for few users: a crowd of users must not cost a worker with tasks its
// connection.
TEST(HttpServer, PastItsBoundUsersAreEvictedBeforeWorkersThatHoldTasks) {
  const auto address = test_support::free_address();
  HttpServer server(address, 3, [](const HttpCall& call) {
    HttpReply reply{200, "{}"};
    reply.evict_last = call.target == "/evict-last";
    return reply;
  });
  std::vector<std::unique_ptr<Stream>> workers, users;
  char answer[1000];
  ErrorCode ec;
  const auto ask = [&](auto& streams, const std::string& target) {
    streams.push_back(std::make_unique<Stream>(connect_to(address, 2)));
    const std::string request = "GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n";
    streams.back()->set_deadline(steady_now() + 2);
    EXPECT_TRUE(streams.back()->write_all(request.data(), request.size(), ec));
    EXPECT_TRUE(streams.back()->read_exact(answer, 12, ec)) << "the beginning of the first line";
  };
  const auto closed = [&](Stream& stream) {
    stream.set_deadline(steady_now() + 0.2);
    stream.read_exact(answer, sizeof answer, ec);  // the rest of the answer, and then the end or a timeout
    return ec == boost::asio::error::eof;
  };
  ask(workers, "/evict-last");
  ask(workers, "/evict-last");
  for (int i = 0; i < 4; ++i) ask(users, "/");
  for (auto& w : workers) EXPECT_FALSE(closed(*w));
  EXPECT_TRUE(closed(*users[0])) << "the longest idle of the others";
  EXPECT_FALSE(closed(*users[3]));
}

TEST(HttpClient, ACallThatIsLateSaysSoOnceAndStillGetsItsAnswer) {
  const auto address = test_support::free_address();
  HttpServer server(address, 10, [](const HttpCall&) {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    return HttpReply{200, "{}"};
  });
  HttpClient client(address);
  int told = 0;
  LateCallback late{steady_now() + 0.05, [&] { ++told; }};
  EXPECT_TRUE(client.call("POST", "/", "{}", 2, &late).ok());
  EXPECT_EQ(told, 1);
}

}  // namespace
}  // namespace thistlefront
