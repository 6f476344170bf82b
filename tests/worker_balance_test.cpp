// Workers come to lie evenly over the controllers again, a few a second, whatever moved them together.
#include "intake/worker_balance.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace thistle {
namespace {

// A leader and intakes; once a tenth of a second each intake says what it holds, and workers report to the leader at random.
struct Fleet {
  std::map<std::string, std::uint32_t> intakes;
  std::size_t own = 0;
  WorkerBalance balance;
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
        balance.record_worker_count(label, workers, now);
        const auto away = balance.redirect_from_relay(label, now);
        ASSERT_LE(away.count, workers);
        workers -= away.count;
        if (away.count > 0) intakes.at(away.target) += away.count;
        moved += away.count;
      }
      for (int reports = 0; reports < 20; ++reports) {
        const auto to = balance.redirect_from_leader(own, now);
        if (!to) continue;
        --own;
        ++intakes.at(*to);
        ++moved;
      }
    }
  }
};

TEST(WorkerBalance, AllAtTheLeaderAreSpreadOverTheIntakes) {
  Fleet fleet{{{"host-1", 0}, {"host-2", 0}, {"host-3", 0}, {"host-4", 0}}, 300, {}, 100, 0};
  fleet.run(60);
  EXPECT_EQ(fleet.all(), 300u);
  EXPECT_LE(fleet.own, 50u) << "half of an intake's share, and some";
  for (const auto& [label, workers] : fleet.intakes) EXPECT_NEAR(workers, 66, 20) << label;
}

TEST(WorkerBalance, AnIntakeThatIsBackGetsItsShare) {
  Fleet fleet{{{"host-1", 170}, {"host-2", 0}}, 40, {}, 100, 0};
  fleet.run(60);
  EXPECT_NEAR(fleet.intakes["host-1"], 84, 25);
  EXPECT_NEAR(fleet.intakes["host-2"], 84, 25);
}

TEST(WorkerBalance, NobodyMovesWhereAllHaveAboutTheirShare) {
  Fleet fleet{{{"host-1", 60}, {"host-2", 66}, {"host-3", 70}}, 33, {}, 100, 0};
  fleet.run(30);
  EXPECT_EQ(fleet.moved, 0u);
}

TEST(WorkerBalance, MovesAreFewASecond) {
  Fleet fleet{{{"host-1", 0}, {"host-2", 0}}, 600, {}, 100, 0};
  fleet.run(5);
  EXPECT_LE(fleet.moved, 130u) << "twenty a second, and what was saved up";
  EXPECT_GT(fleet.moved, 50u);
}

TEST(WorkerBalance, NobodyIsSentToAnIntakeThatFellSilent) {
  WorkerBalance balance;
  balance.record_worker_count("host-1", 0, 100);
  EXPECT_TRUE(balance.redirect_from_leader(300, 101));
  EXPECT_FALSE(balance.redirect_from_leader(300, 110));
  balance.record_worker_count("host-2", 200, 110);
  EXPECT_EQ(balance.redirect_from_relay("host-2", 110).count, 0u);
}

}  // namespace
}  // namespace thistle
