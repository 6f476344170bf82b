// Users poll all controllers within milliseconds, and repeat the submission, right after a job was accepted, has ended or was cancelled.
// No controller may reply with an older state than another controller replied before the request was sent, nor deliver a delayed reply
// after another leader could have given a newer one. docs/design.md, "Outdated answers".
#include <gtest/gtest.h>

#include "cluster_fixture.hpp"

namespace thistlefront {
namespace {

using test_support::status_of;
using test_support::wait;

constexpr testbed::ProtocolTimes kTimes{.heartbeat_interval_s = 0.5, .lease_s = 4, .cancel_s = 8, .image_pull_s = 0.05};
constexpr std::size_t kSufficientCalls = 10;  // a deposed leader must receive more calls than this during a fault
constexpr double kMaxFaultS = 20;

// The leader's reply to a request forwarded by a follower is delayed until the next leader has given a user a newer reply. The follower
// must not deliver the older reply to its user then.
struct DelayedRequest {
  const char* name;
  bool job_accepted;  // the job is accepted before the request
  // `method`: null for a submission. `path`: appended to the job's path. `body`: the submission's text after the uid; null for a valid
  // job.
  const char *method, *path, *body;
  friend std::ostream& operator<<(std::ostream& out, const DelayedRequest& request) { return out << request.name; }
};
class DelayedReply : public test_support::ClusterFixture, public testing::WithParamInterface<DelayedRequest> {
 protected:
  DelayedReply() : ClusterFixture(kTimes) {}
};
TEST_P(DelayedReply, IsNotDeliveredAfterANewerOne) {
  const DelayedRequest& request = GetParam();
  Options options = test_support::fixed_version_options();
  options.leader_lease_ms = 500;  // another controller takes over well within the follower's forwarding time-out
  start_cluster(3, 0, "", options);
  bool delayed_past_takeover = false;
  for (int round = 1; round <= 4 && !delayed_past_takeover; ++round) {
    const std::string uid = "j-" + std::to_string(round);
    if (request.job_accepted) {
      ASSERT_TRUE(cluster->submit_until(uid, 20));
    }
    ASSERT_TRUE(cluster->submit_until("j-9", 20));
    const auto leader = cluster->leader(), follower = (leader + 1) % 3, next = (leader + 2) % 3;
    ASSERT_TRUE(cluster->eventually(10, [&] { return cluster->ask(follower, "GET", "/v1/jobs/j-9").is(200); }));
    // Keeps the follower from learning of the next leader.
    network_relays.at({next, follower})->set_partitioned(true);
    network_relays.at({follower, leader})->hold_replies(true);
    HttpResult reply;
    double replied_at = 0;
    std::jthread user([&] {
      reply = request.method ? cluster->ask(follower, request.method, "/v1/jobs/" + uid + request.path, "")
                             : cluster->ask(follower, "POST", "/v1/jobs",
                                            request.body ? R"({"uid":")" + uid + request.body : test_support::job_body(uid));
      replied_at = steady_now();
    });
    wait(0.1);
    cluster->store.endpoint(leader).rejects_requests = cluster->store.endpoint(follower).rejects_requests = true;
    std::string newer_status;
    cluster->eventually(1.4, [&] {
      if (cluster->store.leader() != "host-" + std::to_string(next)) return false;
      newer_status = status_of(request.job_accepted || !request.method ? cluster->ask(next, "POST", "/v1/jobs/" + uid + "/withdraw")
                                                                       : cluster->submit(next, uid));
      if (newer_status == "unknown") newer_status = status_of(cluster->submit(next, uid));  // the delayed submission was refused
      return !newer_status.empty();
    });
    delayed_past_takeover = !newer_status.empty() && replied_at == 0;
    const double released_at = steady_now();
    network_relays.at({follower, leader})->hold_replies(false);
    user.join();
    // The round counts only if the reply arrived on its release and not at the follower's time-out.
    delayed_past_takeover = delayed_past_takeover && replied_at - released_at < 0.3;
    if (delayed_past_takeover) {
      EXPECT_TRUE(reply.is(503)) << request.name << ": " << reply.status << " " << reply.body << " after " << newer_status;
    }
    cluster->store.endpoint(leader).rejects_requests = cluster->store.endpoint(follower).rejects_requests = false;
    network_relays.at({next, follower})->set_partitioned(false);
  }
  EXPECT_TRUE(delayed_past_takeover) << "in no round was the reply delayed until another controller led";
}
INSTANTIATE_TEST_SUITE_P(RequestKinds, DelayedReply,
                         testing::Values(DelayedRequest{"poll", true, "GET", "", nullptr},
                                         DelayedRequest{"first_submission", false, nullptr, nullptr, nullptr},
                                         DelayedRequest{"repeated_submission", true, nullptr, nullptr, nullptr},
                                         DelayedRequest{"poll_of_unknown_job", false, "GET", "", nullptr},
                                         DelayedRequest{"cancellation", false, "POST", "/withdraw", nullptr},
                                         DelayedRequest{"malformed_submission", false, nullptr, nullptr, "\",\"pieces\":-1}"}),
                         [](const auto& info) { return std::string(info.param.name); });

class ConcurrentPolls : public test_support::ClusterFixture, public testing::WithParamInterface<std::size_t> {
 protected:
  ConcurrentPolls() : ClusterFixture(kTimes) {}
  void poll_or_submit(const std::string& uid, std::size_t controller, bool submission) {
    const bool is_deposed = deposed == controller && newer_reply_given.load();
    const auto status = submission ? submit(controller, uid) : poll(controller, uid);
    if (is_deposed && deposed == controller) ++calls_to_deposed;
    if (status == "done" || status == "aborted") ++final_replies;
  }
  // Calls all controllers at the same time, each four times: two polls and two submissions.
  void call_all_controllers(const std::string& uid) {
    std::vector<std::jthread> users;
    for (std::size_t i = 0; i < cluster->client_addresses.size(); ++i) {
      users.emplace_back([this, uid, i] {
        for (int k = 0; k < 4; ++k) poll_or_submit(uid, i, k % 2 == 1);
      });
    }
  }
  // Submits jobs and follows each until it is done or cancelled.
  void simulate_user(unsigned user) {
    std::mt19937 random(user);
    for (int n = 1; !stop_users; ++n) {
      const std::string uid = "j-" + std::to_string(user * 1000 + n);
      checker.record_submission({uid, "red", "batch", "", 2, 1, 0.3 + 0.1 * (random() % 6)}, steady_now());
      const bool cancels = random() % 3 == 0;
      if (cancels) checker.record_withdrawal(uid);
      const auto accepted = [&] {
        const auto status = submit(random() % cluster->client_addresses.size(), uid);
        return !status.empty() && status != "refused";
      };
      while (!stop_users && !accepted()) wait(0.05);
      if (stop_users) break;
      newer_reply_given = true;
      if (!cancels || random() % 2) call_all_controllers(uid);
      for (const double until = steady_now() + 6; steady_now() < until && !stop_users; wait(0.02)) {
        const auto controller = random() % cluster->client_addresses.size();
        const auto status = cancels ? withdraw(controller, uid) : poll(controller, uid);
        if (status != "done" && status != "aborted") continue;
        call_all_controllers(uid);
        break;
      }
    }
  }
  // Calls to a deposed leader that does not know of its successor, made after other controllers gave newer replies.
  std::atomic<std::size_t> calls_to_deposed{0};
  std::atomic<std::size_t> final_replies{0};   // "done" or "aborted"
  std::atomic<std::size_t> deposed{SIZE_MAX};  // index of the controller; SIZE_MAX: none
  std::atomic<bool> newer_reply_given{false}, stop_users{false};
};

TEST_P(ConcurrentPolls, NoControllerRepliesWithAnOlderStateThanBefore) {
  const auto n = GetParam();
  start_cluster(n, 3);
  ASSERT_TRUE(cluster->submit_until("j-9", 20));
  std::vector<std::jthread> users;
  for (unsigned u = 1; u <= 3; ++u) users.emplace_back([this, u] { simulate_user(u); });
  std::vector<std::size_t> calls_by_fault;
  // The fault lasts for at least `for_s`, and until the deposed leader has received `min_calls` calls or kMaxFaultS have passed. The number
  // of calls in a fixed time depends on the load of the machine.
  const auto depose = [&](std::size_t leader, double for_s, std::size_t min_calls, const std::function<void(bool)>& set_fault) {
    set_fault(true);
    EXPECT_TRUE(cluster->eventually(10, [&] {
      const auto current = cluster->store.leader();
      return !current.empty() && current != "host-" + std::to_string(leader);
    }));
    newer_reply_given = false;  // only replies given from now on count
    deposed = leader;
    const auto before = calls_to_deposed.load();
    wait(for_s);
    cluster->eventually(kMaxFaultS - for_s, [&] { return calls_to_deposed - before >= min_calls; });
    deposed = SIZE_MAX;
    calls_by_fault.push_back(calls_to_deposed - before);
    set_fault(false);
    wait(1);
  };
  auto leader = cluster->leader();
  depose(leader, 1, 0, [&](bool faulty) { cluster->store.endpoint(leader).rejects_requests = faulty; });
  leader = cluster->leader();
  // The leader reaches only its agents and users.
  depose(leader, 3, kSufficientCalls + 1, [&](bool faulty) {
    set_partition(leader, faulty);
    cluster->store.endpoint(leader).rejects_requests = faulty;
  });
  EXPECT_GT(calls_by_fault.back(), kSufficientCalls) << "calls to a deposed leader that is partitioned";
  leader = cluster->leader();
  // The leader reaches only its agents and users; the store executes its requests but does not reply.
  depose(leader, 2, kSufficientCalls + 1, [&](bool faulty) {
    set_partition(leader, faulty);
    cluster->store.endpoint(leader).holds_replies = faulty;
  });
  EXPECT_GT(calls_by_fault.back(), kSufficientCalls) << "calls to a deposed leader that gets no replies from the store";
  for (const double pause : {0.05, 0.0}) {
    leader = cluster->leader();
    cluster->stop(leader);
    wait(pause);
    cluster->start(leader, test_support::fixed_version_options());
    wait(1);
  }
  stop_users = true;
  users.clear();
  EXPECT_GT(final_replies.load(), 50u);
}
// Without any fault: a cancellation coincides with the completion of the last task, and with a poll and a repeated submission at other
// controllers. The job is either done or cancelled, and all users receive the same status.
TEST_P(ConcurrentPolls, ACancellationNearTheLastCompletionHasOneOutcomeForAllUsers) {
  start_cluster(GetParam(), 3);
  ASSERT_TRUE(cluster->submit_until("j-9", 20));
  std::atomic<std::size_t> done{0}, aborted{0};
  std::vector<std::jthread> users;
  for (unsigned u = 1; u <= 4; ++u) {
    users.emplace_back([&, u] {
      std::mt19937 random(u);
      for (int n = 0; n < 12; ++n) {
        const std::string uid = "j-" + std::to_string(u * 1000 + static_cast<unsigned>(n));
        checker.record_submission({uid, "red", "batch", "", 2, 1, 0.4}, steady_now());
        checker.record_withdrawal(uid);
        ASSERT_TRUE(cluster->submit_until(uid, 20));
        checker.record_reply(uid, "queued", steady_now());
        // Cancels within milliseconds of the last completion, or some time before.
        if (random() % 3 == 0) {
          wait(0.001 * (random() % 800));
        } else {
          cluster->eventually(6, [&] { return checker.completed_tasks(uid) == 2; });
          wait(0.001 * (random() % 60));
        }
        std::jthread other_user(
            [&, controller = random() % GetParam()] { poll_or_submit(uid, controller, false), poll_or_submit(uid, controller, true); });
        std::string status;
        while (status.empty()) status = withdraw(random() % GetParam(), uid);
        other_user.join();
        call_all_controllers(uid);
        ++(status == "done" ? done : aborted);
      }
    });
  }
  users.clear();
  std::cout << done << " done, " << aborted << " cancelled\n";
  EXPECT_GT(done.load(), 3u);
  EXPECT_GT(aborted.load(), 3u);
}
INSTANTIATE_TEST_SUITE_P(Controllers, ConcurrentPolls, testing::Values(3, 5));

}  // namespace
}  // namespace thistlefront
