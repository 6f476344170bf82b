// Threads and sockets are split so that a controller with any limits can lead. With one thread for each agent and one for each connection,
// a leader of a large fleet exceeded the limits of its process and crashed.
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

TEST(ResourceBudget, StaysWithinThreadAndSocketLimitsOfAnySize) {
  for (std::size_t threads : {100u, 300u, 2000u, 20000u}) {
    for (std::size_t sockets : {256u, 900u, 3059u, 20000u}) {
      for (std::size_t peers : {0u, 2u, 4u, 6u}) {
        const auto budget = split_resource_budget(threads, sockets, peers);
        const auto limits =
            std::to_string(threads) + " threads, " + std::to_string(sockets) + " sockets, " + std::to_string(peers) + " peers";
        EXPECT_LE(budget.max_sockets(), sockets) << limits;
        if (threads >= 300) {
          EXPECT_LE(budget.max_threads(), threads) << limits;
        }
        EXPECT_GE(budget.client_connections, 8u) << limits;
        EXPECT_GE(budget.sender_threads, 4u) << limits;
        EXPECT_GE(budget.peer_connections, 8u) << limits;
      }
    }
  }
}

TEST(ResourceBudget, HasConnectionsForAThousandAgentsAndTheirUsers) {
  const auto budget = split_resource_budget(2000, 2929, 2);
  EXPECT_GT(budget.client_connections, 1500u);
  EXPECT_GT(budget.worker_connections, 900u);
}

TEST(CommandQueue, ServesANodeByOneSenderAtATimeAndAgainIfItBecameDueMeanwhile) {
  CommandQueue queue(2);
  queue.enqueue(NodeIndex{1}, false, 0);
  queue.enqueue(NodeIndex{1}, true, 0);
  const auto first = queue.dequeue();
  ASSERT_TRUE(first);
  EXPECT_TRUE(first->announce_leader);
  EXPECT_FALSE(queue.dequeue());
  queue.enqueue(NodeIndex{1}, false, 0);
  EXPECT_FALSE(queue.has_ready());  // a sender is already serving it
  queue.complete(NodeIndex{1});
  const auto again = queue.dequeue();
  ASSERT_TRUE(again);
  EXPECT_FALSE(again->announce_leader);
}

TEST(CommandQueue, DoesNotDelayOtherNodesWhenSomeDoNotReply) {
  CommandQueue queue(2);
  // Ten nodes fail together; one command to each fails.
  for (std::uint32_t i = 0; i < 10; ++i) queue.enqueue(NodeIndex{i}, false, 0);
  for (std::uint32_t i = 0; i < 10; ++i) queue.back_off(queue.dequeue()->node, 1.5);
  queue.enqueue(NodeIndex{0}, false, 1);
  EXPECT_FALSE(queue.has_ready());  // the node is backing off
  for (std::uint32_t i = 0; i < 10; ++i) queue.enqueue(NodeIndex{i}, false, 2);
  queue.enqueue(NodeIndex{50}, false, 2);
  EXPECT_EQ(queue.dequeue()->node, NodeIndex{50});
  EXPECT_TRUE(queue.dequeue());
  EXPECT_TRUE(queue.dequeue());
  EXPECT_FALSE(queue.dequeue());  // at most two senders may wait for slow nodes
  queue.enqueue(NodeIndex{51}, false, 2);
  EXPECT_EQ(queue.dequeue()->node, NodeIndex{51});
  queue.complete(NodeIndex{0});  // the node replies again
  queue.enqueue(NodeIndex{0}, false, 2);
  EXPECT_EQ(queue.dequeue()->node, NodeIndex{0});
}

TEST(ConnectionPool, ClosesTheLeastRecentlyUsedConnectionWhenFull) {
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

// A leader of a large fleet has one connection for each agent and few for users. Many users must not displace the connection of an agent
// that runs tasks.
TEST(HttpServer, EvictsUsersBeforeAgentsWithTasksWhenFull) {
  const auto address = test_support::free_address();
  HttpServer server(address, 3, [](const HttpCall& call) {
    HttpReply reply{200, "{}"};
    reply.evict_last = call.target == "/evict-last";
    return reply;
  });
  std::vector<std::unique_ptr<Stream>> agents, users;
  char response[1000];
  ErrorCode ec;
  const auto open_and_ask = [&](auto& streams, const std::string& target) {
    streams.push_back(std::make_unique<Stream>(connect_to(address, 2)));
    const std::string request = "GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n";
    streams.back()->set_deadline(steady_now() + 2);
    EXPECT_TRUE(streams.back()->write_all(request.data(), request.size(), ec));
    EXPECT_TRUE(streams.back()->read_exact(response, 12, ec)) << "start of the status line";
  };
  const auto is_closed = [&](Stream& stream) {
    stream.set_deadline(steady_now() + 0.2);
    stream.read_exact(response, sizeof response, ec);  // the rest of the response, then the end of the stream or a time-out
    return ec == boost::asio::error::eof;
  };
  open_and_ask(agents, "/evict-last");
  open_and_ask(agents, "/evict-last");
  for (int i = 0; i < 4; ++i) open_and_ask(users, "/");
  for (auto& agent : agents) EXPECT_FALSE(is_closed(*agent));
  EXPECT_TRUE(is_closed(*users[0])) << "the user connection that has been idle for the longest time";
  EXPECT_FALSE(is_closed(*users[3]));
}

TEST(HttpClient, NotifiesOnceWhenACallIsLateAndStillReturnsItsReply) {
  const auto address = test_support::free_address();
  HttpServer server(address, 10, [](const HttpCall&) {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    return HttpReply{200, "{}"};
  });
  HttpClient client(address);
  int notifications = 0;
  LateCallback late{steady_now() + 0.05, [&] { ++notifications; }};
  EXPECT_TRUE(client.call("POST", "/", "{}", 2, &late).ok());
  EXPECT_EQ(notifications, 1);
}

}  // namespace
}  // namespace thistlefront
