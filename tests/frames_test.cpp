// Calls between controllers: waiting for a free connection, timeouts and interruption.
#include <gtest/gtest.h>

#include <thread>

#include "protocol/peer_messages.hpp"
#include "testbed/fake_state_store.hpp"
#include "transport/clock.hpp"

namespace thistlefront {
namespace {

using test_support::free_address;

class FrameConnectionPoolTest : public testing::Test {
 protected:
  FrameConnectionPoolTest()
      : server(address, 8, [this](const Frame& request) {
          std::this_thread::sleep_for(std::chrono::duration<double>(reply_delay_s));
          return request;
        }) {}
  ~FrameConnectionPoolTest() override { server.stop(); }
  const std::string address = free_address();
  std::atomic<double> reply_delay_s{0};
  FrameServer server;
};

// Regression: without waiting, 683 submissions of a burst were refused while all connections to the leader were briefly in use.
TEST_F(FrameConnectionPoolTest, CallsBeyondMaxConnectionsWaitForAConnection) {
  reply_delay_s = 0.2;
  FrameConnectionPool pool(address, 1);
  std::atomic<int> replied{0};
  {
    std::vector<std::jthread> callers;
    for (int i = 0; i < 3; ++i) callers.emplace_back([&] { replied += pool.call(Frame{1, "x"}, 5).has_value(); });
  }
  EXPECT_EQ(replied, 3);
  reply_delay_s = 2;
  std::jthread long_call([&] { pool.call(Frame{1, "x"}, 5); });
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  EXPECT_FALSE(pool.call(Frame{1, "x"}, 0.2)) << "a waiting call ends at its timeout";
}

TEST_F(FrameConnectionPoolTest, InterruptCallsEndsCurrentCallsButNotLaterOnes) {
  reply_delay_s = 3;
  FrameConnectionPool pool(address, 1);
  const double started_at = steady_now();
  {
    std::vector<std::jthread> callers;
    for (int i = 0; i < 2; ++i) callers.emplace_back([&] { EXPECT_FALSE(pool.call(Frame{1, "x"}, 3)); });
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    pool.interrupt_calls();
  }
  EXPECT_LT(steady_now() - started_at, 2);
  reply_delay_s = 0;
  EXPECT_TRUE(pool.call(Frame{1, "x"}, 5)) << "later calls are not affected";
}

TEST(PeerMessages, ReplyKeepsItsRemainingValidity) {
  HttpReply reply{200, "{}"};
  EXPECT_EQ(unpack_reply(pack(reply, 100), 50)->valid_until, std::numeric_limits<double>::infinity());
  reply.valid_until = 101.5;
  EXPECT_NEAR(unpack_reply(pack(reply, 100), 50)->valid_until, 51.5, 0.002);
  EXPECT_DOUBLE_EQ(unpack_reply(pack(reply, 200), 50)->valid_until, 50) << "the validity ended before the reply was packed";
}

}  // namespace
}  // namespace thistlefront
