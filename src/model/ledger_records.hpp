// Records of the ledger. Replaying them in order rebuilds the cluster state. protocol/ledger_record_json defines how they are
// stored. Times are wall-clock seconds.
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
  double random_draw = 0;  ///< drawn once on acceptance: random component of the job's sort key
  double accepted_at = 0;
};
/// Tasks of a job were assigned to nodes to be started, all with the same attempt number.
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
  double completed_at = 0;  ///< since format version 4, and only if some job depends on this one; 0: not recorded
};
/// Tasks of an attempt were removed from their nodes without having completed.
struct TasksRemovedRecord {
  std::string uid;
  std::uint64_t attempt = 0;
  TaskRanges tasks;
  double failed_at = 0;  ///< when they failed; 0: they were removed for another reason than a failure
};
/// A job was cancelled by its user.
struct JobCancelledRecord {
  std::string uid;
};
/// The machine types that the cloud offers; replaces the previous list.
struct MachineTypesRecord {
  std::vector<MachineType> machine_types;
};
/// A job's state at this point of the ledger. The compactor writes it so that older entries can be removed.
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
  /// A job with many task ranges takes several records; each covers the tasks from `first_task` on.
  std::uint32_t first_task = 0;
  bool has_more = false;      ///< more records of this snapshot follow
  bool suspect = false;       ///< the job failed on every node on which it ran
  double eligible_since = 0;  ///< when its last dependency was done; 0: it has no dependencies, or is still blocked
};
/// Jobs that ended; only their UIDs and final status are still needed.
struct JobsEndedRecord {
  JobStatus status = JobStatus::done;
  std::vector<std::string> uids;
  /// Since format version 4: index into `uids` and time when that job was done, if a job that has not ended depends on it.
  std::vector<std::pair<std::uint32_t, double>> done_at = {};
  /// Since format version 4: indices into `uids` of services; no job may depend on a service.
  std::vector<std::uint32_t> services = {};
};
/// Resources that a team is guaranteed and the maximum that it may use; 0: none. Memory has no quota.
struct TeamQuota {
  Resources guarantee, limit;
  friend bool operator==(const TeamQuota&, const TeamQuota&) = default;
};
/// A team's quota; exists since format version 3.
struct TeamQuotaRecord {
  std::string name;
  std::optional<TeamQuota> agreed;    ///< in force, narrowed by `proposed` if that is set
  std::optional<TeamQuota> proposed;  ///< in the settings of some controllers
  bool in_no_settings = false;        ///< no new jobs are accepted; existing ones keep the quota
  friend bool operator==(const TeamQuotaRecord&, const TeamQuotaRecord&) = default;
};
/// Any ledger record.
using Record = std::variant<JobAcceptedRecord, TasksStartedRecord, TasksCompletedRecord, TasksRemovedRecord, JobCancelledRecord,
                            MachineTypesRecord, JobSnapshotRecord, JobsEndedRecord, TeamQuotaRecord>;

}  // namespace thistlefront
