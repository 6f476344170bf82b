// Places a gang: all units at the earliest time at which they fit together, in one zone if the job asks for it. Internal to the
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
  // A gang runs once the last of its nodes has the image. The best slot is the one in which it runs earliest.
  struct GangSlot {
    double start_at = kInfinity, runs_at = kInfinity;
    std::vector<UnitsOnNode> parts;
  };
  using NodesByCost = std::vector<std::pair<double, NodePosition>>;  // cost and node, the cheapest first

  // Node sets to search; the whole gang goes on one of them. One set for each zone if the job needs a single zone, otherwise one
  // set of all nodes.
  [[nodiscard]] std::vector<std::vector<NodePosition>> candidate_sets() const;
  // Searches these nodes for a slot that is better than `best_`, and stores it there.
  void search_nodes(const std::vector<NodePosition>& nodes);
  // Lower bound of the gang's start time. Each node counts from the time at which one unit fits there, with as many units as would
  // fit if it were empty.
  double first_possible_start(const std::vector<NodePosition>& nodes, double duration_s);
  // Start times of all profile steps after `from`, in no particular order.
  [[nodiscard]] std::vector<double> step_times_after(const std::vector<NodePosition>& nodes, double from) const;
  [[nodiscard]] NodesByCost sort_by_cost(const std::vector<NodePosition>& nodes);
  // Distributes all units over the nodes at this time; empty if they do not fit.
  std::vector<UnitsOnNode> distribute_units(const NodesByCost& sorted_nodes, double start_at, double duration_s);
  void use_if_better(double start_at, std::vector<UnitsOnNode> parts);

  PlanBuilder& builder_;
  PlanJob& job_;
  GangSlot best_;
};

}  // namespace thistlefront
