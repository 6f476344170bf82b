// Which job depends on which: what is eligible to start and since when, what is cancelled with a job that it depends on, and
// which priority and deadline a job takes over from its dependents. Only `ClusterState` calls it, with the events of the
// ledger's records in whatever order these are read; what is decided does not depend on that order. Proofs:
// docs/pipelines.md. No I/O and no clock; times are wall seconds.
#pragma once
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <unordered_map>
#include <vector>

#include "model/identifiers.hpp"
#include "model/job.hpp"

namespace thistlefront {

// How urgent a job is: by itself, or for the sake of a job that depends on it.
struct Urgency {
  Priority priority = Priority::idle;
  double deadline_at = std::numeric_limits<double>::infinity();  // when it should be done; infinite: no deadline
  friend bool operator==(const Urgency&, const Urgency&) = default;
};
// The higher priority and the earlier deadline.
Urgency more_urgent(const Urgency& a, const Urgency& b);

class DependencyGraph {
 public:
  // Status of a job that another one depends on by name.
  struct DependencyStatus {
    enum class State { unresolved, pending, done, cancelled } state = State::unresolved;
    JobIndex job;   // not valid: not read yet
    double at = 0;  // when it was done, where it was read after its dependents and they need to know; otherwise 0
  };
  // What an event changes. Each job is at most once in each list.
  struct Changes {
    struct Eligible {
      JobIndex job;
      double since;
    };
    std::vector<Eligible> eligible;
    std::vector<JobIndex> cancelled;        // all dependents of a cancelled job, direct and indirect
    std::vector<JobIndex> urgency_changed;  // their required urgency is another one now
  };

  // Adds a job that depends on the jobs `names`, none twice, whose statuses are `statuses`. `own`: its own urgency; `run_s`:
  // its estimated run time, by which the jobs that it depends on must be done earlier; `accepted_at`: the earliest time at
  // which it is eligible. It may become eligible or cancelled at once.
  void add(JobIndex job, const Urgency& own, double run_s, double accepted_at, const std::vector<std::string>& names,
           const std::vector<DependencyStatus>& statuses, Changes& changes);
  // The job of this name has been read; `status` is its present one.
  void resolve_name(const std::string& name, const DependencyStatus& status, Changes& changes);
  // The job is done since `at` (0: not known, and before any of its dependents was accepted).
  void mark_done(JobIndex job, double at, Changes& changes);
  void mark_cancelled(JobIndex job, Changes& changes);
  // A record says that the job is eligible: it depends on nothing any more. The job itself is not added to `changes`.
  void mark_eligible(JobIndex job, Changes& changes);

  // Whether the job depends on others that are not done, or not read.
  [[nodiscard]] bool is_blocked(JobIndex job) const;
  // The jobs that it depends on and that are not done, as far as they have been read.
  [[nodiscard]] const std::vector<JobIndex>& dependencies(JobIndex job) const;
  [[nodiscard]] bool has_unresolved_names(JobIndex job) const;
  // Whether some job that has not ended depended on it until it was done: the time of its end must stay known.
  [[nodiscard]] bool has_dependents(JobIndex job) const;
  // When the job was done; 0: not known, or not needed.
  [[nodiscard]] double done_at(JobIndex job) const;
  // The urgency that its direct and indirect dependents require of it.
  [[nodiscard]] Urgency required_urgency(JobIndex job) const;

  struct Counts {
    std::size_t blocked = 0;           // jobs at present
    std::size_t unresolved_names = 0;  // names of jobs that have not been read: 0 once the whole ledger was
    std::uint64_t eligible = 0;        // jobs that became eligible, in all
    std::uint64_t cancelled = 0;       // jobs that were cancelled with one that they depended on, in all
  };
  [[nodiscard]] Counts counts() const;

 private:
  // Kept for jobs that have not ended and have dependencies or dependents, and for ended ones that such a job depended on.
  struct Vertex {
    std::vector<JobIndex> dependencies;            // not done
    std::vector<JobIndex> completed_dependencies;  // done while this job was blocked
    std::vector<JobIndex> dependents;              // not ended
    std::size_t unresolved = 0;                    // number of names that have not been read
    bool blocked = false;
    bool ended = false;
    double eligible_since = 0;  // at the earliest
    double done_at = 0;
    double estimated_run_s = 0;
    Urgency own;  // only of jobs with dependencies
    Urgency required;
  };
  [[nodiscard]] const Vertex* find(JobIndex job) const;
  void add_edge(JobIndex job, JobIndex dependency, Changes& changes);
  // One of the job's names is resolved, with this status.
  void resolve_dependency(JobIndex job, const DependencyStatus& status, Changes& changes);
  void record_completed_dependency(JobIndex job, JobIndex dependency, double done_at);
  // Makes the job eligible when it depends on nothing any more.
  void update_eligibility(JobIndex job, Changes& changes);
  void mark_unblocked(Vertex& vertex);
  // Cancels the job because of one that it depends on, and its dependents with it.
  void cancel_with_dependents(JobIndex job, Changes& changes);
  void cancel_dependents(JobIndex job, Changes& changes);
  // The job has ended: removes it from the dependents of the jobs that it depended on.
  void detach(JobIndex job, Changes& changes);
  void propagate_urgency(std::vector<JobIndex> jobs, Changes& changes);
  [[nodiscard]] Urgency urgency_required_by_dependents(const Vertex& vertex) const;
  void erase_if_unused(JobIndex job);

  std::unordered_map<JobIndex, Vertex> vertices_;
  std::unordered_map<std::string, std::vector<JobIndex>> unresolved_;  // jobs that depend on the name
  std::size_t blocked_ = 0;
  std::uint64_t eligible_ = 0, cancelled_ = 0;
};

}  // namespace thistlefront
