#include "cluster_state/cluster_state.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace thistlefront {

std::uint32_t Job::running() const {
  std::uint32_t n = 0;
  for (const auto& [task, p] : placed)
    if (p.reported && (p.phase == TaskPhase::running || p.phase == TaskPhase::checkpointing)) ++n;
  return n;
}

ClusterState::ClusterState(const std::vector<Team>& teams, std::size_t record_bytes)
    : record_bytes_(record_bytes), quota_accounts_(teams) {}

std::vector<Resources> ClusterState::recount() const {
  std::vector<Resources> out(quota_accounts_.teams().size());
  for (const Job& job : jobs_)
    for (std::size_t i = 0; i < job.placed.size(); ++i) out[job.team.value] += job.spec.demand;
  return out;
}

double ClusterState::next_acceptance_time(double wall, double skew_s) const {
  constexpr double apart = 1e-6, slack = 1;
  const double after = latest_accepted_ + apart;
  return after > wall && after < wall + 2 * skew_s + slack ? after : wall;
}

std::vector<std::string> ClusterState::correct_accounts() {
  constexpr double slack = 1e-3;  // sums of decimals drift
  std::vector<std::string> out;
  const auto counted = recount();
  for (std::uint32_t t = 0; t < counted.size(); ++t) {
    const Team& team = quota_accounts_.team(TeamIndex{t});
    const auto differs = [](double a, double b) { return std::abs(a - b) > slack; };
    if (differs(team.used.cores, counted[t].cores) || differs(team.used.accelerators, counted[t].accelerators)) out.push_back(team.name);
    quota_accounts_.raise_usage(TeamIndex{t}, counted[t]);
  }
  return out;
}

void ClusterState::recount_unplaced() {
  quota_accounts_.clear_unplaced();
  for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
    const Node& node = nodes_[i];
    if (node.lease_expired || node.terminated || node.agent.tasks.empty()) continue;
    const auto held =
        std::count_if(node.agent.tasks.begin(), node.agent.tasks.end(), [](const ReportedTask& s) { return s.phase != TaskPhase::exited; });
    // Not what it held in an earlier session, or what is on its way to be known as off: beside these, what it holds now would not count.
    const auto seen = std::count_if(node.placed.begin(), node.placed.end(), [&](const PlacedTask& p) {
      return p.placement->reported && !p.placement->end_pending && p.placement->agent_incarnation == node.agent.incarnation &&
             p.placement->phase != TaskPhase::exited;
    });
    // Mostly all that it holds is placed there.
    if (held <= seen) continue;
    for (const auto& s : node.agent.tasks) {
      if (s.phase == TaskPhase::exited || !s.ref.job.valid()) continue;
      const Placement* at = placement(s.ref);
      const Job& job = jobs_[s.ref.job.value];
      if (at && at->node == NodeIndex{i} && at->attempt == s.attempt) continue;
      // Placed elsewhere, it is counted there. An ended job's needs are not known any more.
      if (!at && !job.tasks.empty()) quota_accounts_.add_unplaced(job.team, job.spec.demand);
    }
  }
}

JobIndex ClusterState::find(std::string_view uid) const {
  auto it = by_uid_.find(uid);
  return it == by_uid_.end() ? JobIndex{} : it->second;
}

NodeIndex ClusterState::find_node(const std::string& name) const {
  auto it = nodes_by_name_.find(name);
  return it == nodes_by_name_.end() ? NodeIndex{} : it->second;
}

NodeIndex ClusterState::find_or_add_node(const std::string& name) {
  auto [it, fresh] = nodes_by_name_.try_emplace(name, NodeIndex{static_cast<std::uint32_t>(nodes_.size())});
  if (fresh) {
    nodes_.emplace_back();
    nodes_.back().name = name;
  }
  return it->second;
}

