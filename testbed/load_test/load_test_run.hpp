// One measured point of the load test: real controllers on loopback, hollow workers, a steady load of array jobs, and what that costs
// each process. Time is real.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace thistlefront::testbed {

// Faults that begin with the measurement.
inline constexpr const char* kNoFault = "";
inline constexpr const char* kLeaderEnds = "leader-ends";
inline constexpr const char* kSilence = "silence";      // a tenth of the workers neither send nor answer for 10 s
inline constexpr const char* kReconnect = "reconnect";  // all workers' connections are closed at once

struct LoadTestOptions {
  std::string program;             // the controllers' program
  std::vector<std::string> flags;  // for each controller
  std::string logs;                // directory for what the controllers write; empty: nowhere
  std::string label;               // told in the result
  std::size_t controllers = 3, workers = 500, threads = 2, teams = 20;
  std::size_t running = 0;  // tasks; 0: twenty for each worker
  double starts = 0;        // a second; 0: 0.28 for each worker
  std::size_t tasks = 40;   // tasks of a job
  double ramp_s = 60;       // at most, until the tasks run
  double settle_s = 5, measure_s = 20;
  double heartbeat_interval_s = 3, lease_s = 22, cancel_s = 42;
  double state_rps = 2000, state_write_rps = 200, state_value_kb = 64;
  std::uint64_t state_txn_ops = 16;
  double max_memory_mb = 4000;
  std::uint64_t max_sockets = 8000;
  unsigned seed = 1;
  std::string fault = kNoFault;
};

// The point as one JSON object. Throws std::runtime_error where it could not be measured at all.
nlohmann::json run_load_test(const LoadTestOptions& options);

}  // namespace thistlefront::testbed
