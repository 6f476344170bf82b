// A leader whose leadership is uncertain renews agents' leases during a store outage, although cancellations have been confirmed to users.
// The checker fails if a task is on a node for longer than cancel_s after the cancellation of its job was confirmed.
// docs/design.md, "Who may renew a lease while leadership is uncertain".
#include <gtest/gtest.h>

#include "cluster_fixture.hpp"

namespace thistlefront {
namespace {

using test_support::wait;

constexpr testbed::ProtocolTimes kTimes{.heartbeat_interval_s = 0.5, .lease_s = 4, .cancel_s = 8, .image_pull_s = 0.1};
constexpr double kOutageS = 13;  // longer than cancel_s plus the time until a cancellation is confirmed

class CancellationDuringOutage : public test_support::ClusterFixture {
 protected:
  CancellationDuringOutage() : ClusterFixture(kTimes) {}
  void start_cluster(std::size_t n, const std::string& site = "") {
    ClusterFixture::start_cluster(n, 2, site);
    for (const auto* uid : {"j-1", "j-2"}) {
      checker.record_submission({uid, "red", "batch", "", 2, 1, 1000}, steady_now());
      ASSERT_TRUE(cluster->submit_until(uid, 20));
      checker.record_reply(uid, "queued", steady_now());
      ASSERT_TRUE(cluster->eventually(20, [&] { return count_running_tasks(uid) == 2; })) << uid;
    }
    first = cluster->leader();
  }
  // Sends one cancellation through this controller and returns whether it was confirmed.
  bool withdraw(std::size_t controller, const std::string& uid) {
    checker.record_withdrawal(uid);
    const auto r = cluster->ask(controller, "POST", "/v1/jobs/" + uid + "/withdraw");
    EXPECT_TRUE(r.is(200) || r.is(503)) << r.status << " " << r.body;
    if (r.is(200)) checker.record_reply(uid, "aborted", steady_now());
    return r.is(200);
  }

