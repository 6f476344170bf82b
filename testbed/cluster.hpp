// A stand-in cluster on loopback around real controller processes: state service, cloud, workers, users. Time
// is real.
#pragma once
#include <atomic>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "testbed/checker.hpp"
#include "testbed/controller_process.hpp"
#include "testbed/fake_state_store.hpp"
#include "testbed/network_relay.hpp"
#include "testbed/worker.hpp"
#include "transport/http.hpp"

namespace thistlefront::testbed {

// Cores that each team may use at first.
inline const std::map<std::string, double> kLimits{{"red", 60}, {"blue", 25}};

class Cluster {
 public:
  struct Options {
    std::size_t controllers = 3, workers = 40, users = 6;
    unsigned seed = 1;
    std::string logs;  // a directory for what the processes write
  };
  explicit Cluster(const Options& options);
  ~Cluster();

  // The settings file of a controller, from its next start on, with these teams and limits.
  void configure(std::size_t i, const std::map<std::string, double>& limits);
  // Starts a controller with this program, in place of the one that is there; ended without a signal it could
  // heed.
  void start(std::size_t i, const std::string& program, const std::vector<std::string>& flags);
  void end(std::size_t i);
  void freeze(std::size_t i, bool frozen);
  // Parts a controller from its peers, and from the state service if so; its workers and users still reach it.
  void part(std::size_t i, bool parted, bool state_too);
  [[nodiscard]] std::size_t leader();  // or the number of controllers
  // Asks any controller that answers.
  HttpResult ask(const std::string& method, const std::string& path, const std::string& body, unsigned& random);
  void stop_users() { users_.clear(); }

  Checker checker;
  test_support::FakeStateStore state;
  std::atomic<bool> dependent_jobs{false};  // users submit jobs that wait for others
  std::list<std::unique_ptr<Worker>> workers;

 private:
  HttpReply cloud(const HttpCall& call);
  void use(std::stop_token stop, unsigned seed);
  // `sent`: when it was asked, where its user asks several questions at once; 0: one after the other.
  void poll(const std::string& uid, const HttpResult& answer, double sent = 0);
  // A close look: at all controllers within milliseconds, the submission repeated unless it is empty.
  void look_everywhere(const std::string& uid, const std::string& submission);

  Options options_;
  Times times_;
  std::vector<std::string> addresses_, peers_, configs_;
  std::map<std::pair<std::size_t, std::size_t>, std::unique_ptr<Relay>> relays_;  // from, to
  std::vector<ControllerProcess> processes_;
  std::string directory_, cloud_address_;
  std::unique_ptr<HttpServer> cloud_;
  std::jthread ticker_;
  std::vector<std::jthread> users_;
};

}  // namespace thistlefront::testbed
