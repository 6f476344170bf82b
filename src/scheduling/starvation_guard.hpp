// Keeps jobs of low priority from starving. Priority goes before the key, so that where more work of a higher priority is
// submitted than the cluster can do, nothing below it would ever run. A small share of the cores that come free by themselves
// goes to the jobs that have waited longest and of which nothing runs; what it started is never preempted for priority alone.
// It never takes from what teams are guaranteed. Called in each pass, by promote_starving_jobs and the leader. Pure; times are
// steady seconds.
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
    std::size_t position = 0;  // in the caller's list
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
  // Earns the share for the time since the last call. `rate`: cores that come free in a second, recently.
  void accrue(double rate, double now);
  // Which jobs go first in this pass, and how many units of each: the longest wait first, as far as the balance lasts. While
  // it is above zero, one unit of any size is promoted; the balance is then below zero until as much has been earned.
  [[nodiscard]] std::vector<Promotion> promote(std::vector<StarvingJob> starving) const;
  // Units of a promoted job were started.
  void charge(JobIndex job, double cores);
  // Forgets protected jobs of which nothing runs any more.
  void prune_protected(const ClusterState& cluster_state);
  // Jobs started as promoted: they are not preempted for priority alone.
  [[nodiscard]] const std::set<JobIndex>& protected_jobs() const { return protected_jobs_; }

 private:
  double balance_ = 0;  // cores
  double at_ = -1;      // of the last accrual; below zero: none yet
  std::set<JobIndex> protected_jobs_;
};

// Seconds after which a waiting job of which nothing runs counts as starving.
inline constexpr double kStarvesAfter = 60.0;

}  // namespace thistlefront
