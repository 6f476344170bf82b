// State of a job and of its placed tasks. `ClusterState` owns the jobs and is the only one to change what the ledger decides;
// reconciliation updates what is learned from heartbeats (see `Placement`). Plain data: no I/O, no clock.
#pragma once
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cluster_state/dependency_graph.hpp"
#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/task.hpp"

namespace thistlefront {

enum class TaskState : std::uint8_t { pending, placed, done };

// The place that a task occupies from its start record until a record says that it was removed or is done.
struct Placement {
  NodeIndex node;
  std::uint64_t agent_incarnation = 0, attempt = 0;
  double decided_at = 0;  // wall seconds of the decision to start the task
  // Learned from heartbeats, not in the ledger:
  TaskPhase phase = TaskPhase::pulling_image;
  bool reported = false;         // some heartbeat showed the task
  bool removal_pending = false;  // the record of its end is on its way into the ledger
  bool stopping = false;         // the task is to be stopped
  double grace_period_s = 0;     // sent with the kill command
  double running_since = 0;      // wall seconds when the task was first seen running
};

inline constexpr std::uint32_t kNotLive = UINT32_MAX;

struct Job {
  std::string uid;
  JobSpec spec;
  TeamIndex team;
  JobClassIndex job_class;
  ImageIndex image;
  ZoneIndex zone;
  std::vector<MachineTypeIndex> machine_types;  // empty: any
  double random_draw = 0;
  double accepted_at = 0;  // wall seconds
  // Wall seconds from which its waiting time counts: its acceptance, or the end of the last job that it depended on.
  double eligible_since = 0;
  Urgency urgency;       // the more urgent of its own and that of the jobs that depend on it
  bool blocked = false;  // depends on jobs that are not done: it is not among the live jobs
  bool service = false;
  std::uint32_t live_position = kNotLive;  // index into ClusterState::live()
  JobStatus status = JobStatus::queued;    // queued stands for any job that has not ended
  std::uint64_t attempts = 0;
  std::vector<TaskState> tasks;
  std::map<std::uint32_t, Placement> placed;  // by task number
  std::uint32_t done = 0, pending = 0;        // numbers of tasks
  double cancelled_at = 0;                    // steady seconds when this leader cancelled it; 0: an earlier leader did, or nobody
  // More snapshot records of this job follow in the ledger: its state is not released before they are read.
  bool partially_replayed = false;

  [[nodiscard]] bool ended() const { return status == JobStatus::done || status == JobStatus::cancelled; }
  // Number of tasks that heartbeats show as running (or writing a checkpoint).
  [[nodiscard]] std::uint32_t running() const;
};

struct TaskRef {
  JobIndex job;
  std::uint32_t task = 0;
  friend auto operator<=>(const TaskRef&, const TaskRef&) = default;
};

// A task placed on a node. The pointer stays valid until the task is removed from the node.
struct PlacedTask : TaskRef {
  Placement* placement = nullptr;
};

// A task as the agent of a node reported it.
struct ReportedTask {
  TaskRef ref;  // job not valid: the cluster state does not know the job
  std::uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::pulling_image;
  std::string uid;  // kept for tasks of unknown jobs
};

}  // namespace thistlefront
