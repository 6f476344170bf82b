// Which jobs are the largest of their class, by the recent submissions of the class. A large gang among a stream of small ones
// finds enough free nodes at the same time late, if at all, and is what its users miss first. No I/O and no clock.
#pragma once
#include <cstddef>
#include <deque>
#include <vector>

#include "model/identifiers.hpp"
#include "model/job.hpp"

namespace thistlefront {

// Size of a job, to be compared within its class: the cores of all its tasks.
double size_of(const JobSpec& spec);

class JobSizeRanking {
 public:
  // A job of the class was accepted.
  void record(JobClassIndex job_class, double size);
  // Whether a job of this size is among the largest few of the recent ones, and larger than most of them; false where all
  // are alike.
  [[nodiscard]] bool is_among_largest(JobClassIndex job_class, double size) const;

 private:
  struct RecentSizes {
    std::deque<double> sizes;
    double large = 0;  // least size that counts as large
    double median = 0;
  };
  std::vector<RecentSizes> classes_;  // by job class index
};

// Seconds within which the users of one of the largest jobs want it to start.
inline constexpr double kLargestJobStartTargetS = 240.0;

}  // namespace thistlefront
