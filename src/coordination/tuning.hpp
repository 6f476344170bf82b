// The operator's own settings: flags and environment variables, with their defaults.
#pragma once
#include <cstddef>
#include <cstdint>

#include "intake/intake_mode.hpp"
#include "rollout/levels.hpp"

namespace thistle {

struct Tuning {
  double weight = 0.1 / 3600;                             // of a second waited, in the key
  double pass_period_s = 0.1;                             // least time between passes
  double overrun_s = 5;                                   // an overrun counts as ending this long after the pass
  unsigned hold_ms = 1300;                                // life of the leader's hold
  std::size_t threads = 2000;                             // that the process may have
  std::uint32_t state_level_most = rollout::kMostLevel;   // highest state level that it lets be switched on
  double state_level_soak_s = 2;                          // all controllers must have had a level for so long
  std::uint32_t state_level_reads = rollout::kMostLevel;  // tests alone: plays an older build
  bool scale_out = true;                                  // rent machines for work that can't be served in time
  IntakeMode relay_mode = IntakeMode::automatic;          // workers may report to any controller, which passes it on
};

}  // namespace thistle
