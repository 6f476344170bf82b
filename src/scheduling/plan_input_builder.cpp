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

constexpr double kShortestPatienceSeconds = 2.0;
constexpr double kUnlimited = 1e15;       // headroom of a team without a quota
constexpr double kGuaranteeSlack = 1e-6;  // for sums of decimals

// Unfinished jobs of teams, the earliest first.
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

// Whether the guarantee names something that a task needs.
bool covers_any(const Resources& guarantee, const Resources& demand) {
  return (guarantee.cores > 0 && demand.cores > 0) || (guarantee.accelerators > 0 && demand.accelerators > 0);
}

// Whether the sum stays within the guarantee in all that it names.
bool is_within(const Resources& guarantee, const Resources& sum) {
  return (guarantee.cores <= 0 || sum.cores <= guarantee.cores + kGuaranteeSlack) &&
         (guarantee.accelerators <= 0 || sum.accelerators <= guarantee.accelerators + kGuaranteeSlack);
}

bool waits_for_slots(const Job& job) {
  return !job.ended() && job.pending > 0;
}

// Whether the job is planned in this pass.
bool may_be_planned(const ClusterState& cluster_state, JobIndex index, double wall) {
  const Job& job = cluster_state.job(index);
  const auto& failures = cluster_state.failure_attribution();
  if (!waits_for_slots(job) || failures.next_retry_at(index) > wall) return false;
  if (failures.is_suspect(index) && !job.placed.empty()) return false;
  // After a failover a node's zone is unknown until it is listed or reports: the zones of the job's other tasks must be
  // known before one more is placed.
  const auto in_unknown_zone = [&](const auto& placed) { return !cluster_state.node(placed.second.node).zone.valid(); };
  if ((job.spec.spread || job.spec.single_zone) && std::any_of(job.placed.begin(), job.placed.end(), in_unknown_zone)) return false;
  // A gang is one unit: all of its tasks must be off their nodes before it is planned again.
  return job.spec.job_type != JobType::gang || job.placed.empty();
}

// Priority goes before the key, and within a priority what the team is guaranteed (docs/design.md, exceptions).
int tier_of(const Job& job, bool within_guarantee) {
  return 2 * static_cast<int>(job.urgency.priority) + (within_guarantee ? 1 : 0);
}

void count_tasks_by_zone(PlanJob& plan_job, const ClusterState& cluster_state, const Job& job) {
  for (const auto& [task, placement] : job.placed) {
    const ZoneIndex zone = cluster_state.node(placement.node).zone;
    if (zone.valid()) ++plan_job.tasks_by_zone[zone.value];
  }
}

// `nodes` are in the order of their indices.
void count_tasks_by_node(PlanJob& plan_job, const std::vector<PlanNode>& nodes, const Job& job) {
  plan_job.tasks_by_node.assign(nodes.size(), 0);
  const auto before = [](const PlanNode& a, NodeIndex b) { return a.node < b; };
  for (const auto& [task, placement] : job.placed) {
    const auto it = std::lower_bound(nodes.begin(), nodes.end(), placement.node, before);
    if (it != nodes.end() && it->node == placement.node) ++plan_job.tasks_by_node[static_cast<std::size_t>(it - nodes.begin())];
  }
}

const std::vector<double>& targets_of(const StartTargets& start_targets, const Job& job) {
  static const std::vector<double> kNone;
  const auto it = start_targets.find(job.spec.job_class);
  return it == start_targets.end() ? kNone : it->second;
}

// Raises the tier of the promoted units; the job's other units keep theirs. They still count for what is rented, except
// where the job's zones hang together.
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
  input.now = context.wall;
  input.overrun_s = parameters_.overrun_s;
  const auto& live = cluster_state.live();
  if (std::none_of(live.begin(), live.end(), [&](JobIndex j) { return waits_for_slots(cluster_state.job(j)); })) return input;
  input.nodes = make_plan_nodes(cluster_state, context, parameters_.heartbeat_interval_s);
  accelerator_reservation_.apply(input, cluster_state, parameters_.start_targets, context);
  cluster_state.recount_unplaced_usage();
  for (std::uint32_t team = 0; team < cluster_state.teams().size(); ++team)
    input.teams.push_back({cluster_state.quota_accounts().headroom(TeamIndex{team}, kUnlimited)});
  for (JobIndex j : live) {
    if (!may_be_planned(cluster_state, j, context.wall)) continue;
    input.jobs.push_back(make_plan_job(cluster_state, j, input, context.wall));
    input.jobs.back().tier = tier_of(cluster_state.job(j), within_guarantee.contains(j));
  }
  return input;
}

