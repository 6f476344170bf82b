// Records of the ledger. Replayed in order they give the cluster state.
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

// What the ledger holds, in order. Replayed from the beginning they give the same book again.
struct JobAcceptedRecord {
  JobSpec job;
  double random_draw = 0;  // the key's random number, drawn once at intake
  double at = 0;           // wall seconds
};
struct TasksStartedRecord {
  struct NodeAssignment {
    std::string node;
    std::uint64_t agent_incarnation = 0;
    TaskRanges tasks;
  };
  std::string uid;
  std::uint64_t attempt = 0;
  double at = 0;
  std::vector<NodeAssignment> assignments;
};
struct TasksCompletedRecord {
  std::string uid;
  TaskRanges tasks;
  double at = 0;  // wall seconds, from state level 4 on and where some job waits for this one; 0: not told
};
struct TasksRemovedRecord {  // no longer on a host, and not done
  std::string uid;
  std::uint64_t attempt = 0;
  TaskRanges tasks;
  double failed_at = 0;  // wall seconds when these failed; 0: off for another reason
};
struct JobCancelledRecord {
  std::string uid;
};
struct MachineTypesRecord {
  std::vector<MachineType> machine_types;
};
// A job as it is at this point of the ledger, so that the entries it came from can go.
struct JobSnapshotRecord {
  struct PlacedTasks {
    std::string node;
    std::uint64_t agent_incarnation = 0, attempt = 0;
    double at = 0;
    TaskRanges tasks;
  };
  JobAcceptedRecord accept;
  JobStatus status = JobStatus::queued;
  std::uint64_t attempts = 0;
  TaskRanges done;
  std::vector<PlacedTasks> placed;
  // A job with many ranges comes in several records; each covers tasks from `from` on.
  std::uint32_t from = 0;
  bool more = false;     // further ones follow
  bool suspect = false;  // it failed wherever it ran
  double ready_at = 0;   // wall seconds, of a job that waited for others and does no longer; 0: of any other
};
// Ended jobs need only their name and how they ended.
struct JobsEndedRecord {
  JobStatus status = JobStatus::done;
  std::vector<std::string> uids;
  // From state level 4 on, by place in `uids`: when they were done (wall seconds), where a job that has not ended needed
  // them; and which of them were services, that nobody may wait for.
  std::vector<std::pair<std::uint32_t, double>> done_at = {};
  std::vector<std::uint32_t> services = {};
};
// What a team is guaranteed and may use at most; 0: none. Memory is neither.
struct TeamQuota {
  Resources guarantee, limit;
  friend bool operator==(const TeamQuota&, const TeamQuota&) = default;
};
// A team's terms, from state level 3 on.
struct TeamQuotaRecord {
  std::string name;
  std::optional<TeamQuota> agreed;    // in force
  std::optional<TeamQuota> proposed;  // by the settings of some controllers: narrows what is in force
  bool leaving = false;               // in no settings any more: takes no jobs, and keeps its terms
  friend bool operator==(const TeamQuotaRecord&, const TeamQuotaRecord&) = default;
};
using Record = std::variant<JobAcceptedRecord, TasksStartedRecord, TasksCompletedRecord, TasksRemovedRecord, JobCancelledRecord,
                            MachineTypesRecord, JobSnapshotRecord, JobsEndedRecord, TeamQuotaRecord>;

}  // namespace thistlefront
