#include "bookkeeping/book.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace thistle {

std::uint32_t Job::running() const {
  std::uint32_t n = 0;
  for (const auto& [task, p] : placed)
    if (p.reported && (p.phase == Phase::running || p.phase == Phase::saving)) ++n;
  return n;
}

Book::Book(const std::vector<Team>& teams, std::size_t record_bytes) : record_bytes_(record_bytes), accounts_(teams) {}

std::vector<Resources> Book::recount() const {
  std::vector<Resources> out(accounts_.teams().size());
  for (const Job& job : jobs_)
    for (std::size_t i = 0; i < job.placed.size(); ++i) out[job.team.v] += job.spec.demand;
  return out;
}

double Book::accepted_next(double wall, double skew_s) const {
  constexpr double apart = 1e-6, slack = 1;
  const double after = latest_accepted_ + apart;
  return after > wall && after < wall + 2 * skew_s + slack ? after : wall;
}

std::vector<std::string> Book::correct_accounts() {
  constexpr double slack = 1e-3;  // sums of decimals drift
  std::vector<std::string> out;
  const auto counted = recount();
  for (std::uint32_t t = 0; t < counted.size(); ++t) {
    const Team& team = accounts_.team(TeamIdx{t});
    const auto differs = [](double a, double b) { return std::abs(a - b) > slack; };
    if (differs(team.used.cores, counted[t].cores) || differs(team.used.accelerators, counted[t].accelerators)) out.push_back(team.name);
    accounts_.raise_usage(TeamIdx{t}, counted[t]);
  }
  return out;
}

void Book::count_unplaced() {
  accounts_.clear_unplaced();
  for (std::uint32_t i = 0; i < hosts_.size(); ++i) {
    const Host& host = hosts_[i];
    if (host.lease_expired || host.terminated || host.agent.tasks.empty()) continue;
    const auto held =
        std::count_if(host.agent.tasks.begin(), host.agent.tasks.end(), [](const SeenPiece& s) { return s.phase != Phase::exited; });
    // Not what it held in an earlier session, or what is on its way to be known as off: beside these, what it holds now would not count.
    const auto seen = std::count_if(host.placed.begin(), host.placed.end(), [&](const PlacedPiece& p) {
      return p.placement->reported && !p.placement->end_pending && p.placement->tenure == host.agent.incarnation &&
             p.placement->phase != Phase::exited;
    });
    // Mostly all that it holds is placed there.
    if (held <= seen) continue;
    for (const auto& s : host.agent.tasks) {
      if (s.phase == Phase::exited || !s.ref.job.valid()) continue;
      const Placement* at = placement(s.ref);
      const Job& job = jobs_[s.ref.job.v];
      if (at && at->host == HostIdx{i} && at->attempt == s.attempt) continue;
      // Placed elsewhere, it is counted there. An ended job's needs are not known any more.
      if (!at && !job.tasks.empty()) accounts_.add_unplaced(job.team, job.spec.demand);
    }
  }
}

JobIdx Book::find(std::string_view uid) const {
  auto it = by_uid_.find(uid);
  return it == by_uid_.end() ? JobIdx{} : it->second;
}

HostIdx Book::find_host(const std::string& name) const {
  auto it = by_name_.find(name);
  return it == by_name_.end() ? HostIdx{} : it->second;
}

HostIdx Book::host_named(const std::string& name) {
  auto [it, fresh] = by_name_.try_emplace(name, HostIdx{static_cast<std::uint32_t>(hosts_.size())});
  if (fresh) {
    hosts_.emplace_back();
    hosts_.back().name = name;
  }
  return it->second;
}

void Book::describe(HostIdx h, const std::string& address, const std::string& kind, const std::string& zone, bool loaner) {
  Host& host = hosts_[h.v];
  if (!address.empty()) host.address = address;
  host.machine_type = kinds_.intern(kind);
  host.zone = zones_.intern(zone);
  host.loaner = loaner;
}

const Flavor* Book::flavor(KindIdx k) const {
  if (!k.valid() || k.v >= flavor_of_kind_.size() || flavor_of_kind_[k.v] < 0) return nullptr;
  return &flavors_[static_cast<std::size_t>(flavor_of_kind_[k.v])];
}

void Book::touch_image(Host& host, ImageIdx image, double gb) {
  auto it = std::find_if(host.cached_images.begin(), host.cached_images.end(), [&](auto& i) { return i.first == image; });
  if (it != host.cached_images.end()) host.cached_images.erase(it);
  host.cached_images.emplace_back(image, gb);
  const Flavor* f = flavor(host.machine_type);
  if (!f) return;
  double sum = 0;
  for (const auto& i : host.cached_images) sum += i.second;
  while (host.cached_images.size() > 1 && sum > f->cache_gb) {
    sum -= host.cached_images.front().second;
    host.cached_images.erase(host.cached_images.begin());
  }
}

