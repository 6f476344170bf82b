#include "scheduling/starvation_guard.hpp"

#include <algorithm>

#include "model/identifiers.hpp"

namespace thistlefront {

namespace {
constexpr double kShare = 0.05;              // of the cores that come free
constexpr double kMaxSavingsSeconds = 20.0;  // so many seconds' worth of it at most is saved up
}  // namespace

void StarvationGuard::accrue(double rate, double now) {
  const double earning_s = at_ < 0 ? 0 : std::min(now - at_, kMaxSavingsSeconds);
  at_ = now;
  // A balance above the bound stays, as the rate may have fallen since it was earned.
  const double most = std::max(kShare * rate * kMaxSavingsSeconds, balance_);
  balance_ = std::min(balance_ + kShare * rate * earning_s, most);
}

std::vector<StarvationGuard::Promotion> StarvationGuard::promote(std::vector<StarvingJob> starving) const {
  constexpr double kLeastCores = 1e-3;
  std::stable_sort(starving.begin(), starving.end(), [](const StarvingJob& a, const StarvingJob& b) { return a.waited_s > b.waited_s; });
  std::vector<Promotion> promotions;
  double balance = balance_;
  for (const auto& job : starving) {
    if (balance <= 0) break;
    const double unit_cores = std::max(job.unit_cores, kLeastCores);
    const auto affordable = static_cast<std::uint32_t>(std::min(balance / unit_cores, static_cast<double>(job.units)));
    const auto units = std::max<std::uint32_t>(affordable, 1);
    promotions.push_back({job.position, units});
    balance -= units * unit_cores;
  }
  return promotions;
}

void StarvationGuard::charge(JobIndex job, double cores) {
  balance_ -= cores;
  protected_jobs_.insert(job);
}

void StarvationGuard::prune_protected(const ClusterState& cluster_state) {
  std::erase_if(protected_jobs_, [&](JobIndex j) { return cluster_state.job(j).ended() || cluster_state.job(j).placed.empty(); });
}

}  // namespace thistlefront
