// A test fixture with a cluster of real controllers, network relays between them, simulated workers that follow the protocol, and the
// checker of the protocol's rules. A test fails if any rule is broken.
#pragma once
#include "cluster.hpp"
#include "testbed/checker.hpp"
#include "testbed/network_relay.hpp"
#include "testbed/worker.hpp"
#include "transport/threads.hpp"

namespace thistlefront::test_support {

inline void wait(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

class ClusterFixture : public testing::Test {
 protected:
  explicit ClusterFixture(const testbed::ProtocolTimes& protocol_times)
      : times(protocol_times), checker({{"red", 1000}}, protocol_times.cancel_s) {}
  // Starts `n` controllers, all in zone `site`, and the workers of `node_count` nodes, in zone x.
  void start_cluster(std::size_t n, std::size_t node_count, const std::string& site = "",
                     const Options& options = fixed_version_options()) {
    cluster = std::make_unique<Cluster>(
        n, 1, std::vector<Options>{options},
        [&](auto& settings) {
          for (std::size_t i = 0; i < n; ++i) {
            Settings& s = settings[i];
            s.site = site;
            s.heartbeat_interval_s = times.heartbeat_interval_s, s.lease_s = times.lease_s, s.cancel_s = times.cancel_s;
            for (auto& peer : s.peers) {
              const std::size_t k = std::stoul(peer.label.substr(5));
              peer.site = site;
              network_relays[{i, k}] = std::make_unique<testbed::NetworkRelay>(peer.address);
              peer.address = network_relays[{i, k}]->address();
            }
          }
        },
        cloud);
    for (std::size_t i = 0; i < node_count; ++i) add_worker(static_cast<unsigned>(7 + i));
    checker_thread = std::jthread([this](const std::stop_token& stop) {
      while (pause_for(stop, 0.02)) checker.check_deadlines(steady_now());
    });
  }
  // Starts the worker of one more node, at which copies of executed commands arrive.
  void add_worker(unsigned seed) {
    workers.push_back(
        std::make_unique<testbed::Worker>("m-" + std::to_string(workers.size()), "x", cluster->client_addresses, checker, times, seed));
    workers.back()->duplicate_commands(true);
  }
  void TearDown() override {
    checker_thread = {};
    if (cluster) cluster->store.set_outage(false);
    // Stops the controllers first: while they run, they may call the cloud, whose handler accesses the workers.
    if (cluster) cluster->stop_all();
    workers.clear();
    cluster.reset();
    network_relays.clear();
    EXPECT_TRUE(checker.violations().empty()) << checker.violations().size() << " violations, first: " << checker.violations().front();
  }
  // Makes a user's call about this job, reports the status in the reply to the checker, and returns it.
  template <class Call>
  std::string call_and_check(const std::string& uid, const Call& call) {
    const double sent_at = steady_now();
    const auto status = status_of(call());
    if (!status.empty()) checker.record_reply(uid, status, sent_at, steady_now());
    return status;
  }
  std::string poll(std::size_t controller, const std::string& uid) {
    return call_and_check(uid, [&] { return cluster->ask(controller, "GET", "/v1/jobs/" + uid); });
  }
  std::string submit(std::size_t controller, const std::string& uid) {
    return call_and_check(uid, [&] { return cluster->submit(controller, uid); });
  }
  std::string withdraw(std::size_t controller, const std::string& uid) {
    return call_and_check(uid, [&] { return cluster->ask(controller, "POST", "/v1/jobs/" + uid + "/withdraw"); });
  }
  std::size_t count_running_tasks(const std::string& uid) {
    const auto reply = cluster->ask(cluster->leader(), "GET", "/v1/jobs/" + uid);
    const auto key_start = reply.body.find("\"running\":");
    return key_start == std::string::npos ? 0 : std::stoul(reply.body.substr(key_start + 10));
  }
  // Starts or ends a partition between two controllers, in both directions.
  void set_partition(std::size_t a, std::size_t b, bool partitioned) {
    network_relays.at({a, b})->set_partitioned(partitioned);
    network_relays.at({b, a})->set_partitioned(partitioned);
  }
  // Starts or ends a partition between one controller and all others.
  void set_partition(std::size_t a, bool partitioned) {
    for (std::size_t k = 0; k < cluster->client_addresses.size(); ++k)
      if (k != a) set_partition(a, k, partitioned);
  }
  void freeze_agents(double for_s) {
    for (auto& worker : workers) worker->hang_until(steady_now() + for_s);
  }

  HttpServer::Handler cloud;  // handler of the fake cloud; empty: no instances and no capacity
  const testbed::ProtocolTimes times;
  testbed::Checker checker;
  std::map<std::pair<std::size_t, std::size_t>, std::unique_ptr<testbed::NetworkRelay>> network_relays;  // by calling and called controller
  std::unique_ptr<Cluster> cluster;
  std::vector<std::unique_ptr<testbed::Worker>> workers;
  std::jthread checker_thread;
};

}  // namespace thistlefront::test_support
