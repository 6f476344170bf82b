// Finds the cheapest tasks to preempt on a node. Tracks the nodes' free capacity and the teams' use while victims are chosen.
// Internal to preemption.
#pragma once
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/resources.hpp"
#include "scheduling/preemption.hpp"

namespace thistlefront {

// Tasks that are stopped together: one task, or all tasks of a gang on any node.
struct VictimGroup {
  JobIndex job;
  std::vector<TaskRef> tasks;
  Resources freed;       // on the node that is searched
  double lost_work = 0;  // core seconds that must be repeated
};

// Tasks to stop on one node so that one more unit fits there; empty if it fits already.
struct VictimSet {
  double cost = kInfinity;  // core seconds; kInfinity: no such set
  std::vector<VictimGroup> groups;
};

class VictimSearch {
 public:
  explicit VictimSearch(const PreemptionInput& in);

  // Whether any running task may be preempted for this job.
  bool may_preempt_any(const PlanJob& preemptor);
  // The cheapest set of victims on this node that lets one more unit of the job fit. The job may run on the node.
  [[nodiscard]] VictimSet find_cheapest_set(const PlanJob& preemptor, const PlanNode& node) const;
  // Treats the set's tasks as stopped from now on and appends them to `victims`.
  void mark_stopped(const VictimSet& set, std::vector<Victim>& victims);
  // Updates the free capacity of a node; no effect on nodes outside the plan.
  void allocate(NodeIndex node, const Resources& amount);
  void release(NodeIndex node, const Resources& amount);

 private:
  [[nodiscard]] bool may_preempt(const PlanJob& preemptor, JobIndex victim) const;
  // Whether the victim's team uses more than its guarantee by at least one of the victim's tasks.
  [[nodiscard]] bool is_beyond_guarantee(const Job& victim) const;
  [[nodiscard]] std::vector<VictimGroup> victim_groups_on(const PlanJob& preemptor, NodeIndex node) const;
  [[nodiscard]] VictimGroup make_gang_group(const PlacedTask& member, NodeIndex node) const;
  [[nodiscard]] double lost_work(const Job& job, const Placement& placement) const;

  const PreemptionInput& in_;
  const ClusterState& cluster_state_;
  std::map<NodeIndex, Resources> free_;
  std::vector<Resources> use_beyond_guarantee_;  // by team: its use minus its guarantee
  std::set<TaskRef> stopped_;
  // By the preemptor's priority, whether it is within its guarantee, and, if so, its team.
  std::map<std::tuple<Priority, bool, TeamIndex>, bool> may_preempt_any_;
};

}  // namespace thistlefront
