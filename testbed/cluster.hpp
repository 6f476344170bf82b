// A cluster on loopback around real controller processes: key-value store, cloud, network between controllers, worker nodes and users are
// stand-ins of this process. The fault test's scenarios run on it. Time is real.
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

// Cores that each team may use at first.
inline const std::map<std::string, double> kLimits{{"red", 60}, {"blue", 25}};
inline const std::vector<std::string> kZones{"x", "y"};

class Cluster {
 public:
  struct Options {
    std::size_t controllers = 3, workers = 40, users = 6;
    unsigned seed = 1;
    std::string logs;  // directory for what the controllers write; empty: nowhere
  };
  // No controller runs yet; workers and users are there.
  explicit Cluster(const Options& options);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // Writes a controller's settings file, which it reads at its next start, with these teams and limits.
  void configure(std::size_t i, const std::map<std::string, double>& limits);
  // Starts a controller with this program, in place of the process that runs, which is killed.
  void start(std::size_t i, const std::string& program, const std::vector<std::string>& flags);
  void end(std::size_t i);
  void freeze(std::size_t i, bool frozen);
  // Cuts a controller from its peers, and from the store if `store_too`; its workers and users still reach it.
  void part(std::size_t i, bool parted, bool store_too);
  // The number of controllers: nobody leads.
  [[nodiscard]] std::size_t leader();

  // Calls controllers in random order until one gets the request.
  HttpResult ask(const std::string& method, const std::string& path, const std::string& body, unsigned& random) const;
  // Tells the checker what a user was answered about a job. `sent`: when it was asked, where its user asks several questions at once;
  // 0: one after the other.
  void note_answer(const std::string& uid, const HttpResult& answer, double sent = 0);
  // Asks all controllers for the job within milliseconds, and repeats the submission at each unless it is empty.
  void ask_everywhere(const std::string& uid, const std::string& submission);
  void stop_users() { users_.clear(); }

  Checker checker;
  test_support::FakeStateStore state;
  std::atomic<bool> dependent_jobs{false};  // users submit jobs that wait for others
  std::list<std::unique_ptr<Worker>> workers;

 private:
  [[nodiscard]] HttpReply answer_as_cloud(const HttpCall& call) const;

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
