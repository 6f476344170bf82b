#include "scheduling/pass_pacing.hpp"

#include <algorithm>

namespace thistlefront {

namespace {
constexpr double kRestPerElapsed = 4.0;    // seconds of rest for each second that a pass took
constexpr double kMostOfProcessor = 0.25;  // of the process's share, for planning
}  // namespace

double rest_after_pass(const PassCost& cost, const PassPacing& pacing) {
  const double share = pacing.processor_share > 0 ? std::min(pacing.processor_share, 1.0) : 1.0;
  const double for_elapsed = kRestPerElapsed * cost.elapsed_s;
  const double for_processor = cost.processor_s / (share * kMostOfProcessor);
  const double wanted = std::max({pacing.shortest_rest_s, for_elapsed, for_processor});
  return std::min(wanted, std::max(kLongestPassRest, pacing.shortest_rest_s));
}

}  // namespace thistlefront
