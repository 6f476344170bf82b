// Determines which jobs are the largest of their class, compared with recent submissions of the class. Among many small jobs, a
// large gang may wait long, or forever, until enough nodes are free at the same time; users notice such waits first. No I/O and no
// clock.
#pragma once
#include <cstddef>
#include <deque>
#include <vector>

#include "model/identifiers.hpp"
#include "model/job.hpp"

namespace thistlefront {

// Size of a job, for comparison within its class: the cores of all its tasks.
double size_of(const JobSpec& spec);

class JobSizeRanking {
 public:
  // A job of the class was accepted.
  void record(JobClassIndex job_class, double size);
  // Whether a job of this size is among the largest recent jobs of the class and larger than their median, which excludes jobs of
  // a class whose jobs all have the same size.
  [[nodiscard]] bool is_among_largest(JobClassIndex job_class, double size) const;

 private:
  struct RecentSizes {
    std::deque<double> sizes;
    double min_large_size = 0;  // minimum size of a large job
    double median = 0;
  };
  std::vector<RecentSizes> classes_;  // by job class index
};

// Start target for the largest jobs of a class.
inline constexpr double kLargestJobStartTargetS = 240.0;

}  // namespace thistlefront