  std::size_t first = 0;  // index of the first leader
};

// The store refuses the first leader, whose successor is partitioned from the majority that the first leader still reaches. The first
// leader continues to renew leases without knowing of the cancellation. The successor may confirm the cancellation only once that
// majority knows of the successor.
class CancellationDuringOutageOf : public CancellationDuringOutage, public testing::WithParamInterface<std::size_t> {};
TEST_P(CancellationDuringOutageOf, IsNotConfirmedWhileAMajorityMayFollowAnEarlierLeader) {
  const std::size_t n = GetParam();
  start_cluster(n);
  const std::size_t next = (first + 1) % n, neighbor = n > 3 ? (first + 2) % n : next;
  const auto is_with_next = [&](std::size_t i) { return i == next || i == neighbor; };
  for (std::size_t i = 0; i < n; ++i)
    for (std::size_t k = 0; k < i; ++k)
      if (is_with_next(i) != is_with_next(k)) set_partition(i, k, true);
  for (std::size_t i = 0; i < n; ++i) cluster->store.endpoint(i).rejects_requests = i != next;
  ASSERT_TRUE(cluster->eventually(20, [&] { return cluster->leader() == next; }));
  bool confirmed = false;
  for (const double until = steady_now() + 2; steady_now() < until; wait(0.1)) confirmed = withdraw(next, "j-1") || confirmed;
  cluster->store.set_outage(true);
  wait(kOutageS);
  EXPECT_FALSE(confirmed) << "the other controllers may continue to renew leases without knowing of the cancellation";
  for (std::size_t i = 0; i < n; ++i)
    for (std::size_t k = 0; k < i; ++k) set_partition(i, k, false);
  cluster->store.set_outage(false);
  EXPECT_TRUE(cluster->eventually(20, [&] { return withdraw(cluster->leader(), "j-1"); }));
  wait(kTimes.cancel_s + 0.5);
  EXPECT_EQ(count_running_tasks("j-2"), 2u);
}
INSTANTIATE_TEST_SUITE_P(Controllers, CancellationDuringOutageOf, testing::Values(3, 5));

// A cancellation is confirmed just before a store outage. Direct commands do not reach the nodes, which are frozen until leadership is
// uncertain. The replies to their heartbeats then carry the kills, and no lease expires. This happens twice in a row.
TEST_F(CancellationDuringOutage, SendsKillsOfCancelledJobsWhileLeadershipIsUncertain) {
  start_cluster(3);
  for (auto& worker : workers) worker->drop_commands(true);
  for (const auto* uid : {"j-1", "j-2"}) {
    ASSERT_TRUE(cluster->eventually(10, [&] { return count_running_tasks("j-2") == 2; }));
    wait(0.7);
    freeze_agents(2);
    ASSERT_TRUE(cluster->eventually(5, [&] { return withdraw(cluster->leader(), uid); }));
    cluster->store.set_outage(true);
    wait(kOutageS);
    cluster->store.set_outage(false);
    ASSERT_TRUE(cluster->eventually(10, [&] { return count_running_tasks(uid) == 0; }));
    if (uid == std::string("j-1")) {
      EXPECT_TRUE(cluster->eventually(10, [&] { return count_running_tasks("j-2") == 2; }));
      EXPECT_EQ(workers[0]->agent_incarnation() + workers[1]->agent_incarnation(), 2u) << "a lease expired during the outage";
    }
  }
}

// A cancellation is confirmed just before the leader stops. The next leader cannot read the ledger during the outage, so it does not know
// which jobs are cancelled nor since when. Runs with the controllers in the nodes' zone and in another zone.
class CancellationDuringOutageIn : public CancellationDuringOutage, public testing::WithParamInterface<const char*> {};
TEST_P(CancellationDuringOutageIn, NewLeaderLetsLeasesExpireWhileItCannotReadTheLedger) {
  start_cluster(3, GetParam());
  for (auto& worker : workers) worker->drop_commands(true);
  wait(0.7);
  freeze_agents(1.5);
  ASSERT_TRUE(cluster->eventually(5, [&] { return withdraw(first, "j-1"); }));
  cluster->store.outage_at_takeover = true;
  cluster->stop(first);
  wait(kOutageS);
  cluster->store.set_outage(false);
  EXPECT_TRUE(cluster->eventually(10, [&] { return count_running_tasks("j-2") == 2; })) << "the tasks were not restarted";
}
INSTANTIATE_TEST_SUITE_P(Zones, CancellationDuringOutageIn, testing::Values("", "x"));

// The outage begins while the next controller reads the ledger before its takeover. The first leader, which knows the cancelled jobs,
// continues to renew leases.
TEST_F(CancellationDuringOutage, KeepsLeasesWhenTheOutageBeginsBeforeTheTakeover) {
  start_cluster(3);
  for (auto& worker : workers) worker->drop_commands(true);
  wait(0.7);
  freeze_agents(1.5);
  ASSERT_TRUE(cluster->eventually(5, [&] { return withdraw(first, "j-1"); }));
  cluster->store.outage_at_ledger_read = true;
  cluster->store.endpoint(first).rejects_requests = true;
  wait(1.5 + kOutageS);
  EXPECT_FALSE(cluster->store.outage_at_ledger_read) << "the ledger was not read";
  cluster->store.set_outage(false);
  EXPECT_TRUE(cluster->eventually(10, [&] { return count_running_tasks("j-2") == 2; }));
  EXPECT_EQ(workers[0]->agent_incarnation() + workers[1]->agent_incarnation(), 2u) << "a lease expired during the outage";
}

// The successor confirms a cancellation, is restarted during the outage and does not lead afterwards. Agents send heartbeats to any
// controller that they reach.
TEST_F(CancellationDuringOutage, RemainsConfirmedWhenTheSuccessorRestarts) {
  start_cluster(3, "x");
  for (auto& worker : workers) worker->drop_commands(true);
  cluster->store.endpoint(first).rejects_requests = true;
  ASSERT_TRUE(cluster->eventually(20, [&] { return !cluster->store.leader().empty() && cluster->leader() != first; }));
  const auto next = cluster->leader();
  freeze_agents(2);
  ASSERT_TRUE(cluster->eventually(10, [&] { return withdraw(next, "j-1"); }));
  cluster->store.set_outage(true);
  wait(1.5);
  cluster->stop(next);
  wait(0.2);
  cluster->start(next, test_support::fixed_version_options());
  wait(kOutageS);
  cluster->store.set_outage(false);
  EXPECT_TRUE(cluster->eventually(20, [&] { return count_running_tasks("j-2") == 2; }));
}

}  // namespace
}  // namespace thistlefront
