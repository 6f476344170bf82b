// Randomised safety tests: the real cluster state and reconciliation run against simulated agents. The network delays, drops, duplicates
// and reorders messages, and ledger writes are slow. Leaders stop, are suspended and then send commands that they decided on earlier, or
// continue to reply after they are deposed. Direct calls that were executed and answered arrive once more, up to minutes late. Nodes hang
// or are partitioned in one direction, and some jobs always fail. In one scenario, a zone of two nodes and a follower is repeatedly
// partitioned from the leader, and the follower renews the leases in it. Seeds are fixed; a failure prints its seed.
#include <gtest/gtest.h>

#include <iostream>

#include "safety_world.hpp"

namespace thistlefront {
namespace {

using namespace safety;

TEST(Safety, NoRuleIsBrokenUnderRandomFaults) {
  std::size_t suspected_jobs = 0, unresponsive_nodes_found = 0, kills_by_deposed_leaders = 0, command_copies = 0;
  FaultPairCounts fault_pair_counts{};
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    Simulation simulation(seed);
    simulation.run_until(260);
    EXPECT_TRUE(simulation.violations.empty()) << "seed " << seed << ": " << simulation.violations.size() << " violations, first "
                                               << (simulation.violations.empty() ? "" : simulation.violations.front());
    EXPECT_GT(simulation.task_starts, 20u) << "seed " << seed;
    EXPECT_GT(simulation.leader_count, 3u) << "seed " << seed;
    suspected_jobs += simulation.suspected_jobs;
    unresponsive_nodes_found += simulation.unresponsive_nodes_found;
    kills_by_deposed_leaders += simulation.kills_by_deposed_leaders;
    command_copies += simulation.command_copies;
    for (std::size_t a = 0; a < kFaultCount; ++a)
      for (std::size_t b = 0; b < kFaultCount; ++b) fault_pair_counts[a][b] += simulation.fault_pair_counts[a][b];
    EXPECT_TRUE(simulation.all_jobs_ended()) << "seed " << seed;
  }
  EXPECT_GT(kills_by_deposed_leaders, 10u);
  EXPECT_GT(command_copies, 6000u) << "twenty a day";
  std::cout << kills_by_deposed_leaders << " kills by deposed leaders\n";
  for (std::size_t a = 0; a < kFaultCount; ++a) {
    std::cout << kFaultNames[a] << ", then";
    for (std::size_t b = 0; b < kFaultCount; ++b) {
      EXPECT_GT(fault_pair_counts[a][b], 20u) << kFaultNames[a] << ", then " << kFaultNames[b];
      std::cout << (b ? ", " : " ") << kFaultNames[b] << " " << fault_pair_counts[a][b];
    }
    std::cout << "\n";
  }
  EXPECT_GT(suspected_jobs, 300u) << "two jobs of each simulation always fail";
  EXPECT_GT(unresponsive_nodes_found, 100u) << "detected from their heartbeats";
}

// Four teams use up their quotas while these change; one team gets its first quota later. The tasks that really run on the nodes never
// exceed the quotas in force, and all accepted jobs end.
TEST(Safety, NoTeamExceedsItsQuotaWhileQuotasChange) {
  for (std::uint64_t seed = 1; seed <= 120; ++seed) {
    Simulation simulation(seed, Scenario::changing_quotas);
    simulation.run_until(320);
    EXPECT_TRUE(simulation.violations.empty()) << "seed " << seed << ": " << simulation.violations.size() << " violations, first "
                                               << (simulation.violations.empty() ? "" : simulation.violations.front());
    EXPECT_GT(simulation.leader_count, 3u) << "seed " << seed;
    EXPECT_TRUE(simulation.all_jobs_ended()) << "seed " << seed;
  }
}

// Every team has used up its quota. Jobs are cancelled while one of their nodes hangs or is unreachable, leaders change, sometimes twice
// within a lease, and gangs are checkpointed and stopped. Resources must not count as free before their task is known to have ended, and
// must be reused soon after that.
TEST(Safety, NoTeamExceedsItsQuotaWhenJobsAreCancelledAtExhaustedQuotas) {
  std::size_t cancellations_at_quota = 0, cancellations_with_two_failovers = 0, gangs_checkpointed = 0, idle_checks = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Simulation simulation(seed, Scenario::exhausted_quotas);
    simulation.run_until(440);
    EXPECT_TRUE(simulation.violations.empty()) << "seed " << seed << ": " << simulation.violations.size() << " violations, first "
                                               << (simulation.violations.empty() ? "" : simulation.violations.front());
    EXPECT_TRUE(simulation.all_jobs_ended()) << "seed " << seed << ":" << simulation.unfinished_jobs();
    cancellations_at_quota += simulation.cancellations_at_quota;
    cancellations_with_two_failovers += simulation.cancellations_with_two_failovers;
    gangs_checkpointed += simulation.gangs_checkpointed;
    idle_checks += simulation.idle_checks;
  }
  std::cout << cancellations_at_quota << " jobs cancelled at the quota, " << cancellations_with_two_failovers << " with two failovers, "
            << gangs_checkpointed << " gangs checkpointed, " << idle_checks << " checks for idle resources\n";
  EXPECT_GT(cancellations_at_quota, 200u);
  EXPECT_GT(cancellations_with_two_failovers, 80u);
  EXPECT_GT(gangs_checkpointed, 100u);
  EXPECT_GT(idle_checks, 10000u);
}

// Calls that were executed and answered arrive once more, as in all scenarios, and mostly at agents that have seen no later leader.
TEST(Safety, CopiesOfAnsweredCommandsStartNoAttemptAgain) {
  std::size_t command_copies = 0, accepted_command_copies = 0;
  for (std::uint64_t seed = 1; seed <= 120; ++seed) {
    Simulation simulation(seed, Scenario::long_terms);
    simulation.run_until(260);
    EXPECT_TRUE(simulation.violations.empty()) << "seed " << seed << ": " << simulation.violations.size() << " violations, first "
                                               << (simulation.violations.empty() ? "" : simulation.violations.front());
    EXPECT_TRUE(simulation.all_jobs_ended()) << "seed " << seed << ":" << simulation.unfinished_jobs();
    command_copies += simulation.command_copies;
    accepted_command_copies += simulation.accepted_command_copies;
  }
  std::cout << command_copies << " copies of direct calls, " << accepted_command_copies << " accepted\n";
  EXPECT_GT(command_copies, 2400u) << "twenty a day";
  EXPECT_GT(accepted_command_copies, 240u) << "two a day";
}

// A zone is repeatedly partitioned from the leader, and the follower in it renews the agents' leases. No task may be requeued while it
// still runs, and no task may run past its cancellation deadline.
TEST(Safety, NoRuleIsBrokenWhenAFollowerRenewsLeasesDuringPartitions) {
  std::size_t follower_renewals = 0;
  for (std::uint64_t seed = 1; seed <= 160; ++seed) {
    Simulation simulation(seed, Scenario::partitions);
    simulation.run_until(260);
    EXPECT_TRUE(simulation.violations.empty()) << "seed " << seed << ": " << simulation.violations.size() << " violations, first "
                                               << (simulation.violations.empty() ? "" : simulation.violations.front());
    EXPECT_TRUE(simulation.all_jobs_ended()) << "seed " << seed;
    follower_renewals += simulation.follower_renewals;
  }
  EXPECT_GT(follower_renewals, 160u);
}

}  // namespace
}  // namespace thistlefront
