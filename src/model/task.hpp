// Tasks of a job: their names, their states on a node, and ranges of them.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace thistlefront {

enum class TaskPhase : std::uint8_t { pulling_image, waiting_for_gang, running, checkpointing, exited };
enum class ExitReason : std::uint8_t {
  none,
  completed,
  stopped,
  gang_member_lost,
  gang_incomplete,
  failed,
  insufficient_resources,
  duplicate_attempt,
  unknown_task,
  node_lost
};

struct TaskId {
  std::string uid;
  std::uint32_t task = 0;
};

struct TaskReport {
  TaskId id;
  std::uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::pulling_image;
  ExitReason exit_reason = ExitReason::none;
  bool checkpointed = false;
};

// Half-open range of task numbers.
struct TaskRange {
  std::uint32_t first = 0, last = 0;
  friend bool operator==(const TaskRange&, const TaskRange&) = default;
};
using TaskRanges = std::vector<TaskRange>;
inline void append_task(TaskRanges& ranges, std::uint32_t task) {
  if (!ranges.empty() && ranges.back().last == task) {
    ++ranges.back().last;
  } else {
    ranges.push_back({task, task + 1});
  }
}

}  // namespace thistlefront
