#include "cluster_state/job_size_ranking.hpp"

#include <algorithm>

namespace thistlefront {

namespace {
constexpr std::size_t kLately = 64;   // jobs of a class
constexpr double kLargeShare = 0.85;  // at or above this share of them
}  // namespace

double size_of(const JobSpec& s) {
  return s.demand.cores * s.task_count;
}

void JobSizeRanking::record(JobClassIndex c, double size) {
  if (classes_.size() <= c.value) classes_.resize(c.value + 1);
  auto& lately = classes_[c.value];
  lately.sizes.push_back(size);
  if (lately.sizes.size() > kLately) lately.sizes.pop_front();
  std::vector<double> sorted(lately.sizes.begin(), lately.sizes.end());
  std::sort(sorted.begin(), sorted.end());
  const auto at = [&](double share) { return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))]; };
  lately.large = at(kLargeShare);
  lately.median = at(0.5);
}

bool JobSizeRanking::is_among_largest(JobClassIndex c, double size) const {
  if (!c.valid() || classes_.size() <= c.value) return false;
  const auto& lately = classes_[c.value];
  return size >= lately.large && size > lately.median;
}

}  // namespace thistlefront
