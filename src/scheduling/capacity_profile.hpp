// Free capacity of one node over time, as a step function. The planner makes one profile for each node and pass.
#pragma once
#include <cstddef>
#include <cstdint>
#include <vector>

#include "model/resources.hpp"
#include "scheduling/plan.hpp"

namespace thistlefront {

// How many times `demand` fits into `available`; at most a million.
std::uint32_t count_whole_units(const Resources& demand, const Resources& available);

class CapacityProfile {
 public:
  // Capacity comes free as the node's occupants end. Occupants past their expected end are expected to end at
  // `now + overrun_s`.
  CapacityProfile(const PlanNode& node, double now, double overrun_s);
  // Earliest time, not before `from`, at which one unit fits for `duration_s`; kInfinity if there is none.
  [[nodiscard]] double find_earliest_fit(const Resources& demand, double duration_s, double from) const;
  // Number of units that fit throughout [start_at, start_at + duration_s).
  [[nodiscard]] std::uint32_t count_fitting_units(const Resources& demand, double start_at, double duration_s) const;
  // Allocates capacity in [start_at, start_at + duration_s); the caller has checked that it is free.
  void allocate(const Resources& amount, double start_at, double duration_s);

  // Free capacity from `start_at` until the next step.
  struct Step {
    double start_at;
    Resources free;
  };
  [[nodiscard]] const std::vector<Step>& steps() const { return steps_; }

 private:
  // Returns the position of the step that starts at `time`; splits a step there if needed.
  std::size_t find_or_add_step(double time);
  [[nodiscard]] double step_end(std::size_t step) const { return step + 1 < steps_.size() ? steps_[step + 1].start_at : kInfinity; }

  std::vector<Step> steps_;
  double usable_until_;
};

}  // namespace thistlefront
