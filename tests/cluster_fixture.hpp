// A test fixture with a cluster of real controllers, relays on the network between them, stand-in workers that keep to the protocol, and
// the checker of the protocol's rules: a test fails where any rule is broken.
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
  explicit ClusterFixture(const testbed::Times& protocol_times) : times(protocol_times), checker({{"red", 1000}}, protocol_times.cancel) {}
  // Starts `n` controllers, all in zone `site`, and the workers, in zone x.
  void begin(std::size_t n, std::size_t machines, const std::string& site = "", const Options& options = one_level()) {
    cluster = std::make_unique<Cluster>(
        n, 1, std::vector<Options>{options},
        [&](auto& settings) {
          for (std::size_t i = 0; i < n; ++i) {
            Settings& s = settings[i];
            s.site = site;
            s.heartbeat_interval_s = times.heartbeat, s.lease_s = times.lease, s.cancel_s = times.cancel;
            for (auto& peer : s.peers) {
              const std::size_t k = std::stoul(peer.label.substr(5));
              peer.site = site;
              relays[{i, k}] = std::make_unique<testbed::Relay>(peer.address);
              peer.address = relays[{i, k}]->address();
            }
          }
        },
        cloud);
    for (std::size_t i = 0; i < machines; ++i)
      workers.push_back(
          std::make_unique<testbed::Worker>("m-" + std::to_string(i), "x", cluster->users, checker, times, static_cast<unsigned>(7 + i)));
    ticker = std::jthread([this](const std::stop_token& stop) {
      while (pause_for(stop, 0.02)) checker.tick(steady_now());
    });
  }
  void TearDown() override {
    ticker = {};
    if (cluster) cluster->state.outage(false);
    // The controllers first: until they have stopped, they may ask the cloud, whose handler looks at the workers.
    if (cluster) cluster->stop_all();
    workers.clear();
    cluster.reset();
    relays.clear();
    EXPECT_TRUE(checker.broken().empty()) << checker.broken().size() << " broken, first " << checker.broken().front();
  }
  // Makes a call about this job and tells the checker what its user is told; returns that.
  template <class Ask>
  std::string told(const std::string& uid, const Ask& ask) {
    const double sent = steady_now();
    const auto status = status_in(ask());
    if (!status.empty()) checker.told(uid, status, sent, steady_now());
    return status;
  }
  std::string poll(std::size_t replica, const std::string& uid) {
    return told(uid, [&] { return cluster->ask(replica, "GET", "/v1/jobs/" + uid); });
  }
  std::string submit(std::size_t replica, const std::string& uid) {
    return told(uid, [&] { return cluster->submit(replica, uid); });
  }
  std::string withdraw(std::size_t replica, const std::string& uid) {
    return told(uid, [&] { return cluster->ask(replica, "POST", "/v1/jobs/" + uid + "/withdraw"); });
  }
  std::size_t running(const std::string& uid) {
    const auto r = cluster->ask(cluster->leader(), "GET", "/v1/jobs/" + uid);
    const auto at = r.body.find("\"running\":");
    return at == std::string::npos ? 0 : std::stoul(r.body.substr(at + 10));
  }
  // Cuts the network between two controllers, both ways; and between one and all others.
  void part(std::size_t a, std::size_t b, bool is) {
    relays.at({a, b})->cut(is);
    relays.at({b, a})->cut(is);
  }
  void part(std::size_t a, bool is) {
    for (std::size_t k = 0; k < cluster->users.size(); ++k)
      if (k != a) part(a, k, is);
  }
  // Freezes all workers.
  void hang(double for_s) {
    for (auto& w : workers) w->hang(steady_now() + for_s);
  }

  HttpServer::Handler cloud;  // in place of one that has no machines
  const testbed::Times times;
  testbed::Checker checker;
  std::map<std::pair<std::size_t, std::size_t>, std::unique_ptr<testbed::Relay>> relays;
  std::unique_ptr<Cluster> cluster;
  std::vector<std::unique_ptr<testbed::Worker>> workers;
  std::jthread ticker;
};

}  // namespace thistlefront::test_support
