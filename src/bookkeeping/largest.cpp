#include "bookkeeping/largest.hpp"

#include <algorithm>

namespace thistle {

namespace {
constexpr std::size_t kLately = 64;   // jobs of a class
constexpr double kLargeShare = 0.85;  // at or above this share of them
}  // namespace

double size_of(const Submission& s) {
  return s.demand.cores * s.task_count;
}

void Largest::record(ClassIdx c, double size) {
  if (classes_.size() <= c.v) classes_.resize(c.v + 1);
  auto& lately = classes_[c.v];
  lately.sizes.push_back(size);
  if (lately.sizes.size() > kLately) lately.sizes.pop_front();
  std::vector<double> sorted(lately.sizes.begin(), lately.sizes.end());
  std::sort(sorted.begin(), sorted.end());
  const auto at = [&](double share) { return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))]; };
  lately.large = at(kLargeShare);
  lately.median = at(0.5);
}

bool Largest::is_among_largest(ClassIdx c, double size) const {
  if (!c.valid() || classes_.size() <= c.v) return false;
  const auto& lately = classes_[c.v];
  return size >= lately.large && size > lately.median;
}

}  // namespace thistle
