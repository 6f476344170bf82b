// Jobs are cancelled in the seconds in which one leader hands over to the next: before, in and after its last commit, wherever the record
// is (queued, sent, in the ledger, read by the successor). What a user was told stays true; a user who was told nothing asks again and is
// answered by the successor.
#include <gtest/gtest.h>

#include <atomic>
#include <iostream>
#include <mutex>
#include <random>

#include "cluster_fixture.hpp"

namespace thistlefront {
namespace {

using test_support::wait;

constexpr testbed::Times kTimes{0.3, 4, 8, 0.05};  // heartbeat, lease, cancel, pull
constexpr int kUsers = 6, kJobsEach = 40, kMachines = 3, kNodesSeenByPeersOnly = 10;
constexpr double kPauseBefore = 0.2;  // seconds from one cancellation of a user to the next, before the hand-over

class HandOver : public test_support::ClusterFixture, public testing::WithParamInterface<double> {
 protected:
  HandOver() : ClusterFixture(kTimes) {}
  struct Withdrawal {
    double asked = 0, answered = 0;
    std::size_t replica = 0;
    bool told = false;
  };
  static std::string uid_of(int user, int job) { return "j-" + std::to_string(user * 100 + job); }
  bool leads(std::size_t replica) { return cluster->state.leader() == "host-" + std::to_string(replica); }

  void submit_jobs() {
    for (int u = 0; u < kUsers; ++u) {
      for (int k = 0; k < kJobsEach; ++k) {
        const std::string uid = uid_of(u, k);
        checker.submitted({uid, "red", "batch", "", 2, 1, 1000}, steady_now());
        ASSERT_TRUE(cluster->submit_until(uid, 20));
        checker.told(uid, "queued", steady_now());
      }
    }
  }
  // Nodes whose heartbeats reach the leader through another controller alone, so that it hands over.
  void send_heartbeats_through(std::size_t other, const std::stop_token& stop) {
    for (std::uint64_t serial = 1; pause_for(stop, 0.2); ++serial) {
      for (int w = 0; w < kNodesSeenByPeersOnly && leads(first); ++w)
        cluster->ask(other, "POST", "/v1/report",
                     test_support::heartbeat_body("p-" + std::to_string(w), "127.0.0.1:1", serial, cluster->state.fencing_token()));
    }
  }
  void wait_for_hand_over() {
    cluster->eventually(20, [&] {
      if (leads(first)) return false;
      handed_over = steady_now();
      return true;
    });
    cluster->state.endpoint(first).loses = 0;
  }
  // Cancels one job after the other, and repeats each until it is answered.
  void cancel_jobs(int user) {
    std::mt19937 random(static_cast<unsigned>(user) + 1);
    // Spread over the pause: users that all pause at the same time may miss a short hand-over.
    wait(kPauseBefore * user / kUsers);
    for (int k = 0; k < kJobsEach; ++k) {
      // Slowly until the hand-over is near, and then as fast as it goes.
      while (k > 8 && handed_over == 0 && cluster->metric(first, "handed_over_total").empty()) wait(0.01);
      const std::string uid = uid_of(user, k);
      checker.wants_withdrawn(uid);
      while (!cancel_once(uid, random() % 3)) {
      }
      wait(handed_over == 0 ? kPauseBefore : 0.02);
    }
  }
  bool cancel_once(const std::string& uid, std::size_t replica) {
    Withdrawal w{steady_now(), 0, replica, false};
    const auto r = cluster->ask(w.replica, "POST", "/v1/jobs/" + uid + "/withdraw");
    w.answered = steady_now();
    w.told = r.is(200);
    EXPECT_TRUE(r.is(200) || r.is(503) || !r.status) << r.status << " " << r.body;
    if (w.told) checker.told(uid, "aborted", w.asked, w.answered);
    std::lock_guard lock(mutex);
    all.push_back(w);
    return w.told;
  }
  // That there were cancellations on each side of the hand-over, and some refused around it.
  void expect_cancellations_around_it() {
    const double near = GetParam() > 0 ? 8 : 1.5;  // seconds; a lost answer takes over a second
    std::size_t before = 0, refused = 0, after = 0, across = 0;
    for (const auto& w : all) {
      before += w.told && w.answered < handed_over && w.answered > handed_over - near;
      after += w.told && w.asked > handed_over && w.asked < handed_over + near;
      refused += !w.told && w.answered > handed_over - near && w.asked < handed_over + near;
      across += w.asked < handed_over && w.answered > handed_over;
    }
    std::cout << before << " told shortly before, " << refused << " not told around it, " << across << " asked before and answered after, "
              << after << " told shortly after\n";
    EXPECT_GT(before, 0u);
    EXPECT_GT(refused, 0u);
    EXPECT_GT(after, 0u);
  }
  void poll_all_jobs() {
    for (int u = 0; u < kUsers; ++u) {
      for (int k = 0; k < kJobsEach; ++k) {
        const std::string uid = uid_of(u, k);
        const double sent = steady_now();
        const auto r = cluster->ask(cluster->leader(), "GET", "/v1/jobs/" + uid);
        ASSERT_TRUE(r.is(200)) << uid << " " << r.status;
        checker.told(uid, nlohmann::json::parse(r.body).at("status"), sent, steady_now());
      }
    }
  }

  std::size_t first = 0;               // the leader that hands over
  std::atomic<double> handed_over{0};  // steady seconds; 0: not yet
  std::mutex mutex;
  std::vector<Withdrawal> all;
};

// The parameter: share of executed transactions whose answers from the store are lost.
TEST_P(HandOver, CancellationsInItAreToldOnceAndStay) {
  begin(3, kMachines);
  ASSERT_NO_FATAL_FAILURE(submit_jobs());
  first = cluster->leader();
  const auto other = (first + 1) % 3;
  ASSERT_TRUE(cluster->eventually(20, [&] { return cluster->metric(first, "placed_tasks") == "thistlefront_placed_tasks 24"; }));
  for (auto& w : workers) w->cut_commands(true);  // the leader asks some nodes itself, and none answers
  cluster->state.endpoint(first).loses = GetParam();
  std::jthread heartbeats([&](const std::stop_token& stop) { send_heartbeats_through(other, stop); });
  std::jthread watch([&] { wait_for_hand_over(); });
  std::vector<std::jthread> users;
  for (int u = 0; u < kUsers; ++u) users.emplace_back([this, u] { cancel_jobs(u); });
  users.clear();
  watch.join();
  ASSERT_GT(handed_over.load(), 0);
  heartbeats = {};
  EXPECT_EQ(cluster->metric(first, "handed_over_total"), "thistlefront_handed_over_total 1");
  expect_cancellations_around_it();
  ASSERT_NO_FATAL_FAILURE(poll_all_jobs());
  wait(kTimes.cancel + 0.5);  // the checker looks at what still runs
}
INSTANTIATE_TEST_SUITE_P(AnswersLost, HandOver, testing::Values(0.0, 0.3));

}  // namespace
}  // namespace thistlefront
