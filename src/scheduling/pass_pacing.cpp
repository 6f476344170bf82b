#include "scheduling/pass_pacing.hpp"

#include <algorithm>

namespace thistlefront {

namespace {
constexpr double kRestPerElapsedSecond = 4.0;  // seconds of rest for each second of a pass
constexpr double kMaxPlanningFraction = 0.25;  // of the processor limit, at most one core
}  // namespace

double rest_after_pass(const PassCost& cost, const PassPacing& pacing) {
  const double limit_cores = pacing.processor_limit_cores > 0 ? std::min(pacing.processor_limit_cores, 1.0) : 1.0;
  const double rest_for_elapsed_s = kRestPerElapsedSecond * cost.elapsed_s;
  const double rest_for_processor_s = cost.processor_s / (limit_cores * kMaxPlanningFraction);
  const double wanted_s = std::max({pacing.min_rest_s, rest_for_elapsed_s, rest_for_processor_s});
  return std::min(wanted_s, std::max(kMaxPassRestSeconds, pacing.min_rest_s));
}

}  // namespace thistlefront
