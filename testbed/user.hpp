// A simulated user of the fault test's cluster. It submits, polls and cancels jobs at random, sometimes at all controllers at once, and
// reports each reply to the checker.
#pragma once
#include <cstdint>
#include <random>
#include <stop_token>
#include <string>
#include <vector>

#include "testbed/checker.hpp"
#include "testbed/fault_test_cluster.hpp"

namespace thistlefront::testbed {

class User {
 public:
  // `seed` is also part of the job identifiers, so that they are unique.
  User(FaultTestCluster& cluster, unsigned seed) : cluster_(cluster), seed_(seed), random_(seed), address_random_(seed) {}
  // Runs until stop is requested.
  void run(const std::stop_token& stop);

 private:
  SubmittedJob draw_job();
  void submit_job(const std::stop_token& stop);
  // Cancels a job; while the user tracks many jobs, it stops tracking the chosen one instead unless that is a service.
  void cancel_job();
  void poll_unknown_job();
  void poll_job();

  FaultTestCluster& cluster_;
  const unsigned seed_;
  std::mt19937 random_;
  unsigned address_random_;        // selects the controllers to call
  std::vector<std::string> jobs_;  // tracked jobs
  std::uint64_t submitted_ = 0;
};

}  // namespace thistlefront::testbed
