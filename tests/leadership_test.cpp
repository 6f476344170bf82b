// Leadership and the ledger's writer: real controllers on loopback against a fake store that refuses, loses, delays and repeats. What users
// were told must stay true, whoever leads.
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

TEST(Leadership, ALeaderThatTheStoreRefusesHandsOverAndFollows) {
  Cluster c(3);
  ASSERT_TRUE(c.submit_until("j-1", 20));
  const auto first = c.leader();
  c.state.endpoint(first).refuses = true;
  ASSERT_TRUE(c.eventually(20, [&] { return !c.state.leader().empty() && c.leader() != first; }));
  EXPECT_TRUE(c.submit_until("j-2", 20));
  // The refused controller still takes requests, and forwards them.
  EXPECT_TRUE(c.eventually(20, [&] { return c.submit(first, "j-3").is(201) || c.submit(first, "j-3").is(200); }));
  for (const auto* uid : {"j-1", "j-2", "j-3"})
    for (std::size_t i = 0; i < 3; ++i)
      EXPECT_TRUE(c.eventually(10, [&] { return c.ask(i, "GET", std::string("/v1/jobs/") + uid).is(200); })) << uid;
  EXPECT_EQ(c.state.unfenced(), 0u);
}

// A leader frozen between check and send: when its transaction arrives, its session lease has expired and another one leads.
TEST(Leadership, ADeposedLeadersLateTransactionChangesNothing) {
  Cluster c(2);
  ASSERT_TRUE(c.submit_until("j-1", 20));
  const auto first = c.leader();
  c.state.endpoint(first).late = 1;
  std::jthread user([&] { c.submit(first, "j-2"); });
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  c.state.endpoint(first).refuses = true;
  c.state.expire_session_leases();
  ASSERT_TRUE(c.eventually(20, [&] { return !c.state.leader().empty() && c.leader() != first; }));
  ASSERT_TRUE(c.submit_until("j-3", 20));
  ASSERT_TRUE(c.eventually(10, [&] { return c.state.late_ones() > 0; })) << "the late transaction was to be executed";
  user.join();
  EXPECT_EQ(c.state.unfenced(), 0u);
  EXPECT_FALSE(c.accepted_in_ledger().contains("j-2"));
  EXPECT_TRUE(c.submit_until("j-2", 20)) << "its user asks again";
}

TEST(Leadership, ATransactionInDoubtIsAppliedOnce) {
  Cluster c(2);
  ASSERT_TRUE(c.submit_until("j-0", 20));
  const auto first = c.leader();
  c.state.endpoint(first).loses = 0.5;
  c.state.endpoint(first).repeats = 0.5;
  for (int i = 1; i <= 6; ++i) EXPECT_TRUE(c.submit_until("j-" + std::to_string(i), 30)) << i;
  c.state.endpoint(first).loses = 0;
  c.state.endpoint(first).repeats = 0;
  ASSERT_TRUE(c.submit_until("j-7", 20));
  const auto accepted = c.accepted_in_ledger();
  for (int i = 0; i <= 7; ++i) {
    const auto it = accepted.find("j-" + std::to_string(i));
    ASSERT_NE(it, accepted.end()) << i;
    EXPECT_EQ(it->second, 1) << i;
  }
  EXPECT_EQ(c.state.unfenced(), 0u);
}

// The store's answers, also to renewals, are held up for longer than the session lease: what the leader says meanwhile must not be older
// than what its successor says.
TEST(Leadership, ALeaderWithoutAnswersTellsUsersNothingThatMayBeOld) {
  Cluster c(3);
  ASSERT_TRUE(c.submit_until("j-1", 20));
  const auto first = c.leader();
  c.state.endpoint(first).frozen = true;
  ASSERT_TRUE(c.eventually(20, [&] { return !c.state.leader().empty() && c.leader() != first; }));
  const auto next = c.leader();
  ASSERT_TRUE(c.eventually(20, [&] { return c.ask(next, "POST", "/v1/jobs/j-1/withdraw").is(200); }));
  for (int i = 0; i < 20; ++i) {
    const auto r = c.ask(first, "GET", "/v1/jobs/j-1");
    if (r.is(200)) {
      EXPECT_NE(r.body.find("aborted"), std::string::npos) << r.body;
    }
    EXPECT_FALSE(r.is(404));
  }
  c.state.endpoint(first).frozen = false;
  EXPECT_TRUE(c.eventually(20, [&] {
    const auto r = c.ask(first, "GET", "/v1/jobs/j-1");
    return r.is(200) && r.body.find("aborted") != std::string::npos;
  }));
  EXPECT_EQ(c.state.unfenced(), 0u);
}

