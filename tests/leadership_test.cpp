// Leadership and ledger commits: real controllers on loopback against a fake store that refuses, loses, delays and repeats requests.
// Every status that a user has received must stay true under later leaders.
#include <gtest/gtest.h>

#include <atomic>
#include <mutex>
#include <random>
#include <set>

#include "cluster.hpp"
#include "controller/resource_budget.hpp"
#include "protocol/messages.hpp"

namespace thistlefront {
namespace {

using test_support::Cluster;
using test_support::free_address;

TEST(Leadership, HandsOverAndForwardsWhenTheStoreRefusesTheLeader) {
  Cluster c(3);
  ASSERT_TRUE(c.submit_until("j-1", 20));
  const auto first = c.leader();
  c.store.endpoint(first).rejects_requests = true;
  ASSERT_TRUE(c.eventually(20, [&] { return !c.store.leader().empty() && c.leader() != first; }));
  EXPECT_TRUE(c.submit_until("j-2", 20));
  // The earlier leader still accepts requests and forwards them.
  EXPECT_TRUE(c.eventually(20, [&] { return c.submit(first, "j-3").is(201) || c.submit(first, "j-3").is(200); }));
  for (const auto* uid : {"j-1", "j-2", "j-3"})
    for (std::size_t i = 0; i < 3; ++i)
      EXPECT_TRUE(c.eventually(10, [&] { return c.ask(i, "GET", std::string("/v1/jobs/") + uid).is(200); })) << uid;
  EXPECT_EQ(c.store.unfenced_writes(), 0u);
}

// A leader is suspended between checking its lease and sending a transaction. When the transaction arrives, the session lease has
// expired and another controller leads.
TEST(Leadership, RejectsLateTransactionOfDeposedLeader) {
  Cluster c(2);
  ASSERT_TRUE(c.submit_until("j-1", 20));
  const auto first = c.leader();
  c.store.endpoint(first).delay_probability = 1;
  std::jthread user([&] { c.submit(first, "j-2"); });
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  c.store.endpoint(first).rejects_requests = true;
  c.store.expire_session_leases();
  ASSERT_TRUE(c.eventually(20, [&] { return !c.store.leader().empty() && c.leader() != first; }));
  ASSERT_TRUE(c.submit_until("j-3", 20));
  ASSERT_TRUE(c.eventually(10, [&] { return c.store.delayed_executions() > 0; })) << "the late transaction was not executed";
  user.join();
  EXPECT_EQ(c.store.unfenced_writes(), 0u);
  EXPECT_FALSE(c.acceptances_in_ledger().contains("j-2"));
  EXPECT_TRUE(c.submit_until("j-2", 20)) << "the user submits again";
}

TEST(Leadership, AppliesTransactionWithUnknownOutcomeOnce) {
  Cluster c(2);
  ASSERT_TRUE(c.submit_until("j-0", 20));
  const auto first = c.leader();
  c.store.endpoint(first).reply_loss_probability = 0.5;
  c.store.endpoint(first).duplicate_probability = 0.5;
  for (int i = 1; i <= 6; ++i) EXPECT_TRUE(c.submit_until("j-" + std::to_string(i), 30)) << i;
  c.store.endpoint(first).reply_loss_probability = 0;
  c.store.endpoint(first).duplicate_probability = 0;
  ASSERT_TRUE(c.submit_until("j-7", 20));
  const auto accepted = c.acceptances_in_ledger();
  for (int i = 0; i <= 7; ++i) {
    const auto it = accepted.find("j-" + std::to_string(i));
    ASSERT_NE(it, accepted.end()) << i;
    EXPECT_EQ(it->second, 1) << i;
  }
  EXPECT_EQ(c.store.unfenced_writes(), 0u);
}

// The store's replies, including those to lease renewals, are delayed for longer than the session lease. The leader's replies must not
// be older than those of its successor.
TEST(Leadership, SendsNoOutdatedReplyWhileTheStoreDoesNotReply) {
  Cluster c(3);
  ASSERT_TRUE(c.submit_until("j-1", 20));
  const auto first = c.leader();
  c.store.endpoint(first).holds_replies = true;
  ASSERT_TRUE(c.eventually(20, [&] { return !c.store.leader().empty() && c.leader() != first; }));
  const auto next = c.leader();
  ASSERT_TRUE(c.eventually(20, [&] { return c.ask(next, "POST", "/v1/jobs/j-1/withdraw").is(200); }));
  for (int i = 0; i < 20; ++i) {
    const auto r = c.ask(first, "GET", "/v1/jobs/j-1");
    if (r.is(200)) {
      EXPECT_NE(r.body.find("aborted"), std::string::npos) << r.body;
    }
    EXPECT_FALSE(r.is(404));
  }
  c.store.endpoint(first).holds_replies = false;
  EXPECT_TRUE(c.eventually(20, [&] {
    const auto r = c.ask(first, "GET", "/v1/jobs/j-1");
    return r.is(200) && r.body.find("aborted") != std::string::npos;
  }));
  EXPECT_EQ(c.store.unfenced_writes(), 0u);
}

// An agent that accepts commands without replying leaves task starts unacknowledged. The leader raises its fencing token while users'
// records are being committed, and must lose none of them.
TEST(Leadership, RaisesFencingTokenBetweenCommits) {
  Cluster c(2);
  ASSERT_TRUE(c.submit_until("j-0", 20));
  const auto first = c.leader();
  const auto before = c.store.fencing_token();
  const auto address = free_address();
  std::atomic<bool> stopping{false};
  std::atomic<int> commands{0};
  HttpServer worker(address, 10, [&](const HttpCall&) -> HttpReply {
    ++commands;
    for (int i = 0; i < 200 && !stopping; ++i) std::this_thread::sleep_for(std::chrono::milliseconds(10));
    return {503, "{}"};
  });
  std::uint64_t serial = 0;
  const auto heartbeat = [&] { c.ask(first, "POST", "/v1/report", test_support::heartbeat_body("m-1", address, ++serial, 0)); };
  int accepted = 0;
  EXPECT_TRUE(c.eventually(20, [&] {
    heartbeat();
    accepted += c.submit_until("j-1" + std::to_string(serial), 10);
    return commands > 0 && c.store.fencing_token() > before;
  }));
  EXPECT_GT(accepted, 0);
  EXPECT_EQ(c.leader(), first) << "the same leader, with a higher fencing token";
  const auto in_ledger = c.acceptances_in_ledger();
  for (std::uint64_t i = 1; i <= serial; ++i) EXPECT_TRUE(in_ledger.contains("j-1" + std::to_string(i)));
  EXPECT_EQ(c.store.unfenced_writes(), 0u);
  stopping = true;
}

// The leader is partitioned only from the agents: their heartbeats arrive through the other controller, and no agent replies to its
// commands. Although it keeps its session lease and its peer, it must hand over.
TEST(Leadership, HandsOverWhenAgentsReachOnlyOtherControllers) {
  Cluster c(2);
  ASSERT_TRUE(c.submit_until("j-1", 20));
  const auto first = c.leader();
  const auto other = 1 - first;
  std::uint64_t serial = 0;
  EXPECT_TRUE(c.eventually(30, [&] {
    ++serial;
    for (int w = 0; w < 4; ++w) {
      c.ask(other, "POST", "/v1/report",
            test_support::heartbeat_body("m-" + std::to_string(w), "127.0.0.1:1", serial, c.store.fencing_token()));
    }
    return c.store.leader() == "host-" + std::to_string(other);
  }));
  EXPECT_NE(c.ask(first, "GET", "/metrics").body.find("thistlefront_handed_over_total 1"), std::string::npos);
  EXPECT_TRUE(c.submit_until("j-2", 20));
}

// Guards against leases that a deposed leader renews without end: a leader whose settings lack its peers took itself for a majority.
TEST(Leadership, LeaderThatLacksPeersInItsSettingsHasNoQuorum) {
  const auto omit_peers = [](std::vector<Settings>& settings) { settings.at(0).controller_count = 3; };
  Cluster c(1, 1, {test_support::fixed_version_options()}, omit_peers);
  ASSERT_TRUE(c.submit_until("j-1", 20));
  std::uint64_t serial = 0;
  const auto renews_lease = [&] {
    return c.ask(0, "POST", "/v1/report", test_support::heartbeat_body("m-1", "127.0.0.1:1", ++serial, c.store.fencing_token())).is(200);
  };
  ASSERT_TRUE(c.eventually(10, renews_lease));
  c.store.endpoint(0).rejects_requests = true;
  c.store.expire_session_leases();
  EXPECT_TRUE(c.eventually(10, [&] { return !renews_lease(); })) << "it has no majority and may not be the leader any more";
}

// A process that ended leaves its leader key until its session lease expires (here never). The next process with the same label knows that
// the earlier one has ended and removes the key, so that another controller leads. It does not remove a key with another label.
TEST(Leadership, RemovesOnlyLeaderKeyOfOwnEarlierProcess) {
  Cluster c(3);
  ASSERT_TRUE(c.submit_until("j-1", 20));
  const auto restart_with_leader_key_of = [&](const std::string& label) {
    for (std::size_t i = 0; i < 3; ++i) c.stop(i);
    c.store.put(c.store.leader_key_name(), R"({"label":")" + label + R"(","incarnation":7})");
    const auto token_of_key = c.store.fencing_token();
    for (std::size_t i = 0; i < 3; ++i) c.start(i, {});
    return token_of_key;
  };
  const auto own_token = restart_with_leader_key_of("host-1");
  EXPECT_TRUE(c.eventually(10, [&] { return c.store.fencing_token() > own_token && !c.store.leader().empty(); }));
  EXPECT_TRUE(c.submit_until("j-2", 20));
  EXPECT_EQ(c.store.unfenced_writes(), 0u);

  const auto other_token = restart_with_leader_key_of("host-7");
  EXPECT_FALSE(c.eventually(2, [&] { return c.store.fencing_token() != other_token; }));
  EXPECT_TRUE(c.submit(0, "j-3").is(503));
  c.store.remove(c.store.leader_key_name());
  EXPECT_TRUE(c.submit_until("j-3", 20));
}

// An unacknowledged attempt to acquire the leader key is executed just before the next attempt of the same controller. The controller then
// finds its own key, attached to a session lease that it does not renew. It used to lead nevertheless, while another controller could
// take over.
TEST(Leadership, DoesNotLeadWithKeyOfLateEarlierAttempt) {
  Cluster c(2);
  ASSERT_TRUE(c.submit_until("j-1", 20));
  const auto first = c.leader(), other = 1 - first;
  c.store.endpoint(other).delays_takeover = true;
  c.stop(first);
  ASSERT_TRUE(c.eventually(20, [&] { return !c.store.endpoint(other).delays_takeover; }));
  for (const double until = steady_now() + 6; steady_now() < until;) {
    const bool held_before = c.store.leader() == "host-" + std::to_string(other);
    const auto r = c.ask(other, "GET", "/v1/jobs/j-999");
    const bool held_after = c.store.leader() == "host-" + std::to_string(other);
    EXPECT_FALSE(r.is(404) && !held_before && !held_after) << "a controller without the leader key decided";
  }
  EXPECT_TRUE(c.submit_until("j-2", 20));
  EXPECT_EQ(c.store.unfenced_writes(), 0u);
}

// A process that crashes repeatedly must not use up the store's rate limit: in its first second it sends one read and one watch.
TEST(Leadership, WritesNothingInTheFirstSecondOfAProcess) {
  Cluster c(3);
  ASSERT_TRUE(c.submit_until("j-1", 20));
  const auto other = (c.leader() + 1) % 3;
  c.stop(other);
  auto& endpoint = c.store.endpoint(other);
  endpoint.requests_before_crash = 1;  // the second request gets no reply
  c.start(other, {});
  EXPECT_TRUE(c.eventually(0.5, [&] { return endpoint.requests_before_crash == 0; })) << "it reads the leader key";
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  EXPECT_FALSE(endpoint.crash_reached);
  EXPECT_TRUE(c.eventually(5, [&] { return endpoint.crash_reached.load(); })) << "it writes its registry record later";
  endpoint.crash_reached = false;
}

// What all users of a test observed: jobs that were accepted, confirmed as cancelled, or requested to be cancelled.
struct Observations {
  void add_violation(const std::string& description) {
    std::lock_guard lock(mutex);
    violations.push_back(description);
  }
  std::mutex mutex;
  std::vector<std::string> violations;
  std::set<std::string> accepted, cancelled, cancel_requested;
};

// Submits, cancels and polls at random, and records a violation for each reply that contradicts an earlier one.
class RandomUser {
 public:
  RandomUser(Cluster& cluster, Observations& observations, int user)
      : cluster_(cluster), observations_(observations), user_(user), random_(static_cast<unsigned>(user)) {}
  void run(const std::atomic<bool>& over) {
    while (!over) {
      const auto controller = random_() % 3;
      if (accepted_.size() < 4 || random_() % 3 == 0) {
        submit(controller);
      } else if (random_() % 4 == 0) {
        cancel(controller, accepted_[random_() % accepted_.size()]);
      } else {
        poll(controller, accepted_[random_() % accepted_.size()]);
      }
    }
    std::lock_guard lock(observations_.mutex);
    observations_.accepted.insert(accepted_.begin(), accepted_.end());
    observations_.cancelled.insert(cancelled_.begin(), cancelled_.end());
    observations_.cancel_requested.insert(cancel_requested_.begin(), cancel_requested_.end());
  }

