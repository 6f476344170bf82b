// Places a gang: all units at the first time when they fit together, in one zone where the job asks for it. Internal to the
// planner.
#pragma once
#include <cstdint>
#include <utility>
#include <vector>

#include "scheduling/plan.hpp"
#include "scheduling/plan_builder.hpp"

namespace thistlefront {

class GangPlacement {
 public:
  GangPlacement(PlanBuilder& builder, PlanJob& job) : builder_(builder), job_(job) {}
  void place();

 private:
  struct UnitsOnNode {
    NodePosition position = 0;
    std::uint32_t units = 0;
  };
  // A gang runs when the last of its nodes has the image: the slot where it runs first is the best.
  struct GangSlot {
    double at = kForever, runs_at = kForever;
    std::vector<UnitsOnNode> parts;
  };
  using CostedNodes = std::vector<std::pair<double, NodePosition>>;  // the cheapest first

  // Sets of nodes of which one takes the whole gang: a set for each zone, or one of all nodes.
  [[nodiscard]] std::vector<std::vector<NodePosition>> candidate_sets() const;
  // Makes `best_` the best slot on these nodes, where that is better.
  void search(const std::vector<NodePosition>& nodes);
  // When nodes for all units each take one unit at all: before, the whole gang need not be tried.
  double first_possible_time(const std::vector<NodePosition>& nodes, double duration);
  // Starts of the profiles' steps behind `from`, in no order.
  [[nodiscard]] std::vector<double> later_steps(const std::vector<NodePosition>& nodes, double from) const;
  [[nodiscard]] CostedNodes order_by_cost(const std::vector<NodePosition>& nodes);
  // The nodes that take all units at this time; empty when they do not fit.
  std::vector<UnitsOnNode> fit_at(const CostedNodes& ordered, double at, double duration);
  void use_if_better(double at, std::vector<UnitsOnNode> parts);

  PlanBuilder& builder_;
  PlanJob& job_;
  GangSlot best_;
};

}  // namespace thistlefront
