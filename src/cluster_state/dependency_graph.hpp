// Dependencies between jobs: which jobs are eligible to start and since when, which are cancelled because a dependency was
// cancelled, and which priority and deadline a job inherits from its dependents. Only `ClusterState` calls it, with events from
// ledger records; the result does not depend on the order in which the records are read. Proofs: docs/pipelines.md. No I/O and no
// clock; times are wall-clock seconds.
//
// dependency_graph.cpp has eligibility and cancellation, inherited_urgency.cpp the urgency. Each event takes a number of steps that
// is at most proportional to the jobs that it changes and the edges of these and of their dependencies, however many paths lead
// through them.
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

// Priority and deadline of a job, its own or inherited from dependents.
struct Urgency {
  Priority priority = Priority::idle;
  double deadline_at = std::numeric_limits<double>::infinity();  // infinity: no deadline
  friend bool operator==(const Urgency&, const Urgency&) = default;
};
// Combines the higher priority and the earlier deadline of both.
[[nodiscard]] Urgency more_urgent(const Urgency& a, const Urgency& b);

class DependencyGraph {
 public:
  // Status of a job that another job names as a dependency.
  struct DependencyStatus {
    enum class State { unresolved, pending, done, cancelled } state = State::unresolved;
    JobIndex job;        // not valid: not read yet
    double done_at = 0;  // when the job was done, if it was read after dependents that need this time; otherwise 0
  };
  // Jobs that an event changes. Each job is at most once in each list.
  struct JobChanges {
    struct Eligible {
      JobIndex job;
      double since;
    };
    std::vector<Eligible> eligible;
    std::vector<JobIndex> cancelled;  // all dependents of a cancelled job, direct and indirect
  };
  // The urgency that the direct and indirect dependents of a job now require of it.
  struct RequiredUrgency {
    JobIndex job;
    Urgency required;
  };

  // Adds a job with dependencies `names` (no duplicates), which have these `statuses`. `own`: the job's own urgency; `run_s`: its
  // estimated run time, so its dependencies must be done `run_s` before its deadline; `accepted_at`: the earliest time at which it
  // can be eligible. The job may become eligible or be cancelled immediately.
  void add(JobIndex job, const Urgency& own, double run_s, double accepted_at, const std::vector<std::string>& names,
           const std::vector<DependencyStatus>& statuses, JobChanges& changes);
  // The job of this name has been read from the ledger and has this status.
  void resolve_name(const std::string& name, const DependencyStatus& status, JobChanges& changes);
  // The job was done at `done_at` (0: not known, but before any of its dependents was accepted).
  void mark_done(JobIndex job, double done_at, JobChanges& changes);
  void mark_cancelled(JobIndex job, JobChanges& changes);
  // A record shows that the job is eligible: removes its dependencies.
  void mark_eligible(JobIndex job);
  // Brings the urgency that dependents require up to date with all events since the last call, and returns the jobs for which it
  // changed, each once. Visits a job at most once, however many events, dependents and paths lead to it.
  [[nodiscard]] std::vector<RequiredUrgency> update_required_urgency();

  // Whether some dependency of the job is not done or has not been read.
  [[nodiscard]] bool is_blocked(JobIndex job) const;
  // Dependencies of the job that have been read and are not done.
  [[nodiscard]] std::vector<JobIndex> open_dependencies(JobIndex job) const;
  [[nodiscard]] bool has_unresolved_names(JobIndex job) const;
  // Whether the job has dependents that have not ended. If it is done, its completion time must be kept for them.
  [[nodiscard]] bool has_dependents(JobIndex job) const;
  // When the job was done; 0: not known or not needed.
  [[nodiscard]] double done_at(JobIndex job) const;

  struct Counts {
    std::size_t blocked = 0;           // jobs that are blocked now
    std::size_t unresolved_names = 0;  // names of jobs that have not been read; 0 once the whole ledger has been read
    std::uint64_t eligible = 0;        // total of jobs that became eligible
    std::uint64_t cancelled = 0;       // total of jobs cancelled because a dependency was cancelled
    std::uint64_t steps = 0;           // total of jobs and edges visited by all events, a measure of their cost
  };
  [[nodiscard]] Counts counts() const;