 private:
  void submit(std::size_t controller) {
    const std::string uid = "j-" + std::to_string(user_ * 1000 + ++submitted_);
    const auto r = cluster_.submit(controller, uid);
    if (r.is(400) || r.is(422)) observations_.add_violation(uid + ": refused");
    if (r.is(201) || r.is(200)) accepted_.push_back(uid);
  }
  void cancel(std::size_t controller, const std::string& uid) {
    const auto r = cluster_.ask(controller, "POST", "/v1/jobs/" + uid + "/withdraw");
    cancel_requested_.insert(uid);
    if (r.is(404)) observations_.add_violation(uid + ": not found when cancelled");
    if (r.is(200)) cancelled_.insert(uid);
  }
  void poll(std::size_t controller, const std::string& uid) {
    const auto r = cluster_.ask(controller, "GET", "/v1/jobs/" + uid);
    if (r.is(404)) observations_.add_violation(uid + ": accepted, then not found");
    if (r.is(200) && cancelled_.contains(uid) && r.body.find("aborted") == std::string::npos)
      observations_.add_violation(uid + ": cancelled, then not cancelled");
    if (r.is(200) && r.body.find("\"status\":\"done\"") != std::string::npos)
      observations_.add_violation(uid + ": done without having run");
  }

  Cluster& cluster_;
  Observations& observations_;
  const int user_;
  std::mt19937 random_;
  std::vector<std::string> accepted_;
  std::set<std::string> cancelled_, cancel_requested_;
  int submitted_ = 0;
};

void inject_random_faults(Cluster& c, const std::atomic<bool>& over) {
  std::mt19937 random(11);
  while (!over) {
    auto& endpoint = c.store.endpoint(random() % 3);
    switch (random() % 5) {
      case 0: endpoint.rejects_requests = !endpoint.rejects_requests; break;
      case 1: endpoint.reply_loss_probability = endpoint.reply_loss_probability > 0 ? 0 : 0.3; break;
      case 2: endpoint.delay_probability = endpoint.delay_probability > 0 ? 0 : 0.2; break;
      case 3: endpoint.duplicate_probability = endpoint.duplicate_probability > 0 ? 0 : 0.3; break;
      default:
        if (random() % 3 == 0) c.store.expire_session_leases();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
  }
}

// Users call three controllers while the store's endpoints refuse, lose, delay and repeat requests at random and session leases expire.
TEST(Leadership, RepliesToUsersStayTrueUnderRandomFaults) {
  Cluster c(3, 7);
  ASSERT_TRUE(c.submit_until("j-0", 20));
  std::atomic<bool> over{false};
  for (std::size_t i = 0; i < 3; ++i)
    c.store.endpoint(i).max_delay_s = 6;  // so late that newer transactions of the same controller come first
  std::jthread faults([&] { inject_random_faults(c, over); });
  Observations observations;
  std::vector<std::jthread> users;
  for (int u = 1; u <= 4; ++u) users.emplace_back([&, u] { RandomUser(c, observations, u).run(over); });
  std::this_thread::sleep_for(std::chrono::seconds(8));
  over = true;
  users.clear();
  faults.join();
  for (std::size_t i = 0; i < 3; ++i) {
    auto& endpoint = c.store.endpoint(i);
    endpoint.rejects_requests = false;
    endpoint.reply_loss_probability = endpoint.delay_probability = endpoint.duplicate_probability = 0;
  }
  ASSERT_TRUE(c.submit_until("j-9", 30));
  EXPECT_TRUE(observations.violations.empty()) << observations.violations.size() << " violations, first "
                                               << (observations.violations.empty() ? "" : observations.violations.front());
  EXPECT_GT(observations.accepted.size(), 10u);
  for (const auto& uid : observations.accepted) {
    std::string body;
    ASSERT_TRUE(c.eventually(10, [&] {
      const auto r = c.ask(0, "GET", "/v1/jobs/" + uid);
      body = r.body;
      return r.is(200);
    })) << uid;
    // A cancellation without a reply may have been executed; a job whose cancellation was not requested may not be cancelled.
    const bool aborted = body.find("aborted") != std::string::npos;
    EXPECT_TRUE(aborted || !observations.cancelled.contains(uid)) << uid << ": " << body;
    EXPECT_TRUE(!aborted || observations.cancel_requested.contains(uid)) << uid << ": " << body;
  }
  EXPECT_EQ(c.store.unfenced_writes(), 0u);
}

// With more connections than the process may have threads for, idle connections are closed and nothing else is affected.
TEST(Leadership, KeepsLeadingAndServingUsersBeyondTheConnectionBudget) {
  Options few_threads;
  few_threads.threads = ResourceBudget::kMinThreads;
  Cluster c(1, 1, {few_threads});
  ASSERT_TRUE(c.submit_until("j-0", 20));
  const auto fencing_token = std::to_string(c.store.fencing_token());
  std::vector<Socket> idle;
  for (int i = 1; i <= 150; ++i) {
    idle.push_back(connect_to(c.client_addresses[0], 2));
    if (i % 25 != 0) continue;
    ASSERT_TRUE(c.submit_until("j-" + std::to_string(i), 10)) << i << " idle connections";
  }
  EXPECT_EQ(c.store.leader(), "host-0");
  const auto metrics = c.ask(0, "GET", "/metrics").body;
  EXPECT_NE(metrics.find("thistlefront_epoch " + fencing_token + "\n"), std::string::npos) << "the controller lost leadership";
  const auto line_start = metrics.find("thistlefront_client_connections ");
  ASSERT_NE(line_start, std::string::npos);
  EXPECT_LE(std::stoul(metrics.substr(line_start + 32)),
            split_resource_budget(few_threads.threads, 400, 0).client_connections + ResourceBudget::kMaxClosingConnections);
}

// A process may be suspended between making a reply and sending it, so the server rechecks the reply's validity just before sending.
TEST(HttpServer, DoesNotSendExpiredReply) {
  const auto address = free_address();
  HttpServer server(address, 5, [](const HttpCall& call) -> HttpReply {
    HttpReply reply{200, R"({"status":"queued"})"};
    reply.valid_until = steady_now() + (call.target == "/old" ? -0.1 : 10);
    return reply;
  });
  HttpClient client(address);
  EXPECT_TRUE(client.get("/new", 5).is(200));
  EXPECT_TRUE(client.get("/old", 5).is(503));
}

}  // namespace
}  // namespace thistlefront
