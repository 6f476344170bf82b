// Workers come to lie evenly over the controllers again, a few a second, whatever moved them together.
#include "heartbeat_relay/worker_balancer.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace thistlefront {
namespace {

// A leader and intakes; once a tenth of a second each intake says what it holds, and workers report to the leader at random.
struct Fleet {
  std::map<std::string, std::uint32_t> intakes;
  std::size_t own = 0;
  WorkerBalancer balancer;
  double now = 100;
  std::size_t moved = 0;

  [[nodiscard]] std::size_t all() const {
    std::size_t out = own;
    for (const auto& [label, workers] : intakes) out += workers;
    return out;
  }
  void run(double seconds) {
    for (const double until = now + seconds; now < until; now += 0.1) {
      for (auto& [label, workers] : intakes) {
        balancer.record_worker_count(label, workers, now);
        const auto away = balancer.redirect_from_relay(label, now);
        ASSERT_LE(away.count, workers);
        workers -= away.count;
        if (away.count > 0) intakes.at(away.target) += away.count;
        moved += away.count;
      }
      for (int heartbeats = 0; heartbeats < 20; ++heartbeats) {
        const auto to = balancer.redirect_from_leader(own, now);
        if (!to) continue;
        --own;
        ++intakes.at(*to);
        ++moved;
      }
    }
  }
};

TEST(WorkerBalancer, AllAtTheLeaderAreSpreadOverTheIntakes) {
  Fleet fleet{{{"host-1", 0}, {"host-2", 0}, {"host-3", 0}, {"host-4", 0}}, 300, {}, 100, 0};
  fleet.run(60);
  EXPECT_EQ(fleet.all(), 300u);
  EXPECT_LE(fleet.own, 50u) << "half of an intake's share, and some";
  for (const auto& [label, workers] : fleet.intakes) EXPECT_NEAR(workers, 66, 20) << label;
}

TEST(WorkerBalancer, AnIntakeThatIsBackGetsItsShare) {
  Fleet fleet{{{"host-1", 170}, {"host-2", 0}}, 40, {}, 100, 0};
  fleet.run(60);
  EXPECT_NEAR(fleet.intakes["host-1"], 84, 25);
  EXPECT_NEAR(fleet.intakes["host-2"], 84, 25);
}

TEST(WorkerBalancer, NobodyMovesWhereAllHaveAboutTheirShare) {
  Fleet fleet{{{"host-1", 60}, {"host-2", 66}, {"host-3", 70}}, 33, {}, 100, 0};
  fleet.run(30);
  EXPECT_EQ(fleet.moved, 0u);
}

TEST(WorkerBalancer, MovesAreFewASecond) {
  Fleet fleet{{{"host-1", 0}, {"host-2", 0}}, 600, {}, 100, 0};
  fleet.run(5);
  EXPECT_LE(fleet.moved, 130u) << "twenty a second, and what was saved up";
  EXPECT_GT(fleet.moved, 50u);
}

TEST(WorkerBalancer, NobodyIsSentToAnIntakeThatFellSilent) {
  WorkerBalancer balancer;
  balancer.record_worker_count("host-1", 0, 100);
  EXPECT_TRUE(balancer.redirect_from_leader(300, 101));
  EXPECT_FALSE(balancer.redirect_from_leader(300, 110));
  balancer.record_worker_count("host-2", 200, 110);
  EXPECT_EQ(balancer.redirect_from_relay("host-2", 110).count, 0u);
}

}  // namespace
}  // namespace thistlefront
