// Randomised safety: cluster state and reconciliation against simulated agents and a network that delays, drops, duplicates and
// reorders, with a ledger that takes its time, leaders that stop, are suspended and then send what they had decided before, or go on
// answering after they are deposed, nodes that hang or are partitioned in one direction, and jobs at fault. In one scenario a zone of
// two nodes and a follower is partitioned from the leader now and then, and the follower renews their leases. Seeds are fixed and
// printed.
#include <gtest/gtest.h>

#include <iostream>

#include "safety_world.hpp"

namespace thistlefront {
namespace {

using namespace safety;

TEST(Safety, NoRuleIsBrokenUnderRandomFaults) {
  std::size_t suspected = 0, found_unresponsive = 0, killed_while_uncertain = 0;
  FaultPairs fault_pairs{};
  for (std::uint64_t seed = 1; seed <= 240; ++seed) {
    Simulation simulation(seed);
    simulation.play(260);
    EXPECT_TRUE(simulation.violations.empty()) << "seed " << seed << ": " << simulation.violations.size() << " violations, first "
                                               << (simulation.violations.empty() ? "" : simulation.violations.front());
    EXPECT_GT(simulation.runs, 20u) << "seed " << seed;
    EXPECT_GT(simulation.leaders, 3u) << "seed " << seed;
    suspected += simulation.suspected;
    found_unresponsive += simulation.found_unresponsive;
    killed_while_uncertain += simulation.killed_while_uncertain;
    for (std::size_t a = 0; a < kFaultKinds; ++a)
      for (std::size_t b = 0; b < kFaultKinds; ++b) fault_pairs[a][b] += simulation.fault_pairs[a][b];
    EXPECT_TRUE(simulation.all_ended()) << "seed " << seed;
  }
  EXPECT_GT(killed_while_uncertain, 10u);
  for (std::size_t a = 0; a < kFaultKinds; ++a) {
    std::cout << kFaultNames[a] << ", then";
    for (std::size_t b = 0; b < kFaultKinds; ++b) {
      EXPECT_GT(fault_pairs[a][b], 20u) << kFaultNames[a] << ", then " << kFaultNames[b];
      std::cout << (b ? ", " : " ") << kFaultNames[b] << " " << fault_pairs[a][b];
    }
    std::cout << "\n";
  }
  EXPECT_GT(suspected, 240u) << "two jobs of each simulation are at fault";
  EXPECT_GT(found_unresponsive, 100u) << "told from their reports";
}

// Four teams use up quotas that change, one of them from a later time on: what the nodes really run never exceeds the quotas in force,
// and all jobs that were accepted end.
TEST(Safety, NoTeamExceedsItsQuotaWhileQuotasChange) {
  for (std::uint64_t seed = 1; seed <= 120; ++seed) {
    Simulation simulation(seed, Scenario::changing_quotas);
    simulation.play(320);
    EXPECT_TRUE(simulation.violations.empty()) << "seed " << seed << ": " << simulation.violations.size() << " violations, first "
                                               << (simulation.violations.empty() ? "" : simulation.violations.front());
    EXPECT_GT(simulation.leaders, 3u) << "seed " << seed;
    EXPECT_TRUE(simulation.all_ended()) << "seed " << seed;
  }
}

// Every team has used up its quota, jobs are cancelled while one of their nodes hangs or cannot be reached, and leaders change, also
// twice within a lease; gangs are stopped with a checkpoint in between. Resources count as free only by proof, and are used again soon
// after that.
TEST(Safety, NoTeamExceedsItsQuotaWhereAllAreUsedUpAndJobsAreCancelled) {
  std::size_t cancelled_at_quota = 0, cancelled_with_two_failovers = 0, gangs_checkpointed = 0, idle_checks = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Simulation simulation(seed, Scenario::exhausted_quotas);
    simulation.play(440);
    EXPECT_TRUE(simulation.violations.empty()) << "seed " << seed << ": " << simulation.violations.size() << " violations, first "
                                               << (simulation.violations.empty() ? "" : simulation.violations.front());
    EXPECT_TRUE(simulation.all_ended()) << "seed " << seed << ":" << simulation.not_ended();
    cancelled_at_quota += simulation.cancelled_at_quota;
    cancelled_with_two_failovers += simulation.cancelled_with_two_failovers;
    gangs_checkpointed += simulation.gangs_checkpointed;
    idle_checks += simulation.idle_checks;
  }
  std::cout << cancelled_at_quota << " jobs cancelled at the quota, " << cancelled_with_two_failovers << " with two failovers, "
            << gangs_checkpointed << " gangs checkpointed, " << idle_checks << " checks for idle resources\n";
  EXPECT_GT(cancelled_at_quota, 200u);
  EXPECT_GT(cancelled_with_two_failovers, 80u);
  EXPECT_GT(gangs_checkpointed, 100u);
  EXPECT_GT(idle_checks, 10000u);
}

// A zone is partitioned from the leader again and again, and its follower renews its leases: no task is given up while it runs, and none
// runs for longer after its cancellation than it may.
TEST(Safety, NoRuleIsBrokenWhereAFollowerRenewsLeasesInAPartition) {
  std::size_t renewed_by_follower = 0;
  for (std::uint64_t seed = 1; seed <= 160; ++seed) {
    Simulation simulation(seed, Scenario::partitions);
    simulation.play(260);
    EXPECT_TRUE(simulation.violations.empty()) << "seed " << seed << ": " << simulation.violations.size() << " violations, first "
                                               << (simulation.violations.empty() ? "" : simulation.violations.front());
    EXPECT_TRUE(simulation.all_ended()) << "seed " << seed;
    renewed_by_follower += simulation.renewed_by_follower;
  }
  EXPECT_GT(renewed_by_follower, 160u);
}

}  // namespace
}  // namespace thistlefront
