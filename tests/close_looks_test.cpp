// Users who ask all controllers within milliseconds, and repeat the submission, right after a job was accepted, ended or cancelled: no
// controller may answer with an older state than any other one told before it was asked, nor give an answer that was held up on its way
// after another leader could have given a newer one. docs/design.md, "What a freeze just there does".
#include <gtest/gtest.h>

#include "cluster_fixture.hpp"

namespace thistlefront {
namespace {

using test_support::status_of;
using test_support::wait;

constexpr testbed::ProtocolTimes kTimes{0.5, 4, 8, 0.05};  // heartbeat, lease, cancel, pull
constexpr std::size_t kEnoughQuestions = 10;               // that a deposed leader must be asked while a fault lasts: more than this
constexpr double kLongestFault = 20;                       // seconds

// An answer that the leader gave is held up on its way through a follower until the next leader has told a user something newer. The
// follower must not give the older answer to its user then.
struct HeldRequest {
  const char* name;
  bool known;                        // the job is accepted before
  const char *method, *path, *body;  // null: the submission of the job
  friend std::ostream& operator<<(std::ostream& out, const HeldRequest& held) { return out << held.name; }
};
class HeldAnswer : public test_support::ClusterFixture, public testing::WithParamInterface<HeldRequest> {
 protected:
  HeldAnswer() : ClusterFixture(kTimes) {}
};
TEST_P(HeldAnswer, IsNotGivenAfterANewerOne) {
  const HeldRequest& held = GetParam();
  Options options = test_support::fixed_version_options();
  options.leader_lease_ms = 500;  // another controller leads well within the time that a follower waits
  start_cluster(3, 0, "", options);
  bool met = false;
  for (int round = 1; round <= 4 && !met; ++round) {
    const std::string uid = "j-" + std::to_string(round);
    if (held.known) {
      ASSERT_TRUE(cluster->submit_until(uid, 20));
    }
    ASSERT_TRUE(cluster->submit_until("j-9", 20));
    const auto leader = cluster->leader(), follower = (leader + 1) % 3, next = (leader + 2) % 3;
    ASSERT_TRUE(cluster->eventually(10, [&] { return cluster->ask(follower, "GET", "/v1/jobs/j-9").is(200); }));
    // The follower does not learn of the next leader.
    network_relays.at({next, follower})->set_partitioned(true);
    network_relays.at({follower, leader})->hold_replies(true);
    HttpResult answer;
    double answered = 0;
    std::jthread user([&] {
      answer = held.method
                   ? cluster->ask(follower, held.method, "/v1/jobs/" + uid + held.path, "")
                   : cluster->ask(follower, "POST", "/v1/jobs", held.body ? R"({"uid":")" + uid + held.body : test_support::job_body(uid));
      answered = steady_now();
    });
    wait(0.1);
    cluster->state.endpoint(leader).rejects_requests = cluster->state.endpoint(follower).rejects_requests = true;
    std::string newer;
    cluster->eventually(1.4, [&] {
      if (cluster->state.leader() != "host-" + std::to_string(next)) return false;
      newer =
          status_of(held.known || !held.method ? cluster->ask(next, "POST", "/v1/jobs/" + uid + "/withdraw") : cluster->submit(next, uid));
      if (newer == "unknown") newer = status_of(cluster->submit(next, uid));  // a job that was refused before
      return !newer.empty();
    });
    met = !newer.empty() && answered == 0;
    const double released_at = steady_now();
    network_relays.at({follower, leader})->hold_replies(false);
    user.join();
    // Only an answer that came when it was let through, and not at its time limit, shows anything.
    met = met && answered - released_at < 0.3;
    if (met) {
      EXPECT_TRUE(answer.is(503)) << held.name << ": " << answer.status << " " << answer.body << " after " << newer;
    }
    cluster->state.endpoint(leader).rejects_requests = cluster->state.endpoint(follower).rejects_requests = false;
    network_relays.at({next, follower})->set_partitioned(false);
  }
  EXPECT_TRUE(met) << "the answer was held while another one led";
}
INSTANTIATE_TEST_SUITE_P(Kinds, HeldAnswer,
                         testing::Values(HeldRequest{"poll", true, "GET", "", nullptr},
                                         HeldRequest{"first", false, nullptr, nullptr, nullptr},
                                         HeldRequest{"repeat", true, nullptr, nullptr, nullptr},
                                         HeldRequest{"unknown", false, "GET", "", nullptr},
                                         HeldRequest{"withdrawal", false, "POST", "/withdraw", nullptr},
                                         HeldRequest{"malformed", false, nullptr, nullptr, "\",\"pieces\":-1}"}),
                         [](const auto& info) { return std::string(info.param.name); });

class CloseLooks : public test_support::ClusterFixture, public testing::WithParamInterface<std::size_t> {
 protected:
  CloseLooks() : ClusterFixture(kTimes) {}
  void look(const std::string& uid, std::size_t replica, bool submission) {
    const bool at_deposed = deposed == replica && newer_told.load();
    const auto status = submission ? submit(replica, uid) : poll(replica, uid);
    if (at_deposed && deposed == replica) ++asked_deposed;
    if (status == "done" || status == "aborted") ++told_ended;
  }
  // Asks all controllers at once, four times each, submissions among them.
  void look_everywhere(const std::string& uid) {
    std::vector<std::jthread> lookers;
    for (std::size_t i = 0; i < cluster->users.size(); ++i) {
      lookers.emplace_back([this, uid, i] {
        for (int k = 0; k < 4; ++k) look(uid, i, k % 2 == 1);
      });
    }
  }
  void use(unsigned user) {
    std::mt19937 random(user);
    for (int n = 1; !over; ++n) {
      const std::string uid = "j-" + std::to_string(user * 1000 + n);
      checker.record_submission({uid, "red", "batch", "", 2, 1, 0.3 + 0.1 * (random() % 6)}, steady_now());
      const bool cancels = random() % 3 == 0;
      if (cancels) checker.record_withdrawal(uid);
      const auto accepted = [&] {
        const auto status = submit(random() % cluster->users.size(), uid);
        return !status.empty() && status != "refused";
      };
      while (!over && !accepted()) wait(0.05);
      if (over) break;
      newer_told = true;
      if (!cancels || random() % 2) look_everywhere(uid);
      for (const double until = steady_now() + 6; steady_now() < until && !over; wait(0.02)) {
        const auto replica = random() % cluster->users.size();
        const auto status = cancels ? withdraw(replica, uid) : poll(replica, uid);
        if (status != "done" && status != "aborted") continue;
        look_everywhere(uid);
        break;
      }
    }
  }
  // Questions to a deposed leader after others told something newer, while it does not know that another one leads.
  std::atomic<std::size_t> asked_deposed{0}, told_ended{0};
  std::atomic<std::size_t> deposed{SIZE_MAX};
  std::atomic<bool> newer_told{false}, over{false};
};

TEST_P(CloseLooks, NoControllerAnswersSomethingOlder) {
  const auto n = GetParam();
  start_cluster(n, 3);
  ASSERT_TRUE(cluster->submit_until("j-9", 20));
  std::vector<std::jthread> users;
  for (unsigned u = 1; u <= 3; ++u) users.emplace_back([this, u] { use(u); });
  std::vector<std::size_t> asked;
  // The fault lasts for `for_s`, and longer until the deposed leader was asked `questions` times: how many fall into a fixed time depends
  // on how busy the machine is.
  const auto depose = [&](std::size_t leader, double for_s, std::size_t questions, const std::function<void(bool)>& fault) {
    fault(true);
    EXPECT_TRUE(cluster->eventually(10, [&] {
      const auto now = cluster->state.leader();
      return !now.empty() && now != "host-" + std::to_string(leader);
    }));
    newer_told = false;  // only what is told from now on counts
    deposed = leader;
    const auto before = asked_deposed.load();
    wait(for_s);
    cluster->eventually(kLongestFault - for_s, [&] { return asked_deposed - before >= questions; });
    deposed = SIZE_MAX;
    asked.push_back(asked_deposed - before);
    fault(false);
    wait(1);
  };
  auto leader = cluster->leader();
  depose(leader, 1, 0, [&](bool is) { cluster->state.endpoint(leader).rejects_requests = is; });
  leader = cluster->leader();
  // It reaches nobody but its workers and users.
  depose(leader, 3, kEnoughQuestions + 1, [&](bool is) {
    set_partition(leader, is);
    cluster->state.endpoint(leader).rejects_requests = is;
  });
  EXPECT_GT(asked.back(), kEnoughQuestions) << "questions while it is parted and another one leads";
  leader = cluster->leader();
  // What it sends to the store is executed, and no answer comes; and it reaches nobody but its workers and users.
  depose(leader, 2, kEnoughQuestions + 1, [&](bool is) {
    set_partition(leader, is);
    cluster->state.endpoint(leader).holds_replies = is;
  });
  EXPECT_GT(asked.back(), kEnoughQuestions) << "questions while nothing answers it and another one leads";
  for (const double pause : {0.05, 0.0}) {
    leader = cluster->leader();
    cluster->stop(leader);
    wait(pause);
    cluster->start(leader, test_support::fixed_version_options());
    wait(1);
  }
  over = true;
  users.clear();
  EXPECT_GT(told_ended.load(), 50u);
}
// Without any fault: a cancellation meets the end of the last task, a question and a repeated submission at other controllers. The job is
// done or cancelled, and the same for everybody.
TEST_P(CloseLooks, ACancellationAtTheEndOfTheLastTaskIsOneOrTheOther) {
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
        // Within milliseconds of the end, or some time before it.
        if (random() % 3 == 0) {
          wait(0.001 * (random() % 800));
        } else {
          cluster->eventually(6, [&] { return checker.completed_tasks(uid) == 2; });
          wait(0.001 * (random() % 60));
        }
        std::jthread asks([&, replica = random() % GetParam()] { look(uid, replica, false), look(uid, replica, true); });
        std::string status;
        while (status.empty()) status = withdraw(random() % GetParam(), uid);
        asks.join();
        look_everywhere(uid);
        ++(status == "done" ? done : aborted);
      }
    });
  }
  users.clear();
  std::cout << done << " done, " << aborted << " cancelled\n";
  EXPECT_GT(done.load(), 3u);
  EXPECT_GT(aborted.load(), 3u);
}
INSTANTIATE_TEST_SUITE_P(Controllers, CloseLooks, testing::Values(3, 5));

}  // namespace
}  // namespace thistlefront
