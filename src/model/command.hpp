// Commands that the leader sends to the agent of a node.
#pragma once
#include <cstdint>

#include "model/task.hpp"

namespace thistlefront {

/// What the agent is asked to do. `acknowledge_exit`: the exit of the task is recorded, the agent may stop reporting it.
enum class CommandType : std::uint8_t { run, kill, acknowledge_exit };
/// A command for one attempt of a task.
struct Command {
  CommandType type = CommandType::run;
  TaskId id;
  std::uint64_t attempt = 0;
  double grace_period_s = 0;  ///< for kills: time to write a checkpoint before the task is stopped
};

}  // namespace thistlefront
