// Tasks of a job: their names, their states on a node, and ranges of them.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace thistlefront {

/// What a task on a node is doing, as its agent reports it.
enum class TaskPhase : std::uint8_t { pulling_image, waiting_for_gang, running, checkpointing, exited };
/// Why a task exited.
enum class ExitReason : std::uint8_t {
  none,                    ///< it has not exited
  completed,               ///< it is done
  stopped,                 ///< it was killed by a command
  gang_member_lost,        ///< another task of its gang went away
  gang_incomplete,         ///< the rest of its gang did not start in time
  failed,                  ///< the task itself failed
  insufficient_resources,  ///< the node had no room for it
  duplicate_attempt,       ///< the node still ran another attempt of it
  unknown_task,            ///< the agent does not know the task that a command named
  node_lost                ///< never reported: its node is gone
};

/// A task of a job, by its number from 0 on.
struct TaskId {
  std::string uid;
  std::uint32_t task = 0;
};

/// The state of one attempt of a task, as its agent reports it.
struct TaskReport {
  TaskId id;
  std::uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::pulling_image;
  ExitReason exit_reason = ExitReason::none;
  bool checkpointed = false;  ///< its progress was saved, and a later attempt resumes from there
};

/// Half-open range of task numbers: `end` is not in it.
struct TaskRange {
  std::uint32_t first = 0, end = 0;
  friend bool operator==(const TaskRange&, const TaskRange&) = default;
};
/// Task numbers as ranges, in ascending order.
using TaskRanges = std::vector<TaskRange>;
/// Adds a task whose number is above all of those in `ranges`.
inline void append_task(TaskRanges& ranges, std::uint32_t task) {
  if (!ranges.empty() && ranges.back().end == task) {
    ++ranges.back().end;
  } else {
    ranges.push_back({task, task + 1});
  }
}

}  // namespace thistlefront
