// New instances boot at once and get tasks while store writes are slow and before the cloud lists them. Then the leader stops or is
// partitioned. No instance with tasks may be released, no task may start twice, and no job may be lost.
#include <gtest/gtest.h>

#include "cluster_fixture.hpp"

namespace thistlefront {
namespace {

using test_support::wait;

constexpr testbed::ProtocolTimes kTimes{.heartbeat_interval_s = 0.3, .lease_s = 4, .cancel_s = 8, .image_pull_s = 0.05};
constexpr double kUnlistedS = 1.0;         // a new instance is missing in the cloud's list for this long
constexpr double kListedAsBootingS = 6.0;  // age until which the list shows an instance as booting

class NewInstances : public test_support::ClusterFixture, public testing::WithParamInterface<bool> {
 protected:
  NewInstances() : ClusterFixture(kTimes) {
    cloud = [this](const HttpCall& c) { return reply_as_cloud(c); };
  }
  HttpReply reply_as_cloud(const HttpCall& c) {
    using nlohmann::json;
    if (c.target == kMachineTypesPath)
      return {200, R"({"hostKinds":[{"sku":"big","cores":8,"accelerators":0,"ramGb":32,"cacheGb":50,"fetchGbPerS":1,)"
                   R"("price":1,"marketPrice":0.5,"bootS":0.5,"yards":["x"]}]})"};
    std::lock_guard lock(mutex);
    const double now = steady_now();
    if (c.method == "GET") {
      json nodes = json::array();
      for (const auto& [name, requested_at] : requested_at_by_name)
        if (now - requested_at > kUnlistedS && c.target.find("from=") == std::string_view::npos)
          nodes.push_back({{"uid", name},
                           {"address", ""},
                           {"hostKind", "big"},
                           {"yard", "x"},
                           {"loaners", false},
                           {"status", now - requested_at < kListedAsBootingS ? "booting" : "running"},
                           {"heldS", now - requested_at}});
      return {200, json{{"hosts", nodes}, {"truncated", false}}.dump()};
    }
    const auto body = json::parse(c.body);
    if (c.target == "/rentals/release") {
      for (const auto& name : body.at("hosts"))
        for (auto& worker : workers) {
          if (worker->name() != name.get<std::string>() || !requested_at_by_name.contains(name.get<std::string>())) continue;
          released_tasks += worker->unfinished_tasks();
          worker->terminate();
          requested_at_by_name.erase(name);
        }
      return {200, "{}"};
    }
    json nodes = json::array();
    for (unsigned k = 0; k < body.at("count").get<unsigned>() && requested_at_by_name.size() < kMaxInstances; ++k) {
      const auto name = "m-" + std::to_string(workers.size());
      add_worker(static_cast<unsigned>(70 + workers.size()));
      requested_at_by_name[name] = now;
      nodes.push_back(name);
    }
    if (nodes.empty()) return {503, R"({"error":"no capacity"})"};
    return {200, json{{"hosts", nodes}}.dump()};
  }
  static constexpr std::size_t kMaxInstances = 4;
  std::mutex mutex;
  std::map<std::string, double> requested_at_by_name;  // steady seconds
  std::size_t released_tasks = 0;                      // tasks on instances at their release
};

// The leader stops, or is partitioned from the store and its peers. The agents are frozen when the successor takes over, so that the
// successor has not received a heartbeat from them.
TEST_P(NewInstances, KeepTheirTasksWhenTheLeaderChanges) {
  start_cluster(3, 0);
  ASSERT_TRUE(cluster->eventually(20, [&] { return cluster->submit(0, "j-9").is(201); }));
  checker.record_submission({"j-9", "red", "batch", "", 2, 1, 0.3}, steady_now());
  for (int k = 0; k < 8; ++k) {
    const std::string uid = "j-" + std::to_string(k);
    checker.record_submission({uid, "red", "batch", "", 2, 1, 5}, steady_now());
    ASSERT_TRUE(cluster->submit_until(uid, 20));
    checker.record_reply(uid, "queued", steady_now());
  }
  const auto first = cluster->leader();
  for (std::size_t i = 0; i < 3; ++i) cluster->store.endpoint(i).latency_s = 0.3;
  const auto count_placed_tasks = [&] {
    std::lock_guard lock(mutex);
    std::size_t n = 0;
    for (auto& worker : workers) n += worker->unfinished_tasks();
    return n;
  };
  ASSERT_TRUE(cluster->eventually(20, [&] { return count_placed_tasks() >= 8; })) << "the new instances got fewer than 8 tasks";
  {
    std::lock_guard lock(mutex);
    for (const auto& [name, requested_at] : requested_at_by_name) EXPECT_LT(steady_now() - requested_at, 4) << name;
  }
  {
    std::lock_guard lock(mutex);
    for (auto& worker : workers) worker->hang_until(steady_now() + 3.5);
  }
  const auto fencing_token = cluster->store.fencing_token();
  if (GetParam()) {
    cluster->stop(first);
    cluster->start(first, test_support::fixed_version_options());
  } else {
    set_partition(first, true);
    cluster->store.endpoint(first).rejects_requests = true;
  }
  // The new leader may be the restarted controller.
  ASSERT_TRUE(cluster->eventually(10, [&] { return !cluster->store.leader().empty() && cluster->store.fencing_token() != fencing_token; }));
  EXPECT_GT(count_placed_tasks(), 0u) << "no node has tasks when the next leader takes over";
  wait(4);
  set_partition(first, false);
  for (std::size_t i = 0; i < 3; ++i) cluster->store.endpoint(i).rejects_requests = false, cluster->store.endpoint(i).latency_s = 0;
  for (int k = 0; k < 8; ++k) {
    const std::string uid = "j-" + std::to_string(k);
    ASSERT_TRUE(cluster->eventually(30, [&] { return poll(cluster->leader(), uid) == "done"; })) << uid;
  }
  std::lock_guard lock(mutex);
  EXPECT_EQ(released_tasks, 0u) << "instances were released with tasks on them";
}
INSTANTIATE_TEST_SUITE_P(Leader, NewInstances, testing::Bool(),
                         [](const auto& info) { return std::string(info.param ? "Stops" : "IsPartitioned"); });

}  // namespace
}  // namespace thistlefront
