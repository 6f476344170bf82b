// The heartbeat relay turns itself on where one leader would be short of processor time or connections, and nowhere else.
#include "heartbeat_relay/relay_mode.hpp"

#include <gtest/gtest.h>

namespace thistlefront {
namespace {

constexpr std::size_t kConnections = 1600;

TEST(RelayMode, IsNeededWhereTheLeadersProcessorWouldBeUsedUp) {
  EXPECT_TRUE(is_relay_needed(302, 0.038, kConnections));
  EXPECT_FALSE(is_relay_needed(302, 0.064, kConnections));
  EXPECT_FALSE(is_relay_needed(302, 1, kConnections));
  EXPECT_FALSE(is_relay_needed(302, 0, kConnections)) << "a share that is not known is no reason";
}

TEST(RelayMode, IsNeededWhereConnectionsRunOut) {
  EXPECT_TRUE(is_relay_needed(1300, 8, kConnections));
  EXPECT_FALSE(is_relay_needed(1100, 8, kConnections));
  EXPECT_FALSE(is_relay_needed(0, 0.001, kConnections));
}

}  // namespace
}  // namespace thistlefront
