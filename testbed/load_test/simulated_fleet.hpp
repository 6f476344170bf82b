// Simulates thousands of workers in one process. They implement the agent's side of the protocol (leases, fencing tokens, incarnations,
// heartbeats on change, commands), but run no programs: each task ends after a set time. A few threads serve all workers, in real time.
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

// Durations of the protocol. All but `image_pull_s` have the same values as in the controllers' settings.
struct FleetTimings {
  double heartbeat_interval_s = 3, lease_s = 22, image_pull_s = 0.2;
};

// How the workers simulate a job's tasks.
struct SimulatedJob {
  double task_run_s = 1;
  double submitted_at = 0;  // steady seconds
  double cores_per_task = 1;
};

// The submitted jobs by uid. Thread-safe.
class SimulatedJobRegistry {
 public:
  void add(const std::string& uid, const SimulatedJob& job);
  [[nodiscard]] std::optional<SimulatedJob> find(const std::string& uid) const;

 private:
  mutable std::mutex mutex_;
  std::unordered_map<std::string, SimulatedJob> jobs_;
};

// Totals over all workers since the start of the fleet.
struct FleetCounters {
  std::atomic<std::uint64_t> heartbeats{0}, heartbeat_bytes{0}, replies{0}, reply_bytes{0}, redirects{0}, failed_heartbeats{0},
      command_requests{0}, command_bytes{0}, task_starts{0}, completed_tasks{0}, expired_leases{0}, connections_opened{0};
  std::atomic<std::int64_t> running_tasks{0};
};

struct FleetOptions {
  std::size_t workers = 500, threads = 2;
  double cores_per_node = 32;
  FleetTimings timings;
  std::vector<std::string> zones;
  std::vector<std::string> controller_addresses;  // by controller index
  unsigned seed = 1;
};

// State shared by all workers of a fleet. `jobs` and `checker` must outlive it.
struct FleetState {
  FleetState(const FleetOptions& fleet_options, const SimulatedJobRegistry& fleet_jobs, Checker& fleet_checker)
      : options(fleet_options), jobs(fleet_jobs), checker(fleet_checker) {}
  const FleetOptions options;
  const SimulatedJobRegistry& jobs;
  Checker& checker;
  FleetCounters counters;
  std::mutex start_waits_mutex;
  std::vector<double> start_waits_s;  // from a task's submission to its start on a node
};

class SimulatedFleet {
 public:
  using Options = FleetOptions;
  // Starts all workers.
  SimulatedFleet(const Options& options, const SimulatedJobRegistry& jobs, Checker& checker);
  ~SimulatedFleet();
  SimulatedFleet(const SimulatedFleet&) = delete;
  SimulatedFleet& operator=(const SimulatedFleet&) = delete;

  [[nodiscard]] const std::vector<InstanceDescription>& nodes() const { return nodes_; }
  [[nodiscard]] const FleetCounters& counters() const { return state_.counters; }
  // Returns, for each task that started since the last call, the seconds from its submission to its start on a node.
  std::vector<double> take_start_waits();
  // Keeps the first `fraction` of each thread's workers from sending and replying until `until` (steady seconds).
  void silence(double fraction, double until);
  // Closes all connections of all workers to controllers at once. Each worker sends a heartbeat on a new one.
  void reconnect_all();

 private:
  struct Shard;
  FleetState state_;
  std::vector<InstanceDescription> nodes_;
  std::vector<std::unique_ptr<Shard>> shards_;
};

}  // namespace thistlefront::testbed
