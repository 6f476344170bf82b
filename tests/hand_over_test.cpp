// Jobs are cancelled around a hand-over: before, during and after the last commit of the first leader, so that the record is queued, sent,
// in the ledger, or already read by the successor. A confirmed cancellation must hold; a user without a confirmation repeats the request
// and gets the confirmation from the successor.
#include <gtest/gtest.h>

#include <atomic>
#include <iostream>
#include <mutex>
#include <random>

#include "cluster_fixture.hpp"

namespace thistlefront {
namespace {

using test_support::wait;

constexpr testbed::ProtocolTimes kTimes{.heartbeat_interval_s = 0.3, .lease_s = 4, .cancel_s = 8, .image_pull_s = 0.05};
constexpr int kUsers = 6, kJobsPerUser = 40, kNodes = 3, kRelayedNodes = 10;
constexpr double kCancelIntervalS = 0.2;  // between two cancellations of a user, before the hand-over

class HandOver : public test_support::ClusterFixture, public testing::WithParamInterface<double> {
 protected:
  HandOver() : ClusterFixture(kTimes) {}
  struct CancelRequest {
    double sent_at = 0, replied_at = 0;  // steady seconds
    std::size_t controller = 0;
    bool confirmed = false;
  };
  static std::string uid_of(int user, int job) { return "j-" + std::to_string(user * 100 + job); }
  bool leads(std::size_t controller) { return cluster->store.leader() == "host-" + std::to_string(controller); }

  void submit_jobs() {
    for (int u = 0; u < kUsers; ++u) {
      for (int k = 0; k < kJobsPerUser; ++k) {
        const std::string uid = uid_of(u, k);
        checker.record_submission({uid, "red", "batch", "", 2, 1, 1000}, steady_now());
        ASSERT_TRUE(cluster->submit_until(uid, 20));
        checker.record_reply(uid, "queued", steady_now());
      }
    }
  }
  // Sends heartbeats of nodes that reach the leader only through another controller, so that the leader hands over.
  void send_heartbeats_through(std::size_t other, const std::stop_token& stop) {
    for (std::uint64_t serial = 1; pause_for(stop, 0.2); ++serial) {
      for (int w = 0; w < kRelayedNodes && leads(first); ++w)
        cluster->ask(other, "POST", "/v1/report",
                     test_support::heartbeat_body("p-" + std::to_string(w), "127.0.0.1:1", serial, cluster->store.fencing_token()));
    }
  }
  void wait_for_hand_over() {
    cluster->eventually(20, [&] {
      if (leads(first)) return false;
      handed_over_at = steady_now();
      return true;
    });
    cluster->store.endpoint(first).reply_loss_probability = 0;
  }
  // Cancels the user's jobs one after the other, and repeats each request until the cancellation is confirmed.
  void cancel_jobs(int user) {
    std::mt19937 random(static_cast<unsigned>(user) + 1);
    // The users' requests are spread over the interval: users that all pause at the same time may miss a short hand-over.
    wait(kCancelIntervalS * user / kUsers);
    for (int k = 0; k < kJobsPerUser; ++k) {
      // Most requests wait for the hand-over to begin and are then sent as fast as possible.
      while (k > 8 && handed_over_at == 0 && cluster->metric(first, "handed_over_total").empty()) wait(0.01);
      const std::string uid = uid_of(user, k);
      checker.record_withdrawal(uid);
      while (!cancel_once(uid, random() % 3)) {
      }
      wait(handed_over_at == 0 ? kCancelIntervalS : 0.02);
    }
  }
  bool cancel_once(const std::string& uid, std::size_t controller) {
    CancelRequest request{steady_now(), 0, controller, false};
    const auto r = cluster->ask(request.controller, "POST", "/v1/jobs/" + uid + "/withdraw");
    request.replied_at = steady_now();
    request.confirmed = r.is(200);
    EXPECT_TRUE(r.is(200) || r.is(503) || !r.status) << r.status << " " << r.body;
    if (request.confirmed) checker.record_reply(uid, "aborted", request.sent_at, request.replied_at);
    std::lock_guard lock(mutex);
    requests.push_back(request);
    return request.confirmed;
  }
  // Expects confirmed cancellations shortly before and after the hand-over, and refused ones around it.
  void expect_cancellations_around_hand_over() {
    const double window_s = GetParam() > 0 ? 8 : 1.5;  // a lost reply costs more than a second
    std::size_t before = 0, refused = 0, after = 0, across = 0;
    for (const auto& request : requests) {
      before += request.confirmed && request.replied_at < handed_over_at && request.replied_at > handed_over_at - window_s;
      after += request.confirmed && request.sent_at > handed_over_at && request.sent_at < handed_over_at + window_s;
      refused += !request.confirmed && request.replied_at > handed_over_at - window_s && request.sent_at < handed_over_at + window_s;
      across += request.sent_at < handed_over_at && request.replied_at > handed_over_at;
    }
    std::cout << before << " confirmed shortly before the hand-over, " << refused << " not confirmed around it, " << across
              << " sent before and answered after, " << after << " confirmed shortly after\n";
    EXPECT_GT(before, 0u);
    EXPECT_GT(refused, 0u);
    EXPECT_GT(after, 0u);
  }
  void poll_all_jobs() {
    for (int u = 0; u < kUsers; ++u) {
      for (int k = 0; k < kJobsPerUser; ++k) {
        const std::string uid = uid_of(u, k);
        const double sent_at = steady_now();
        const auto r = cluster->ask(cluster->leader(), "GET", "/v1/jobs/" + uid);
        ASSERT_TRUE(r.is(200)) << uid << " " << r.status;
        checker.record_reply(uid, nlohmann::json::parse(r.body).at("status"), sent_at, steady_now());
      }
    }
  }

  std::size_t first = 0;                  // the leader that hands over
  std::atomic<double> handed_over_at{0};  // steady seconds; 0: not yet
  std::mutex mutex;
  std::vector<CancelRequest> requests;
};

// The parameter is the probability that the store's reply to an executed transaction is lost.
TEST_P(HandOver, KeepsCancellationsConfirmedAroundIt) {
  start_cluster(3, kNodes);
  ASSERT_NO_FATAL_FAILURE(submit_jobs());
  first = cluster->leader();
  const auto other = (first + 1) % 3;
  ASSERT_TRUE(cluster->eventually(20, [&] { return cluster->metric(first, "placed_tasks") == "thistlefront_placed_tasks 24"; }));
  for (auto& w : workers) w->drop_commands(true);  // the leader probes some agents, and none replies
  cluster->store.endpoint(first).reply_loss_probability = GetParam();
  std::jthread heartbeats([&](const std::stop_token& stop) { send_heartbeats_through(other, stop); });
  std::jthread watch([&] { wait_for_hand_over(); });
  std::vector<std::jthread> users;
  for (int u = 0; u < kUsers; ++u) users.emplace_back([this, u] { cancel_jobs(u); });
  users.clear();
  watch.join();
  ASSERT_GT(handed_over_at.load(), 0);
  heartbeats = {};
  EXPECT_EQ(cluster->metric(first, "handed_over_total"), "thistlefront_handed_over_total 1");
  expect_cancellations_around_hand_over();
  ASSERT_NO_FATAL_FAILURE(poll_all_jobs());
  wait(kTimes.cancel_s + 0.5);  // the checker fails if a cancelled task still runs
}
INSTANTIATE_TEST_SUITE_P(LostStoreReplies, HandOver, testing::Values(0.0, 0.3));

}  // namespace
}  // namespace thistlefront
