// The platform's settings file (TOML), read once at start. Names of its fields are the platform's and are fixed.
#pragma once
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "model/resources.hpp"

namespace thistlefront {

/// A settings file that cannot be used. what() is one line: "file: field: reason", or "file: reason".
class SettingsError : public std::runtime_error {
 public:
  /// `field` is the full path of the field, such as "deployment.teams[0].name"; empty: the file as a whole is at fault.
  SettingsError(std::string file, std::string field, std::string reason);

  [[nodiscard]] const std::string& file() const { return file_; }      ///< path of the file
  [[nodiscard]] const std::string& field() const { return field_; }    ///< the field, or "line N" where it is not TOML
  [[nodiscard]] const std::string& reason() const { return reason_; }  ///< what is wrong with it

 private:
  std::string file_, field_, reason_;
};

/// What the settings file says. Times are in seconds unless the name says otherwise.
struct Settings {
  /// Another controller.
  struct Peer {
    std::string label, site, address;
  };
  /// A team's quota.
  struct Team {
    std::string name;
    Resources guarantee, limit;  ///< 0: none; memory has no quota
  };
  /// A service-level objective: that share of the jobs of a class within that time.
  struct Objective {
    std::string kind, job_class;  ///< an objective of kind "guarantee" has no class
    double within_s = 0, share = 0;
  };

  std::string label, site;                 ///< of this controller; the site is its zone
  std::string client_listen, peer_listen;  ///< addresses to listen on: for users and agents, and for the other controllers
  std::vector<Peer> peers;
  std::size_t count = 0;  ///< controllers in all; 0: as many as are named
  std::string cloud_address, store_address;
  double skew_ms = 0;  ///< the most by which wall clocks of the deployment may differ
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  double heartbeat_interval_s = 0, lease_s = 0;  ///< of the nodes
  double gang_wait_s = 0;                        ///< for how long a gang's tasks wait for one another to start
  double gang_peer_s = 0;                        ///< after how long a gang's tasks end when one of them is gone
  double cancel_s = 0;                           ///< within which the tasks of a cancelled job must have ended
  /// What the key-value store takes: the lesser of its limits now and of those announced for an unknown later moment.
  double state_rps = 0, state_write_rps = 0, value_kb = 0;
  std::uint64_t txn_ops = 0;      ///< the same, of one transaction
  double cloud_rps = 0;           ///< requests a second that the cloud's API takes
  double list_lag_s = 0;          ///< the most by which the cloud's list of instances is behind
  double cpu = 0, memory_mb = 0;  ///< what this process may use
  std::uint64_t max_sockets = 0;  ///< the same
};

/// Reads and checks a settings file; throws SettingsError for the first field that is wrong.
Settings load_settings(const std::string& path);

}  // namespace thistlefront
