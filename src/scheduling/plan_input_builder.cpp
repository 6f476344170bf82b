#include "scheduling/plan_input_builder.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>
#include <vector>

#include "model/job.hpp"
#include "model/resources.hpp"
#include "scheduling/plan_node_builder.hpp"

namespace thistlefront {

namespace {

constexpr double kDefaultMaxWaitSeconds = 2.0;
constexpr double kUnlimited = 1e15;       // headroom of a team without a quota
constexpr double kGuaranteeSlack = 1e-6;  // for sums of decimals

// Unfinished jobs that belong to a team, the earliest first.
std::vector<JobIndex> team_jobs_by_age(const ClusterState& cluster_state) {
  std::vector<JobIndex> jobs;
  for (JobIndex j : cluster_state.live())
    if (!cluster_state.job(j).ended() && cluster_state.job(j).team.valid()) jobs.push_back(j);
  std::sort(jobs.begin(), jobs.end(), [&](JobIndex a, JobIndex b) {
    const Job &first = cluster_state.job(a), &second = cluster_state.job(b);
    return std::tie(first.eligible_since, first.uid) < std::tie(second.eligible_since, second.uid);
  });
  return jobs;
}

// Whether the guarantee includes a resource that a task needs.
bool covers_any(const Resources& guarantee, const Resources& demand) {
  return (guarantee.cores > 0 && demand.cores > 0) || (guarantee.accelerators > 0 && demand.accelerators > 0);
}

// Whether the sum stays within the guarantee in every resource that the guarantee includes.
bool is_within(const Resources& guarantee, const Resources& sum) {
  return (guarantee.cores <= 0 || sum.cores <= guarantee.cores + kGuaranteeSlack) &&
         (guarantee.accelerators <= 0 || sum.accelerators <= guarantee.accelerators + kGuaranteeSlack);
}

bool waits_for_slots(const Job& job) {
  return !job.ended() && job.pending > 0;
}

// Whether the job may be planned in this pass.
bool may_be_planned(const ClusterState& cluster_state, JobIndex index, double wall_now) {
  const Job& job = cluster_state.job(index);
  const auto& failures = cluster_state.failure_attribution();
  if (!waits_for_slots(job) || failures.next_retry_at(index) > wall_now) return false;
  if (failures.is_suspect(index) && !job.placed.empty()) return false;
  // After a takeover, a node's zone is unknown until the node is listed or its agent reports. A job with zone rules is not planned
  // until the zones of all its placed tasks are known.
  const auto in_unknown_zone = [&](const auto& placed) { return !cluster_state.node(placed.second.node).zone.valid(); };
  if ((job.spec.spread || job.spec.single_zone) && std::any_of(job.placed.begin(), job.placed.end(), in_unknown_zone)) return false;
  // A gang is planned as a whole: all its tasks must be removed from their nodes before it is planned again.
  return job.spec.job_type != JobType::gang || job.placed.empty();
}

// Above the tiers of all priorities.
constexpr int kOverdueGuaranteeTier = 2 * (static_cast<int>(Priority::production) + 1);

// Jobs are ordered by priority; within a priority, jobs within a guarantee come first (docs/design.md, exceptions). A job within a
// guarantee need not wait for other teams' work, so once it is overdue, no reservation for other work keeps capacity from it.
int planning_tier(const Job& job, const PlanJob& plan_job, bool within_guarantee) {
  if (within_guarantee && plan_job.overdue && !plan_job.suspect) return kOverdueGuaranteeTier;
  return 2 * static_cast<int>(job.urgency.priority) + (within_guarantee ? 1 : 0);
}

// Units of an overdue job that may use capacity kept for accelerator tasks. An array beyond its guarantee gets one at a time, so that it is
// not left waiting; all at once would fill the nodes that accelerator jobs need.
std::uint32_t overdue_units(const Job& job, bool within_guarantee) {
  return job.spec.job_type == JobType::array && !within_guarantee ? 1 : UINT32_MAX;
}

void count_tasks_by_zone(PlanJob& plan_job, const ClusterState& cluster_state, const Job& job) {
  for (const auto& [task, placement] : job.placed) {
    const ZoneIndex zone = cluster_state.node(placement.node).zone;
    if (zone.valid()) ++plan_job.tasks_by_zone[zone.value];
  }
}

// `nodes` must be sorted by index.
void count_tasks_by_node(PlanJob& plan_job, const std::vector<PlanNode>& nodes, const Job& job) {
  plan_job.tasks_by_node.assign(nodes.size(), 0);
  const auto has_lower_index = [](const PlanNode& a, NodeIndex b) { return a.node < b; };
  for (const auto& [task, placement] : job.placed) {
    const auto it = std::lower_bound(nodes.begin(), nodes.end(), placement.node, has_lower_index);
    if (it != nodes.end() && it->node == placement.node) ++plan_job.tasks_by_node[static_cast<std::size_t>(it - nodes.begin())];
  }
}

const std::vector<double>& start_targets_of(const StartTargets& start_targets, const Job& job) {
  static const std::vector<double> kNone;
  const auto it = start_targets.find(job.spec.job_class);
  return it == start_targets.end() ? kNone : it->second;
}

// Raises the tier of the promoted units. The job's other units are planned as a separate entry with the usual tier, so that they
// still count for scale-out; for a job with zone rules they are left out, because the two entries do not share their zone counts.
void promote_units(PlanInput& input, const StarvationGuard::Promotion& promotion, int tier) {
  PlanJob& promoted = input.jobs[promotion.position];
  const int usual_tier = std::exchange(promoted.tier, tier);
  if (promoted.gang || promoted.units <= promotion.units) return;
  PlanJob rest = promoted;
  rest.tier = usual_tier;
  rest.units = promoted.units - promotion.units;
  promoted.units = promotion.units;
  if (!rest.single_zone && rest.max_tasks_per_zone == UINT32_MAX) input.jobs.push_back(std::move(rest));
}

}  // namespace

std::set<JobIndex> jobs_within_guarantee(const ClusterState& cluster_state) {
  std::vector<Resources> demand_by_team(cluster_state.teams().size());
  std::set<JobIndex> within;
  for (JobIndex j : team_jobs_by_age(cluster_state)) {
    const Job& job = cluster_state.job(j);
    const Resources& guarantee = cluster_state.teams()[job.team.value].guarantee;
    const auto unfinished = static_cast<double>(job.tasks.size() - job.done);
    Resources& sum = demand_by_team[job.team.value];
    sum += job.spec.demand * unfinished;
    if (covers_any(guarantee, job.spec.demand) && is_within(guarantee, sum)) within.insert(j);
  }
  return within;
}

PlanInputBuilder::PlanInputBuilder(PassParameters parameters) : parameters_(std::move(parameters)) {}

PlanInput PlanInputBuilder::build(ClusterState& cluster_state, const PassContext& context, const std::set<JobIndex>& within_guarantee) {
  PlanInput input;
  input.now = context.wall_now;
  input.overrun_s = parameters_.overrun_s;
  waiting_times_.begin_pass(context.takeover_token);
  const auto& live = cluster_state.live();
  if (std::none_of(live.begin(), live.end(), [&](JobIndex j) { return waits_for_slots(cluster_state.job(j)); })) return input;
  input.nodes = make_plan_nodes(cluster_state, context, parameters_.heartbeat_interval_s);
  accelerator_reservation_.apply(input, cluster_state, parameters_.start_targets, context);
  cluster_state.recount_unplaced_usage();
  for (std::uint32_t team = 0; team < cluster_state.teams().size(); ++team)
    input.teams.push_back({cluster_state.quota_accounts().headroom(TeamIndex{team}, kUnlimited)});
  for (JobIndex j : live) {
    if (!may_be_planned(cluster_state, j, context.wall_now)) continue;
    PlanJob plan_job = make_plan_job(cluster_state, j, input, context.wall_now);
    const bool is_guaranteed = within_guarantee.contains(j);
    const Waited waited = waiting_times_.measure(j, cluster_state.job(j), context.wall_now);
    plan_job.overdue = (is_guaranteed ? waited.pending_s : waited.without_start_s) >= kOverdueAfterSeconds;
    if (plan_job.overdue) plan_job.units_beyond_backfill = overdue_units(cluster_state.job(j), is_guaranteed);
    plan_job.tier = planning_tier(cluster_state.job(j), plan_job, is_guaranteed);
    input.jobs.push_back(std::move(plan_job));
  }
  return input;
}

// A job may wait for its slot until shortly before the next start target of its class. After the last target, it may wait as long as
// it can still meet its deadline. Services always have the default.
double PlanInputBuilder::max_wait_s(const Job& job, double wall_now) const {
  const double waited_s = wall_now - job.eligible_since;
  if (job.spec.job_type == JobType::service) return kDefaultMaxWaitSeconds;
  for (double target_s : start_targets_of(parameters_.start_targets, job))
    if (waited_s < target_s) return std::max(kDefaultMaxWaitSeconds / 4, target_s - waited_s - kDefaultMaxWaitSeconds / 4);
  if (std::isfinite(job.urgency.deadline_at))
    return std::max(kDefaultMaxWaitSeconds, job.urgency.deadline_at - wall_now - job.spec.estimated_run_s);
  return kDefaultMaxWaitSeconds;
}

PlanJob PlanInputBuilder::make_plan_job(const ClusterState& cluster_state, JobIndex index, const PlanInput& input, double wall_now) const {
  const Job& job = cluster_state.job(index);
  const double waited_s = wall_now - job.eligible_since;
  PlanJob out;
  out.job = index;
  out.suspect = cluster_state.failure_attribution().is_suspect(index);
  // One task is enough to show whether a suspect job still fails; a gang needs all of them.
  out.units = out.suspect && job.spec.job_type != JobType::gang ? 1 : job.pending;
  out.gang = job.spec.job_type == JobType::gang;
  out.service = job.spec.job_type == JobType::service;
  out.demand = job.spec.demand;
  out.estimated_run_s = job.spec.estimated_run_s;
  out.image_gb = job.spec.image_gb;
  out.image = job.image;
  out.team = job.team;
  out.sort_key = compute_sort_key(job.random_draw, job.spec.estimated_run_s, parameters_.weight, waited_s, out.service);
  out.max_wait_s = max_wait_s(job, wall_now);
  if (out.service)
    for (double target_s : start_targets_of(parameters_.start_targets, job))
      out.remaining_start_target_s = std::max(0.0, target_s - waited_s);
  out.machine_types = job.machine_types;
  out.zone = job.zone;
  out.single_zone = job.spec.single_zone;
  out.allows_spot = job.spec.allows_spot;
  if (job.spec.spread) out.max_tasks_per_zone = (job.spec.task_count + 1) / 2;
  out.tasks_by_zone.assign(cluster_state.zone_count(), 0);
  out.avoided_nodes = cluster_state.failure_attribution().avoided_nodes(index, wall_now);
  if (out.service || job.spec.spread || job.spec.single_zone) count_tasks_by_zone(out, cluster_state, job);
  if (out.service && !job.placed.empty()) count_tasks_by_node(out, input.nodes, job);
  return out;
}

// Without promotion, arrays of the lowest priority hardly ever ran while 20 teams requested 1.5 times the capacity of the cluster.
std::set<JobIndex> promote_starving_jobs(PlanInput& input, const ClusterState& cluster_state, StarvationGuard& guard, double release_rate,
                                         const PassContext& context, const std::set<JobIndex>& within_guarantee) {
  guard.accrue(release_rate, context.steady_now);
  guard.prune_protected(cluster_state);
  std::vector<StarvationGuard::StarvingJob> starving;
  int highest_tier = 0;
  for (std::size_t i = 0; i < input.jobs.size(); ++i) {
    const PlanJob& plan_job = input.jobs[i];
    const Job& job = cluster_state.job(plan_job.job);
    // Guarantees come first: nothing is promoted while work within one waits.
    if (within_guarantee.contains(plan_job.job)) return {};
    if (!plan_job.service) highest_tier = std::max(highest_tier, plan_job.tier);
    const double waited_s = context.wall_now - job.eligible_since;
    const bool is_promotable = !plan_job.service && !plan_job.suspect && plan_job.demand.accelerators <= 0;
    if (!is_promotable || !job.placed.empty() || waited_s < kStarvingAfterSeconds) continue;
    const double unit_cores = plan_job.demand.cores * (plan_job.gang ? plan_job.units : 1);
    starving.push_back({i, plan_job.job, waited_s, unit_cores, plan_job.gang ? 1 : plan_job.units});
  }
  std::erase_if(starving, [&](const auto& job) { return input.jobs[job.position].tier >= highest_tier; });
  // Above all waiting jobs except production jobs.
  const int tier = std::min(highest_tier + 1, 2 * static_cast<int>(Priority::production) - 1);
  std::set<JobIndex> promoted;
  for (const auto& promotion : guard.promote(std::move(starving))) {
    promoted.insert(input.jobs[promotion.position].job);
    promote_units(input, promotion, tier);
  }
  return promoted;
}

}  // namespace thistlefront
