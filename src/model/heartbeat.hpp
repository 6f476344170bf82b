// A heartbeat: what the agent of a node reports about the node and its tasks.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/task.hpp"

namespace thistlefront {

struct Heartbeat {
  std::string node, address, machine_type, zone;
  bool spot = false;
  std::uint64_t agent_incarnation = 0, serial = 0, fencing_token = 0;
  std::optional<double> interruption_in_s;
  std::vector<TaskReport> tasks;
  // Not on the wire: the serial of an earlier report of the same session that said the same of everything but its own serial,
  // where the reader knows of one.
  std::optional<std::uint64_t> repeated_serial = {};
};

}  // namespace thistlefront