// A worker that takes commands and does not answer leaves starts in doubt: the leader raises its fencing token while users' records are on
// their way into the ledger, and loses none of them.
TEST(Leadership, TheFencingTokenIsRaisedBetweenCommits) {
  Cluster c(2);
  ASSERT_TRUE(c.submit_until("j-0", 20));
  const auto first = c.leader();
  const auto before = c.state.fencing_token();
  const auto address = free_address();
  std::atomic<bool> ending{false};
  std::atomic<int> commands{0};
  HttpServer worker(address, 10, [&](const HttpCall&) -> HttpReply {
    ++commands;
    for (int i = 0; i < 200 && !ending; ++i) std::this_thread::sleep_for(std::chrono::milliseconds(10));
    return {503, "{}"};
  });
  std::uint64_t serial = 0;
  const auto heartbeat = [&] { c.ask(first, "POST", "/v1/report", test_support::heartbeat_body("m-1", address, ++serial, 0)); };
  int accepted = 0;
  EXPECT_TRUE(c.eventually(20, [&] {
    heartbeat();
    accepted += c.submit_until("j-1" + std::to_string(serial), 10);
    return commands > 0 && c.state.fencing_token() > before;
  }));
  EXPECT_GT(accepted, 0);
  EXPECT_EQ(c.leader(), first) << "the same leader, with a higher fencing token";
  const auto in_ledger = c.accepted_in_ledger();
  for (std::uint64_t i = 1; i <= serial; ++i) EXPECT_TRUE(in_ledger.contains("j-1" + std::to_string(i)));
  EXPECT_EQ(c.state.unfenced(), 0u);
  ending = true;
}

// The leader is cut from the workers only: their heartbeats come through the other controller, and none answers its commands. It keeps its
// session lease and its peer, and must give up the lead all the same.
TEST(Leadership, ALeaderThatWorkersReachThroughOthersOnlyHandsOver) {
  Cluster c(2);
  ASSERT_TRUE(c.submit_until("j-1", 20));
  const auto first = c.leader();
  const auto other = 1 - first;
  std::uint64_t serial = 0;
  EXPECT_TRUE(c.eventually(30, [&] {
    ++serial;
    for (int w = 0; w < 4; ++w) {
      c.ask(other, "POST", "/v1/report",
            test_support::heartbeat_body("m-" + std::to_string(w), "127.0.0.1:1", serial, c.state.fencing_token()));
    }
    return c.state.leader() == "host-" + std::to_string(other);
  }));
  EXPECT_NE(c.ask(first, "GET", "/metrics").body.find("thistlefront_handed_over_total 1"), std::string::npos);
  EXPECT_TRUE(c.submit_until("j-2", 20));
}

// A process that ended leaves its leader key for as long as its session lease lasts (here for ever). The next process of the same name
// knows that the earlier one has ended and removes the key, and another controller leads. A key of any other name stays.
TEST(Leadership, TheLeaderKeyOfItsOwnEarlierProcessIsRemovedAndNoOther) {
  Cluster c(3);
  ASSERT_TRUE(c.submit_until("j-1", 20));
  const auto restart_with_leader_key_of = [&](const std::string& label) {
    for (std::size_t i = 0; i < 3; ++i) c.stop(i);
    c.state.put(c.state.lead(), R"({"label":")" + label + R"(","incarnation":7})");
    const auto left = c.state.fencing_token();
    for (std::size_t i = 0; i < 3; ++i) c.start(i, {});
    return left;
  };
  const auto left = restart_with_leader_key_of("host-1");
  EXPECT_TRUE(c.eventually(10, [&] { return c.state.fencing_token() > left && !c.state.leader().empty(); }));
  EXPECT_TRUE(c.submit_until("j-2", 20));
  EXPECT_EQ(c.state.unfenced(), 0u);

  const auto others = restart_with_leader_key_of("host-7");
  EXPECT_FALSE(c.eventually(2, [&] { return c.state.fencing_token() != others; }));
  EXPECT_TRUE(c.submit(0, "j-3").is(503));
  c.state.remove(c.state.lead());
  EXPECT_TRUE(c.submit_until("j-3", 20));
}

