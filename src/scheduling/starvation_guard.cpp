#include "scheduling/starvation_guard.hpp"

#include <algorithm>

#include "model/identifiers.hpp"

namespace thistlefront {

namespace {
constexpr double kReleasedFraction = 0.05;   // fraction of the released cores that goes to starving jobs
constexpr double kMaxBalanceSeconds = 20.0;  // bounds the balance to this many seconds of accrual
}  // namespace

void StarvationGuard::accrue(double release_rate, double now) {
  const double elapsed_s = last_accrued_at_ < 0 ? 0 : std::min(now - last_accrued_at_, kMaxBalanceSeconds);
  last_accrued_at_ = now;
  // A balance above the bound is kept: the rate may have fallen since it was accrued.
  const double max_balance = std::max(kReleasedFraction * release_rate * kMaxBalanceSeconds, balance_);
  balance_ = std::min(balance_ + kReleasedFraction * release_rate * elapsed_s, max_balance);
}

std::vector<StarvationGuard::Promotion> StarvationGuard::promote(std::vector<StarvingJob> starving) const {
  constexpr double kMinCores = 1e-3;
  std::stable_sort(starving.begin(), starving.end(), [](const StarvingJob& a, const StarvingJob& b) { return a.waited_s > b.waited_s; });
  std::vector<Promotion> promotions;
  double balance = balance_;
  for (const auto& job : starving) {
    if (balance <= 0) break;
    const double unit_cores = std::max(job.unit_cores, kMinCores);
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
