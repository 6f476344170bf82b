#include "cluster_state/job_size_ranking.hpp"

#include <algorithm>

namespace thistlefront {

namespace {
constexpr std::size_t kRecentJobs = 64;  // per class
constexpr double kLargeQuantile = 0.85;  // jobs at or above this quantile of the recent sizes are large

double quantile(const std::vector<double>& sorted, double fraction) {
  return sorted[static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1))];
}
}  // namespace

double size_of(const JobSpec& spec) {
  return spec.demand.cores * spec.task_count;
}

void JobSizeRanking::record(JobClassIndex job_class, double size) {
  if (classes_.size() <= job_class.value) classes_.resize(job_class.value + 1);
  RecentSizes& recent = classes_[job_class.value];
  recent.sizes.push_back(size);
  if (recent.sizes.size() > kRecentJobs) recent.sizes.pop_front();
  std::vector<double> sorted(recent.sizes.begin(), recent.sizes.end());
  std::sort(sorted.begin(), sorted.end());
  recent.min_large_size = quantile(sorted, kLargeQuantile);
  recent.median = quantile(sorted, 0.5);
}

bool JobSizeRanking::is_among_largest(JobClassIndex job_class, double size) const {
  if (!job_class.valid() || classes_.size() <= job_class.value) return false;
  const RecentSizes& recent = classes_[job_class.value];
  return size >= recent.min_large_size && size > recent.median;
}

}  // namespace thistlefront
