// Checks team accounts against the placements, and computes the usage by tasks that agents report but that are not placed.
#include <algorithm>
#include <cmath>

#include "cluster_state/cluster_state.hpp"

namespace thistlefront {

namespace {
constexpr double kRoundingSlack = 1e-3;  // rounding errors accumulate in sums of decimals

bool differs(double a, double b) {
  return std::abs(a - b) > kRoundingSlack;
}

bool is_on_node(const ReportedTask& task) {
  return task.phase != TaskPhase::exited;
}
}  // namespace

std::vector<Resources> ClusterState::count_placed_usage() const {
  std::vector<Resources> usage_by_team(quota_accounts_.teams().size());
  for (const Job& job : jobs_)
    for (std::size_t i = 0; i < job.placed.size(); ++i) usage_by_team[job.team.value] += job.spec.demand;
  return usage_by_team;
}

std::vector<std::string> ClusterState::correct_accounts() {
  std::vector<std::string> differing_teams;
  const std::vector<Resources> counted = count_placed_usage();
  for (std::uint32_t i = 0; i < counted.size(); ++i) {
    const TeamIndex team_index{i};
    const Team& team = quota_accounts_.team(team_index);
    if (differs(team.used.cores, counted[i].cores) || differs(team.used.accelerators, counted[i].accelerators))
      differing_teams.push_back(team.name);
    quota_accounts_.raise_usage(team_index, counted[i]);
  }
  return differing_teams;
}

void ClusterState::recount_unplaced_usage() {
  quota_accounts_.clear_unplaced();
  for (std::uint32_t i = 0; i < nodes_.size(); ++i)
    if (may_have_unplaced_tasks(nodes_[i])) charge_unplaced(NodeIndex{i});
}

// On nearly all nodes, every reported task is placed. This check avoids looking up each task of these nodes.
bool ClusterState::may_have_unplaced_tasks(const Node& node) {
  if (node.lease_expired || node.terminated || node.agent.tasks.empty()) return false;
  const auto reported = std::count_if(node.agent.tasks.begin(), node.agent.tasks.end(), is_on_node);
  // Tasks of an earlier incarnation, and tasks whose removal is pending, are no longer on the node. If they were counted here,
  // they would hide the same number of unplaced tasks.
  const auto placed_and_present = std::count_if(node.placed.begin(), node.placed.end(), [&](const PlacedTask& task) {
    const Placement& placement = *task.placement;
    return placement.reported && !placement.removal_pending && placement.agent_incarnation == node.agent.incarnation &&
           placement.phase != TaskPhase::exited;
  });
  return reported > placed_and_present;
}

void ClusterState::charge_unplaced(NodeIndex node_index) {
  for (const ReportedTask& task : nodes_[node_index.value].agent.tasks) {
    if (!is_on_node(task) || !task.ref.job.valid()) continue;
    // A task that is placed, on this or another node, is already charged.
    if (placement(task.ref)) continue;
    // The demand of a released job is no longer known.
    const Job& job = jobs_[task.ref.job.value];
    if (!job.tasks.empty()) quota_accounts_.add_unplaced(job.team, job.spec.demand);
  }
}

}  // namespace thistlefront
