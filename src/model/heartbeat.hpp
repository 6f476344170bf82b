// A heartbeat: what the agent of a node reports about the node and its tasks.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/task.hpp"

namespace thistlefront {

/// A heartbeat as its parser gives it out: well formed, and not yet compared with the cluster state.
struct Heartbeat {
  std::string node, address, machine_type, zone;
  bool spot = false;
  std::uint64_t agent_incarnation = 0;      ///< grows whenever the node's lease has expired
  std::uint64_t serial = 0;                 ///< grows with each heartbeat of an incarnation
  std::uint64_t fencing_token = 0;          ///< the highest one that the agent has seen
  std::optional<double> interruption_in_s;  ///< of a spot instance with an interruption notice: time until it goes
  std::vector<TaskReport> tasks;
  /// Not on the wire: the serial of an earlier heartbeat of the same incarnation that is equal in everything but its serial.
  /// Absent where the reader knows of none.
  std::optional<std::uint64_t> repeated_serial = {};
};

}  // namespace thistlefront
