// Commands that a leader gives to the agent of a node.
#pragma once
#include <cstdint>

#include "model/task.hpp"

namespace thistlefront {

/// What the agent is to do: start a task, stop it, or forget that it exited.
enum class CommandType : std::uint8_t { run, kill, acknowledge_exit };
/// A command for one attempt of a task.
struct Command {
  CommandType type = CommandType::run;
  TaskId id;
  std::uint64_t attempt = 0;
  double grace_period_s = 0;  ///< of a kill: time to write a checkpoint before the task is stopped
};

}  // namespace thistlefront
