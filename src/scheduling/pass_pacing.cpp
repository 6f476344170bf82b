#include "scheduling/pass_pacing.hpp"

#include <algorithm>

namespace thistlefront {

namespace {
constexpr double kRestPerElapsedSecond = 4.0;  // seconds of rest for each second of a pass
constexpr double kMaxPlanningFraction = 0.25;  // of the process's share of a core
}  // namespace

double rest_after_pass(const PassCost& cost, const PassPacing& pacing) {
  const double share = pacing.processor_share > 0 ? std::min(pacing.processor_share, 1.0) : 1.0;
  const double rest_for_elapsed_s = kRestPerElapsedSecond * cost.elapsed_s;
  const double rest_for_processor_s = cost.processor_s / (share * kMaxPlanningFraction);
  const double wanted_s = std::max({pacing.min_rest_s, rest_for_elapsed_s, rest_for_processor_s});
  return std::min(wanted_s, std::max(kMaxPassRestSeconds, pacing.min_rest_s));
}

}  // namespace thistlefront
