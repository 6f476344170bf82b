// Agents get spread evenly over the controllers again, a few per second, whatever redirected them together.
#include "heartbeat_relay/worker_balancer.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace thistlefront {
namespace {

// A leader and relays; ten times a second each relay tells how many agents it serves, and some agents send heartbeats to the leader.
struct Fleet {
  std::map<std::string, std::uint32_t> relays;
  std::size_t own = 0;
  WorkerBalancer balancer;
  double now = 100;
  std::size_t redirected = 0;

  [[nodiscard]] std::size_t all() const {
    std::size_t out = own;
    for (const auto& [relay, workers] : relays) out += workers;
    return out;
  }
  void run(double seconds) {
    for (const double until = now + seconds; now < until; now += 0.1) {
      for (auto& [relay, workers] : relays) {
        balancer.record_worker_count(relay, workers, now);
        const auto away = balancer.redirect_from_relay(relay, now);
        ASSERT_LE(away.count, workers);
        workers -= away.count;
        if (away.count > 0) relays.at(away.target) += away.count;
        redirected += away.count;
      }
      for (int heartbeats = 0; heartbeats < 20; ++heartbeats) {
        const auto to = balancer.redirect_from_leader(own, now);
        if (!to) continue;
        --own;
        ++relays.at(*to);
        ++redirected;
      }
    }
  }
};

TEST(WorkerBalancer, AgentsThatAreAllAtTheLeaderAreSpreadOverTheRelays) {
  Fleet fleet{{{"host-1", 0}, {"host-2", 0}, {"host-3", 0}, {"host-4", 0}}, 300, {}, 100, 0};
  fleet.run(60);
  EXPECT_EQ(fleet.all(), 300u);
  EXPECT_LE(fleet.own, 50u) << "half of a relay's share, and some";
  for (const auto& [relay, workers] : fleet.relays) EXPECT_NEAR(workers, 66, 20) << relay;
}

TEST(WorkerBalancer, ARelayThatIsBackGetsItsShare) {
  Fleet fleet{{{"host-1", 170}, {"host-2", 0}}, 40, {}, 100, 0};
  fleet.run(60);
  EXPECT_NEAR(fleet.relays["host-1"], 84, 25);
  EXPECT_NEAR(fleet.relays["host-2"], 84, 25);
}

TEST(WorkerBalancer, NobodyIsRedirectedWhereAllHaveAboutTheirShare) {
  Fleet fleet{{{"host-1", 60}, {"host-2", 66}, {"host-3", 70}}, 33, {}, 100, 0};
  fleet.run(30);
  EXPECT_EQ(fleet.redirected, 0u);
}

TEST(WorkerBalancer, RedirectionsAreFewPerSecond) {
  Fleet fleet{{{"host-1", 0}, {"host-2", 0}}, 600, {}, 100, 0};
  fleet.run(5);
  EXPECT_LE(fleet.redirected, 130u) << "twenty a second, and what was saved up";
  EXPECT_GT(fleet.redirected, 50u);
}

TEST(WorkerBalancer, NobodyIsRedirectedToASilentRelay) {
  WorkerBalancer balancer;
  balancer.record_worker_count("host-1", 0, 100);
  EXPECT_TRUE(balancer.redirect_from_leader(300, 101));
  EXPECT_FALSE(balancer.redirect_from_leader(300, 110));
  balancer.record_worker_count("host-2", 200, 110);
  EXPECT_EQ(balancer.redirect_from_relay("host-2", 110).count, 0u);
}

}  // namespace
}  // namespace thistlefront
