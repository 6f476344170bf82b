// The platform's settings file.
#pragma once
#include <string>
#include <vector>

#include "model/resources.hpp"

namespace thistlefront {

struct Settings {
  struct Peer {
    std::string label, site, address;
  };
  struct Team {
    std::string name;
    Resources guarantee, limit;  // 0: none; memory is not limited
  };
  struct Objective {
    std::string kind, job_class;
    double within_s = 0, share = 0;
  };
  std::string label, site, client_listen, peer_listen;
  std::vector<Peer> peers;
  std::size_t count = 0;  // controllers in all; 0: as many as are named
  std::string cloud_address, store_address;
  double skew_ms = 0;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  double heartbeat_interval_s = 0, lease_s = 0, gang_wait_s = 0, gang_peer_s = 0, cancel_s = 0;
  // What the state service takes: the lesser of its limits now and those announced for some unknown moment.
  double state_rps = 0, state_write_rps = 0, value_kb = 0;
  std::uint64_t txn_ops = 0;
  double cloud_rps = 0, list_lag_s = 0;
  double cpu = 0, memory_mb = 0;
  std::uint64_t max_sockets = 0;
};

// Throws std::runtime_error with one line that names file, field and reason.
Settings load_settings(const std::string& path);

}  // namespace thistlefront
