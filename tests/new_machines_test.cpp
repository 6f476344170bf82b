// New machines are up at once and get tasks while writes lag and the cloud's list does not have them yet, and the leader goes: no machine
// is released with tasks on it, nothing starts twice, nothing is lost.
#include <gtest/gtest.h>

#include "cluster_fixture.hpp"

namespace thistlefront {
namespace {

using test_support::wait;

constexpr testbed::Times kTimes{0.3, 4, 8, 0.05};  // heartbeat, lease, cancel, pull
constexpr double kUnlisted = 1.0, kBooting = 6.0;  // seconds for which the list lacks a machine, and for which it says that it boots

class NewMachines : public test_support::ClusterFixture, public testing::WithParamInterface<bool> {
 protected:
  NewMachines() : ClusterFixture(kTimes) {
    cloud = [this](const HttpCall& c) { return answer_as_cloud(c); };
  }
  HttpReply answer_as_cloud(const HttpCall& c) {
    using nlohmann::json;
    if (c.target == kMachineTypesPath)
      return {200, R"({"hostKinds":[{"sku":"big","cores":8,"accelerators":0,"ramGb":32,"cacheGb":50,"fetchGbPerS":1,)"
                   R"("price":1,"marketPrice":0.5,"bootS":0.5,"yards":["x"]}]})"};
    std::lock_guard lock(mutex);
    const double now = steady_now();
    if (c.method == "GET") {
      json nodes = json::array();
      for (const auto& [name, at] : rented_at)
        if (now - at > kUnlisted && c.target.find("from=") == std::string_view::npos)
          nodes.push_back({{"uid", name},
                           {"address", ""},
                           {"hostKind", "big"},
                           {"yard", "x"},
                           {"loaners", false},
                           {"status", now - at < kBooting ? "booting" : "running"},
                           {"heldS", now - at}});
      return {200, json{{"hosts", nodes}, {"truncated", false}}.dump()};
    }
    const auto body = json::parse(c.body);
    if (c.target == "/rentals/release") {
      for (const auto& name : body.at("hosts"))
        for (auto& w : workers) {
          if (w->name() != name.get<std::string>() || !rented_at.contains(name.get<std::string>())) continue;
          released_at_work += w->holds();
          w->die();
          rented_at.erase(name);
        }
      return {200, "{}"};
    }
    json nodes = json::array();
    for (unsigned k = 0; k < body.at("count").get<unsigned>() && rented_at.size() < kMost; ++k) {
      const auto name = "m-" + std::to_string(workers.size());
      workers.push_back(
          std::make_unique<testbed::Worker>(name, "x", cluster->users, checker, times, static_cast<unsigned>(70 + workers.size())));
      rented_at[name] = now;
      nodes.push_back(name);
    }
    if (nodes.empty()) return {503, R"({"error":"no capacity"})"};
    return {200, json{{"hosts", nodes}}.dump()};
  }
  static constexpr std::size_t kMost = 4;
  std::mutex mutex;
  std::map<std::string, double> rented_at;
  std::size_t released_at_work = 0;
};

// The leader stops, or is cut off from the store and its peers; the nodes hang as its successor begins, which has not heard of them yet.
TEST_P(NewMachines, UpAtOnceWithWorkWhileWritesLagAndTheLeaderGoes) {
  begin(3, 0);
  ASSERT_TRUE(cluster->eventually(20, [&] { return cluster->submit(0, "j-9").is(201); }));
  checker.submitted({"j-9", "red", "batch", "", 2, 1, 0.3}, steady_now());
  for (int k = 0; k < 8; ++k) {
    const std::string uid = "j-" + std::to_string(k);
    checker.submitted({uid, "red", "batch", "", 2, 1, 5}, steady_now());
    ASSERT_TRUE(cluster->submit_until(uid, 20));
    checker.told(uid, "queued", steady_now());
  }
  const auto first = cluster->leader();
  for (std::size_t i = 0; i < 3; ++i) cluster->state.endpoint(i).slow = 0.3;
  const auto at_work = [&] {
    std::lock_guard lock(mutex);
    std::size_t n = 0;
    for (auto& w : workers) n += w->holds();
    return n;
  };
  ASSERT_TRUE(cluster->eventually(20, [&] { return at_work() >= 8; })) << "rented, up and with tasks";
  {
    std::lock_guard lock(mutex);
    for (const auto& [name, at] : rented_at) EXPECT_LT(steady_now() - at, 4) << "within seconds";
  }
  {
    std::lock_guard lock(mutex);
    for (auto& w : workers) w->hang(steady_now() + 3.5);
  }
  const auto fencing_token = cluster->state.fencing_token();
  if (GetParam()) {
    cluster->stop(first);
    cluster->start(first, test_support::one_level());
  } else {
    part(first, true);
    cluster->state.endpoint(first).refuses = true;
  }
  // A new leader that has heard of no node; it may be the next process of the controller that stopped.
  ASSERT_TRUE(cluster->eventually(10, [&] { return !cluster->state.leader().empty() && cluster->state.fencing_token() != fencing_token; }));
  EXPECT_GT(at_work(), 0u) << "the nodes have tasks as the next leader begins";
  wait(4);
  part(first, false);
  for (std::size_t i = 0; i < 3; ++i) cluster->state.endpoint(i).refuses = false, cluster->state.endpoint(i).slow = 0;
  for (int k = 0; k < 8; ++k) {
    const std::string uid = "j-" + std::to_string(k);
    ASSERT_TRUE(cluster->eventually(30, [&] { return poll(cluster->leader(), uid) == "done"; })) << uid;
  }
  std::lock_guard lock(mutex);
  EXPECT_EQ(released_at_work, 0u) << "tasks on machines that were released";
}
INSTANTIATE_TEST_SUITE_P(Leader, NewMachines, testing::Bool(),
                         [](const auto& info) { return std::string(info.param ? "Stops" : "IsCutOff"); });

}  // namespace
}  // namespace thistlefront
