// Finds the cheapest tasks to stop on a node, and keeps count of the room and of the teams' use while victims are chosen.
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
  Resources freed;       // on the node looked at
  double lost_work = 0;  // seconds of core time to be repeated
};

// What is to be stopped on one node so that one more unit fits there; nothing where it fits already.
struct VictimSet {
  double cost = kForever;  // in seconds of core time; kForever: no such set
  std::vector<VictimGroup> groups;
};

class VictimSearch {
 public:
  explicit VictimSearch(const PreemptionInput& in);

  // Whether anything that runs may be stopped for this job.
  bool may_preempt_any(const PlanJob& claimant);
  // The cheapest set of victims on this node, where the job may run, that lets one more unit in.
  [[nodiscard]] VictimSet cheapest_set(const PlanJob& claimant, const PlanNode& node) const;
  // Counts the set as stopped and adds its tasks to `victims`.
  void stop(const VictimSet& set, std::vector<Victim>& victims);
  // Counts room on a node as taken, or as free again.
  void take_room(NodeIndex node, const Resources& amount);
  void return_room(NodeIndex node, const Resources& amount);

 private:
  [[nodiscard]] bool may_preempt(const PlanJob& claimant, JobIndex victim) const;
  // Whether the victim's team uses more than its guarantee by at least one of the victim's tasks.
  [[nodiscard]] bool is_beyond_guarantee(const Job& victim) const;
  [[nodiscard]] std::vector<VictimGroup> groups_on(const PlanJob& claimant, NodeIndex node) const;
  [[nodiscard]] VictimGroup whole_gang(const PlacedTask& member, NodeIndex node) const;
  [[nodiscard]] double lost_work(const Job& job, const Placement& placement) const;

  const PreemptionInput& in_;
  const ClusterState& cluster_state_;
  std::map<NodeIndex, Resources> free_;
  std::vector<Resources> beyond_guarantee_;  // by team: what it uses less its guarantee
  std::set<TaskRef> stopped_;
  // By the claimant's priority, whether it lies within its guarantee, and then its team.
  std::map<std::tuple<Priority, bool, TeamIndex>, bool> may_preempt_any_;
};

}  // namespace thistlefront