void ClusterState::describe_node(NodeIndex h, const std::string& address, const std::string& kind, const std::string& zone, bool spot) {
  Node& node = nodes_[h.value];
  if (!address.empty()) node.address = address;
  node.machine_type = machine_type_names_.intern(kind);
  node.zone = zones_.intern(zone);
  node.spot = spot;
}

const MachineType* ClusterState::machine_type(MachineTypeIndex k) const {
  if (!k.valid() || k.value >= machine_type_positions_.size() || machine_type_positions_[k.value] < 0) return nullptr;
  return &machine_types_[static_cast<std::size_t>(machine_type_positions_[k.value])];
}

void ClusterState::record_image_use(Node& node, ImageIndex image, double gb) {
  auto it = std::find_if(node.cached_images.begin(), node.cached_images.end(), [&](auto& i) { return i.first == image; });
  if (it != node.cached_images.end()) node.cached_images.erase(it);
  node.cached_images.emplace_back(image, gb);
  const MachineType* f = machine_type(node.machine_type);
  if (!f) return;
  double sum = 0;
  for (const auto& i : node.cached_images) sum += i.second;
  while (node.cached_images.size() > 1 && sum > f->image_cache_gb) {
    sum -= node.cached_images.front().second;
    node.cached_images.erase(node.cached_images.begin());
  }
}

Placement* ClusterState::placement(TaskRef ref) {
  if (!ref.job.valid()) return nullptr;
  auto& placed = jobs_[ref.job.value].placed;
  auto it = placed.find(ref.task);
  return it == placed.end() ? nullptr : &it->second;
}

bool ClusterState::allows(const Job& job, const Node& node) const {
  if (!node.machine_type.valid()) return false;
  if (node.spot && !job.spec.allows_spot) return false;
  if (job.zone.valid() && node.zone != job.zone) return false;
  return job.machine_types.empty() ||
         std::find(job.machine_types.begin(), job.machine_types.end(), node.machine_type) != job.machine_types.end();
}

std::optional<std::string> ClusterState::rejection_reason(const JobSpec& s) const {
  const TeamIndex team = quota_accounts_.find(s.owner);
  if (!team.valid() || !quota_accounts_.accepts_jobs(team)) return "owner: unknown team";
  bool fits = false;
  for (const auto& f : machine_types_) {
    const bool named =
        s.machine_types.empty() || std::find(s.machine_types.begin(), s.machine_types.end(), f.name) != s.machine_types.end();
    const bool there = s.zone.empty() || f.zones.empty() || std::find(f.zones.begin(), f.zones.end(), s.zone) != f.zones.end();
    if (named && there && s.demand.fits(f.capacity)) fits = true;
  }
  if (!fits) return "hostKinds: a task fits no allowed machine type";
  const Resources all = s.demand * (s.job_type == JobType::array ? 1.0 : s.task_count);
  const Resources& limit = quota_accounts_.team(team).limit;
  if (limit.cores > 0 && all.cores > limit.cores + 1e-6) return "cores: more than the team's limit";
  if (limit.accelerators > 0 && all.accelerators > limit.accelerators + 1e-6) return "accelerators: more than the team's limit";
  return std::nullopt;
}

Resources ClusterState::largest_accelerator_demand(MachineTypeIndex k, bool spot) const {
  Resources most;
  for (MachineTypeIndex key : {k, MachineTypeIndex{}}) {
    auto it = accelerator_demands_.find({key, spot});
    if (it == accelerator_demands_.end()) continue;
    most.cores = std::max(most.cores, it->second.cores);
    most.accelerators = std::max(most.accelerators, it->second.accelerators);
    most.ram_gb = std::max(most.ram_gb, it->second.ram_gb);
  }
  return most;
}

