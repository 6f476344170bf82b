// A floor for what goes last. Rank goes before the key, so that where more of a higher rank is asked for than the fleet can do,
// nothing below it ever runs. A small share of the cores that come free by themselves goes to the jobs of which nothing runs and
// that have waited longest; nothing stops what it started for rank alone. Only what guarantees leave. Pure; times are steady
// seconds.
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
    std::size_t position = 0;  // the caller's position of it
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
  // `rate`: cores that come free in a second, lately.
  void accrue(double rate, double now);
  // Which go first in this pass, and how many units of each: the longest wait first, as far as what was earned lasts. One
  // unit is never too large: what it takes beyond is owed, and earned before the next one.
  [[nodiscard]] std::vector<Promotion> promote(std::vector<StarvingJob> starving) const;
  // Units of a raised job were started.
  void charge(JobIndex job, double cores);
  // Jobs that run by it are spared while anything of them runs; the others are forgotten.
  void prune_protected(const ClusterState& cluster_state);
  [[nodiscard]] const std::set<JobIndex>& protected_jobs() const { return protected_jobs_; }

 private:
  double balance_ = 0, at_ = -1;  // cores
  std::set<JobIndex> protected_jobs_;
};

// So long a job of which nothing runs has waited when the floor is for it: seconds.
inline constexpr double kStarvesAfter = 60.0;

}  // namespace thistlefront
