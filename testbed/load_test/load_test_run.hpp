// Measures one point of the load test: real controllers on loopback, simulated workers and a steady load of array jobs, and the
// resources that each controller process uses. Runs in real time.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace thistlefront::testbed {

// Faults that are injected when the measurement starts.
inline constexpr const char* kNoFault = "";
inline constexpr const char* kKillLeader = "leader-ends";
inline constexpr const char* kSilenceWorkers = "silence";  // a tenth of the workers neither send nor reply for 10 s
inline constexpr const char* kReconnectAll = "reconnect";  // all workers' connections are closed at once

struct LoadTestOptions {
  std::string program;                        // executable of the controllers
  std::vector<std::string> controller_flags;  // for each controller
  std::string log_directory;                  // for the controllers' logs; empty: discarded
  std::string label;                          // repeated in the result
  std::size_t controllers = 3, workers = 500, threads = 2, teams = 20;
  std::size_t running_tasks = 0;  // target; 0: 20 per worker
  double starts_per_s = 0;        // target; 0: 0.28 per worker
  std::size_t tasks_per_job = 40;
  double max_ramp_s = 60;  // maximum time until the target number of tasks runs
  double settle_s = 5, measure_s = 20;
  double heartbeat_interval_s = 3, lease_s = 22, cancel_s = 42;
  double store_rps = 2000, store_write_rps = 200, store_value_kb = 64;
  std::uint64_t store_txn_ops = 16;
  double max_memory_mb = 4000;
  std::uint64_t max_sockets = 8000;
  unsigned seed = 1;
  std::string fault = kNoFault;
};

// Returns the point as one JSON object. Throws std::runtime_error if it cannot be measured.
nlohmann::json run_load_test(const LoadTestOptions& options);

}  // namespace thistlefront::testbed
