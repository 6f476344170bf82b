// The cluster for one point of the load test: controllers, simulated workers, the fake key-value store and cloud, and the users that
// submit the load.
#pragma once
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <stop_token>
#include <string>
#include <thread>
#include <vector>

#include "testbed/checker.hpp"
#include "testbed/controller_process.hpp"
#include "testbed/fake_state_store.hpp"
#include "testbed/load_test/load_test_run.hpp"
#include "testbed/load_test/process_usage.hpp"
#include "testbed/load_test/simulated_fleet.hpp"
#include "transport/http.hpp"

namespace thistlefront::testbed {

class LoadCluster {
 public:
  // Starts all controllers and workers. `options` must outlive the cluster.
  explicit LoadCluster(const LoadTestOptions& options);
  ~LoadCluster();
  LoadCluster(const LoadCluster&) = delete;
  LoadCluster& operator=(const LoadCluster&) = delete;

  void start_controller(std::size_t i);
  void kill_controller(std::size_t i) { processes_[i].kill(); }
  // Returns the index of the leader, or the number of controllers if none leads.
  [[nodiscard]] std::size_t leader_index();

  // Submits the tasks that are to run at the same time, then new tasks at the rate at which tasks end.
  void start_load();
  [[nodiscard]] std::size_t target_running_tasks() const;
  [[nodiscard]] double target_starts_per_s() const;

  SimulatedFleet& fleet() { return *fleet_; }
  Checker& checker() { return checker_; }
  // Returns, for each submission that was accepted since the last call, the seconds until its acceptance.
  std::vector<double> take_acceptance_times();
  // Submission attempts that were not accepted.
  [[nodiscard]] std::uint64_t refused_submissions() const { return refused_submissions_; }
  [[nodiscard]] ProcessUsage process_usage(std::size_t i) const { return usage_of(processes_[i].pid()); }
  // Returns a controller's unlabelled metrics; empty if it does not reply.
  [[nodiscard]] std::map<std::string, double> metrics(std::size_t i) const;

 private:
  std::string settings_text(std::size_t i);
  [[nodiscard]] HttpReply handle_cloud_request(const HttpCall& call) const;
  void run_submitter(const std::stop_token& stop, std::size_t submitter, std::size_t initial_jobs, double period_s);
  // `is_initial_load`: gives the tasks only a part of their run time, so that those submitted together end at different times.
  void submit(HttpClient& client, const std::stop_token& stop, std::size_t job_number, bool is_initial_load);
  SubmittedJob make_job(std::size_t job_number, double run_s) const;

  const LoadTestOptions& options_;
  Checker checker_;
  SimulatedJobRegistry jobs_;
  test_support::FakeStateStore state_store_;
  std::string directory_, cloud_address_;
  std::vector<std::string> client_addresses_, peer_addresses_;
  std::unique_ptr<SimulatedFleet> fleet_;
  std::unique_ptr<HttpServer> cloud_;
  std::vector<ControllerProcess> processes_;
  std::jthread checker_ticker_;
  std::mutex acceptance_times_mutex_;
  std::vector<double> acceptance_times_s_;
  std::atomic<std::uint64_t> refused_submissions_{0};
  std::vector<std::jthread> submitters_;
};

}  // namespace thistlefront::testbed
