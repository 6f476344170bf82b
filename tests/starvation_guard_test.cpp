// Jobs of low priority still get a share, and no more than that.
#include "scheduling/starvation_guard.hpp"

#include <gtest/gtest.h>

#include "model/identifiers.hpp"
#include "scheduling/planner.hpp"

namespace thistlefront {
namespace {

JobIndex job(std::uint32_t n) {
  return JobIndex{n};
}

TEST(StarvationGuard, PromotesTheLongestWaitAsFarAsTheBalanceLasts) {
  StarvationGuard guard;
  guard.accrue(100, 0);
  EXPECT_TRUE(guard.promote({{0, job(1), 90, 1, 50}}).empty()) << "nothing came free yet";
  guard.accrue(100, 2);  // a twentieth of 200 cores
  using Promotions = std::vector<StarvationGuard::Promotion>;
  EXPECT_EQ(guard.promote({{0, job(1), 90, 1, 4}, {1, job(2), 400, 2, 3}, {2, job(3), 70, 1, 9}}), (Promotions{{1, 3}, {0, 4}}));
  guard.charge(job(2), 6);
  guard.charge(job(1), 4);
  EXPECT_TRUE(guard.promote({{0, job(3), 70, 1, 9}}).empty());
}

TEST(StarvationGuard, PromotesAGangOfAnySizeAndEarnsItsCostBeforeTheNext) {
  StarvationGuard guard;
  guard.accrue(100, 0);
  guard.accrue(100, 1);
  ASSERT_EQ(guard.promote({{0, job(1), 90, 64, 1}}).size(), 1u);
  guard.charge(job(1), 64);
  guard.accrue(100, 10);  // 45 of the 59 owed
  EXPECT_TRUE(guard.promote({{0, job(2), 90, 1, 1}}).empty());
  guard.accrue(100, 14);
  EXPECT_EQ(guard.promote({{0, job(2), 90, 1, 1}}).size(), 1u);
}

// An idle hour earns no more than some seconds' worth: what starves later gets a share, not the whole cluster.
TEST(StarvationGuard, SavingsAreBounded) {
  StarvationGuard guard;
  guard.accrue(100, 0);
  for (double now = 1; now < 3600; ++now) guard.accrue(100, now);
  EXPECT_EQ(guard.promote({{0, job(1), 90, 1, 100000}}).at(0).units, 100u);
}

// A cluster of 100 cores and tasks of 10 s. For ten minutes, twice as much work of a higher priority is submitted as it can do,
// beside a job of the lowest priority every four seconds. Without the guard none of those ever runs; with it they get their
// share, and no more.
TEST(StarvationGuard, ServesTheLowestPriorityInTurnUnderLastingOverload) {
  for (const bool guarded : {false, true}) {
    StarvationGuard guard;
    double free = 100, high = 0, shared = 0, served = 0;
    std::vector<std::pair<double, double>> ends;  // when, cores
    std::vector<double> low;                      // since when each waits
    for (double now = 0; now < 600; ++now) {
      double came = 0;
      std::erase_if(ends, [&](const auto& e) { return e.first <= now ? (came += e.second, true) : false; });
      free += came;
      high += 20;
      if (static_cast<int>(now) % 4 == 0) low.push_back(now);
      guard.accrue(came, now);
      std::vector<StarvationGuard::StarvingJob> starving;
      for (std::size_t i = 0; i < low.size(); ++i)
        if (now - low[i] > kStarvesAfter) starving.push_back({i, job(static_cast<std::uint32_t>(i)), now - low[i], 1, 1});
      const auto promoted = guarded ? guard.promote(starving) : std::vector<StarvationGuard::Promotion>{};
      std::size_t taken = 0;
      for (const auto& r : promoted) {
        if (free < 1) break;
        guard.charge(job(static_cast<std::uint32_t>(r.position)), 1);
        --free, ++shared, ++served, ++taken;
        ends.emplace_back(now + 10, 1);
      }
      low.erase(low.begin(), low.begin() + static_cast<long>(taken));  // the longest wait is the first
      const double n = std::min(free, high);
      if (n > 0) ends.emplace_back(now + 10, n), free -= n, high -= n;
    }
    if (guarded) {
      EXPECT_GT(served, 120);  // of 135 that starved
      EXPECT_LT(shared, 0.06 * 600 * 10);
    } else {
      EXPECT_EQ(served, 0);
    }
  }
}

}  // namespace
}  // namespace thistlefront
