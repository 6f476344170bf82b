// Thousands of hollow workers in one process: they keep the worker's side of the protocol (leases, fencing tokens, incarnations, heartbeats
// on change, commands) and end their tasks by a clock instead of running anything. A few threads serve all of them. Time is real.
#pragma once
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "testbed/protocol_json.hpp"

namespace thistlefront::testbed {

class Checker;

// Seconds of the protocol, as the controllers' settings have them.
struct FleetTimes {
  double heartbeat = 3, lease = 22, cancel = 42, pull = 0.2;
};

// What the submitted load tells the workers about a job.
struct HollowJob {
  double run_s = 1;         // of a task
  double submitted_at = 0;  // steady seconds
  double cores = 1;
};

// Thread-safe.
class HollowJobs {
 public:
  void add(const std::string& uid, const HollowJob& job);
  [[nodiscard]] std::optional<HollowJob> find(const std::string& uid) const;

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

struct FleetOptions {
  std::size_t workers = 500, threads = 2;
  double cores = 32;  // of a machine
  FleetTimes times;
  std::vector<std::string> zones, controllers;  // addresses for workers
  unsigned seed = 1;
};

// What all workers of a fleet share; `jobs` and `checker` must outlive it.
struct FleetState {
  FleetState(const FleetOptions& fleet_options, const HollowJobs& fleet_jobs, Checker& fleet_checker)
      : options(fleet_options), jobs(fleet_jobs), checker(fleet_checker) {}
  const FleetOptions options;
  const HollowJobs& jobs;
  Checker& checker;
  FleetCounters counters;
  std::mutex waits_mutex;
  std::vector<double> waits;  // seconds from a task's submission to its first moment on a machine
};

class HollowFleet {
 public:
  using Options = FleetOptions;
  // All workers run when it returns.
  HollowFleet(const Options& options, const HollowJobs& jobs, Checker& checker);
  ~HollowFleet();
  HollowFleet(const HollowFleet&) = delete;
  HollowFleet& operator=(const HollowFleet&) = delete;

  [[nodiscard]] const std::vector<InstanceDescription>& machines() const { return machines_; }
  [[nodiscard]] const FleetCounters& counters() const { return state_.counters; }
  // Seconds from a task's submission to its first moment on a machine, of tasks that began since the last call.
  std::vector<double> take_waits();
  // The first `share` of the workers neither send nor answer until then (steady seconds).
  void silence(double share, double until);
  // All connections of all workers are closed at once; each sends a heartbeat on a new one.
  void reconnect_all();

 private:
  struct Shard;
  FleetState state_;
  std::vector<InstanceDescription> machines_;
  std::vector<std::unique_ptr<Shard>> shards_;
};

}  // namespace thistlefront::testbed