Placement* Book::placement(PieceRef ref) {
  if (!ref.job.valid()) return nullptr;
  auto& placed = jobs_[ref.job.v].placed;
  auto it = placed.find(ref.task);
  return it == placed.end() ? nullptr : &it->second;
}

bool Book::allows(const Job& job, const Host& host) const {
  if (!host.machine_type.valid()) return false;
  if (host.loaner && !job.spec.loaners) return false;
  if (job.yard.valid() && host.zone != job.yard) return false;
  return job.machine_types.empty() ||
         std::find(job.machine_types.begin(), job.machine_types.end(), host.machine_type) != job.machine_types.end();
}

std::optional<std::string> Book::why_never(const Submission& s) const {
  const TeamIdx team = accounts_.find(s.owner);
  if (!team.valid() || !accounts_.accepts_jobs(team)) return "owner: unknown team";
  bool fits = false;
  for (const auto& f : flavors_) {
    const bool named = s.host_kinds.empty() || std::find(s.host_kinds.begin(), s.host_kinds.end(), f.name) != s.host_kinds.end();
    const bool there = s.yard.empty() || f.yards.empty() || std::find(f.yards.begin(), f.yards.end(), s.yard) != f.yards.end();
    if (named && there && s.demand.fits(f.capacity)) fits = true;
  }
  if (!fits) return "hostKinds: a task fits no allowed machine type";
  const Resources all = s.demand * (s.shape == Shape::batch ? 1.0 : s.task_count);
  const Resources& limit = accounts_.team(team).limit;
  if (limit.cores > 0 && all.cores > limit.cores + 1e-6) return "cores: more than the team's limit";
  if (limit.accelerators > 0 && all.accelerators > limit.accelerators + 1e-6) return "accelerators: more than the team's limit";
  return std::nullopt;
}

Resources Book::accelerator_need(KindIdx k, bool loaner) const {
  Resources most;
  for (KindIdx key : {k, KindIdx{}}) {
    auto it = accelerator_needs_.find({key, loaner});
    if (it == accelerator_needs_.end()) continue;
    most.cores = std::max(most.cores, it->second.cores);
    most.accelerators = std::max(most.accelerators, it->second.accelerators);
    most.ram_gb = std::max(most.ram_gb, it->second.ram_gb);
  }
  return most;
}

JobIdx Book::add_job(const AcceptRecord& r) {
  JobIdx j{static_cast<std::uint32_t>(jobs_.size())};
  auto& job = jobs_.emplace_back();
  job.uid = r.job.uid;
  job.spec = r.job;
  job.team = accounts_.find_or_add(r.job.owner);
  job.job_class = classes_.intern(r.job.job_class);
  largest_.record(job.job_class, size_of(r.job));
  job.image = images_.intern(r.job.bundle);
  if (!r.job.yard.empty()) job.yard = zones_.intern(r.job.yard);
  for (const auto& k : r.job.host_kinds) job.machine_types.push_back(kinds_.intern(k));
  job.draw = r.draw;
  job.accepted_at = job.eligible_since = r.at;
  job.service = r.job.shape == Shape::service;
  latest_accepted_ = std::max(latest_accepted_, r.at);
  job.tasks.assign(r.job.task_count, TaskState::waiting);
  job.pending = r.job.task_count;
  if (job.spec.demand.accelerators > 0) {
    const auto note = [&](KindIdx k) {
      for (const bool loaner : {false, true}) {
        if (loaner && !job.spec.loaners) continue;
        auto& most = accelerator_needs_[{k, loaner}];
        most.cores = std::max(most.cores, job.spec.demand.cores);
        most.accelerators = std::max(most.accelerators, job.spec.demand.accelerators);
        most.ram_gb = std::max(most.ram_gb, job.spec.demand.ram_gb);
      }
    };
    for (auto k : job.machine_types) note(k);
    if (job.machine_types.empty()) note(KindIdx{});
  }
  by_uid_.emplace(job.uid, j);
  job.urgency = own_urgency(job);
  if (job.spec.waits_on.empty()) {
    enliven(j);
  } else {
    wait_for_others(j);
  }
  name_read(j);
  return j;
}

Urgency Book::own_urgency(const Job& job) {
  Urgency u{job.spec.rank, Urgency{}.due_at};
  if (job.spec.due_s) u.due_at = job.accepted_at + *job.spec.due_s;
  return u;
}

