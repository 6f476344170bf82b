// The fault test's scenarios. Each runs one seed in real time, prints its report, and returns whether the seed passed.
#pragma once
#include "testbed/fault_run.hpp"

namespace thistlefront::testbed {

// Builds are rolled forward and back in any order, with a fault every second or two; then all controllers get the newer build and faults
// end: everything accepted must be known, and the format version must come on by itself.
bool run_rollout(const ScenarioOptions& options);

// Controllers end in each step of what they do with the store (the request executed or not) and at any moment, and are back within a
// fraction of a second: one, some or all, often in a row.
bool run_restarts(const ScenarioOptions& options);

// Teams' limits are changed by settings files that are rolled out controller by controller under faults, over and over.
bool run_limit_changes(const ScenarioOptions& options);

}  // namespace thistlefront::testbed
