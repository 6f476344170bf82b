// The fault test's scenarios. Each runs one seed in real time, prints its report, and returns whether the seed passed.
#pragma once
#include "testbed/fault_run.hpp"

namespace thistlefront::testbed {

// Rolls builds forward and back in random order, with a fault every second or two. Then faults end and all controllers get the newer
// build: all accepted jobs must be known, and the format version must be activated automatically.
bool run_rollout(const ScenarioOptions& options);

// Kills controllers at any of their requests to the store (executed or not) and at other moments, and restarts them within a fraction of a
// second: one or all of them, often several times in a row.
bool run_restarts(const ScenarioOptions& options);

// Repeatedly rolls out settings files with other team limits, controller by controller, while faults are injected.
bool run_limit_changes(const ScenarioOptions& options);

}  // namespace thistlefront::testbed
