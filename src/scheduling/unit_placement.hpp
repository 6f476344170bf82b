// Places the units of one array, one service or a gang of one: each unit gets its own slot, the earliest first. Internal to
// the planner.
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
  // A slot that one node offers. The queue's top is the one that serves first, then the one of least cost.
  struct Candidate {
    double at, serves_at, cost;
    NodePosition position;
    bool operator<(const Candidate& other) const {
      if (serves_at != other.serves_at) return serves_at > other.serves_at;
      if (cost != other.cost) return cost > other.cost;
      return position > other.position;
    }
  };

  // Adds the node's earliest slot from `from` on, if it has one.
  void add_candidate(NodePosition position, double from);
  // Puts a candidate back that costs more than when it was added.
  bool requeue_if_dearer(const Candidate& candidate);
  // Units that may be placed there now; 0 where the rules have come to exclude it.
  [[nodiscard]] std::uint32_t units_for(const Candidate& candidate);
  void take(const Candidate& candidate, std::uint32_t units);

  PlanBuilder& builder_;
  PlanJob& job_;
  FailedSearches& failed_searches_;
  std::priority_queue<Candidate> candidates_;
  std::uint32_t remaining_ = 0;
  std::uint32_t reserved_ = 0, late_ = 0;  // units with a later slot; of them, those with none before the horizon
};

}  // namespace thistlefront