JobIndex ClusterState::add_job(const JobAcceptedRecord& r) {
  JobIndex j{static_cast<std::uint32_t>(jobs_.size())};
  auto& job = jobs_.emplace_back();
  job.uid = r.job.uid;
  job.spec = r.job;
  job.team = quota_accounts_.find_or_add(r.job.owner);
  job.job_class = classes_.intern(r.job.job_class);
  size_ranking_.record(job.job_class, size_of(r.job));
  job.image = images_.intern(r.job.image);
  if (!r.job.zone.empty()) job.zone = zones_.intern(r.job.zone);
  for (const auto& k : r.job.machine_types) job.machine_types.push_back(machine_type_names_.intern(k));
  job.random_draw = r.random_draw;
  job.accepted_at = job.eligible_since = r.at;
  job.service = r.job.job_type == JobType::service;
  latest_accepted_ = std::max(latest_accepted_, r.at);
  job.tasks.assign(r.job.task_count, TaskState::pending);
  job.pending = r.job.task_count;
  if (job.spec.demand.accelerators > 0) {
    const auto note = [&](MachineTypeIndex k) {
      for (const bool spot : {false, true}) {
        if (spot && !job.spec.allows_spot) continue;
        auto& most = accelerator_demands_[{k, spot}];
        most.cores = std::max(most.cores, job.spec.demand.cores);
        most.accelerators = std::max(most.accelerators, job.spec.demand.accelerators);
        most.ram_gb = std::max(most.ram_gb, job.spec.demand.ram_gb);
      }
    };
    for (auto k : job.machine_types) note(k);
    if (job.machine_types.empty()) note(MachineTypeIndex{});
  }
  by_uid_.emplace(job.uid, j);
  job.urgency = own_urgency(job);
  if (job.spec.depends_on.empty()) {
    activate(j);
  } else {
    register_dependencies(j);
  }
  resolve_dependency(j);
  return j;
}

Urgency ClusterState::own_urgency(const Job& job) {
  Urgency u{job.spec.priority, Urgency{}.deadline_at};
  if (job.spec.deadline_s) u.deadline_at = job.accepted_at + *job.spec.deadline_s;
  return u;
}

void ClusterState::activate(JobIndex j) {
  Job& job = jobs_[j.value];
  if (job.live_position != UINT32_MAX) return;
  job.live_position = static_cast<std::uint32_t>(live_.size());
  live_.push_back(j);
}

DependencyGraph::DependencyStatus ClusterState::named(JobIndex j) const {
  using State = DependencyGraph::DependencyStatus::State;
  if (!j.valid()) return {};
  const Job& job = jobs_[j.value];
  const auto state = job.status == JobStatus::done ? State::done : job.status == JobStatus::cancelled ? State::cancelled : State::pending;
  return {state, j, 0};
}

void ClusterState::register_dependencies(JobIndex j) {
  Job& job = jobs_[j.value];
  job.blocked = true;
  std::vector<DependencyGraph::DependencyStatus> as_named;
  for (const auto& name : job.spec.depends_on) as_named.push_back(named(find(name)));
  DependencyGraph::Changes news;
  dependency_graph_.add(j, job.urgency, job.spec.estimated_run_s, job.accepted_at, job.spec.depends_on, as_named, news);
  take(news);
}

void ClusterState::resolve_dependency(JobIndex j, double done_at) {
  auto as_named = named(j);
  as_named.at = done_at;
  DependencyGraph::Changes news;
  dependency_graph_.resolve_name(jobs_[j.value].uid, as_named, news);
  take(news);
}

void ClusterState::take(const DependencyGraph::Changes& news) {
  for (const auto& r : news.eligible) {
    Job& job = jobs_[r.job.value];
    // With all that it waited for done, nothing of it can be cancelled through another any more.
    job.blocked = false;
    job.eligible_since = r.since;
    job.spec.depends_on.clear();
    job.spec.depends_on.shrink_to_fit();
    if (!job.ended()) activate(r.job);
  }
  for (JobIndex j : news.urgency_changed)
    if (Job& job = jobs_[j.value]; !job.ended()) job.urgency = more_urgent(own_urgency(job), dependency_graph_.required_urgency(j));
  for (JobIndex j : news.cancelled) {
    Job& job = jobs_[j.value];
    // Nothing of it ran, for what it waited for was not done.
    if (!job.ended()) job.status = JobStatus::cancelled;
    settle(j);
  }
}