// A try to take the leader key that got no answer is executed just before the next try of the same controller, which then finds a key of
// its own, attached to a session lease that it does not renew: it once led on while another controller could take the lead.
TEST(Leadership, ALeadTakenByALateTransactionIsNotTheNextTrysOwn) {
  Cluster c(2);
  ASSERT_TRUE(c.submit_until("j-1", 20));
  const auto first = c.leader(), other = 1 - first;
  c.state.endpoint(other).lead_overtaken = true;
  c.stop(first);
  ASSERT_TRUE(c.eventually(20, [&] { return !c.state.endpoint(other).lead_overtaken; }));
  for (const double until = steady_now() + 6; steady_now() < until;) {
    const bool held = c.state.leader() == "host-" + std::to_string(other);
    const auto r = c.ask(other, "GET", "/v1/jobs/j-999");
    const bool holds = c.state.leader() == "host-" + std::to_string(other);
    EXPECT_FALSE(r.is(404) && !held && !holds) << "it decides without the key";
  }
  EXPECT_TRUE(c.submit_until("j-2", 20));
  EXPECT_EQ(c.state.unfenced(), 0u);
}

// A process that crashes over and over must not use up the store's rate limit: in its first second a start costs one read and one watch.
TEST(Leadership, AStartCostsNoChangeBeforeItHasLivedForASecond) {
  Cluster c(3);
  ASSERT_TRUE(c.submit_until("j-1", 20));
  const auto other = (c.leader() + 1) % 3;
  c.stop(other);
  auto& endpoint = c.state.endpoint(other);
  endpoint.fuse = 1;  // the second request gets no answer
  c.start(other, {});
  EXPECT_TRUE(c.eventually(0.5, [&] { return endpoint.fuse == 0; })) << "it reads who leads";
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  EXPECT_FALSE(endpoint.blown);
  EXPECT_TRUE(c.eventually(5, [&] { return endpoint.blown.load(); })) << "then it writes its registry record";
  endpoint.blown = false;
}

// What the users of a test were told together.
struct ToldUsers {
  void complain(const std::string& what) {
    std::lock_guard lock(mutex);
    broken.push_back(what);
  }
  std::mutex mutex;
  std::vector<std::string> broken;
  std::set<std::string> accepted, withdrawn, asked;
};

// Submits, cancels and polls at random, and complains of each answer that contradicts an earlier one.
class RandomUser {
 public:
  RandomUser(Cluster& cluster, ToldUsers& told, int user)
      : cluster_(cluster), told_(told), user_(user), random_(static_cast<unsigned>(user)) {}
  void run(const std::atomic<bool>& over) {
    while (!over) {
      const auto replica = random_() % 3;
      if (mine_.size() < 4 || random_() % 3 == 0) {
        submit(replica);
      } else if (random_() % 4 == 0) {
        withdraw(replica, mine_[random_() % mine_.size()]);
      } else {
        poll(replica, mine_[random_() % mine_.size()]);
      }
    }
    std::lock_guard lock(told_.mutex);
    told_.accepted.insert(mine_.begin(), mine_.end());
    told_.withdrawn.insert(gone_.begin(), gone_.end());
    told_.asked.insert(wanted_.begin(), wanted_.end());
  }

 private:
  void submit(std::size_t replica) {
    const std::string uid = "j-" + std::to_string(user_ * 1000 + ++submitted_);
    const auto r = cluster_.submit(replica, uid);
    if (r.is(400) || r.is(422)) told_.complain(uid + ": refused");
    if (r.is(201) || r.is(200)) mine_.push_back(uid);
  }
  void withdraw(std::size_t replica, const std::string& uid) {
    const auto r = cluster_.ask(replica, "POST", "/v1/jobs/" + uid + "/withdraw");
    wanted_.insert(uid);
    if (r.is(404)) told_.complain(uid + ": withdrawal not found");
    if (r.is(200)) gone_.insert(uid);
  }
  void poll(std::size_t replica, const std::string& uid) {
    const auto r = cluster_.ask(replica, "GET", "/v1/jobs/" + uid);
    if (r.is(404)) told_.complain(uid + ": forgotten");
    if (r.is(200) && gone_.contains(uid) && r.body.find("aborted") == std::string::npos) told_.complain(uid + ": went back");
    if (r.is(200) && r.body.find("\"status\":\"done\"") != std::string::npos) told_.complain(uid + ": done, and nothing ran");
  }

