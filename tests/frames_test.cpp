// Calls between controllers: which wait for a connection, and which end without an answer.
#include <gtest/gtest.h>

#include <thread>

#include "protocol/peer_messages.hpp"
#include "testbed/fake_state_store.hpp"
#include "transport/clock.hpp"

namespace thistlefront {
namespace {

using test_support::free_address;

class FramePoolTest : public testing::Test {
 protected:
  FramePoolTest()
      : server(address, 8, [this](const Frame& f) {
          std::this_thread::sleep_for(std::chrono::duration<double>(delay_s));
          return f;
        }) {}
  ~FramePoolTest() override { server.stop(); }
  const std::string address = free_address();
  std::atomic<double> delay_s{0};
  FrameServer server;
};

// Without the wait, a burst met 683 refusals while the connections to the leader were all in use for a moment.
TEST_F(FramePoolTest, CallsBeyondTheBoundWaitForAConnection) {
  delay_s = 0.2;
  FramePool pool(address, 1);
  std::atomic<int> answered{0};
  {
    std::vector<std::jthread> callers;
    for (int i = 0; i < 3; ++i) callers.emplace_back([&] { answered += pool.ask(Frame{1, "x"}, 5).has_value(); });
  }
  EXPECT_EQ(answered, 3);
  delay_s = 2;
  std::jthread longer([&] { pool.ask(Frame{1, "x"}, 5); });
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  EXPECT_FALSE(pool.ask(Frame{1, "x"}, 0.2)) << "and give up at their time limit";
}

TEST_F(FramePoolTest, InterruptEndsCallsInProgressAndWaiting) {
  delay_s = 3;
  FramePool pool(address, 1);
  const double began = steady_now();
  {
    std::vector<std::jthread> callers;
    for (int i = 0; i < 2; ++i) callers.emplace_back([&] { EXPECT_FALSE(pool.ask(Frame{1, "x"}, 3)); });
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    pool.interrupt();
  }
  EXPECT_LT(steady_now() - began, 2);
  delay_s = 0;
  EXPECT_TRUE(pool.ask(Frame{1, "x"}, 5)) << "later ones are not concerned";
}

TEST(PeerMessages, AReplyCarriesItsRemainingValidity) {
  HttpReply reply{200, "{}"};
  EXPECT_EQ(unpack_reply(pack(reply, 100), 50)->valid_until, std::numeric_limits<double>::infinity());
  reply.valid_until = 101.5;
  EXPECT_NEAR(unpack_reply(pack(reply, 100), 50)->valid_until, 51.5, 0.002);
  EXPECT_DOUBLE_EQ(unpack_reply(pack(reply, 200), 50)->valid_until, 50) << "already past";
}

}  // namespace
}  // namespace thistlefront
