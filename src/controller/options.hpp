// The operator's own settings: flags and environment variables, with their defaults.
#pragma once
#include <cstddef>
#include <cstdint>

#include "heartbeat_relay/relay_mode.hpp"
#include "rollout/format_versions.hpp"

namespace thistlefront {

struct Options {
  double weight = 0.1 / 3600;                                              // of a second waited, in the key
  double pass_period_s = 0.1;                                              // least time between passes
  double overrun_s = 5;                                                    // an overrun counts as ending this long after the pass
  unsigned leader_lease_ms = 1300;                                         // life of the leader's hold
  std::size_t threads = 2000;                                              // that the process may have
  std::uint32_t max_format_version = rollout::kMaxFormatVersion;           // highest state level that it lets be switched on
  double format_version_soak_s = 2;                                        // all controllers must have had a level for so long
  std::uint32_t max_readable_format_version = rollout::kMaxFormatVersion;  // tests alone: plays an older build
  bool scale_out = true;                                                   // rent machines for work that can't be served in time
  RelayMode relay_mode = RelayMode::automatic;                             // workers may report to any controller, which passes it on
};

}  // namespace thistlefront
