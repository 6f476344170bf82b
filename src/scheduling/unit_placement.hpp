// Places the units of an array, a service or a gang with one task: each unit gets a slot of its own, the earliest slots first.
// Internal to the planner.
#pragma once
#include <cstdint>
#include <queue>

#include "scheduling/failed_searches.hpp"
#include "scheduling/plan.hpp"
#include "scheduling/plan_builder.hpp"

namespace thistlefront {

class UnitPlacement {
 public:
  UnitPlacement(PlanBuilder& builder, PlanJob& job, FailedSearches& failed_searches)
      : builder_(builder), job_(job), failed_searches_(failed_searches) {}
  void place();

 private:
  // The earliest slot on one node. The top of the queue is the candidate that serves first; ties go to the lowest cost.
  struct Candidate {
    double start_at, serves_at, cost;
    NodePosition position;
    bool operator<(const Candidate& other) const {
      if (serves_at != other.serves_at) return serves_at > other.serves_at;
      if (cost != other.cost) return cost > other.cost;
      return position > other.position;
    }
  };

  // Adds the node's earliest slot that is not before `from`, if there is one.
  void add_candidate(NodePosition position, double from);
  // Puts the candidate back into the queue if its cost has grown since it was added; returns whether it did.
  bool requeue_if_cost_grew(const Candidate& candidate);
  // Number of units that the candidate can take; 0 if units placed since it was added rule it out.
  [[nodiscard]] std::uint32_t placeable_units(const Candidate& candidate);
  void place_units(const Candidate& candidate, std::uint32_t units);

  PlanBuilder& builder_;
  PlanJob& job_;
  FailedSearches& failed_searches_;
  std::priority_queue<Candidate> candidates_;
  std::uint32_t remaining_units_ = 0;
  std::uint32_t reserved_units_ = 0;
  std::uint32_t units_after_horizon_ = 0;  // reserved units that start after the horizon
};

}  // namespace thistlefront