void ClusterState::ended(JobIndex j, double at) {
  DependencyGraph::Changes news;
  if (jobs_[j.value].status == JobStatus::done) {
    dependency_graph_.mark_done(j, at, news);
  } else {
    dependency_graph_.mark_cancelled(j, news);
  }
  take(news);
}

std::optional<std::string> ClusterState::dependency_rejection_reason(const JobSpec& s) const {
  for (const auto& name : s.depends_on) {
    const JobIndex j = find(name);
    if (name == s.uid) return "waitsOn: the job itself";
    if (!j.valid()) return "waitsOn: " + name + " was never accepted";
    if (jobs_[j.value].service) return "waitsOn: " + name + " is a service";
  }
  return std::nullopt;
}

std::optional<std::string> ClusterState::dependencies_without_older_format() const {
  if (dependency_graph_.counts().blocked > 0) return std::to_string(dependency_graph_.counts().blocked) + " jobs that wait for others";
  return std::nullopt;
}

void ClusterState::place(JobIndex j, std::uint32_t task, NodeIndex h, std::uint64_t agent_incarnation, std::uint64_t attempt, double at) {
  Job& job = jobs_[j.value];
  if (task >= job.tasks.size() || job.tasks[task] != TaskState::pending) return;
  job.tasks[task] = TaskState::placed;
  --job.pending;
  Placement p;
  p.node = h;
  p.agent_incarnation = agent_incarnation;
  p.attempt = attempt;
  p.decided_at = at;
  Placement& placement = job.placed.emplace(task, p).first->second;
  Node& node = nodes_[h.value];
  node.placed.push_back({{j, task}, &placement});
  node.used += job.spec.demand;
  record_image_use(node, job.image, job.spec.image_gb);
  quota_accounts_.charge(job.team, job.spec.demand);
}

void ClusterState::unplace(JobIndex j, std::uint32_t task) {
  Job& job = jobs_[j.value];
  auto it = job.placed.find(task);
  if (it == job.placed.end()) return;
  Node& node = nodes_[it->second.node.value];
  auto at = std::find_if(node.placed.begin(), node.placed.end(), [&](const PlacedTask& q) { return q.placement == &it->second; });
  if (at != node.placed.end()) {
    *at = node.placed.back();
    node.placed.pop_back();
  }
  node.used -= job.spec.demand;
  if (node.placed.empty()) node.used = {};
  quota_accounts_.refund(job.team, job.spec.demand);
  job.placed.erase(it);
  if (job.tasks[task] == TaskState::placed) {
    job.tasks[task] = TaskState::pending;
    ++job.pending;
  }
}

