// The free room of one node over time, as a step function. Used by the planner, one profile for each node and pass.
#pragma once
#include <cstddef>
#include <cstdint>
#include <vector>

#include "model/resources.hpp"
#include "scheduling/plan.hpp"

namespace thistlefront {

// How many times `demand` fits into `room`; at most a million.
std::uint32_t whole_units(const Resources& demand, const Resources& room);

class CapacityProfile {
 public:
  // Room that comes free as the node's occupants end; those over their estimate count as ending at `now + overrun_s`.
  CapacityProfile(const PlanNode& node, double now, double overrun_s);
  // Earliest time from `from` on at which one unit fits for `duration`; kForever if never.
  [[nodiscard]] double earliest(const Resources& demand, double duration, double from) const;
  // How many units fit all through [at, at + duration).
  [[nodiscard]] std::uint32_t fits(const Resources& demand, double at, double duration) const;
  // Takes the room in [at, at + duration); the caller has checked that it is free.
  void take(const Resources& amount, double at, double duration);

  // Free room from `at` until the next step.
  struct Step {
    double at;
    Resources free;
  };
  [[nodiscard]] const std::vector<Step>& steps() const { return steps_; }

 private:
  // Position of the step that begins at `at`, which is added where there is none.
  std::size_t step_at(double at);
  [[nodiscard]] double end_of(std::size_t step) const { return step + 1 < steps_.size() ? steps_[step + 1].at : kForever; }

  std::vector<Step> steps_;
  double usable_until_;
};

}  // namespace thistlefront
