// The operator's own options: command-line flags and environment variables, with their defaults.
#pragma once
#include <cstddef>
#include <cstdint>

#include "heartbeat_relay/relay_mode.hpp"
#include "rollout/format_versions.hpp"

namespace thistlefront {

struct Options {
  double weight = 0.1 / 3600;       // of a second waited, in a job's key
  double pass_period_s = 0.1;       // least time between scheduling passes
  double overrun_s = 5;             // a task that overruns its estimate counts as ending this long after the pass
  unsigned leader_lease_ms = 1300;  // time to live of the session lease that the leader's key is attached to
  std::size_t threads = 2000;       // that the process may have
  std::uint32_t max_format_version = rollout::kMaxFormatVersion;  // highest one that this controller lets be activated
  double format_version_soak_s = 2;  // a version is activated when all controllers have supported it for so long
  // Only set by tests, to play an older build: the highest version that this process can read.
  std::uint32_t max_readable_format_version = rollout::kMaxFormatVersion;
  bool scale_out = true;                        // request machines for work that can't be served in time
  RelayMode relay_mode = RelayMode::automatic;  // workers may report to any controller, which relays their heartbeats
};

}  // namespace thistlefront
