// Commands that a leader gives to the agent of a node.
#pragma once
#include <cstdint>

#include "model/task.hpp"

namespace thistlefront {

enum class CommandType : std::uint8_t { run, kill, acknowledge_exit };
struct Command {
  CommandType type = CommandType::run;
  TaskId id;
  std::uint64_t attempt = 0;
  double grace_period_s = 0;
};

}  // namespace thistlefront
