// Weighs the time that a replica waits for its image against the work that preemption loses. Internal to preemption.
#pragma once
#include "scheduling/plan.hpp"

namespace thistlefront {

// Core seconds of work that may be lost to save a replica one core second of waiting for its image.
inline constexpr double kImageWaitCostFactor = 10.0;

// Cost, in core seconds, of one replica's wait for its image.
inline double image_wait_cost(const PlanJob& job, double wait_s) {
  return wait_s * job.demand.cores * kImageWaitCostFactor;
}

}  // namespace thistlefront