void Book::enliven(JobIdx j) {
  Job& job = jobs_[j.v];
  if (job.live_position != UINT32_MAX) return;
  job.live_position = static_cast<std::uint32_t>(live_.size());
  live_.push_back(j);
}

Pipelines::DependencyStatus Book::named(JobIdx j) const {
  using State = Pipelines::DependencyStatus::State;
  if (!j.valid()) return {};
  const Job& job = jobs_[j.v];
  const auto state = job.status == JobStatus::done ? State::done : job.status == JobStatus::aborted ? State::cancelled : State::pending;
  return {state, j, 0};
}

void Book::wait_for_others(JobIdx j) {
  Job& job = jobs_[j.v];
  job.blocked = true;
  std::vector<Pipelines::DependencyStatus> as_named;
  for (const auto& name : job.spec.waits_on) as_named.push_back(named(find(name)));
  Pipelines::Changes news;
  pipelines_.add(j, job.urgency, job.spec.expected_s, job.accepted_at, job.spec.waits_on, as_named, news);
  take(news);
}

void Book::name_read(JobIdx j, double done_at) {
  auto as_named = named(j);
  as_named.at = done_at;
  Pipelines::Changes news;
  pipelines_.resolve_name(jobs_[j.v].uid, as_named, news);
  take(news);
}

void Book::take(const Pipelines::Changes& news) {
  for (const auto& r : news.eligible) {
    Job& job = jobs_[r.job.v];
    // With all that it waited for done, nothing of it can be cancelled through another any more.
    job.blocked = false;
    job.eligible_since = r.since;
    job.spec.waits_on.clear();
    job.spec.waits_on.shrink_to_fit();
    if (!job.ended()) enliven(r.job);
  }
  for (JobIdx j : news.urgency_changed)
    if (Job& job = jobs_[j.v]; !job.ended()) job.urgency = more_urgent(own_urgency(job), pipelines_.required_urgency(j));
  for (JobIdx j : news.cancelled) {
    Job& job = jobs_[j.v];
    // Nothing of it ran, for what it waited for was not done.
    if (!job.ended()) job.status = JobStatus::aborted;
    settle(j);
  }
}

void Book::ended(JobIdx j, double at) {
  Pipelines::Changes news;
  if (jobs_[j.v].status == JobStatus::done) {
    pipelines_.mark_done(j, at, news);
  } else {
    pipelines_.mark_cancelled(j, news);
  }
  take(news);
}

std::optional<std::string> Book::why_not_after(const Submission& s) const {
  for (const auto& name : s.waits_on) {
    const JobIdx j = find(name);
    if (name == s.uid) return "waitsOn: the job itself";
    if (!j.valid()) return "waitsOn: " + name + " was never accepted";
    if (jobs_[j.v].service) return "waitsOn: " + name + " is a service";
  }
  return std::nullopt;
}

std::optional<std::string> Book::in_pipeline() const {
  if (pipelines_.counts().blocked > 0) return std::to_string(pipelines_.counts().blocked) + " jobs that wait for others";
  return std::nullopt;
}

void Book::place(JobIdx j, std::uint32_t task, HostIdx h, std::uint64_t tenure, std::uint64_t attempt, double at) {
  Job& job = jobs_[j.v];
  if (task >= job.tasks.size() || job.tasks[task] != TaskState::waiting) return;
  job.tasks[task] = TaskState::placed;
  --job.pending;
  Placement p;
  p.host = h;
  p.tenure = tenure;
  p.attempt = attempt;
  p.decided_at = at;
  Placement& placement = job.placed.emplace(task, p).first->second;
  Host& host = hosts_[h.v];
  host.placed.push_back({{j, task}, &placement});
  host.used += job.spec.demand;
  touch_image(host, job.image, job.spec.pull_gb);
  accounts_.charge(job.team, job.spec.demand);
}

void Book::unplace(JobIdx j, std::uint32_t task) {
  Job& job = jobs_[j.v];
  auto it = job.placed.find(task);
  if (it == job.placed.end()) return;
  Host& host = hosts_[it->second.host.v];
  auto at = std::find_if(host.placed.begin(), host.placed.end(), [&](const PlacedPiece& q) { return q.placement == &it->second; });
  if (at != host.placed.end()) {
    *at = host.placed.back();
    host.placed.pop_back();
  }
  host.used -= job.spec.demand;
  if (host.placed.empty()) host.used = {};
  accounts_.refund(job.team, job.spec.demand);
  job.placed.erase(it);
  if (job.tasks[task] == TaskState::placed) {
    job.tasks[task] = TaskState::waiting;
    ++job.pending;
  }
}

