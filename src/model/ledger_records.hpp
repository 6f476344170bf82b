// Records of the ledger. Replayed in order they give the cluster state; their stored form is in protocol/ledger_record_json.
// Times are wall-clock seconds.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "model/job.hpp"
#include "model/machine.hpp"
#include "model/resources.hpp"
#include "model/task.hpp"

namespace thistlefront {

/// A submission was accepted.
struct JobAcceptedRecord {
  JobSpec job;
  double random_draw = 0;  ///< drawn once on acceptance, the random part of the job's place in the order
  double accepted_at = 0;
};
/// Tasks of a job were assigned to nodes, all as the same attempt.
struct TasksStartedRecord {
  /// The tasks assigned to one node.
  struct NodeAssignment {
    std::string node;
    std::uint64_t agent_incarnation = 0;
    TaskRanges tasks;
  };
  std::string uid;
  std::uint64_t attempt = 0;
  double decided_at = 0;
  std::vector<NodeAssignment> assignments;
};
/// Tasks of a job are done.
struct TasksCompletedRecord {
  std::string uid;
  TaskRanges tasks;
  double completed_at = 0;  ///< from format version 4 on, and only where some job depends on this one; 0: not told
};
/// Tasks of an attempt are no longer on a node and are not done.
struct TasksRemovedRecord {
  std::string uid;
  std::uint64_t attempt = 0;
  TaskRanges tasks;
  double failed_at = 0;  ///< when they failed; 0: they were removed for another reason
};
/// A job was cancelled by its user.
struct JobCancelledRecord {
  std::string uid;
};
/// The machine types that the cloud offers; replaces the earlier list.
struct MachineTypesRecord {
  std::vector<MachineType> machine_types;
};
/// A job's state at this point of the ledger, written by the compactor so that older entries can be dropped.
struct JobSnapshotRecord {
  /// Tasks of one attempt on one node.
  struct PlacedTasks {
    std::string node;
    std::uint64_t agent_incarnation = 0, attempt = 0;
    double decided_at = 0;
    TaskRanges tasks;
  };
  JobAcceptedRecord accepted;
  JobStatus status = JobStatus::queued;
  std::uint64_t attempts = 0;
  TaskRanges done;
  std::vector<PlacedTasks> placed;
  /// A job with many ranges takes several records; each covers the tasks from `first_task` on.
  std::uint32_t first_task = 0;
  bool has_more = false;      ///< further records of this job follow
  bool suspect = false;       ///< it failed wherever it ran
  double eligible_since = 0;  ///< when the last of the jobs that it depends on was done; 0: it depends on none, or still waits
};
/// Jobs that ended: only their names and how they ended are still needed.
struct JobsEndedRecord {
  JobStatus status = JobStatus::done;
  std::vector<std::string> uids;
  /// From format version 4 on, by index into `uids`: when a job was done, if one that has not ended depends on it.
  std::vector<std::pair<std::uint32_t, double>> done_at = {};
  /// From format version 4 on, indices into `uids`: services, on which no job may depend.
  std::vector<std::uint32_t> services = {};
};
/// What a team is guaranteed and may use at most; 0: none. Memory has no quota.
struct TeamQuota {
  Resources guarantee, limit;
  friend bool operator==(const TeamQuota&, const TeamQuota&) = default;
};
/// A team's quota, from format version 3 on.
struct TeamQuotaRecord {
  std::string name;
  std::optional<TeamQuota> agreed;    ///< in force
  std::optional<TeamQuota> proposed;  ///< in the settings of some controllers: narrows the one in force
  bool in_no_settings = false;        ///< no longer in any settings: its jobs keep the quota, and no new ones are accepted
  friend bool operator==(const TeamQuotaRecord&, const TeamQuotaRecord&) = default;
};
/// Any record.
using Record = std::variant<JobAcceptedRecord, TasksStartedRecord, TasksCompletedRecord, TasksRemovedRecord, JobCancelledRecord,
                            MachineTypesRecord, JobSnapshotRecord, JobsEndedRecord, TeamQuotaRecord>;

}  // namespace thistlefront
