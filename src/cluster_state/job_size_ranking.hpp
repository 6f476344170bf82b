// Which jobs of a class are its largest: by what the class asked for lately. A large gang among a stream of small ones finds
// its machines free together late, if at all, and is what its users miss first. Pure.
#pragma once
#include <cstddef>
#include <deque>
#include <vector>

#include "model/identifiers.hpp"
#include "model/job.hpp"

namespace thistlefront {

// What a job asks for in all, to be compared within its class: cores.
double size_of(const JobSpec& s);

class JobSizeRanking {
 public:
  // A job of the class came.
  void record(JobClassIndex c, double size);
  // Among the largest few of those that came lately, and larger than most of them; none where all are alike.
  [[nodiscard]] bool is_among_largest(JobClassIndex c, double size) const;

 private:
  struct RecentSizes {
    std::deque<double> sizes;
    double large = 0, median = 0;  // the least that counts as large
  };
  std::vector<RecentSizes> classes_;
};

// Seconds within which its users want one of the largest to begin.
inline constexpr double kLargestStartTarget = 240.0;

}  // namespace thistlefront