void Book::mark_done(JobIdx j, const Ranges& ranges, double at) {
  Job& job = jobs_[j.v];
  for (const auto& range : ranges) {
    for (std::uint32_t t = range.first; t < range.last && t < job.tasks.size(); ++t) {
      if (const auto it = job.placed.find(t); it != job.placed.end()) blame_.record_success(j, it->second.host);
      unplace(j, t);
      if (job.tasks[t] == TaskState::done) continue;
      job.tasks[t] = TaskState::done;
      --job.pending;
      ++job.done;
    }
  }
  // A job that its user cancelled stays so, whatever its tasks still do.
  if (job.done < job.tasks.size() || job.ended()) return;
  job.status = JobStatus::done;
  ended(j, at);
}

void Book::settle(JobIdx j) {
  Job& job = jobs_[j.v];
  if (!job.ended() || !job.placed.empty() || job.partly_read) return;
  if (const auto at = std::exchange(job.live_position, UINT32_MAX); at != UINT32_MAX) {
    live_[at] = live_.back();
    jobs_[live_[at].v].live_position = at == live_.size() - 1 ? UINT32_MAX : at;
    live_.pop_back();
  }
  job.blocked = false;
  // An ended job needs only its name and how it ended.
  blame_.forget_job(j, job.done > 0);
  job.spec = {};
  job.tasks = {};
  job.machine_types = {};
}

void Book::apply(const Record& record) {
  std::visit([this](const auto& r) { on(r); }, record);
}

void Book::on(const AcceptRecord& r) {
  if (!find(r.job.uid).valid()) add_job(r);
}

void Book::on(const StartRecord& r) {
  const JobIdx j = find(r.uid);
  if (!j.valid()) return;
  Job& job = jobs_[j.v];
  job.attempts = std::max(job.attempts, r.attempt);
  // Cancelled between the plan and the ledger: it does not start.
  if (job.ended()) return;
  // The gate (too_early): whatever way a start came here, it places nothing while the job waits. While the ledger is read,
  // what the job waited for may stand further on, where it was written anew; then the writer knew that it was ready, and
  // taking its word keeps what runs from being started once more.
  if (job.blocked && !reading_on(j)) return;
  for (const auto& part : r.assignments) {
    const HostIdx h = host_named(part.host);
    for (const auto& range : part.tasks)
      for (std::uint32_t t = range.first; t < range.last; ++t) place(j, t, h, part.tenure, r.attempt, r.at);
  }
}

void Book::on(const DoneRecord& r) {
  const JobIdx j = find(r.uid);
  if (!j.valid() || jobs_[j.v].tasks.empty()) return;
  mark_done(j, r.tasks, r.at);
  settle(j);
}

bool Book::reading_on(JobIdx j) const {
  if (pipelines_.has_unresolved_names(j)) return true;
  const auto& needs = pipelines_.dependencies(j);
  return std::any_of(needs.begin(), needs.end(), [&](JobIdx f) { return jobs_[f.v].partly_read; });
}

void Book::on(const OffRecord& r) {
  const JobIdx j = find(r.uid);
  if (!j.valid()) return;
  for (const auto& range : r.tasks) {
    for (std::uint32_t t = range.first; t < range.last; ++t) {
      auto it = jobs_[j.v].placed.find(t);
      if (it == jobs_[j.v].placed.end() || it->second.attempt != r.attempt) continue;
      if (r.failed_at > 0) blame_.record_failure(j, it->second.host, r.failed_at, jobs_[j.v].done > 0);
      unplace(j, t);
    }
  }
  settle(j);
}

void Book::on(const CancelRecord& r) {
  const JobIdx j = find(r.uid);
  if (!j.valid()) return;
  Job& job = jobs_[j.v];
  if (job.ended()) return;
  job.status = JobStatus::aborted;
  // Read as started before what it waited for was read: it is no longer held, and its tasks are to be stopped (found by
  // the randomised test: they were on their machines for good).
  job.blocked = false;
  if (!job.placed.empty()) enliven(j);
  for (auto& [task, p] : job.placed) {
    p.stopping = true;
    p.wind_down_s = 0;
  }
  ended(j, 0);
  settle(j);
}

void Book::on(const FlavorsRecord& r) {
  flavors_ = r.flavors;
  flavor_of_kind_.clear();
  for (std::size_t i = 0; i < flavors_.size(); ++i) {
    const KindIdx k = kinds_.intern(flavors_[i].name);
    if (flavor_of_kind_.size() <= k.v) flavor_of_kind_.resize(k.v + 1, -1);
    flavor_of_kind_[k.v] = static_cast<int>(i);
  }
}