  Cluster& cluster_;
  ToldUsers& told_;
  const int user_;
  std::mt19937 random_;
  std::vector<std::string> mine_;
  std::set<std::string> gone_, wanted_;
  int submitted_ = 0;
};

void play_random_faults(Cluster& c, const std::atomic<bool>& over) {
  std::mt19937 random(11);
  while (!over) {
    auto& endpoint = c.state.endpoint(random() % 3);
    switch (random() % 5) {
      case 0: endpoint.refuses = !endpoint.refuses; break;
      case 1: endpoint.loses = endpoint.loses > 0 ? 0 : 0.3; break;
      case 2: endpoint.late = endpoint.late > 0 ? 0 : 0.2; break;
      case 3: endpoint.repeats = endpoint.repeats > 0 ? 0 : 0.3; break;
      default:
        if (random() % 3 == 0) c.state.expire_session_leases();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
  }
}

// Users of three controllers, while the store's endpoints refuse, lose, delay and repeat at random and session leases expire.
TEST(Leadership, WhatUsersWereToldStaysTrueUnderRandomFaults) {
  Cluster c(3, 7);
  ASSERT_TRUE(c.submit_until("j-0", 20));
  std::atomic<bool> over{false};
  for (std::size_t i = 0; i < 3; ++i) c.state.endpoint(i).late_most = 6;  // well after newer transactions of the same controller
  std::jthread faults([&] { play_random_faults(c, over); });
  ToldUsers told;
  std::vector<std::jthread> users;
  for (int u = 1; u <= 4; ++u) users.emplace_back([&, u] { RandomUser(c, told, u).run(over); });
  std::this_thread::sleep_for(std::chrono::seconds(8));
  over = true;
  users.clear();
  faults.join();
  for (std::size_t i = 0; i < 3; ++i) {
    auto& endpoint = c.state.endpoint(i);
    endpoint.refuses = false;
    endpoint.loses = endpoint.late = endpoint.repeats = 0;
  }
  ASSERT_TRUE(c.submit_until("j-9", 30));
  EXPECT_TRUE(told.broken.empty()) << told.broken.size() << " broken, first " << (told.broken.empty() ? "" : told.broken.front());
  EXPECT_GT(told.accepted.size(), 10u);
  for (const auto& uid : told.accepted) {
    std::string body;
    ASSERT_TRUE(c.eventually(10, [&] {
      const auto r = c.ask(0, "GET", "/v1/jobs/" + uid);
      body = r.body;
      return r.is(200);
    })) << uid;
    // A withdrawal that got no answer may have been executed, but nothing that was not asked for.
    const bool aborted = body.find("aborted") != std::string::npos;
    EXPECT_TRUE(aborted || !told.withdrawn.contains(uid)) << uid << ": " << body;
    EXPECT_TRUE(!aborted || told.asked.contains(uid)) << uid << ": " << body;
  }
  EXPECT_EQ(c.state.unfenced(), 0u);
}

// More connections than the process may have threads for: idle ones are closed, and nothing else is lost.
TEST(Leadership, ConnectionsPastTheBudgetCostNeitherTheLeadNorTheUsers) {
  Options few;
  few.threads = ResourceBudget::kLeastThreads;
  Cluster c(1, 1, {few});
  ASSERT_TRUE(c.submit_until("j-0", 20));
  const auto fencing_token = std::to_string(c.state.fencing_token());
  std::vector<Socket> idle;
  for (int i = 1; i <= 150; ++i) {
    idle.push_back(connect_to(c.users[0], 2));
    if (i % 25 != 0) continue;
    ASSERT_TRUE(c.submit_until("j-" + std::to_string(i), 10)) << i << " idle connections";
  }
  EXPECT_EQ(c.state.leader(), "host-0");
  const auto metrics = c.ask(0, "GET", "/metrics").body;
  EXPECT_NE(metrics.find("thistlefront_epoch " + fencing_token + "\n"), std::string::npos) << "it never stopped leading";
  const auto at = metrics.find("thistlefront_client_connections ");
  ASSERT_NE(at, std::string::npos);
  EXPECT_LE(std::stoul(metrics.substr(at + 32)), split_resource_budget(few.threads, 400, 0).clients + ResourceBudget::kOver);
}

// An answer made before the process was frozen and sent after: the server checks its validity once more just before it sends.
TEST(HttpServer, AnAnswerPastItsTimeIsNotGiven) {
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
