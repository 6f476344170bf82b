// Everything that runs for one point of the load test: controllers, hollow workers, the stand-in store and cloud, and the users that
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
#include "testbed/load_test/hollow_fleet.hpp"
#include "testbed/load_test/load_test_run.hpp"
#include "testbed/load_test/process_usage.hpp"
#include "transport/http.hpp"

namespace thistlefront::testbed {

class LoadCluster {
 public:
  // All controllers and workers run when it returns; `options` must outlive it.
  explicit LoadCluster(const LoadTestOptions& options);
  ~LoadCluster();
  LoadCluster(const LoadCluster&) = delete;
  LoadCluster& operator=(const LoadCluster&) = delete;

  void start(std::size_t i);
  void end(std::size_t i) { processes_[i].kill(); }
  // The number of controllers: nobody leads.
  [[nodiscard]] std::size_t leader();

  // Submits the tasks that are to run at once, then as many a second as end.
  void begin_load();
  [[nodiscard]] std::size_t tasks_wanted() const;
  [[nodiscard]] double starts_wanted() const;  // a second

  HollowFleet& fleet() { return *fleet_; }
  Checker& checker() { return checker_; }
  // Seconds from a submission to its acceptance, since the last call.
  std::vector<double> take_acceptances();
  // Submissions that were answered otherwise than with an acceptance.
  [[nodiscard]] std::uint64_t refused() const { return refused_; }
  [[nodiscard]] ProcessUsage usage(std::size_t i) const { return usage_of(processes_[i].pid()); }
  // A controller's unlabelled metrics; empty where it does not answer.
  [[nodiscard]] std::map<std::string, double> metrics(std::size_t i) const;

 private:
  std::string settings(std::size_t i);
  [[nodiscard]] HttpReply answer_as_cloud(const HttpCall& call) const;
  void run_submitter(const std::stop_token& stop, std::size_t submitter, std::size_t first_jobs, double period_s);
  // `ramp`: of the load that is there at the start; its tasks have run for some of their time already.
  void submit(HttpClient& client, const std::stop_token& stop, std::size_t number, bool ramp);
  SubmittedJob make_job(std::size_t number, double run_s) const;

  const LoadTestOptions& options_;
  Checker checker_;
  HollowJobs jobs_;
  test_support::FakeStateStore state_;
  std::string directory_, cloud_address_;
  std::vector<std::string> addresses_, peers_;
  std::unique_ptr<HollowFleet> fleet_;
  std::unique_ptr<HttpServer> cloud_;
  std::vector<ControllerProcess> processes_;
  std::jthread ticker_;
  std::mutex acceptances_mutex_;
  std::vector<double> acceptances_;
  std::atomic<std::uint64_t> refused_{0};
  std::vector<std::jthread> submitters_;
};

}  // namespace thistlefront::testbed
