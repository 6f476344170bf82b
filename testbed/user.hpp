// One user of the fault test's cluster: submits, polls and withdraws jobs at random, tells the checker each answer, and now and then asks
// all controllers at once.
#pragma once
#include <cstdint>
#include <random>
#include <stop_token>
#include <string>
#include <vector>

#include "testbed/checker.hpp"
#include "testbed/cluster.hpp"

namespace thistlefront::testbed {

class User {
 public:
  // `seed` also makes its jobs' identifiers unique.
  User(Cluster& cluster, unsigned seed) : cluster_(cluster), seed_(seed), random_(seed), address_random_(seed) {}
  // Until it is asked to stop.
  void run(const std::stop_token& stop);

 private:
  SubmittedJob draw_job();
  void submit_job(const std::stop_token& stop);
  // Stops following a job that ends by itself, or withdraws the job.
  void drop_job();
  void ask_for_unknown_job();
  void poll_job();

  Cluster& cluster_;
  const unsigned seed_;
  std::mt19937 random_;
  unsigned address_random_;        // chooses the controllers that are asked
  std::vector<std::string> jobs_;  // that it follows
  std::uint64_t submitted_ = 0;
};

}  // namespace thistlefront::testbed
