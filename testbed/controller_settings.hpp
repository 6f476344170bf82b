// The settings file of a controller that the testbed starts. Shared by the fault test and the load test.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace thistlefront::testbed {

struct TeamSettings {
  std::string name;
  double cpus = 0, cpus_max = 0;  // guaranteed cores, and limit of the cores it may use
};

// Limits of the key-value store: size of a value, changes per transaction.
struct StoreLimits {
  double value_kb = 0;
  std::uint64_t txn_ops = 0;
};

struct PeerSettings {
  std::size_t controller = 0;  // index
  std::string address;
};

struct ControllerSettings {
  std::size_t controller = 0, controllers = 1;  // index, and number of controllers
  std::vector<std::string> zones;               // controllers are assigned round-robin
  std::string client_address, peer_address, cloud_address, store_address;
  std::vector<PeerSettings> peers;
  std::vector<TeamSettings> teams;
  double heartbeat_interval_s = 0, lease_s = 0, gang_wait_s = 0, gang_peer_s = 0, cancel_s = 0;
  double store_rps = 0, store_write_rps = 0;
  StoreLimits store_limits;
  std::optional<StoreLimits> next_store_limits;  // announced limits that will apply later
  double cloud_rps = 0, list_lag_s = 0;
  double max_memory_mb = 0;
  std::uint64_t max_sockets = 0;
};

// The label of the controller with this index.
std::string controller_label(std::size_t controller);
// The index of the controller with this label; the number of controllers if there is none.
std::size_t find_controller(const std::string& label, std::size_t controllers);

// The text of the settings file.
std::string to_toml(const ControllerSettings& settings);

}  // namespace thistlefront::testbed