// Until the target for the wait of its class, or, when that is past, until its deadline can just be kept. Services are
// wanted at once.
double PlanInputBuilder::patience_s(const Job& job, double wall) const {
  const double waited_s = wall - job.eligible_since;
  if (job.spec.job_type == JobType::service) return kShortestPatienceSeconds;
  for (double target_s : targets_of(parameters_.start_targets, job))
    if (waited_s < target_s) return std::max(kShortestPatienceSeconds / 4, target_s - waited_s - kShortestPatienceSeconds / 4);
  if (std::isfinite(job.urgency.deadline_at))
    return std::max(kShortestPatienceSeconds, job.urgency.deadline_at - wall - job.spec.estimated_run_s);
  return kShortestPatienceSeconds;
}

PlanJob PlanInputBuilder::make_plan_job(const ClusterState& cluster_state, JobIndex index, const PlanInput& input, double wall) const {
  const Job& job = cluster_state.job(index);
  const double waited_s = wall - job.eligible_since;
  PlanJob out;
  out.job = index;
  out.suspect = cluster_state.failure_attribution().is_suspect(index);
  // One task shows whether a suspect job still fails; all of a gang is one.
  out.units = out.suspect && job.spec.job_type != JobType::gang ? 1 : job.pending;
  out.gang = job.spec.job_type == JobType::gang;
  out.service = job.spec.job_type == JobType::service;
  out.demand = job.spec.demand;
  out.estimated_run_s = job.spec.estimated_run_s;
  out.image_gb = job.spec.image_gb;
  out.image = job.image;
  out.team = job.team;
  out.key = key_of(job.random_draw, job.spec.estimated_run_s, parameters_.weight, waited_s, out.service);
  out.patience_s = patience_s(job, wall);
  if (out.service)
    for (double target_s : targets_of(parameters_.start_targets, job)) out.run_within_s = std::max(0.0, target_s - waited_s);
  out.machine_types = job.machine_types;
  out.zone = job.zone;
  out.single_zone = job.spec.single_zone;
  out.allows_spot = job.spec.allows_spot;
  if (job.spec.spread) out.max_tasks_per_zone = (job.spec.task_count + 1) / 2;
  out.tasks_by_zone.assign(cluster_state.zone_count(), 0);
  out.avoided_nodes = cluster_state.failure_attribution().avoided_nodes(index, wall);
  if (out.service || job.spec.spread || job.spec.single_zone) count_tasks_by_zone(out, cluster_state, job);
  if (out.service && !job.placed.empty()) count_tasks_by_node(out, input.nodes, job);
  return out;
}

// Without this, on a day on which 20 teams asked for half the cluster again, arrays of the lowest priority hardly ever ran.
std::set<JobIndex> promote_starving_jobs(PlanInput& input, const ClusterState& cluster_state, StarvationGuard& guard, double release_rate,
                                         const PassContext& context, const std::set<JobIndex>& within_guarantee) {
  guard.accrue(release_rate, context.steady);
  guard.prune_protected(cluster_state);
  std::vector<StarvationGuard::StarvingJob> starving;
  int highest_tier = 0;
  for (std::size_t i = 0; i < input.jobs.size(); ++i) {
    const PlanJob& plan_job = input.jobs[i];
    const Job& job = cluster_state.job(plan_job.job);
    // Only what guarantees leave is given away: nothing while work within one waits.
    if (within_guarantee.contains(plan_job.job)) return {};
    if (!plan_job.service) highest_tier = std::max(highest_tier, plan_job.tier);
    const double waited_s = context.wall - job.eligible_since;
    const bool eligible = !plan_job.service && !plan_job.suspect && plan_job.demand.accelerators <= 0;
    if (!eligible || !job.placed.empty() || waited_s < kStarvesAfter) continue;
    const double unit_cores = plan_job.demand.cores * (plan_job.gang ? plan_job.units : 1);
    starving.push_back({i, plan_job.job, waited_s, unit_cores, plan_job.gang ? 1 : plan_job.units});
  }
  std::erase_if(starving, [&](const auto& job) { return input.jobs[job.position].tier >= highest_tier; });
  // Ahead of all that waits, but for production work.
  const int tier = std::min(highest_tier + 1, 2 * static_cast<int>(Priority::production) - 1);
  std::set<JobIndex> promoted;
  for (const auto& promotion : guard.promote(std::move(starving))) {
    promoted.insert(input.jobs[promotion.position].job);
    promote_units(input, promotion, tier);
  }
  return promoted;
}

}  // namespace thistlefront
