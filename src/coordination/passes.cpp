// The pass: ends of leases, broken gangs, the timetable, and one commit of what it starts.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "coordination/controller.hpp"
#include "fleet/deafness.hpp"
#include "planning/preemption.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistle {

namespace {
constexpr double kIdlePeriod = 1.0;  // a pass at least this often
constexpr double kStartWait = 30.0;
constexpr double kSilentReports = 1.5;  // report periods without a report: no new work goes there
constexpr double kTimeGrain = 0.5;      // of ends in the profiles: far finer than estimates are
constexpr double kDrainSlack = 1.0;
constexpr double kBumpPeriod = 1.0;
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
    if (decisive()) cost = pass(lock);
    lock.unlock();
    // A pass holds the lock that reports and submissions wait for, and takes the processor from them.
    if (!pause_for(stop, rest_after_pass(cost, {tuning_.pass_period_s, settings_.cpu}))) return;
    lock.lock();
  }
}

// A job lies within its team's guarantee if it fits there together with the team's earlier unfinished jobs.
std::set<JobIdx> Controller::within_guarantee() const {
  const Book& book = *term_->book;
  std::vector<JobIdx> jobs;
  for (JobIdx j : book.live())
    if (!book.job(j).ended() && book.job(j).team.valid()) jobs.push_back(j);
  std::sort(jobs.begin(), jobs.end(), [&](JobIdx a, JobIdx b) {
    const Job &first = book.job(a), &second = book.job(b);
    return std::tie(first.eligible_since, first.uid) < std::tie(second.eligible_since, second.uid);
  });
  std::vector<Resources> sums(book.teams().size());
  std::set<JobIdx> within;
  for (JobIdx j : jobs) {
    const Job& job = book.job(j);
    const Resources& guarantee = book.teams()[job.team.v].guarantee;
    const auto unfinished = static_cast<double>(job.tasks.size() - job.done);
    auto& sum = sums[job.team.v];
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
  if (job.spec.shape == Shape::service) return kPatience;
  for (double within_s : wait_aims(job.spec.job_class))
    if (waited < within_s) return std::max(kPatience / 4, within_s - waited - kPatience / 4);
  if (std::isfinite(job.urgency.due_at)) return std::max(kPatience, job.urgency.due_at - wall - job.spec.expected_s);
  return kPatience;
}

PlanJob Controller::plan_job(JobIdx j, const PlanInput& in, double wall) {
  const Book& book = *term_->book;
  const Job& job = book.job(j);
  PlanJob out;
  out.job = j;
  out.suspect = book.blame().is_suspect(j);
  // One task shows whether it is still at fault; all of a gang is one.
  out.units = out.suspect && job.spec.shape != Shape::group ? 1 : job.pending;
  out.gang = job.spec.shape == Shape::group;
  out.service = job.spec.shape == Shape::service;
  out.demand = job.spec.demand;
  out.estimated_run_s = job.spec.expected_s;
  out.pull_gb = job.spec.pull_gb;
  out.image = job.image;
  out.team = job.team;
  out.key = key_of(job.draw, job.spec.expected_s, tuning_.weight, wall - job.eligible_since, out.service);
  out.patience_s = patience_of(job, wall);
  if (out.service)
    for (double within_s : wait_aims(job.spec.job_class)) out.run_within_s = std::max(0.0, within_s - (wall - job.eligible_since));
  out.machine_types = job.machine_types;
  out.yard = job.yard;
  out.one_zone = job.spec.one_zone;
  out.loaners = job.spec.loaners;
  if (job.spec.spread) out.max_tasks_per_zone = (job.spec.task_count + 1) / 2;
  out.tasks_by_zone.assign(book.zone_count(), 0);
  out.avoided_nodes = book.blame().avoided_nodes(j, wall);
  if (out.service || job.spec.spread || job.spec.one_zone) {
    for (const auto& [task, p] : job.placed) {
      const ZoneIdx zone = book.host(p.host).zone;
      if (zone.valid()) ++out.tasks_by_zone[zone.v];
    }
  }
  if (out.service && !job.placed.empty()) {
    out.tasks_by_node.assign(in.hosts.size(), 0);
    for (const auto& [task, p] : job.placed) {
      // In the order of their indices.
      const auto it = std::lower_bound(in.hosts.begin(), in.hosts.end(), p.host, [](const PlanHost& a, HostIdx h) { return a.host < h; });
      if (it != in.hosts.end() && it->host == p.host) ++out.tasks_by_node[static_cast<std::size_t>(it - in.hosts.begin())];
    }
  }
  return out;
}

// Of each kind with accelerators, as many machines as their work has needed lately, are kept from tasks that need none
// (and one more where they are to start at once), but for the room this work leaves. Those that are the most free of such tasks already.
void Controller::keep_accelerators(PlanInput& in, double steady) {
  const Book& book = *term_->book;
  // A fleet's first leader knows no demand yet: what its first users send in the first seconds is not lent away before the
  // rest of them have sent theirs (lienzo fleet, restart: arrays held 50 machines for 80 s while gangs waited).
  if (term_->first_of_all && steady - term_->taken_over_at < kDemandUnknown) {
    for (auto& h : in.hosts) {
      if (h.capacity.accelerators <= 0) continue;
      if (h.lending == PlanHost::Lending::all) h.lent = {};
      h.lending = PlanHost::Lending::kept;
    }
    return;
  }
  std::map<KindIdx, double> needed, patience, widest;
  for (JobIdx j : book.live()) {
    const Job& job = book.job(j);
    if (job.spec.demand.accelerators <= 0 || job.ended() || book.blame().is_suspect(j)) continue;
    std::map<KindIdx, double> units;
    for (const auto& [task, p] : job.placed) units[book.host(p.host).machine_type] += 1;
    if (job.pending > 0) {
      if (job.machine_types.size() == 1) {
        units[job.machine_types.front()] += job.pending;
      } else {
        for (const auto& f : book.flavors())
          if (job.spec.demand.fits(f.capacity)) units[book.kind_of(f.name)] += job.pending;
      }
    }
    for (double within_s : wait_aims(job.spec.job_class))
      for (const auto& [k, n] : units) patience[k] = std::min(patience.try_emplace(k, within_s).first->second, within_s);
    for (const auto& [k, n] : units) {
      const Flavor* f = book.flavor(k);
      if (!f || f->capacity.accelerators <= 0) continue;
      const double machines = n * job.spec.demand.accelerators / f->capacity.accelerators;
      needed[k] += machines;
      if (job.spec.shape == Shape::group) widest[k] = std::max(widest[k], machines);
    }
  }
  for (const auto& f : book.flavors()) {
    if (f.capacity.accelerators <= 0) continue;
    const KindIdx k = book.kind_of(f.name);
    auto& demand = accelerator_demand_[k];
    const double faded = demand.machines * std::exp(-(steady - demand.at) / kDemandMemory);
    demand.widest = std::max(demand.widest * std::exp(-(steady - demand.at) / kDemandMemory), widest[k]);
    demand.machines = std::max(faded, needed[k]);
    demand.at = steady;
    if (auto it = patience.find(k); it != patience.end()) demand.patience = it->second;
    if (demand.machines < 0.1) continue;
    std::vector<PlanHost*> hosts;
    for (auto& h : in.hosts)
      if (h.machine_type == k && h.lending != PlanHost::Lending::all) hosts.push_back(&h);  // those its work may use
    std::stable_sort(hosts.begin(), hosts.end(), [](const PlanHost* a, const PlanHost* b) { return a->lent.cores > b->lent.cores; });
    // A spare one only where an aim leaves no time for tasks that borrowed it to end. Gangs over several machines wait
    // for the last of them: for these there is room for one more of the widest (lienzo grown, steady).
    const double spare = demand.widest > 1 ? demand.widest : demand.patience < kBorrowed ? 1 : 0;
    const auto keep = static_cast<std::size_t>(std::ceil(demand.machines + spare));
    for (std::size_t i = 0; i < hosts.size() && i < keep; ++i) hosts[i]->lending = PlanHost::Lending::kept;
  }
}

PlanInput Controller::plan_input(double wall, double steady, const std::set<JobIdx>& within) {
  Book& book = *term_->book;
  PlanInput in;
  in.now = wall;
  in.overrun_s = tuning_.overrun_s;
  const auto waits = [&](JobIdx j) { return !book.job(j).ended() && book.job(j).pending > 0; };
  if (std::none_of(book.live().begin(), book.live().end(), waits)) return in;
  in.hosts.reserve(book.host_count());
  for (std::uint32_t i = 0; i < book.host_count(); ++i) {
    const Host& host = book.host(HostIdx{i});
    const Flavor* flavor = book.flavor(host.machine_type);
    if (!flavor || !host.agent.has_reported || host.lease_expired || host.terminated || book.blame().is_cordoned(HostIdx{i}, wall))
      continue;
    if (host.releasing || host.agent.interruption_at || host.full_until > steady) continue;
    // Heard of by a report that may be an old one's copy, and no more: nothing is placed there before it has shown that it
    // knows this leader. Machines that this leader rented itself have no earlier reports, nor has a fleet without any.
    if (host.agent.highest_token < term_->takeover_epoch && host.instance.requested_at == 0 && !term_->first_of_all) continue;
    if (unheeding(host, wall, settings_.report_s)) continue;
    if (steady - host.agent.last_heartbeat_at > kSilentReports * settings_.report_s + kDrainSlack) continue;
    PlanHost p;
    p.host = HostIdx{i};
    p.machine_type = host.machine_type;
    p.zone = host.zone;
    p.loaner = host.loaner;
    p.capacity = flavor->capacity;
    p.fetch_gb_per_s = flavor->fetch_gb_per_s;
    const Resources biggest = book.accelerator_need(host.machine_type, host.loaner);
    if (flavor->capacity.accelerators > 0 && biggest.accelerators > 0 && biggest.fits(flavor->capacity)) {
      p.lending = PlanHost::Lending::not_to_services;
      p.lent = flavor->capacity;
      for (Resources left = flavor->capacity; biggest.fits(left); left -= biggest) p.lent -= biggest;
    }
    p.images.reserve(host.cached_images.size());
    for (const auto& image : host.cached_images) p.images.push_back(image.first);
    p.occupants.reserve(host.placed.size());
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
    for (const auto& ref : host.placed) {
      const Placement& at = *ref.placement;
      const Job& job = book.job(ref.job);
      if (at.reported && at.phase != Phase::exited) ++seen;
      double until = kForever;
      if (at.stopping) {
        until = wall + at.wind_down_s + 1;
      } else if (job.spec.shape != Shape::service) {
        until = (at.running_at > 0 ? at.running_at : std::max(at.decided_at, wall - 1)) + job.spec.expected_s;
      }
      occupy(job.spec.demand, until);
      if (job.spec.demand.accelerators == 0) p.lent -= job.spec.demand;
    }
    // What the worker still holds and the book no longer places there is on its way out.
    const auto held = static_cast<std::size_t>(
        std::count_if(host.agent.tasks.begin(), host.agent.tasks.end(), [](const SeenPiece& s) { return s.phase != Phase::exited; }));
    for (const auto& s : host.agent.tasks) {
      if (held <= seen) break;
      if (s.phase == Phase::exited || !s.ref.job.valid()) continue;
      const Placement* at = book.placement(s.ref);
      if (at && at->host == HostIdx{i} && at->attempt == s.attempt) continue;
      const Job& job = book.job(s.ref.job);
      if (!job.tasks.empty()) occupy(job.spec.demand, wall + settings_.report_s);
    }
    in.hosts.push_back(std::move(p));
  }
  keep_accelerators(in, steady);
  book.count_unplaced();
  for (std::uint32_t t = 0; t < book.teams().size(); ++t) in.teams.push_back({book.accounts().headroom(TeamIdx{t}, kUnlimited)});
  for (JobIdx j : book.live()) {
    const Job& job = book.job(j);
    if (job.ended() || job.pending == 0 || book.blame().next_try_at(j) > wall) continue;
    if (book.blame().is_suspect(j) && !job.placed.empty()) continue;
    // After a takeover a machine's zone is unknown until it is listed or reports: the zones of the job's other
    // tasks must be known before one more is placed (wrong_place).
    if ((job.spec.spread || job.spec.one_zone) &&
        std::any_of(job.placed.begin(), job.placed.end(), [&](const auto& p) { return !book.host(p.second.host).zone.valid(); }))
      continue;
    // A gang is one unit: all of its tasks must be off their machines before it is planned again.
    if (job.spec.shape == Shape::group && !job.placed.empty()) continue;
    in.jobs.push_back(plan_job(j, in, wall));
    // Rank goes before the key, and within a rank what the team is guaranteed (docs/design.md, exceptions).
    in.jobs.back().tier = 2 * static_cast<int>(job.urgency.rank) + (within.contains(j) ? 1 : 0);
  }
  return in;
}

// On a day of 20 guest teams that asked for half the fleet again, arrays of the lowest rank hardly ever ran.
std::set<JobIdx> Controller::raise_starving(PlanInput& in, double wall, double steady, const std::set<JobIdx>& within) {
  const Book& book = *term_->book;
  term_->floor.accrue(turnover_.rate(steady), steady);
  term_->floor.prune_protected(book);
  std::vector<Floor::StarvingJob> starving;
  int highest = 0;
  for (std::size_t i = 0; i < in.jobs.size(); ++i) {
    const PlanJob& p = in.jobs[i];
    const Job& job = book.job(p.job);
    // What guarantees leave: nothing is given away while work within one waits.
    if (within.contains(p.job)) return {};
    if (!p.service) highest = std::max(highest, p.tier);
    const double waited = wall - job.eligible_since;
    if (p.service || p.suspect || p.demand.accelerators > 0 || !job.placed.empty() || waited < kStarvesAfter) continue;
    starving.push_back({i, p.job, waited, p.demand.cores * (p.gang ? p.units : 1), p.gang ? 1 : p.units});
  }
  std::erase_if(starving, [&](const auto& s) { return in.jobs[s.position].tier >= highest; });
  std::set<JobIdx> out;
  for (const auto& r : term_->floor.promote(std::move(starving))) {
    PlanJob& p = in.jobs[r.position];
    const int usual = std::exchange(p.tier, std::min(highest + 1, 2 * static_cast<int>(Rank::prod) - 1));
    out.insert(p.job);
    if (p.gang || p.units <= r.units) continue;
    // The rest keeps its place, and still counts for what is rented; not where its zones hang together.
    PlanJob rest = p;
    rest.tier = usual;
    rest.units = p.units - r.units;
    p.units = r.units;
    if (!rest.one_zone && rest.max_tasks_per_zone == UINT32_MAX) in.jobs.push_back(std::move(rest));
  }
  return out;
}

void Controller::note_idle(double steady) {
  Book& book = *term_->book;
  for (std::uint32_t i = 0; i < book.host_count(); ++i) {
    Host& host = book.host(HostIdx{i});
    const bool idle =
        host.placed.empty() && host.agent.has_reported &&
        std::all_of(host.agent.tasks.begin(), host.agent.tasks.end(), [](const SeenPiece& s) { return s.phase == Phase::exited; });
    if (!idle) {
      host.idle_since = 0;
    } else if (host.idle_since == 0) {
      host.idle_since = steady;
    }
  }
  for (JobIdx j : book.live())
    if (book.job(j).pending > 0 || book.job(j).spec.shape != Shape::service) active_at_ = steady;
}

PassCost Controller::pass(Lock& lock) {
  const double processor_before = thread_processor_seconds();
  const double steady = steady_now(), wall = wall_now();
  const auto number = term_number_;
  Book& book = *term_->book;
  Fencing fencing{term_->takeover_epoch, term_->taken_over_at, term_->backing.sole_leader_since(term_->takeover_epoch, steady)};
  note_kept(fencing, steady);
  for (std::uint32_t i = 0; i < book.host_count(); ++i) {
    Host& host = book.host(HostIdx{i});
    if (host.lease_expired || host.terminated || !lease_over(host, fencing, settings_.lease_s, steady)) continue;
    host.lease_expired = true;
    if (host.placed.empty()) continue;
    spdlog::info("{}: its lease is over, {} tasks are off it", host.name, host.placed.size());
    enqueue(clear_host(book, HostIdx{i}));
  }
  // Starts in doubt are fenced by a higher epoch, one for all that came to be in doubt within a second.
  const bool doubt = [&] {
    for (std::uint32_t i = 0; i < book.host_count(); ++i)
      if (!book.host(HostIdx{i}).lease_expired && book.host(HostIdx{i}).commands.uncertain_token >= term_->epoch) return true;
    return false;
  }();
  if (doubt && steady - term_->bumped_at > kBumpPeriod) {
    term_->bump_wanted = true;
    queue_filled_.notify_all();
  }
  std::set<HostIdx> touched;
  for (auto h : drain_recalled(book, {steady, wall})) touched.insert(h);
  for (auto h : go_on_with_stops(book)) touched.insert(h);
  if (stop_broken_gangs(book)) {
    for (JobIdx j : book.live())
      for (const auto& [task, p] : book.job(j).placed)
        if (p.stopping) touched.insert(p.host);
  }
  note_idle(steady);
  const auto& within = term_->within = within_guarantee();
  auto input = plan_input(wall, steady, within);
  const auto raised = raise_starving(input, wall, steady, within);
  // Units without a slot before a machine rented now could be up.
  double boots = kForever;
  for (const auto& f : book.flavors()) boots = std::min(boots, f.boot_s);
  input.horizon = wall + boots;
  auto plan = make_plan(input);
  unserved_ = plan.unserved;
  // What is stopped here makes room that later passes give out, highest tier first.
  std::set<std::string> starts_count;
  for (const auto& [job_class, aims] : wait_aims_) starts_count.insert(job_class);
  const auto preemption =
      choose_victims({book, input, plan, within, wall, turnover_.rate(steady), starts_count, term_->floor.protected_jobs()});
  for (const auto& s : preemption.waived)
    std::erase_if(plan.starts, [&](const Slot& p) { return p.job == s.job && p.host == s.host && p.at == s.at; });
  for (const auto& v : preemption.victims) {
    Placement* p = book.placement(v.ref);
    stop_task(*p, v.wind_down_s);
    touched.insert(p->host);
    ++counters_.preempted;
  }
  // Slots that are now become task numbers; one attempt number for all starts of a job in this pass.
  std::map<JobIdx, StartRecord> starts;
  std::map<JobIdx, std::uint32_t> next_task;
  for (const auto& slot : plan.starts) {
    Job& job = book.job(slot.job);
    if (raised.contains(slot.job)) term_->floor.charge(slot.job, job.spec.demand.cores * slot.count);
    auto& of_job = starts.try_emplace(slot.job, StartRecord{job.uid, job.attempts + 1, wall, {}}).first->second;
    const Host& host = book.host(slot.host);
    StartRecord::NodeAssignment part{host.name, host.agent.incarnation, {}};
    auto& task = next_task[slot.job];
    for (std::uint32_t n = 0; n < slot.count && task < job.tasks.size(); ++task) {
      if (job.tasks[task] != TaskState::waiting) continue;
      add_to(part.tasks, task);
      ++n;
    }
    if (!part.tasks.empty()) of_job.assignments.push_back(std::move(part));
    touched.insert(slot.host);
  }
  ++counters_.passes;
  const PassCost cost{steady_now() - steady, thread_processor_seconds() - processor_before};
  counters_.pass_seconds = counters_.pass_seconds + cost.elapsed_s;
  counters_.pass_processor_seconds = counters_.pass_processor_seconds + cost.processor_s;
  pass_times_.add(cost.elapsed_s);
  spdlog::debug(
      "pass: {:.1f} ms, {:.2f} ms of processor, {} hosts, {} jobs wait, {} starts, {} holds, {} unserved, {} stopped, {:.0f} ms behind",
      cost.elapsed_s * 1000, cost.processor_s * 1000, input.hosts.size(), input.jobs.size(), plan.starts.size(), plan.reservations.size(),
      plan.unserved.size(), preemption.victims.size(), lag_ * 1000);
  if (!starts.empty()) {
    std::vector<Record> records;
    for (const auto& [j, of_job] : starts) {
      for (auto& r : in_fitting_records(of_job, book.record_bytes())) {
        for (const auto& part : r.assignments)
          for (const auto& range : part.tasks) counters_.started += range.last - range.first;
        records.emplace_back(std::move(r));
      }
    }
    for (const auto& slot : plan.starts) starting_.insert(slot.host);
    start_watch_.record_planned(steady);
    const auto ticket = enqueue(std::move(records));
    // Nothing starts, and no other pass is made, until it is certain that the ledger has it.
    while (!wait_applied(lock, ticket, kStartWait))
      if (term_number_ != number) return cost;
    starting_.clear();
    if (!decisive()) return cost;  // the reports' answers carry the starts once leadership is certain again
  }
  for (auto h : touched) poke(h);
  return cost;
}

}  // namespace thistle
