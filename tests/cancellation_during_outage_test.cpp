// The gap between a cancellation and the end of its tasks: a leader that cannot tell whether it still leads renews leases, while users were
// told of cancellations. The checker fails where a task is on a node for longer than cancel_s after its job's user was told.
// docs/design.md, "Who may renew a lease in doubt".
#include <gtest/gtest.h>

#include "cluster_fixture.hpp"

namespace thistlefront {
namespace {

using test_support::wait;

constexpr testbed::Times kTimes{0.5, 4, 8, 0.1};  // heartbeat, lease, cancel, pull
constexpr double kOutage = 13;                    // seconds: longer than cancel_s and the time an answer takes

class Gap : public test_support::ClusterFixture {
 protected:
  Gap() : ClusterFixture(kTimes) {}
  void begin(std::size_t n, const std::string& site = "") {
    ClusterFixture::begin(n, 2, site);
    for (const auto* uid : {"j-1", "j-2"}) {
      checker.submitted({uid, "red", "batch", "", 2, 1, 1000}, steady_now());
      ASSERT_TRUE(cluster->submit_until(uid, 20));
      checker.told(uid, "queued", steady_now());
      ASSERT_TRUE(cluster->eventually(20, [&] { return running(uid) == 2; })) << uid;
    }
    first = cluster->leader();
  }
  // Cancels once through this controller; whether the user is told that the job is cancelled.
  bool withdraw(std::size_t replica, const std::string& uid) {
    checker.wants_withdrawn(uid);
    const auto r = cluster->ask(replica, "POST", "/v1/jobs/" + uid + "/withdraw");
    EXPECT_TRUE(r.is(200) || r.is(503)) << r.status << " " << r.body;
    if (r.is(200)) checker.told(uid, "aborted", steady_now());
    return r.is(200);
  }

  std::size_t first = 0;
};

// The store refuses the first leader, and its successor can't reach the majority that the first one still reaches. The first leader goes on
// renewing leases and does not know of the cancellation: a user may be told only when that majority knows of the successor.
class GapOf : public Gap, public testing::WithParamInterface<std::size_t> {};
TEST_P(GapOf, ACancellationIsNotToldWhileAMajorityMayFollowAnEarlierLeader) {
  const std::size_t n = GetParam();
  begin(n);
  const std::size_t next = (first + 1) % n, beside = n > 3 ? (first + 2) % n : next;
  const auto on_its_side = [&](std::size_t i) { return i == next || i == beside; };
  for (std::size_t i = 0; i < n; ++i)
    for (std::size_t k = 0; k < i; ++k)
      if (on_its_side(i) != on_its_side(k)) part(i, k, true);
  for (std::size_t i = 0; i < n; ++i) cluster->state.endpoint(i).refuses = i != next;
  ASSERT_TRUE(cluster->eventually(20, [&] { return cluster->leader() == next; }));
  bool told = false;
  for (const double until = steady_now() + 2; steady_now() < until; wait(0.1)) told = withdraw(next, "j-1") || told;
  cluster->state.outage(true);
  wait(kOutage);
  EXPECT_FALSE(told) << "the others may go on renewing leases without it";
  for (std::size_t i = 0; i < n; ++i)
    for (std::size_t k = 0; k < i; ++k) part(i, k, false);
  cluster->state.outage(false);
  EXPECT_TRUE(cluster->eventually(20, [&] { return withdraw(cluster->leader(), "j-1"); }));
  wait(kTimes.cancel + 0.5);
  EXPECT_EQ(running("j-2"), 2u);
}
INSTANTIATE_TEST_SUITE_P(Controllers, GapOf, testing::Values(3, 5));

// A user is told just before an outage of the store. No command reaches the nodes, which hang until leadership is uncertain: then the
// answers to their heartbeats carry the kills, and what is not cancelled keeps its lease. Twice in a row.
TEST_F(Gap, ALeaderInDoubtSendsTheKillsOfCancelledJobs) {
  begin(3);
  for (auto& w : workers) w->cut_commands(true);
  for (const auto* uid : {"j-1", "j-2"}) {
    ASSERT_TRUE(cluster->eventually(10, [&] { return running("j-2") == 2; }));
    wait(0.7);
    hang(2);
    ASSERT_TRUE(cluster->eventually(5, [&] { return withdraw(cluster->leader(), uid); }));
    cluster->state.outage(true);
    wait(kOutage);
    cluster->state.outage(false);
    ASSERT_TRUE(cluster->eventually(10, [&] { return running(uid) == 0; }));
    if (uid == std::string("j-1")) {
      EXPECT_TRUE(cluster->eventually(10, [&] { return running("j-2") == 2; }));
      EXPECT_EQ(workers[0]->agent_incarnation() + workers[1]->agent_incarnation(), 2u) << "no lease expired in the outage";
    }
  }
}

// A user is told just before the leader stops. The next one leads and can't read the ledger while the outage lasts: it knows neither what
// is cancelled nor since when. With controllers in the nodes' zone, and in another one.
class GapIn : public Gap, public testing::WithParamInterface<const char*> {};
TEST_P(GapIn, ALeaderThatHasNotReadTheLedgerLetsTheLeasesEnd) {
  begin(3, GetParam());
  for (auto& w : workers) w->cut_commands(true);
  wait(0.7);
  hang(1.5);
  ASSERT_TRUE(cluster->eventually(5, [&] { return withdraw(first, "j-1"); }));
  cluster->state.outage_at_takeover = true;
  cluster->stop(first);
  wait(kOutage);
  cluster->state.outage(false);
  EXPECT_TRUE(cluster->eventually(10, [&] { return running("j-2") == 2; })) << "it starts again";
}
INSTANTIATE_TEST_SUITE_P(Zones, GapIn, testing::Values("", "x"));

// The outage begins as the next leader reads the ledger: it does not lead yet, and the first leader, which knows what is cancelled, goes on
// renewing leases.
TEST_F(Gap, AnOutageWhileTheNextLeaderReadsCostsNoLease) {
  begin(3);
  for (auto& w : workers) w->cut_commands(true);
  wait(0.7);
  hang(1.5);
  ASSERT_TRUE(cluster->eventually(5, [&] { return withdraw(first, "j-1"); }));
  cluster->state.outage_at_reading = true;
  cluster->state.endpoint(first).refuses = true;
  wait(1.5 + kOutage);
  EXPECT_FALSE(cluster->state.outage_at_reading) << "it was read";
  cluster->state.outage(false);
  EXPECT_TRUE(cluster->eventually(10, [&] { return running("j-2") == 2; }));
  EXPECT_EQ(workers[0]->agent_incarnation() + workers[1]->agent_incarnation(), 2u) << "no lease expired in the outage";
}

// The successor told a user, stops inside the outage and is back at once, without the lead. Workers send to whom they reach.
TEST_F(Gap, TheSuccessorEndsInsideTheOutage) {
  begin(3, "x");
  for (auto& w : workers) w->cut_commands(true);
  cluster->state.endpoint(first).refuses = true;
  ASSERT_TRUE(cluster->eventually(20, [&] { return !cluster->state.leader().empty() && cluster->leader() != first; }));
  const auto next = cluster->leader();
  hang(2);
  ASSERT_TRUE(cluster->eventually(10, [&] { return withdraw(next, "j-1"); }));
  cluster->state.outage(true);
  wait(1.5);
  cluster->stop(next);
  wait(0.2);
  cluster->start(next, test_support::one_level());
  wait(kOutage);
  cluster->state.outage(false);
  EXPECT_TRUE(cluster->eventually(20, [&] { return running("j-2") == 2; }));
}

}  // namespace
}  // namespace thistlefront
