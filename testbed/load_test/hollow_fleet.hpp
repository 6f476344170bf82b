// Thousands of hollow workers in one process: they keep the worker's side of the protocol (leases, tokens, sessions, reports on
// change, commands) and end their tasks by a clock. A few threads serve all of them. Time is real.
#pragma once
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <utility>  // before Boost.Asio's awaitable, which uses std::exchange without it
#include <vector>

#include "testbed/protocol_json.hpp"

namespace thistlefront::testbed {

class Checker;

// Seconds of the protocol, as the controllers' settings have them.
struct FleetTimes {
  double heartbeat = 3, lease = 22, cancel = 42, pull = 0.2;
};

// What workers and load tell each other of a job.
struct HollowJob {
  double run_s = 1;         // of a task
  double submitted_at = 0;  // steady seconds
  double cores = 1;
};

class HollowJobs {
 public:
  void add(const std::string& uid, const HollowJob& job);
  // False where there is no such job.
  bool find(const std::string& uid, HollowJob& job) const;

 private:
  mutable std::mutex mutex_;
  std::unordered_map<std::string, HollowJob> jobs_;
};

// Counted since the start, over all workers.
struct FleetCounters {
  std::atomic<std::uint64_t> heartbeats{0}, heartbeat_bytes{0}, answers{0}, answer_bytes{0}, redirects{0}, failed_heartbeats{0},
      commands{0}, command_bytes{0}, starts{0}, ends{0}, leases_over{0}, connects{0};
  std::atomic<std::int64_t> running{0};
};

class HollowFleet {
 public:
  struct Options {
    std::size_t workers = 500, threads = 2;
    double cores = 32;  // of a machine
    FleetTimes times;
    std::vector<std::string> zones, controllers;  // addresses for workers
    unsigned seed = 1;
  };
  using Description = MachineDescription;
  HollowFleet(const Options& options, const HollowJobs& jobs, Checker& checker);
  ~HollowFleet();

  [[nodiscard]] const std::vector<Description>& machines() const { return machines_; }
  [[nodiscard]] const FleetCounters& counters() const { return counters_; }
  // Seconds from a task's submission to its first moment on a machine, of tasks that began since the last call.
  std::vector<double> take_waits();
  // The first `share` of the workers neither send nor answer until then (steady seconds).
  void silence(double share, double until);
  // All connections of all workers are closed at once; they report anew.
  void reconnect_all();

 private:
  struct Worker;
  struct Shard;
  Options options_;
  const HollowJobs& jobs_;
  Checker& checker_;
  FleetCounters counters_;
  std::vector<Description> machines_;
  std::vector<std::unique_ptr<Shard>> shards_;
  std::mutex waits_mutex_;
  std::vector<double> waits_;
};

}  // namespace thistlefront::testbed
