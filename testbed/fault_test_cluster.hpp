// A cluster on loopback with real controller processes. The key-value store, the cloud, the network between controllers, the worker nodes
// and the users are simulated in this process. The fault test's scenarios run on it in real time.
#pragma once
#include <atomic>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "testbed/checker.hpp"
#include "testbed/controller_process.hpp"
#include "testbed/fake_state_store.hpp"
#include "testbed/network_relay.hpp"
#include "testbed/worker.hpp"
#include "transport/http.hpp"

namespace thistlefront::testbed {

// Initial limit of each team in cores.
inline const std::map<std::string, double> kLimits{{"red", 60}, {"blue", 25}};
inline const std::vector<std::string> kZones{"x", "y"};

class FaultTestCluster {
 public:
  struct Options {
    std::size_t controllers = 3, workers = 40, users = 6;
    unsigned seed = 1;
    std::string logs;  // directory for the logs of the controllers; empty: they are discarded
  };
  // Starts workers and users, but no controllers.
  explicit FaultTestCluster(const Options& options);
  ~FaultTestCluster();
  FaultTestCluster(const FaultTestCluster&) = delete;
  FaultTestCluster& operator=(const FaultTestCluster&) = delete;

  // Writes a controller's settings file with these team limits in cores. The controller reads it at its next start.
  void write_settings(std::size_t i, const std::map<std::string, double>& limits);
  // Starts a controller with this program; kills its running process first.
  void start_controller(std::size_t i, const std::string& program, const std::vector<std::string>& flags);
  void kill_controller(std::size_t i);
  void set_frozen(std::size_t i, bool frozen);
  // Starts or ends a partition of a controller from its peers. Starting it also partitions the controller from the store if `store_too`;
  // ending it always reconnects the controller to the store. Workers and users still reach the controller.
  void set_partitioned(std::size_t i, bool partitioned, bool store_too);
  // Index of the leader, or the number of controllers while there is no leader.
  [[nodiscard]] std::size_t leader();

  // Calls random controllers until the request could be sent to one; makes at most as many tries as there are controllers.
  HttpResult call(const std::string& method, const std::string& path, const std::string& body, unsigned& random) const;
  // Reports a reply about a job to the checker. `sent_at`: when the request was sent (steady seconds), for users with concurrent requests;
  // 0: the user sends one request after the other.
  void record_reply(const std::string& uid, const HttpResult& reply, double sent_at = 0);
  // Polls the job at all controllers at once, and then repeats the submission at each, or polls again if `submission` is empty.
  void poll_all_controllers(const std::string& uid, const std::string& submission);
  void stop_users() { users_.clear(); }

  Checker checker;
  test_support::FakeStateStore store;
  std::atomic<bool> dependent_jobs{false};  // whether users submit jobs with dependencies
  std::list<std::unique_ptr<Worker>> workers;

 private:
  [[nodiscard]] HttpReply handle_cloud_request(const HttpCall& call) const;

  Options options_;
  ProtocolTimes times_;
  std::vector<std::string> addresses_, peer_addresses_, settings_files_;                         // by controller
  std::map<std::pair<std::size_t, std::size_t>, std::unique_ptr<NetworkRelay>> network_relays_;  // by calling and called controller
  std::vector<ControllerProcess> processes_;
  std::string directory_, cloud_address_;
  std::unique_ptr<HttpServer> cloud_;
  std::jthread checker_thread_;
  std::vector<std::jthread> users_;
};

}  // namespace thistlefront::testbed