 private:
  // One end of an edge between a job and one of its dependencies. Each end knows the position of the other, so that an edge is removed
  // without a search.
  struct EdgeEnd {
    JobIndex job;                // at the other end
    std::uint32_t position = 0;  // of the other end, in the dependents or dependencies of `job`
  };
  // Kept for jobs that have not ended and have dependencies or dependents, and for ended dependencies of such jobs.
  struct Vertex {
    std::vector<EdgeEnd> dependencies;     // that have been read, except those that were done when this job was added
    std::size_t open_dependencies = 0;     // number of `dependencies` that are not done
    std::size_t unresolved = 0;            // number of dependencies that have not been read
    std::vector<EdgeEnd> dependents;       // not ended; empty once this job has ended
    std::size_t dependents_after_end = 0;  // number of dependents that have not ended, once this job is done
    bool blocked = false;
    bool ended = false;
    double eligible_since = 0;  // lower bound while the job is blocked
    double done_at = 0;
    double estimated_run_s = 0;
    Urgency own;                  // set only for jobs with dependencies
    Urgency required;             // urgency that the dependents require
    Urgency propagated_required;  // the value of `required` that its dependencies have taken into account
    // Above the ranks of all its dependencies, unless `ranks_outdated_`. 0: had no dependencies when it was added.
    std::uint64_t rank = 0;
    bool queued = false;          // in `urgency_queue_`
    bool must_recompute = false;  // `required` must be computed anew, because a dependent left or became less urgent
  };
  [[nodiscard]] const Vertex* find(JobIndex job) const;
  void add_edge(JobIndex job, JobIndex dependency);
  // One of the job's unresolved dependencies was read and has this status.
  void resolve_dependency(JobIndex job, const DependencyStatus& status, JobChanges& changes);
  // `dependency`, which is one of the dependencies of `dependent`, is done.
  static void record_completed_dependency(Vertex& dependent, Vertex& dependency);
  // Makes the job eligible if all its dependencies are done.
  void update_eligibility(JobIndex job, JobChanges& changes);
  void mark_unblocked(Vertex& vertex);
  // Cancels the job, because a dependency was cancelled, and all its dependents.
  void cancel_with_dependents(JobIndex job, JobChanges& changes);
  void cancel_dependents(JobIndex job, JobChanges& changes);
  // The job has ended: removes it from the dependents of its dependencies.
  void detach(JobIndex job);
  // Removes a dependent of `job`, which has not ended.
  void remove_dependent(JobIndex job, std::uint32_t position);
  void erase_if_unused(JobIndex job);

  // inherited_urgency.cpp
  // A dependent requires at least this urgency of the job.
  void raise_required(JobIndex job, Vertex& vertex, const Urgency& urgency);
  // A dependent requires less of the job than before, or left.
  void recompute_required_later(JobIndex job, Vertex& vertex);
  void queue_for_update(JobIndex job, Vertex& vertex);
  void propagate_required(JobIndex job, std::vector<RequiredUrgency>& changes);
  // What a job requires of its dependencies, and what all dependents of a job require of it.
  [[nodiscard]] static Urgency urgency_required_by(const Vertex& dependent);
  [[nodiscard]] Urgency required_by_dependents(const Vertex& vertex);
  // Ranks all jobs that have not ended in topological order.
  void assign_ranks();

  std::unordered_map<JobIndex, Vertex> vertices_;
  std::unordered_map<std::string, std::vector<JobIndex>> unresolved_;  // dependents, by UID of a job that has not been read
  std::size_t blocked_ = 0;
  std::uint64_t eligible_ = 0, cancelled_ = 0, steps_ = 0;
  std::vector<JobIndex> urgency_queue_;  // jobs whose `required` changed or must be computed anew, in no particular order
  std::uint64_t last_rank_ = 0;
  bool ranks_outdated_ = false;
};

}  // namespace thistlefront
