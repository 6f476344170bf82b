#include "scheduling/victim_search.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "scheduling/preemption_costs.hpp"

namespace thistlefront {

namespace {

constexpr double kServiceLoss = 1e6;         // stopping a replica costs its users more than any repeated work
constexpr double kFreshStartSeconds = 30.0;  // a start stopped sooner than this does not count as a start
constexpr double kLeastCores = 0.1;          // that a task counts with

// Some groups may have become unnecessary by what the others free; the dearest are taken off first.
void drop_unnecessary(VictimSet& set, const Resources& demand, Resources free) {
  for (auto it = set.groups.rbegin(); it != set.groups.rend();) {
    if (demand.fits(free - it->freed)) {
      free -= it->freed;
      set.cost -= it->lost_work;
      it = decltype(it)(set.groups.erase(std::next(it).base()));
    } else {
      ++it;
    }
  }
}

}  // namespace

VictimSearch::VictimSearch(const PreemptionInput& in) : in_(in), cluster_state_(in.cluster_state) {
  for (const auto& node : in.plan_input.nodes) {
    Resources free = node.capacity;
    for (const auto& occupant : node.occupants) free -= occupant.demand;
    free_[node.node] = free;
  }
  for (const auto& slot : in.plan.starts) take_room(slot.node, cluster_state_.job(slot.job).spec.demand * slot.count);
  for (const auto& team : cluster_state_.teams()) beyond_guarantee_.push_back(team.used - team.guarantee);
}

void VictimSearch::take_room(NodeIndex node, const Resources& amount) {
  if (auto it = free_.find(node); it != free_.end()) it->second -= amount;
}

void VictimSearch::return_room(NodeIndex node, const Resources& amount) {
  if (auto it = free_.find(node); it != free_.end()) it->second += amount;
}

// Asked before any node is looked at: hundreds of waiting tasks of the lowest priority, each looked at on every node, took
// most of the passes' time. The answer is the same for all jobs of a key.
bool VictimSearch::may_preempt_any(const PlanJob& claimant) {
  const Job& job = cluster_state_.job(claimant.job);
  const bool within = in_.within_guarantee.contains(claimant.job);
  const auto key = std::tuple(job.urgency.priority, within, within ? job.team : TeamIndex{});
  auto [it, is_new] = may_preempt_any_.try_emplace(key, false);
  if (is_new) {
    const auto& live = cluster_state_.live();
    it->second = std::any_of(live.begin(), live.end(),
                             [&](JobIndex victim) { return !cluster_state_.job(victim).placed.empty() && may_preempt(claimant, victim); });
  }
  return it->second;
}

bool VictimSearch::may_preempt(const PlanJob& claimant, JobIndex victim_index) const {
  const Job& victim = cluster_state_.job(victim_index);
  const Job& job = cluster_state_.job(claimant.job);
  const bool is_protected = job.spec.job_type != JobType::service && in_.protected_jobs.contains(victim_index);
  if (victim.urgency.priority < job.urgency.priority && !is_protected) return true;
  if (victim.urgency.priority > job.urgency.priority || victim.team == job.team || !victim.team.valid()) return false;
  if (!in_.within_guarantee.contains(claimant.job)) return false;
  // A job that lies within its own team's guarantee does not leave it because the team runs other work too: without this,
  // replicas of two such teams stopped each other pass after pass.
  if (in_.within_guarantee.contains(victim_index) || victim.spec.job_type == JobType::service) return false;
  return is_beyond_guarantee(victim);
}

bool VictimSearch::is_beyond_guarantee(const Job& victim) const {
  const Resources& guarantee = cluster_state_.teams()[victim.team.value].guarantee;
  const Resources& beyond = beyond_guarantee_[victim.team.value];
  const Resources& demand = victim.spec.demand;
  const bool cores = guarantee.cores > 0 && beyond.cores >= demand.cores;
  const bool accelerators = guarantee.accelerators > 0 && demand.accelerators > 0 && beyond.accelerators >= demand.accelerators;
  return cores || accelerators;
}

VictimSet VictimSearch::cheapest_set(const PlanJob& claimant, const PlanNode& node) const {
  Resources free = free_.at(node.node);
  std::vector<VictimGroup> groups;
  if (!claimant.demand.fits(free)) groups = groups_on(claimant, node.node);
  std::sort(groups.begin(), groups.end(), [](const auto& a, const auto& b) { return a.lost_work < b.lost_work; });
  VictimSet set;
  set.cost = claimant.demand.accelerators == 0 && node.capacity.accelerators > 0 ? 1 : 0;
  if (claimant.service) set.cost += image_wait_cost(claimant, image_pull_time(claimant, node));
  for (auto& group : groups) {
    if (claimant.demand.fits(free)) break;
    free += group.freed;
    set.cost += group.lost_work;
    set.groups.push_back(std::move(group));
  }
  if (!claimant.demand.fits(free)) return {};
  drop_unnecessary(set, claimant.demand, free);
  return set;
}

std::vector<VictimGroup> VictimSearch::groups_on(const PlanJob& claimant, NodeIndex node) const {
  std::vector<VictimGroup> groups;
  std::set<JobIndex> gangs;
  for (const auto& placed : cluster_state_.node(node).placed) {
    const Placement& placement = *placed.placement;
    if (stopped_.contains(placed) || !may_preempt(claimant, placed.job) || placement.stopping || placement.removal_pending) continue;
    const Job& victim = cluster_state_.job(placed.job);
    if (victim.spec.job_type != JobType::gang) {
      groups.push_back({placed.job, {placed}, victim.spec.demand, lost_work(victim, placement)});
    } else if (gangs.insert(placed.job).second) {
      groups.push_back(whole_gang(placed, node));
    }
  }
  return groups;
}

VictimGroup VictimSearch::whole_gang(const PlacedTask& member, NodeIndex node) const {
  const Job& gang = cluster_state_.job(member.job);
  VictimGroup group;
  group.job = member.job;
  for (const auto& [task, placement] : gang.placed) {
    group.tasks.push_back({member.job, task});
    if (placement.node == node) group.freed += gang.spec.demand;
    group.lost_work += lost_work(gang, placement);
  }
  return group;
}

// Seconds of core time that are to be repeated when this task is stopped.
double VictimSearch::lost_work(const Job& job, const Placement& placement) const {
  if (job.spec.job_type == JobType::service) return kServiceLoss;
  double lost_s = placement.running_since > 0 ? std::max(0.0, in_.wall - placement.running_since) : 0;
  if (job.spec.checkpoint_interval_s > 0) lost_s = std::min(lost_s, job.spec.checkpoint_duration_s);
  // In a class with a target for the wait, a start that is stopped this soon was of no use: it will have to be repeated.
  const bool is_fresh = in_.wall - placement.decided_at < kFreshStartSeconds;
  if (is_fresh && in_.classes_with_start_target.contains(job.spec.job_class)) lost_s += kFreshStartSeconds;
  return lost_s * std::max(job.spec.demand.cores, kLeastCores);
}

void VictimSearch::stop(const VictimSet& set, std::vector<Victim>& victims) {
  for (const auto& group : set.groups) {
    const Job& job = cluster_state_.job(group.job);
    const double grace_period_s = job.spec.checkpoint_interval_s > 0 ? job.spec.checkpoint_duration_s : 0;
    for (const auto& task : group.tasks) {
      stopped_.insert(task);
      victims.push_back({task, grace_period_s});
      return_room(job.placed.at(task.task).node, job.spec.demand);
      if (job.team.valid()) beyond_guarantee_[job.team.value] -= job.spec.demand;
    }
  }
}

}  // namespace thistlefront
