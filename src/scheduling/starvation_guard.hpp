// Keeps jobs of low priority from starving. Jobs are planned by priority first, so lower priorities would never run while more
// work of a higher priority is submitted than the cluster can do. A small fraction of the cores that completed tasks release goes
// to the jobs without placed tasks that have waited longest. Tasks started this way are preempted only for services or for
// work within a guarantee. Teams' guarantees are not affected. Called in each pass by promote_starving_jobs and by the leader.
// Pure; times are steady seconds.
#pragma once
#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "model/identifiers.hpp"

namespace thistlefront {

class StarvationGuard {
 public:
  struct StarvingJob {
    std::size_t position = 0;  // in PlanInput::jobs
    JobIndex job;
    double waited_s = 0;
    double unit_cores = 0;
    std::uint32_t units = 0;
  };
  struct Promotion {
    std::size_t position = 0;
    std::uint32_t units = 0;
    friend bool operator==(const Promotion&, const Promotion&) = default;
  };
  // Adds the guard's fraction of the cores released since the last call. `release_rate`: cores per second, recently.
  void accrue(double release_rate, double now);
  // Returns the jobs to promote in this pass and the number of units of each, longest wait first, while the balance lasts. As long
  // as the balance is positive, one unit of any size is promoted. Its charge may make the balance negative; nothing is promoted then
  // until accruals have made the balance positive again.
  [[nodiscard]] std::vector<Promotion> promote(std::vector<StarvingJob> starving) const;
  // Charges started units of a promoted job and protects the job.
  void charge(JobIndex job, double cores);
  // Removes protection from jobs that have ended or have no placed tasks.
  void prune_protected(const ClusterState& cluster_state);
  // Jobs with tasks started by promotion; preempted only for services or for work within a guarantee.
  [[nodiscard]] const std::set<JobIndex>& protected_jobs() const { return protected_jobs_; }

 private:
  double balance_ = 0;           // cores
  double last_accrued_at_ = -1;  // negative: never
  std::set<JobIndex> protected_jobs_;
};

// Wait after which a job without placed tasks counts as starving.
inline constexpr double kStarvingAfterSeconds = 60.0;

}  // namespace thistlefront
