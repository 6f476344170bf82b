// The pass: ends of leases, broken gangs, the timetable, and one commit of what it starts.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "controller/controller.hpp"
#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "model/machine.hpp"
#include "model/resources.hpp"
#include "model/task.hpp"
#include "scheduling/preemption.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"
#include "worker_control/one_way_partition.hpp"

namespace thistlefront {

namespace {
constexpr double kIdlePeriod = 1.0;  // a pass at least this often
constexpr double kStartWait = 30.0;
constexpr double kSilentHeartbeats = 1.5;  // report periods without a report: no new work goes there
constexpr double kTimeGrain = 0.5;         // of ends in the profiles: far finer than estimates are
constexpr double kDrainSlack = 1.0;
constexpr double kRaiseTokenPeriod = 1.0;
constexpr double kPatience = 2.0;
constexpr double kUnlimited = 1e15;
constexpr double kBorrowed = 60.0;      // about how long a task without accelerators runs
constexpr double kDemandUnknown = 6.0;  // seconds of a fleet's first term
constexpr double kDemandMemory = 60.0;  // seconds over which the demand for accelerators fades
}  // namespace

void Controller::pass_duty(std::stop_token stop) {
  Lock lock(mutex_);
  while (!stop.stop_requested()) {
    pass_wanted_.wait_for(lock, stop, std::chrono::duration<double>(kIdlePeriod), [&] { return pass_due_; });
    if (stop.stop_requested()) return;
    pass_due_ = false;
    PassCost cost;
    if (may_decide()) cost = pass(lock);
    lock.unlock();
    // A pass holds the lock that reports and submissions wait for, and takes the processor from them.
    if (!pause_for(stop, rest_after_pass(cost, {options_.pass_period_s, settings_.cpu}))) return;
    lock.lock();
  }
}

// A job lies within its team's guarantee if it fits there together with the team's earlier unfinished jobs.
std::set<JobIndex> Controller::within_guarantee() const {
  const ClusterState& cluster_state = *term_->cluster_state;
  std::vector<JobIndex> jobs;
  for (JobIndex j : cluster_state.live())
    if (!cluster_state.job(j).ended() && cluster_state.job(j).team.valid()) jobs.push_back(j);
  std::sort(jobs.begin(), jobs.end(), [&](JobIndex a, JobIndex b) {
    const Job &first = cluster_state.job(a), &second = cluster_state.job(b);
    return std::tie(first.eligible_since, first.uid) < std::tie(second.eligible_since, second.uid);
  });
  std::vector<Resources> sums(cluster_state.teams().size());
  std::set<JobIndex> within;
  for (JobIndex j : jobs) {
    const Job& job = cluster_state.job(j);
    const Resources& guarantee = cluster_state.teams()[job.team.value].guarantee;
    const auto unfinished = static_cast<double>(job.tasks.size() - job.done);
    auto& sum = sums[job.team.value];
    sum += job.spec.demand * unfinished;
    const bool named =
        (guarantee.cores > 0 && job.spec.demand.cores > 0) || (guarantee.accelerators > 0 && job.spec.demand.accelerators > 0);
    const bool fits = (guarantee.cores <= 0 || sum.cores <= guarantee.cores + 1e-6) &&
                      (guarantee.accelerators <= 0 || sum.accelerators <= guarantee.accelerators + 1e-6);
    if (named && fits) within.insert(j);
  }
  return within;
}

const std::vector<double>& Controller::wait_aims(const std::string& job_class) const {
  static const std::vector<double> none;
  const auto it = wait_aims_.find(job_class);
  return it == wait_aims_.end() ? none : it->second;
}

// How long a slot may be waited for before other work is stopped: until the aim for the wait of its class, or, when
// that is past, until its deadline can just be kept. Services are wanted at once.
double Controller::patience_of(const Job& job, double wall) const {
  const double waited = wall - job.eligible_since;
  if (job.spec.job_type == JobType::service) return kPatience;
  for (double within_s : wait_aims(job.spec.job_class))
    if (waited < within_s) return std::max(kPatience / 4, within_s - waited - kPatience / 4);
  if (std::isfinite(job.urgency.deadline_at)) return std::max(kPatience, job.urgency.deadline_at - wall - job.spec.estimated_run_s);
  return kPatience;
}

PlanJob Controller::plan_job(JobIndex j, const PlanInput& in, double wall) {
  const ClusterState& cluster_state = *term_->cluster_state;
  const Job& job = cluster_state.job(j);
  PlanJob out;
  out.job = j;
  out.suspect = cluster_state.failure_attribution().is_suspect(j);
  // One task shows whether it is still at fault; all of a gang is one.
  out.units = out.suspect && job.spec.job_type != JobType::gang ? 1 : job.pending;
  out.gang = job.spec.job_type == JobType::gang;
  out.service = job.spec.job_type == JobType::service;
  out.demand = job.spec.demand;
  out.estimated_run_s = job.spec.estimated_run_s;
  out.image_gb = job.spec.image_gb;
  out.image = job.image;
  out.team = job.team;
  out.key = key_of(job.random_draw, job.spec.estimated_run_s, options_.weight, wall - job.eligible_since, out.service);
  out.patience_s = patience_of(job, wall);
  if (out.service)
    for (double within_s : wait_aims(job.spec.job_class)) out.run_within_s = std::max(0.0, within_s - (wall - job.eligible_since));
  out.machine_types = job.machine_types;
  out.zone = job.zone;
  out.single_zone = job.spec.single_zone;
  out.allows_spot = job.spec.allows_spot;
  if (job.spec.spread) out.max_tasks_per_zone = (job.spec.task_count + 1) / 2;
  out.tasks_by_zone.assign(cluster_state.zone_count(), 0);
  out.avoided_nodes = cluster_state.failure_attribution().avoided_nodes(j, wall);
  if (out.service || job.spec.spread || job.spec.single_zone) {
    for (const auto& [task, p] : job.placed) {
      const ZoneIndex zone = cluster_state.node(p.node).zone;
      if (zone.valid()) ++out.tasks_by_zone[zone.value];
    }
  }
  if (out.service && !job.placed.empty()) {
    out.tasks_by_node.assign(in.nodes.size(), 0);
    for (const auto& [task, p] : job.placed) {
      // In the order of their indices.
      const auto it = std::lower_bound(in.nodes.begin(), in.nodes.end(), p.node, [](const PlanNode& a, NodeIndex h) { return a.node < h; });
      if (it != in.nodes.end() && it->node == p.node) ++out.tasks_by_node[static_cast<std::size_t>(it - in.nodes.begin())];
    }
  }
  return out;
}

// Of each kind with accelerators, as many machines as their work has needed lately, are kept from tasks that need none
// (and one more where they are to start at once), but for the room this work leaves. Those that are the most free of such tasks already.
void Controller::reserve_accelerators(PlanInput& in, double steady) {
  const ClusterState& cluster_state = *term_->cluster_state;
  // A fleet's first leader knows no demand yet: what its first users send in the first seconds is not lent away before the
  // rest of them have sent theirs (lienzo fleet, restart: arrays held 50 machines for 80 s while gangs waited).
  if (term_->first_of_all && steady - term_->taken_over_at < kDemandUnknown) {
    for (auto& h : in.nodes) {
      if (h.capacity.accelerators <= 0) continue;
      if (h.lending == PlanNode::Lending::all) h.lent = {};
      h.lending = PlanNode::Lending::kept;
    }
    return;
  }
  std::map<MachineTypeIndex, double> needed, patience, widest;
  for (JobIndex j : cluster_state.live()) {
    const Job& job = cluster_state.job(j);
    if (job.spec.demand.accelerators <= 0 || job.ended() || cluster_state.failure_attribution().is_suspect(j)) continue;
    std::map<MachineTypeIndex, double> units;
    for (const auto& [task, p] : job.placed) units[cluster_state.node(p.node).machine_type] += 1;
    if (job.pending > 0) {
      if (job.machine_types.size() == 1) {
        units[job.machine_types.front()] += job.pending;
      } else {
        for (const auto& f : cluster_state.machine_types())
          if (job.spec.demand.fits(f.capacity)) units[cluster_state.find_machine_type(f.name)] += job.pending;
      }
    }
    for (double within_s : wait_aims(job.spec.job_class))
      for (const auto& [k, n] : units) patience[k] = std::min(patience.try_emplace(k, within_s).first->second, within_s);
    for (const auto& [k, n] : units) {
      const MachineType* f = cluster_state.machine_type(k);
      if (!f || f->capacity.accelerators <= 0) continue;
      const double machines = n * job.spec.demand.accelerators / f->capacity.accelerators;
      needed[k] += machines;
      if (job.spec.job_type == JobType::gang) widest[k] = std::max(widest[k], machines);
    }
  }
  for (const auto& f : cluster_state.machine_types()) {
    if (f.capacity.accelerators <= 0) continue;
    const MachineTypeIndex k = cluster_state.find_machine_type(f.name);
    auto& demand = accelerator_demand_[k];
    const double faded = demand.machines * std::exp(-(steady - demand.at) / kDemandMemory);
    demand.widest = std::max(demand.widest * std::exp(-(steady - demand.at) / kDemandMemory), widest[k]);
    demand.machines = std::max(faded, needed[k]);
    demand.at = steady;
    if (auto it = patience.find(k); it != patience.end()) demand.patience = it->second;
    if (demand.machines < 0.1) continue;
    std::vector<PlanNode*> nodes;
    for (auto& h : in.nodes)
      if (h.machine_type == k && h.lending != PlanNode::Lending::all) nodes.push_back(&h);  // those its work may use
    std::stable_sort(nodes.begin(), nodes.end(), [](const PlanNode* a, const PlanNode* b) { return a->lent.cores > b->lent.cores; });
    // A spare one only where an aim leaves no time for tasks that borrowed it to end. Gangs over several machines wait
    // for the last of them: for these there is room for one more of the widest (lienzo grown, steady).
    const double spare = demand.widest > 1 ? demand.widest : demand.patience < kBorrowed ? 1 : 0;
    const auto keep = static_cast<std::size_t>(std::ceil(demand.machines + spare));
    for (std::size_t i = 0; i < nodes.size() && i < keep; ++i) nodes[i]->lending = PlanNode::Lending::kept;
  }
}

PlanInput Controller::make_plan_input(double wall, double steady, const std::set<JobIndex>& within) {
  ClusterState& cluster_state = *term_->cluster_state;
  PlanInput in;
  in.now = wall;
  in.overrun_s = options_.overrun_s;
  const auto waits = [&](JobIndex j) { return !cluster_state.job(j).ended() && cluster_state.job(j).pending > 0; };
  if (std::none_of(cluster_state.live().begin(), cluster_state.live().end(), waits)) return in;
  in.nodes.reserve(cluster_state.node_count());
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
    const Node& node = cluster_state.node(NodeIndex{i});
    const MachineType* machine_type = cluster_state.machine_type(node.machine_type);
    if (!machine_type || !node.agent.has_reported || node.lease_expired || node.terminated ||
        cluster_state.failure_attribution().is_cordoned(NodeIndex{i}, wall))
      continue;
    if (node.releasing || node.agent.interruption_at || node.full_until > steady) continue;
    // Heard of by a report that may be an old one's copy, and no more: nothing is placed there before it has shown that it
    // knows this leader. Machines that this leader rented itself have no earlier reports, nor has a fleet without any.
    if (node.agent.highest_token < term_->takeover_token && node.instance.requested_at == 0 && !term_->first_of_all) continue;
    if (is_unresponsive(node, wall, settings_.heartbeat_interval_s)) continue;
    if (steady - node.agent.last_heartbeat_at > kSilentHeartbeats * settings_.heartbeat_interval_s + kDrainSlack) continue;
    PlanNode p;
    p.node = NodeIndex{i};
    p.machine_type = node.machine_type;
    p.zone = node.zone;
    p.spot = node.spot;
    p.capacity = machine_type->capacity;
    p.image_fetch_gb_per_s = machine_type->image_fetch_gb_per_s;
    const Resources biggest = cluster_state.largest_accelerator_demand(node.machine_type, node.spot);
    if (machine_type->capacity.accelerators > 0 && biggest.accelerators > 0 && biggest.fits(machine_type->capacity)) {
      p.lending = PlanNode::Lending::not_to_services;
      p.lent = machine_type->capacity;
      for (Resources left = machine_type->capacity; biggest.fits(left); left -= biggest) p.lent -= biggest;
    }
    p.images.reserve(node.cached_images.size());
    for (const auto& image : node.cached_images) p.images.push_back(image.first);
    p.occupants.reserve(node.placed.size());
    // Occupants that end at about the same time are taken together: they make one step of the profile.
    const auto occupy = [&](const Resources& need, double until) {
      if (until != kForever) until = std::ceil(until / kTimeGrain) * kTimeGrain;
      auto same = std::find_if(p.occupants.begin(), p.occupants.end(), [&](const auto& o) { return o.until == until; });
      if (same == p.occupants.end()) {
        p.occupants.push_back({need, until});
      } else {
        same->demand += need;
      }
    };
    std::size_t seen = 0;
    for (const auto& ref : node.placed) {
      const Placement& at = *ref.placement;
      const Job& job = cluster_state.job(ref.job);
      if (at.reported && at.phase != TaskPhase::exited) ++seen;
      double until = kForever;
      if (at.stopping) {
        until = wall + at.grace_period_s + 1;
      } else if (job.spec.job_type != JobType::service) {
        until = (at.running_since > 0 ? at.running_since : std::max(at.decided_at, wall - 1)) + job.spec.estimated_run_s;
      }
      occupy(job.spec.demand, until);
      if (job.spec.demand.accelerators == 0) p.lent -= job.spec.demand;
    }
    // What the worker still holds and the book no longer places there is on its way out.
    const auto held = static_cast<std::size_t>(std::count_if(node.agent.tasks.begin(), node.agent.tasks.end(),
                                                             [](const ReportedTask& s) { return s.phase != TaskPhase::exited; }));
    for (const auto& s : node.agent.tasks) {
      if (held <= seen) break;
      if (s.phase == TaskPhase::exited || !s.ref.job.valid()) continue;
      const Placement* at = cluster_state.placement(s.ref);
      if (at && at->node == NodeIndex{i} && at->attempt == s.attempt) continue;
      const Job& job = cluster_state.job(s.ref.job);
      if (!job.tasks.empty()) occupy(job.spec.demand, wall + settings_.heartbeat_interval_s);
    }
    in.nodes.push_back(std::move(p));
  }
  reserve_accelerators(in, steady);
  cluster_state.recount_unplaced();
  for (std::uint32_t t = 0; t < cluster_state.teams().size(); ++t)
    in.teams.push_back({cluster_state.quota_accounts().headroom(TeamIndex{t}, kUnlimited)});
  for (JobIndex j : cluster_state.live()) {
    const Job& job = cluster_state.job(j);
    if (job.ended() || job.pending == 0 || cluster_state.failure_attribution().next_try_at(j) > wall) continue;
    if (cluster_state.failure_attribution().is_suspect(j) && !job.placed.empty()) continue;
    // After a takeover a machine's zone is unknown until it is listed or reports: the zones of the job's other
    // tasks must be known before one more is placed (wrong_place).
    if ((job.spec.spread || job.spec.single_zone) &&
        std::any_of(job.placed.begin(), job.placed.end(), [&](const auto& p) { return !cluster_state.node(p.second.node).zone.valid(); }))
      continue;
    // A gang is one unit: all of its tasks must be off their machines before it is planned again.
    if (job.spec.job_type == JobType::gang && !job.placed.empty()) continue;
    in.jobs.push_back(plan_job(j, in, wall));
    // Rank goes before the key, and within a rank what the team is guaranteed (docs/design.md, exceptions).
    in.jobs.back().tier = 2 * static_cast<int>(job.urgency.priority) + (within.contains(j) ? 1 : 0);
  }
  return in;
}

