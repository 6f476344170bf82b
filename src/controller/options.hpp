// Options set by the operator through command-line flags or environment variables, with their defaults.
#pragma once
#include <cstddef>
#include <cstdint>

#include "heartbeat_relay/relay_mode.hpp"
#include "rollout/format_versions.hpp"

namespace thistlefront {

struct Options {
  double wait_weight = 0.1 / 3600;  // weight of one second of waiting in a job's sort key
  double pass_period_s = 0.1;       // minimum time between scheduling passes
  double overrun_s = 5;             // a task that exceeds its estimate is expected to end this long after the pass
  unsigned leader_lease_ms = 1300;  // time to live of the session lease that the leader's key is attached to
  std::size_t threads = 2000;       // maximum of the process
  std::uint32_t max_format_version = rollout::kMaxFormatVersion;  // highest version that this controller allows to be activated
  double format_version_soak_s = 2;  // a version is activated once all controllers have supported it for this long
  // The highest version that this process can read. Set only by tests, to simulate an older build.
  std::uint32_t max_readable_format_version = rollout::kMaxFormatVersion;
  bool scale_out = true;                        // request instances for work that can't start in time
  RelayMode relay_mode = RelayMode::automatic;  // whether agents may send heartbeats to any controller, which relays them
};

}  // namespace thistlefront