void ClusterState::mark_done(JobIndex j, const TaskRanges& ranges, double at) {
  Job& job = jobs_[j.value];
  for (const auto& range : ranges) {
    for (std::uint32_t t = range.first; t < range.last && t < job.tasks.size(); ++t) {
      if (const auto it = job.placed.find(t); it != job.placed.end()) failure_attribution_.record_success(j, it->second.node);
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

void ClusterState::settle(JobIndex j) {
  Job& job = jobs_[j.value];
  if (!job.ended() || !job.placed.empty() || job.partially_replayed) return;
  if (const auto at = std::exchange(job.live_position, UINT32_MAX); at != UINT32_MAX) {
    live_[at] = live_.back();
    jobs_[live_[at].value].live_position = at == live_.size() - 1 ? UINT32_MAX : at;
    live_.pop_back();
  }
  job.blocked = false;
  // An ended job needs only its name and how it ended.
  failure_attribution_.forget_job(j, job.done > 0);
  job.spec = {};
  job.tasks = {};
  job.machine_types = {};
}

void ClusterState::apply(const Record& record) {
  std::visit([this](const auto& r) { on(r); }, record);
}

void ClusterState::on(const JobAcceptedRecord& r) {
  if (!find(r.job.uid).valid()) add_job(r);
}

void ClusterState::on(const TasksStartedRecord& r) {
  const JobIndex j = find(r.uid);
  if (!j.valid()) return;
  Job& job = jobs_[j.value];
  job.attempts = std::max(job.attempts, r.attempt);
  // Cancelled between the plan and the ledger: it does not start.
  if (job.ended()) return;
  // The gate (too_early): whatever way a start came here, it places nothing while the job waits. While the ledger is read,
  // what the job waited for may stand further on, where it was written anew; then the writer knew that it was ready, and
  // taking its word keeps what runs from being started once more.
  if (job.blocked && !is_replay_incomplete(j)) return;
  for (const auto& part : r.assignments) {
    const NodeIndex h = find_or_add_node(part.node);
    for (const auto& range : part.tasks)
      for (std::uint32_t t = range.first; t < range.last; ++t) place(j, t, h, part.agent_incarnation, r.attempt, r.at);
  }
}

void ClusterState::on(const TasksCompletedRecord& r) {
  const JobIndex j = find(r.uid);
  if (!j.valid() || jobs_[j.value].tasks.empty()) return;
  mark_done(j, r.tasks, r.at);
  settle(j);
}

bool ClusterState::is_replay_incomplete(JobIndex j) const {
  if (dependency_graph_.has_unresolved_names(j)) return true;
  const auto& needs = dependency_graph_.dependencies(j);
  return std::any_of(needs.begin(), needs.end(), [&](JobIndex f) { return jobs_[f.value].partially_replayed; });
}

void ClusterState::on(const TasksRemovedRecord& r) {
  const JobIndex j = find(r.uid);
  if (!j.valid()) return;
  for (const auto& range : r.tasks) {
    for (std::uint32_t t = range.first; t < range.last; ++t) {
      auto it = jobs_[j.value].placed.find(t);
      if (it == jobs_[j.value].placed.end() || it->second.attempt != r.attempt) continue;
      if (r.failed_at > 0) failure_attribution_.record_failure(j, it->second.node, r.failed_at, jobs_[j.value].done > 0);
      unplace(j, t);
    }
  }
  settle(j);
}

void ClusterState::on(const JobCancelledRecord& r) {
  const JobIndex j = find(r.uid);
  if (!j.valid()) return;
  Job& job = jobs_[j.value];
  if (job.ended()) return;
  job.status = JobStatus::cancelled;
  // Read as started before what it waited for was read: it is no longer held, and its tasks are to be stopped (found by
  // the randomised test: they were on their machines for good).
  job.blocked = false;
  if (!job.placed.empty()) activate(j);
  for (auto& [task, p] : job.placed) {
    p.stopping = true;
    p.grace_period_s = 0;
  }
  ended(j, 0);
  settle(j);
}

void ClusterState::on(const MachineTypesRecord& r) {
  machine_types_ = r.machine_types;
  machine_type_positions_.clear();
  for (std::size_t i = 0; i < machine_types_.size(); ++i) {
    const MachineTypeIndex k = machine_type_names_.intern(machine_types_[i].name);
    if (machine_type_positions_.size() <= k.value) machine_type_positions_.resize(k.value + 1, -1);
    machine_type_positions_[k.value] = static_cast<int>(i);
  }
}

// In a ledger read from its beginning this repeats what is known; in one whose older entries are gone it is where the
// job begins. A job with many ranges comes in several records, of which only the last one carries its end.
void ClusterState::on(const JobSnapshotRecord& r) {
  JobIndex j = find(r.accept.job.uid);
  if (!j.valid()) {
    // Left over from an earlier time that it was written anew: what came before this part is gone from the ledger, and
    // all of the job is further on.
    if (r.from > 0) return;
    j = add_job(r.accept);
    jobs_[j.value].partially_replayed = true;
  }
  Job& job = jobs_[j.value];
  if (!r.more) job.partially_replayed = false;
  if (r.suspect) failure_attribution_.restore_suspicion(j);
  job.attempts = std::max(job.attempts, r.attempts);
  if (r.ready_at > 0 && job.blocked) {
    DependencyGraph::Changes news;
    dependency_graph_.mark_eligible(j, news);
    news.eligible.push_back({j, r.ready_at});
    take(news);
  }
  if (r.ready_at > 0) job.eligible_since = r.ready_at;
  if (!r.done.empty()) mark_done(j, r.done, 0);
  for (const auto& p : r.placed) {
    const NodeIndex h = find_or_add_node(p.node);
    for (const auto& range : p.tasks)
      for (std::uint32_t t = range.first; t < range.last; ++t) place(j, t, h, p.agent_incarnation, p.attempt, p.at);
  }
  if (r.status == JobStatus::cancelled) on(JobCancelledRecord{r.accept.job.uid});
  if (job.status == JobStatus::cancelled)
    for (auto& [task, p] : job.placed) p.stopping = true;
  settle(j);
}

void ClusterState::on(const JobsEndedRecord& r) {
  for (std::uint32_t i = 0; i < r.uids.size(); ++i) {
    const auto& uid = r.uids[i];
    const bool service = std::find(r.services.begin(), r.services.end(), i) != r.services.end();
    const auto at = std::find_if(r.done_at.begin(), r.done_at.end(), [&](const auto& p) { return p.first == i; });
    const double done_at = at == r.done_at.end() ? 0 : at->second;
    JobIndex j = find(uid);
    if (!j.valid()) {
      j = JobIndex{static_cast<std::uint32_t>(jobs_.size())};
      Job& job = jobs_.emplace_back();
      job.uid = uid;
      job.status = r.status;
      job.service = service;
      by_uid_.emplace(uid, j);
      resolve_dependency(j, done_at);
      continue;
    }
    Job& job = jobs_[j.value];
    if (job.ended() && job.placed.empty() && !job.partially_replayed) continue;
    while (!job.placed.empty()) unplace(j, job.placed.begin()->first);
    const bool news = !job.ended();
    job.status = r.status;
    job.partially_replayed = false;
    job.service = job.service || service;
    if (news) ended(j, done_at);
    settle(j);
  }
}

Record ClusterState::snapshot_record(JobIndex j, std::uint32_t& from, std::size_t most_items) const {
  const Job& job = jobs_[j.value];
  if (job.ended() && job.placed.empty()) {
    JobsEndedRecord r{job.status, {job.uid}};
    if (dependency_graph_.has_dependents(j) && dependency_graph_.done_at(j) > 0) r.done_at = {{0, dependency_graph_.done_at(j)}};
    if (job.service) r.services = {0};
    return r;
  }
  JobSnapshotRecord r;
  r.from = from;
  r.accept = {job.spec, job.random_draw, job.accepted_at};
  r.suspect = failure_attribution_.is_suspect(j);
  if (job.eligible_since != job.accepted_at) r.ready_at = job.eligible_since;
  r.attempts = job.attempts;
  std::size_t items = 0;
  const auto add = [&](TaskRanges& ranges, std::uint32_t task) {
    const auto before = ranges.size();
    append_task(ranges, task);
    items += ranges.size() - before;
  };
  auto placed = job.placed.lower_bound(from);
  for (; from < job.tasks.size() && items < most_items; ++from) {
    if (job.tasks[from] == TaskState::done) {
      add(r.done, from);
    } else if (placed != job.placed.end() && placed->first == from) {
      const Placement& p = placed->second;
      const std::string& node = nodes_[p.node.value].name;
      auto same = std::find_if(r.placed.begin(), r.placed.end(), [&](const auto& q) {
        return q.node == node && q.agent_incarnation == p.agent_incarnation && q.attempt == p.attempt && q.at == p.decided_at;
      });
      if (same == r.placed.end()) {
        r.placed.push_back({node, p.agent_incarnation, p.attempt, p.decided_at, {}});
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

}  // namespace thistlefront
