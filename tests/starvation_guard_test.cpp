// Starving jobs of low priority get a bounded fraction of the released cores. A StarvingJob is {position, job, waited_s, unit_cores,
// units}.
#include "scheduling/starvation_guard.hpp"

#include <gtest/gtest.h>

#include "model/identifiers.hpp"
#include "scheduling/planner.hpp"

namespace thistlefront {
namespace {

JobIndex job(std::uint32_t n) {
  return JobIndex{n};
}

TEST(StarvationGuard, PromotesLongestWaitingJobsWhileTheBalanceLasts) {
  StarvationGuard guard;
  guard.accrue(100, 0);
  EXPECT_TRUE(guard.promote({{0, job(1), 90, 1, 50}}).empty()) << "no cores were released yet";
  guard.accrue(100, 2);  // 5% of 200 cores
  using Promotions = std::vector<StarvationGuard::Promotion>;
  EXPECT_EQ(guard.promote({{0, job(1), 90, 1, 4}, {1, job(2), 400, 2, 3}, {2, job(3), 70, 1, 9}}), (Promotions{{1, 3}, {0, 4}}));
  guard.charge(job(2), 6);
  guard.charge(job(1), 4);
  EXPECT_TRUE(guard.promote({{0, job(3), 70, 1, 9}}).empty());
}

TEST(StarvationGuard, PromotesAGangOfAnySizeAndEarnsItsCoresBackBeforeTheNextPromotion) {
  StarvationGuard guard;
  guard.accrue(100, 0);
  guard.accrue(100, 1);
  ASSERT_EQ(guard.promote({{0, job(1), 90, 64, 1}}).size(), 1u);
  guard.charge(job(1), 64);
  guard.accrue(100, 10);  // accrues 45 of the 59 cores owed
  EXPECT_TRUE(guard.promote({{0, job(2), 90, 1, 1}}).empty());
  guard.accrue(100, 14);
  EXPECT_EQ(guard.promote({{0, job(2), 90, 1, 1}}).size(), 1u);
}

// An idle hour accrues no more than 20 s of the guard's fraction, so that jobs that starve later do not get the whole cluster.
TEST(StarvationGuard, BoundsTheBalance) {
  StarvationGuard guard;
  guard.accrue(100, 0);
  for (double now = 1; now < 3600; ++now) guard.accrue(100, now);
  EXPECT_EQ(guard.promote({{0, job(1), 90, 1, 100000}}).at(0).units, 100u);
}

// A cluster of 100 cores runs tasks of 10 s. For ten minutes, the work of a higher priority that is submitted is twice what
// the cluster can do, and one job of the lowest priority is submitted every four seconds. Without the guard, none of the low-priority jobs
// runs; with it, they get the guard's fraction and no more.
TEST(StarvationGuard, ServesTheLowestPriorityUnderLastingOverload) {
  for (const bool guarded : {false, true}) {
    StarvationGuard guard;
    double free_cores = 100, high_priority_cores = 0, promoted_cores = 0, served_jobs = 0;
    std::vector<std::pair<double, double>> ends;  // time and released cores
    std::vector<double> low_priority_jobs;        // times at which they were submitted
    for (double now = 0; now < 600; ++now) {
      double released = 0;
      std::erase_if(ends, [&](const auto& end) { return end.first <= now ? (released += end.second, true) : false; });
      free_cores += released;
      high_priority_cores += 20;
      if (static_cast<int>(now) % 4 == 0) low_priority_jobs.push_back(now);
      guard.accrue(released, now);
      std::vector<StarvationGuard::StarvingJob> starving;
      for (std::size_t i = 0; i < low_priority_jobs.size(); ++i)
        if (now - low_priority_jobs[i] > kStarvingAfterSeconds)
          starving.push_back({i, job(static_cast<std::uint32_t>(i)), now - low_priority_jobs[i], 1, 1});
      const auto promoted = guarded ? guard.promote(starving) : std::vector<StarvationGuard::Promotion>{};
      std::size_t started = 0;
      for (const auto& promotion : promoted) {
        if (free_cores < 1) break;
        guard.charge(job(static_cast<std::uint32_t>(promotion.position)), 1);
        --free_cores, ++promoted_cores, ++served_jobs, ++started;
        ends.emplace_back(now + 10, 1);
      }
      low_priority_jobs.erase(low_priority_jobs.begin(),
                              low_priority_jobs.begin() + static_cast<long>(started));  // the jobs that waited longest
      const double started_cores = std::min(free_cores, high_priority_cores);
      if (started_cores > 0) ends.emplace_back(now + 10, started_cores), free_cores -= started_cores, high_priority_cores -= started_cores;
    }
    if (guarded) {
      EXPECT_GT(served_jobs, 120);  // of the 135 jobs that starved
      EXPECT_LT(promoted_cores, 0.06 * 600 * 10);
    } else {
      EXPECT_EQ(served_jobs, 0);
    }
  }
}

}  // namespace
}  // namespace thistlefront
