// The controller's settings file (TOML), read once at start. The platform defines its format, so field names must not change.
#pragma once
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "model/resources.hpp"

namespace thistlefront {

/// Thrown if a settings file is invalid. what() is one line: "file: field: reason", or "file: reason".
class SettingsError : public std::runtime_error {
 public:
  /// `field`: full path of the field, such as "deployment.teams[0].name"; empty if the error concerns the whole file.
  SettingsError(std::string file, std::string field, std::string reason);

  [[nodiscard]] const std::string& file() const { return file_; }      ///< path of the file
  [[nodiscard]] const std::string& field() const { return field_; }    ///< the field, or "line N" for a syntax error
  [[nodiscard]] const std::string& reason() const { return reason_; }  ///< why it is invalid

 private:
  std::string file_, field_, reason_;
};

/// Contents of the settings file.
struct Settings {
  /// Another controller of the deployment.
  struct Peer {
    std::string label, site, address;
  };
  /// Quota of a team.
  struct Team {
    std::string name;
    Resources guarantee, limit;  ///< 0: no guarantee or no limit; memory has no quota
  };
  /// A service-level objective: `fraction` of the jobs of a class must meet it within `within_s`.
  struct Objective {
    std::string kind, job_class;  ///< `job_class` is empty for an objective of kind "guarantee"
    double within_s = 0, fraction = 0;
  };

  std::string label, site;                 ///< of this controller; its site is its zone
  std::string client_listen, peer_listen;  ///< listen addresses: `client_listen` for users and agents, `peer_listen` for other controllers
  std::vector<Peer> peers;
  std::size_t controller_count = 0;  ///< controllers of the deployment, this one and those that `peers` lacks included
  std::string cloud_address, store_address;
  double max_clock_skew_ms = 0;  ///< maximum difference between wall clocks in the deployment
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  double heartbeat_interval_s = 0, lease_s = 0;  ///< of nodes
  double gang_wait_s = 0;                        ///< how long the tasks of a gang wait for each other to start
  double gang_peer_s = 0;                        ///< how long the other tasks of a gang run on after one of them is lost
  double cancel_s = 0;                           ///< time limit for all tasks of a cancelled job to end
  // Limits of the key-value store. Each is the minimum of the present limit and the one announced for an unknown later time.
  double store_rps = 0, store_write_rps = 0;  ///< requests and writes per second
  double max_value_kb = 0;
  std::uint64_t max_txn_ops = 0;  ///< changes in one transaction
  double cloud_rps = 0;           ///< requests per second that the cloud's API accepts
  double list_lag_s = 0;          ///< maximum delay before the cloud's list of instances shows a change
  double cpu = 0, memory_mb = 0;  ///< limits of this process; `cpu` in processor cores
  std::uint64_t max_sockets = 0;  ///< limit of this process

  /// Number of the deployment's other controllers: a majority is one of all of them, also of those that `peers` lacks.
  [[nodiscard]] std::size_t other_controllers() const { return std::max(peers.size() + 1, controller_count) - 1; }
};

/// Reads and validates a settings file; throws SettingsError for the first invalid field.
Settings load_settings(const std::string& path);

}  // namespace thistlefront
