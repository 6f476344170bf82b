// Heartbeats: the state of a node and its tasks as reported by the node's agent.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/task.hpp"

namespace thistlefront {

/// A parsed heartbeat: well formed, but not yet checked against the cluster state.
struct Heartbeat {
  std::string node, address, machine_type, zone;
  bool spot = false;
  std::uint64_t agent_incarnation = 0;      ///< increases each time the node's lease expires
  std::uint64_t serial = 0;                 ///< increases with each heartbeat of an incarnation
  std::uint64_t fencing_token = 0;          ///< highest one that the agent has seen
  std::optional<double> interruption_in_s;  ///< time until the spot instance is reclaimed; set only after an interruption notice
  std::vector<TaskReport> tasks;
  /// Not on the wire: serial of an earlier heartbeat of the same incarnation that differs from this one in its serial alone.
  /// Not set if the reader knows of no such heartbeat.
  std::optional<std::uint64_t> repeated_serial = {};
};

}  // namespace thistlefront
