#include "scheduling/victim_search.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "scheduling/preemption_costs.hpp"

namespace thistlefront {

namespace {

constexpr double kReplicaLostWork = 1e6;     // core seconds; stopping a replica costs its users more than any repeated work
constexpr double kFreshStartSeconds = 30.0;  // a task preempted sooner than this after its start does not count as started
constexpr double kMinCores = 0.1;            // lower bound of a task's cores in its lost work

// Removes groups that the others make unnecessary, the most expensive first.
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
  for (const auto& slot : in.plan.starts) allocate(slot.node, cluster_state_.job(slot.job).spec.demand * slot.units);
  for (const auto& team : cluster_state_.teams()) use_beyond_guarantee_.push_back(team.used - team.guarantee);
}

void VictimSearch::allocate(NodeIndex node, const Resources& amount) {
  if (auto it = free_.find(node); it != free_.end()) it->second -= amount;
}

void VictimSearch::release(NodeIndex node, const Resources& amount) {
  if (auto it = free_.find(node); it != free_.end()) it->second += amount;
}

// Checked before any node is searched: searching every node for each of hundreds of waiting tasks of the lowest priority took
// most of the time of a pass. The result is the same for all jobs with the same key.
bool VictimSearch::may_preempt_any(const PlanJob& preemptor) {
  const Job& job = cluster_state_.job(preemptor.job);
  const bool within = in_.within_guarantee.contains(preemptor.job);
  const auto key = std::tuple(job.urgency.priority, within, within ? job.team : TeamIndex{});
  auto [it, is_new] = may_preempt_any_.try_emplace(key, false);
  if (is_new) {
    const auto& live = cluster_state_.live();
    it->second = std::any_of(live.begin(), live.end(),
                             [&](JobIndex victim) { return !cluster_state_.job(victim).placed.empty() && may_preempt(preemptor, victim); });
  }
  return it->second;
}

bool VictimSearch::may_preempt(const PlanJob& preemptor, JobIndex victim_index) const {
  const Job& victim = cluster_state_.job(victim_index);
  const Job& job = cluster_state_.job(preemptor.job);
  const bool is_protected = job.spec.job_type != JobType::service && in_.protected_jobs.contains(victim_index);
  if (victim.urgency.priority < job.urgency.priority && !is_protected) return true;
  if (victim.urgency.priority > job.urgency.priority || victim.team == job.team || !victim.team.valid()) return false;
  if (!in_.within_guarantee.contains(preemptor.job)) return false;
  // A victim within its own team's guarantee stays protected even if the team also runs other work. Without this, replicas of two
  // such teams preempted each other in every pass.
  if (in_.within_guarantee.contains(victim_index) || victim.spec.job_type == JobType::service) return false;
  return is_beyond_guarantee(victim);
}

bool VictimSearch::is_beyond_guarantee(const Job& victim) const {
  const Resources& guarantee = cluster_state_.teams()[victim.team.value].guarantee;
  const Resources& excess = use_beyond_guarantee_[victim.team.value];
  const Resources& demand = victim.spec.demand;
  const bool exceeds_cores = guarantee.cores > 0 && excess.cores >= demand.cores;
  const bool exceeds_accelerators = guarantee.accelerators > 0 && demand.accelerators > 0 && excess.accelerators >= demand.accelerators;
  return exceeds_cores || exceeds_accelerators;
}

VictimSet VictimSearch::find_cheapest_set(const PlanJob& preemptor, const PlanNode& node) const {
  Resources free = free_.at(node.node);
  std::vector<VictimGroup> groups;
  if (!preemptor.demand.fits(free)) groups = victim_groups_on(preemptor, node.node);
  std::sort(groups.begin(), groups.end(), [](const auto& a, const auto& b) { return a.lost_work < b.lost_work; });
  VictimSet set;
  // Adds one core second on nodes with accelerators, so that work without accelerators prefers other nodes.
  set.cost = preemptor.demand.accelerators == 0 && node.capacity.accelerators > 0 ? 1 : 0;
  if (preemptor.service) set.cost += image_wait_cost(preemptor, image_pull_time(preemptor, node));
  for (auto& group : groups) {
    if (preemptor.demand.fits(free)) break;
    free += group.freed;
    set.cost += group.lost_work;
    set.groups.push_back(std::move(group));
  }
  if (!preemptor.demand.fits(free)) return {};
  drop_unnecessary(set, preemptor.demand, free);
  return set;
}

std::vector<VictimGroup> VictimSearch::victim_groups_on(const PlanJob& preemptor, NodeIndex node) const {
  std::vector<VictimGroup> groups;
  std::set<JobIndex> gangs;
  for (const auto& placed : cluster_state_.node(node).placed) {
    const Placement& placement = *placed.placement;
    if (stopped_.contains(placed) || !may_preempt(preemptor, placed.job) || placement.stopping || placement.removal_pending) continue;
    const Job& victim = cluster_state_.job(placed.job);
    if (victim.spec.job_type != JobType::gang) {
      groups.push_back({placed.job, {placed}, victim.spec.demand, lost_work(victim, placement)});
    } else if (gangs.insert(placed.job).second) {
      groups.push_back(make_gang_group(placed, node));
    }
  }
  return groups;
}

VictimGroup VictimSearch::make_gang_group(const PlacedTask& member, NodeIndex node) const {
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

// Core seconds that must be repeated if this task is stopped.
double VictimSearch::lost_work(const Job& job, const Placement& placement) const {
  if (job.spec.job_type == JobType::service) return kReplicaLostWork;
  double lost_s = placement.running_since > 0 ? std::max(0.0, in_.wall_now - placement.running_since) : 0;
  if (job.spec.checkpoint_interval_s > 0) lost_s = std::min(lost_s, job.spec.checkpoint_duration_s);
  // In a class with a start target, preempting a task this soon after its start makes the start useless: it must be repeated.
  const bool is_fresh = in_.wall_now - placement.decided_at < kFreshStartSeconds;
  if (is_fresh && in_.classes_with_start_target.contains(job.spec.job_class)) lost_s += kFreshStartSeconds;
  return lost_s * std::max(job.spec.demand.cores, kMinCores);
}

void VictimSearch::mark_stopped(const VictimSet& set, std::vector<Victim>& victims) {
  for (const auto& group : set.groups) {
    const Job& job = cluster_state_.job(group.job);
    const double grace_period_s = job.spec.checkpoint_interval_s > 0 ? job.spec.checkpoint_duration_s : 0;
    for (const auto& task : group.tasks) {
      stopped_.insert(task);
      victims.push_back({task, grace_period_s});
      release(job.placed.at(task.task).node, job.spec.demand);
      if (job.team.valid()) use_beyond_guarantee_[job.team.value] -= job.spec.demand;
    }
  }
}

}  // namespace thistlefront