// In a ledger read from its beginning this repeats what is known; in one whose older entries are gone it is where the
// job begins. A job with many ranges comes in several records, of which only the last one carries its end.
void Book::on(const JobRecord& r) {
  JobIdx j = find(r.accept.job.uid);
  if (!j.valid()) {
    // Left over from an earlier time that it was written anew: what came before this part is gone from the ledger, and
    // all of the job is further on.
    if (r.from > 0) return;
    j = add_job(r.accept);
    jobs_[j.v].partly_read = true;
  }
  Job& job = jobs_[j.v];
  if (!r.more) job.partly_read = false;
  if (r.suspect) blame_.restore_suspicion(j);
  job.attempts = std::max(job.attempts, r.attempts);
  if (r.ready_at > 0 && job.blocked) {
    Pipelines::Changes news;
    pipelines_.mark_eligible(j, news);
    news.eligible.push_back({j, r.ready_at});
    take(news);
  }
  if (r.ready_at > 0) job.eligible_since = r.ready_at;
  if (!r.done.empty()) mark_done(j, r.done, 0);
  for (const auto& p : r.placed) {
    const HostIdx h = host_named(p.host);
    for (const auto& range : p.tasks)
      for (std::uint32_t t = range.first; t < range.last; ++t) place(j, t, h, p.tenure, p.attempt, p.at);
  }
  if (r.status == JobStatus::aborted) on(CancelRecord{r.accept.job.uid});
  if (job.status == JobStatus::aborted)
    for (auto& [task, p] : job.placed) p.stopping = true;
  settle(j);
}

void Book::on(const EndedRecord& r) {
  for (std::uint32_t i = 0; i < r.uids.size(); ++i) {
    const auto& uid = r.uids[i];
    const bool service = std::find(r.services.begin(), r.services.end(), i) != r.services.end();
    const auto at = std::find_if(r.done_at.begin(), r.done_at.end(), [&](const auto& p) { return p.first == i; });
    const double done_at = at == r.done_at.end() ? 0 : at->second;
    JobIdx j = find(uid);
    if (!j.valid()) {
      j = JobIdx{static_cast<std::uint32_t>(jobs_.size())};
      Job& job = jobs_.emplace_back();
      job.uid = uid;
      job.status = r.status;
      job.service = service;
      by_uid_.emplace(uid, j);
      name_read(j, done_at);
      continue;
    }
    Job& job = jobs_[j.v];
    if (job.ended() && job.placed.empty() && !job.partly_read) continue;
    while (!job.placed.empty()) unplace(j, job.placed.begin()->first);
    const bool news = !job.ended();
    job.status = r.status;
    job.partly_read = false;
    job.service = job.service || service;
    if (news) ended(j, done_at);
    settle(j);
  }
}

Record Book::job_record(JobIdx j, std::uint32_t& from, std::size_t most_items) const {
  const Job& job = jobs_[j.v];
  if (job.ended() && job.placed.empty()) {
    EndedRecord r{job.status, {job.uid}};
    if (pipelines_.has_dependents(j) && pipelines_.done_at(j) > 0) r.done_at = {{0, pipelines_.done_at(j)}};
    if (job.service) r.services = {0};
    return r;
  }
  JobRecord r;
  r.from = from;
  r.accept = {job.spec, job.draw, job.accepted_at};
  r.suspect = blame_.is_suspect(j);
  if (job.eligible_since != job.accepted_at) r.ready_at = job.eligible_since;
  r.attempts = job.attempts;
  std::size_t items = 0;
  const auto add = [&](Ranges& ranges, std::uint32_t task) {
    const auto before = ranges.size();
    add_to(ranges, task);
    items += ranges.size() - before;
  };
  auto placed = job.placed.lower_bound(from);
  for (; from < job.tasks.size() && items < most_items; ++from) {
    if (job.tasks[from] == TaskState::done) {
      add(r.done, from);
    } else if (placed != job.placed.end() && placed->first == from) {
      const Placement& p = placed->second;
      const std::string& host = hosts_[p.host.v].name;
      auto same = std::find_if(r.placed.begin(), r.placed.end(), [&](const auto& q) {
        return q.host == host && q.tenure == p.tenure && q.attempt == p.attempt && q.at == p.decided_at;
      });
      if (same == r.placed.end()) {
        r.placed.push_back({host, p.tenure, p.attempt, p.decided_at, {}});
        same = std::prev(r.placed.end());
        items += 3;
      }
      add(same->tasks, from);
    }
    if (placed != job.placed.end() && placed->first == from) ++placed;
  }
  r.more = from < job.tasks.size();
  if (!r.more) r.status = job.status;
  return r;
}

}  // namespace thistle
