#include "scheduling/starvation_guard.hpp"

#include <algorithm>

#include "model/identifiers.hpp"

namespace thistlefront {

namespace {
constexpr double kShare = 0.05;    // of the cores that come free
constexpr double kSavings = 20.0;  // seconds' worth of it at most
}  // namespace

void StarvationGuard::accrue(double rate, double now) {
  const double since = at_ < 0 ? 0 : std::min(now - at_, kSavings);
  at_ = now;
  balance_ = std::min(balance_ + kShare * rate * since, std::max(kShare * rate * kSavings, balance_));
}

std::vector<StarvationGuard::Promotion> StarvationGuard::promote(std::vector<StarvingJob> starving) const {
  std::stable_sort(starving.begin(), starving.end(), [](const StarvingJob& a, const StarvingJob& b) { return a.waited_s > b.waited_s; });
  std::vector<Promotion> out;
  double left = balance_;
  for (const auto& s : starving) {
    if (left <= 0) break;
    const double cores = std::max(s.unit_cores, 1e-3);
    const auto whole = static_cast<std::uint32_t>(std::min(left / cores, static_cast<double>(s.units)));
    const auto units = std::max<std::uint32_t>(whole, 1);
    out.push_back({s.position, units});
    left -= units * cores;
  }
  return out;
}

void StarvationGuard::charge(JobIndex job, double cores) {
  balance_ -= cores;
  protected_jobs_.insert(job);
}

void StarvationGuard::prune_protected(const ClusterState& cluster_state) {
  std::erase_if(protected_jobs_, [&](JobIndex j) { return cluster_state.job(j).ended() || cluster_state.job(j).placed.empty(); });
}

}  // namespace thistlefront
