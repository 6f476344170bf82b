// State of a job and of its placed tasks. `ClusterState` owns the jobs, and it alone changes the state that comes from the
// ledger; reconciliation updates the state that comes from heartbeats (see `Placement`). Plain data: no I/O, no clock.
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

// A task's assignment to a node, from its start record until the record of its removal or completion.
struct Placement {
  NodeIndex node;
  std::uint64_t agent_incarnation = 0, attempt = 0;
  double decided_at = 0;  // wall-clock seconds of the decision to start the task
  // Not in the ledger, updated from heartbeats:
  TaskPhase phase = TaskPhase::pulling_image;
  bool reported = false;          // some heartbeat contained the task
  bool removal_pending = false;   // the record of its removal or completion is queued for the ledger
  bool stopping = false;          // the task is to be stopped
  double grace_period_s = 0;      // sent with the kill command
  double running_since = 0;       // wall-clock seconds when it was first reported as running
  std::uint64_t start_token = 0;  // highest fencing token under which this leader sent its start directly; 0: it did not
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
  double accepted_at = 0;  // wall-clock seconds
  // Start of its waiting time, in wall-clock seconds: its acceptance, or the completion of its last dependency.
  double eligible_since = 0;
  Urgency urgency;       // highest urgency of the job itself and of its dependents
  bool blocked = false;  // some dependency is not done, so that the job is not live
  bool service = false;
  std::uint32_t live_position = kNotLive;  // index into ClusterState::live()
  JobStatus status = JobStatus::queued;    // `queued` until the job has ended, also while its tasks run
  std::uint64_t attempts = 0;
  std::vector<TaskState> tasks;
  std::map<std::uint32_t, Placement> placed;  // by task number
  std::uint32_t done = 0, pending = 0;        // task counts
  double cancelled_at = 0;                    // steady seconds when this leader cancelled it; 0: not cancelled by this leader
  // More snapshot records of this job follow in the ledger: its data is not released before they have been read.
  bool partially_replayed = false;

  [[nodiscard]] bool ended() const { return status == JobStatus::done || status == JobStatus::cancelled; }
  // Number of tasks reported as running or checkpointing.
  [[nodiscard]] std::uint32_t running() const;
};

struct TaskRef {
  JobIndex job;
  std::uint32_t task = 0;
  friend auto operator<=>(const TaskRef&, const TaskRef&) = default;
};

// A task placed on a node. `placement` stays valid until the task is removed from the node.
struct PlacedTask : TaskRef {
  Placement* placement = nullptr;
};

// A task as reported by the agent of a node.
struct ReportedTask {
  TaskRef ref;  // `ref.job` is not valid if the cluster state does not know the job
  std::uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::pulling_image;
  std::string uid;  // only for tasks of unknown jobs
  ExitReason exit_reason = ExitReason::none;
  // No direct command to start this attempt has a higher fencing token; copies of such commands may still arrive.
  std::uint64_t start_token = 0;
};

}  // namespace thistlefront
