// What a replica's wait for its image is worth, against work that is lost by preemption. Internal to preemption.
#pragma once
#include "scheduling/plan.hpp"

namespace thistlefront {

// Core seconds that may be lost for each that a replica need not wait for its image.
inline constexpr double kImageWaitWorth = 10.0;

// Seconds of core time that this wait of one replica counts as.
inline double image_wait_cost(const PlanJob& job, double wait_s) {
  return wait_s * job.demand.cores * kImageWaitWorth;
}

}  // namespace thistlefront