// On a day of 20 guest teams that asked for half the fleet again, arrays of the lowest rank hardly ever ran.
std::set<JobIndex> Controller::promote_starving_jobs(PlanInput& in, double wall, double steady, const std::set<JobIndex>& within) {
  const ClusterState& cluster_state = *term_->cluster_state;
  term_->starvation_guard.accrue(release_rate_.rate(steady), steady);
  term_->starvation_guard.prune_protected(cluster_state);
  std::vector<StarvationGuard::StarvingJob> starving;
  int highest = 0;
  for (std::size_t i = 0; i < in.jobs.size(); ++i) {
    const PlanJob& p = in.jobs[i];
    const Job& job = cluster_state.job(p.job);
    // What guarantees leave: nothing is given away while work within one waits.
    if (within.contains(p.job)) return {};
    if (!p.service) highest = std::max(highest, p.tier);
    const double waited = wall - job.eligible_since;
    if (p.service || p.suspect || p.demand.accelerators > 0 || !job.placed.empty() || waited < kStarvesAfter) continue;
    starving.push_back({i, p.job, waited, p.demand.cores * (p.gang ? p.units : 1), p.gang ? 1 : p.units});
  }
  std::erase_if(starving, [&](const auto& s) { return in.jobs[s.position].tier >= highest; });
  std::set<JobIndex> out;
  for (const auto& r : term_->starvation_guard.promote(std::move(starving))) {
    PlanJob& p = in.jobs[r.position];
    const int usual = std::exchange(p.tier, std::min(highest + 1, 2 * static_cast<int>(Priority::production) - 1));
    out.insert(p.job);
    if (p.gang || p.units <= r.units) continue;
    // The rest keeps its place, and still counts for what is rented; not where its zones hang together.
    PlanJob rest = p;
    rest.tier = usual;
    rest.units = p.units - r.units;
    p.units = r.units;
    if (!rest.single_zone && rest.max_tasks_per_zone == UINT32_MAX) in.jobs.push_back(std::move(rest));
  }
  return out;
}

