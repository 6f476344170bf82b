// Tasks of a job: identifiers, state on a node, and ranges of task numbers.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace thistlefront {

/// Phase of a task on a node, as reported by the agent.
enum class TaskPhase : std::uint8_t { pulling_image, waiting_for_gang, running, checkpointing, exited };
/// Why a task exited.
enum class ExitReason : std::uint8_t {
  none,                    ///< it has not exited
  completed,               ///< it ran to its end
  stopped,                 ///< it was killed by a command
  gang_member_lost,        ///< another task of its gang is gone
  gang_incomplete,         ///< the other tasks of its gang did not start in time
  failed,                  ///< the task itself failed
  insufficient_resources,  ///< the node had too few free resources
  duplicate_attempt,       ///< the node was still running another attempt of it
  unknown_task,            ///< a command named a task that the agent does not know
  node_lost                ///< never sent by agents: its node is gone
};

/// Identifies a task by the UID of its job and its number, starting at 0.
struct TaskId {
  std::string uid;
  std::uint32_t task = 0;
};

/// State of one attempt of a task, as reported by the agent.
struct TaskReport {
  TaskId id;
  std::uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::pulling_image;
  ExitReason exit_reason = ExitReason::none;
  bool checkpointed = false;  ///< its progress was saved; a later attempt resumes from it
};

/// Half-open range of task numbers, [first, end).
struct TaskRange {
  std::uint32_t first = 0, end = 0;
  friend bool operator==(const TaskRange&, const TaskRange&) = default;
};
/// Task numbers as ranges, in ascending order.
using TaskRanges = std::vector<TaskRange>;
/// Adds a task whose number is higher than all numbers in `ranges`.
inline void append_task(TaskRanges& ranges, std::uint32_t task) {
  if (!ranges.empty() && ranges.back().end == task) {
    ++ranges.back().end;
  } else {
    ranges.push_back({task, task + 1});
  }
}

}  // namespace thistlefront
