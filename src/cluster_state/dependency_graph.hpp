// Which job waits for which: what is ready and since when, what is cancelled through another job, and which rank
// and deadline count for a job that others need. Pure; `ClusterState` alone asks it, and feeds it from the ledger's records
// in whatever order these are read. Proofs: docs/pipelines.md. Times are wall seconds.
#pragma once
#include <limits>
#include <string>
#include <unordered_map>
#include <vector>

#include "model/identifiers.hpp"
#include "model/job.hpp"

namespace thistlefront {

// What counts for a job: its own, or that of a job that needs it.
struct Urgency {
  Priority priority = Priority::idle;
  double deadline_at = std::numeric_limits<double>::infinity();  // when it should be done; infinite: no deadline
  friend bool operator==(const Urgency&, const Urgency&) = default;
};
// The higher rank and the earlier deadline.
Urgency more_urgent(const Urgency& a, const Urgency& b);

class DependencyGraph {
 public:
  // How a job that is named stands.
  struct DependencyStatus {
    enum class State { unresolved, pending, done, cancelled } state = State::unresolved;
    JobIndex job;   // not valid: unread
    double at = 0;  // when it was done, where a job that it is read for needs to know
  };
  // What came of an event. Each job comes once at most in each list.
  struct Changes {
    struct Eligible {
      JobIndex job;
      double since;
    };
    std::vector<Eligible> eligible;
    std::vector<JobIndex> cancelled;        // through another: all that need it, directly or through others
    std::vector<JobIndex> urgency_changed;  // another rank or deadline counts for these
  };

  // A job that names others, none twice. `own`: of itself, `run_s`: its estimate, what its forerunners must be done
  // earlier; `accepted_at`: it is ready at the earliest then. Its state may be decided at once.
  void add(JobIndex job, const Urgency& own, double run_s, double accepted_at, const std::vector<std::string>& names,
           const std::vector<DependencyStatus>& as_named, Changes& news);
  // A name that was unread is read: how the job now stands.
  void resolve_name(const std::string& name, const DependencyStatus& named, Changes& news);
  // A job was done (0: when is not known, and it was before any that need it came), or cancelled.
  void mark_done(JobIndex job, double at, Changes& news);
  void mark_cancelled(JobIndex job, Changes& news);
  // A record tells since when a job is ready: it needs nothing more.
  void mark_eligible(JobIndex job, Changes& news);

  // Waits for others that are not done, or not read.
  [[nodiscard]] bool is_blocked(JobIndex job) const;
  // Jobs that it needs and that are not done, as far as they are read; and whether some name is not.
  [[nodiscard]] const std::vector<JobIndex>& dependencies(JobIndex job) const;
  [[nodiscard]] bool has_unresolved_names(JobIndex job) const;
  // Some job that has not ended needed it when it was done: when that was must stay known.
  [[nodiscard]] bool has_dependents(JobIndex job) const;
  [[nodiscard]] double done_at(JobIndex job) const;  // 0: not known, or not needed
  // What those that need it, directly or through others, want of it.
  [[nodiscard]] Urgency required_urgency(JobIndex job) const;

  struct Counts {
    std::size_t blocked = 0;                    // jobs now
    std::size_t unresolved_names = 0;           // names of no job that was read: 0 once the whole ledger was
    std::uint64_t eligible = 0, cancelled = 0;  // jobs that became ready, or were cancelled through another
  };
  [[nodiscard]] Counts counts() const;

 private:
  // Kept for jobs that have not ended and name or are named, and for ended ones that such a job needed.
  struct Vertex {
    std::vector<JobIndex> dependencies;            // not done
    std::vector<JobIndex> completed_dependencies;  // done while it waited
    std::vector<JobIndex> dependents;              // not ended
    std::size_t unresolved = 0;                    // names
    bool blocked = false, ended = false;
    double eligible_since = 0;  // ready at the earliest
    double done_at = 0, estimated_run_s = 0;
    Urgency own, required;  // own: of those that name others
  };
  [[nodiscard]] const Vertex* find(JobIndex job) const;
  void add_edge(JobIndex job, JobIndex need, Changes& news);
  // Ready, when nothing is left that it waits for.
  void update_eligibility(JobIndex job, Changes& news);
  void cancel_dependents(JobIndex job, Changes& news);
  // It has ended: what it needed no longer counts it.
  void detach(JobIndex job, Changes& news);
  void propagate_urgency(std::vector<JobIndex> work, Changes& news);
  void erase_if_unused(JobIndex job);

  std::unordered_map<JobIndex, Vertex> vertices_;
  std::unordered_map<std::string, std::vector<JobIndex>> unresolved_;  // jobs that name it
  std::size_t blocked_ = 0;
  std::uint64_t eligible_ = 0, cancelled_ = 0;
};

}  // namespace thistlefront