void Controller::update_idle_times(double steady) {
  ClusterState& cluster_state = *term_->cluster_state;
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
    Node& node = cluster_state.node(NodeIndex{i});
    const bool idle =
        node.placed.empty() && node.agent.has_reported &&
        std::all_of(node.agent.tasks.begin(), node.agent.tasks.end(), [](const ReportedTask& s) { return s.phase == TaskPhase::exited; });
    if (!idle) {
      node.idle_since = 0;
    } else if (node.idle_since == 0) {
      node.idle_since = steady;
    }
  }
  for (JobIndex j : cluster_state.live())
    if (cluster_state.job(j).pending > 0 || cluster_state.job(j).spec.job_type != JobType::service) active_at_ = steady;
}

PassCost Controller::pass(Lock& lock) {
  const double processor_before = thread_processor_seconds();
  const double steady = steady_now(), wall = wall_now();
  const auto number = term_number_;
  ClusterState& cluster_state = *term_->cluster_state;
  FencingState fencing_state{term_->takeover_token, term_->taken_over_at, term_->quorum.sole_leader_since(term_->takeover_token, steady)};
  add_peer_renewals(fencing_state, steady);
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
    Node& node = cluster_state.node(NodeIndex{i});
    if (node.lease_expired || node.terminated || !is_lease_expired(node, fencing_state, settings_.lease_s, steady)) continue;
    node.lease_expired = true;
    if (node.placed.empty()) continue;
    spdlog::info("{}: its lease is over, {} tasks are off it", node.name, node.placed.size());
    enqueue(evict_all_tasks(cluster_state, NodeIndex{i}));
  }
  // Starts in doubt are fenced by a higher epoch, one for all that came to be in doubt within a second.
  const bool doubt = [&] {
    for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i)
      if (!cluster_state.node(NodeIndex{i}).lease_expired &&
          cluster_state.node(NodeIndex{i}).commands.uncertain_token >= term_->fencing_token)
        return true;
    return false;
  }();
  if (doubt && steady - term_->token_raised_at > kRaiseTokenPeriod) {
    term_->raise_token_requested = true;
    queue_filled_.notify_all();
  }
  std::set<NodeIndex> touched;
  for (auto h : drain_interrupted_nodes(cluster_state, {steady, wall})) touched.insert(h);
  for (auto h : resume_inherited_stops(cluster_state)) touched.insert(h);
  if (stop_broken_gangs(cluster_state)) {
    for (JobIndex j : cluster_state.live())
      for (const auto& [task, p] : cluster_state.job(j).placed)
        if (p.stopping) touched.insert(p.node);
  }
  update_idle_times(steady);
  const auto& within = term_->within = within_guarantee();
  auto input = make_plan_input(wall, steady, within);
  const auto raised = promote_starving_jobs(input, wall, steady, within);
  // Units without a slot before a machine rented now could be up.
  double boots = kForever;
  for (const auto& f : cluster_state.machine_types()) boots = std::min(boots, f.boot_s);
  input.horizon = wall + boots;
  auto plan = make_plan(input);
  unserved_ = plan.unserved;
  // What is stopped here makes room that later passes give out, highest tier first.
  std::set<std::string> starts_count;
  for (const auto& [job_class, aims] : wait_aims_) starts_count.insert(job_class);
  const auto preemption = choose_victims(
      {cluster_state, input, plan, within, wall, release_rate_.rate(steady), starts_count, term_->starvation_guard.protected_jobs()});
  for (const auto& s : preemption.waived)
    std::erase_if(plan.starts, [&](const Slot& p) { return p.job == s.job && p.node == s.node && p.at == s.at; });
  for (const auto& v : preemption.victims) {
    Placement* p = cluster_state.placement(v.ref);
    mark_for_stop(*p, v.grace_period_s);
    touched.insert(p->node);
    ++counters_.preempted;
  }
  // Slots that are now become task numbers; one attempt number for all starts of a job in this pass.
  std::map<JobIndex, TasksStartedRecord> starts;
  std::map<JobIndex, std::uint32_t> next_task;
  for (const auto& slot : plan.starts) {
    Job& job = cluster_state.job(slot.job);
    if (raised.contains(slot.job)) term_->starvation_guard.charge(slot.job, job.spec.demand.cores * slot.count);
    auto& of_job = starts.try_emplace(slot.job, TasksStartedRecord{job.uid, job.attempts + 1, wall, {}}).first->second;
    const Node& node = cluster_state.node(slot.node);
    TasksStartedRecord::NodeAssignment part{node.name, node.agent.incarnation, {}};
    auto& task = next_task[slot.job];
    for (std::uint32_t n = 0; n < slot.count && task < job.tasks.size(); ++task) {
      if (job.tasks[task] != TaskState::pending) continue;
      append_task(part.tasks, task);
      ++n;
    }
    if (!part.tasks.empty()) of_job.assignments.push_back(std::move(part));
    touched.insert(slot.node);
  }
  ++counters_.passes;
  const PassCost cost{steady_now() - steady, thread_processor_seconds() - processor_before};
  counters_.pass_seconds = counters_.pass_seconds + cost.elapsed_s;
  counters_.pass_processor_seconds = counters_.pass_processor_seconds + cost.processor_s;
  pass_times_.add(cost.elapsed_s);
  spdlog::debug(
      "pass: {:.1f} ms, {:.2f} ms of processor, {} hosts, {} jobs wait, {} starts, {} holds, {} unserved, {} stopped, {:.0f} ms behind",
      cost.elapsed_s * 1000, cost.processor_s * 1000, input.nodes.size(), input.jobs.size(), plan.starts.size(), plan.reservations.size(),
      plan.unserved.size(), preemption.victims.size(), lag_ * 1000);
  if (!starts.empty()) {
    std::vector<Record> records;
    for (const auto& [j, of_job] : starts) {
      for (auto& r : split_by_size(of_job, cluster_state.record_bytes())) {
        for (const auto& part : r.assignments)
          for (const auto& range : part.tasks) counters_.started += range.last - range.first;
        records.emplace_back(std::move(r));
      }
    }
    for (const auto& slot : plan.starts) starting_.insert(slot.node);
    start_stall_detector_.record_planned(steady);
    const auto ticket = enqueue(std::move(records));
    // Nothing starts, and no other pass is made, until it is certain that the ledger has it.
    while (!wait_applied(lock, ticket, kStartWait))
      if (term_number_ != number) return cost;
    starting_.clear();
    if (!may_decide()) return cost;  // the reports' answers carry the starts once leadership is certain again
  }
  for (auto h : touched) enqueue_commands(h);
  return cost;
}

}  // namespace thistlefront
