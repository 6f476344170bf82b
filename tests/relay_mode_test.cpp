// `automatic` turns the heartbeat relay on only if the leader alone would run short of processor time or connections.
#include "heartbeat_relay/relay_mode.hpp"

#include <gtest/gtest.h>

namespace thistlefront {
namespace {

constexpr std::size_t kMaxConnections = 1600;

TEST(RelayMode, IsNeededWhenAgentsUseTooManyCores) {
  EXPECT_TRUE(is_relay_needed(302, 0.038, kMaxConnections));
  EXPECT_FALSE(is_relay_needed(302, 0.064, kMaxConnections));
  EXPECT_FALSE(is_relay_needed(302, 1, kMaxConnections));
  EXPECT_FALSE(is_relay_needed(302, 0, kMaxConnections)) << "the number of cores is unknown";
}

TEST(RelayMode, IsNeededWhenAgentsUseTooManyConnections) {
  EXPECT_TRUE(is_relay_needed(1300, 8, kMaxConnections));
  EXPECT_FALSE(is_relay_needed(1100, 8, kMaxConnections));
  EXPECT_FALSE(is_relay_needed(0, 0.001, kMaxConnections));
}

}  // namespace
}  // namespace thistlefront
