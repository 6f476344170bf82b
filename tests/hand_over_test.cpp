// Jobs are cancelled in the seconds in which one leader hands over to the next: before, in and after its last commit, wherever the record
// is (queued, sent, in the ledger, read by the successor). What a user was told stays true; a user who was told nothing asks again and is
// answered by the successor.
#include <gtest/gtest.h>

#include "cluster_fixture.hpp"

namespace thistlefront {
namespace {

using test_support::wait;

constexpr testbed::Times kTimes{0.3, 4, 8, 0.05};  // heartbeat, lease, cancel, pull
constexpr int kUsers = 6, kJobsEach = 40, kMachines = 3, kNodesSeenByPeersOnly = 10;

class HandOver : public test_support::ClusterFixture, public testing::WithParamInterface<double> {
 protected:
  HandOver() : ClusterFixture(kTimes) {}
  struct Withdrawal {
    double asked = 0, answered = 0;
    std::size_t replica = 0;
    bool told = false;
  };
};

// The parameter: share of executed transactions whose answers from the store are lost.
TEST_P(HandOver, CancellationsInItAreToldOnceAndStay) {
  begin(3, kMachines);
  for (int u = 0; u < kUsers; ++u) {
    for (int k = 0; k < kJobsEach; ++k) {
      const std::string uid = "j-" + std::to_string(u * 100 + k);
      checker.submitted({uid, "red", "batch", "", 2, 1, 1000}, steady_now());
      ASSERT_TRUE(cluster->submit_until(uid, 20));
      checker.told(uid, "queued", steady_now());
    }
  }
  const auto first = cluster->leader(), other = (first + 1) % 3;
  ASSERT_TRUE(cluster->eventually(20, [&] { return cluster->metric(first, "placed_tasks") == "thistlefront_placed_tasks 24"; }));
  for (auto& w : workers) w->cut_commands(true);  // the leader asks some nodes itself, and none answers
  cluster->state.endpoint(first).loses = GetParam();
  // Nodes whose heartbeats reach the leader through another controller alone, so that it hands over.
  std::jthread heartbeats([&](const std::stop_token& stop) {
    for (std::uint64_t serial = 1; pause_for(stop, 0.2); ++serial) {
      for (int w = 0; w < kNodesSeenByPeersOnly && cluster->state.leader() == "host-" + std::to_string(first); ++w)
        cluster->ask(other, "POST", "/v1/report",
                     test_support::heartbeat_body("p-" + std::to_string(w), "127.0.0.1:1", serial, cluster->state.fencing_token()));
    }
  });
  std::atomic<double> handed_over{0}, over_at{1e18};
  std::jthread watch([&] {
    cluster->eventually(20, [&] {
      if (cluster->state.leader() == "host-" + std::to_string(first)) return false;
      handed_over = steady_now();
      return true;
    });
    cluster->state.endpoint(first).loses = 0;
    over_at = steady_now() + 2;
  });
  // Each user cancels one job after the other, and repeats each until it is answered.
  std::mutex mutex;
  std::vector<Withdrawal> all;
  std::vector<std::jthread> users;
  for (int u = 0; u < kUsers; ++u) {
    users.emplace_back([&, u] {
      std::mt19937 random(static_cast<unsigned>(u) + 1);
      for (int k = 0; k < kJobsEach; ++k) {
        // Slowly until the hand-over is near, and then as fast as it goes.
        while (k > 8 && handed_over == 0 && cluster->metric(first, "handed_over_total").empty()) wait(0.01);
        const std::string uid = "j-" + std::to_string(u * 100 + k);
        checker.wants_withdrawn(uid);
        for (bool told = false; !told;) {
          Withdrawal w{steady_now(), 0, random() % 3, false};
          const auto r = cluster->ask(w.replica, "POST", "/v1/jobs/" + uid + "/withdraw");
          w.answered = steady_now();
          w.told = told = r.is(200);
          EXPECT_TRUE(r.is(200) || r.is(503) || !r.status) << r.status << " " << r.body;
          if (told) checker.told(uid, "aborted", w.asked, w.answered);
          std::lock_guard lock(mutex);
          all.push_back(w);
        }
        wait(handed_over == 0 ? 0.2 : 0.02);
      }
    });
  }
  users.clear();
  watch.join();
  ASSERT_GT(handed_over.load(), 0);
  heartbeats = {};
  EXPECT_EQ(cluster->metric(first, "handed_over_total"), "thistlefront_handed_over_total 1");
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
  for (int u = 0; u < kUsers; ++u) {
    for (int k = 0; k < kJobsEach; ++k) {
      const std::string uid = "j-" + std::to_string(u * 100 + k);
      const double sent = steady_now();
      const auto r = cluster->ask(cluster->leader(), "GET", "/v1/jobs/" + uid);
      ASSERT_TRUE(r.is(200)) << uid << " " << r.status;
      checker.told(uid, nlohmann::json::parse(r.body).at("status"), sent, steady_now());
    }
  }
  wait(kTimes.cancel + 0.5);  // the checker looks at what still runs
}
INSTANTIATE_TEST_SUITE_P(AnswersLost, HandOver, testing::Values(0.0, 0.3));

}  // namespace
}  // namespace thistlefront
