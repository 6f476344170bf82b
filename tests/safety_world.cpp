// The course of a simulated world: its steps, its faults, and the check that resources do not stay idle.
#include "safety_world.hpp"

#include <algorithm>
#include <set>

namespace thistlefront::safety {

namespace {

// Faults of a scenario with exhausted quotas: until when they occur; the longest is over a minute later.
constexpr double kExhaustedFaultsUntil = 170, kLongestFault = 60;
// Without faults at the end of the other scenarios.
constexpr double kFaultFreeEnd = 120;
constexpr double kPeerHeartbeat = 0.5;
// Seconds without faults after which everything that was late has arrived.
constexpr double kSettled = 30;
constexpr int kExhaustedJobs = 54, kJobs = 12;
// Less than a lease: within this time, resources that are known to be free are used again.
constexpr double kReusedWithin = 5;
// A second fault follows within one of these times.
constexpr double kSecondWithin = 4, kAtOnce = 0.3;

}  // namespace

Simulation::Simulation(std::uint64_t seed, Scenario scenario)
    : random_(seed),
      partitions_(scenario == Scenario::partitions),
      several_teams_(scenario == Scenario::changing_quotas || scenario == Scenario::exhausted_quotas),
      exhausted_(scenario == Scenario::exhausted_quotas) {
  for (const auto& [team, limit] : kTeams) quotas_[team] = {{0, limit}};
  if (scenario == Scenario::changing_quotas)
    for (double t = 20; t < 150; t += 30) schedule(t, [this] { change_quotas(); });
  if (exhausted_)
    for (double t = 15; t < 140; t += uniform(5, 9)) schedule(t, [this, t] { cancel_at_quota(t + 6); });
  for (int i = 0; i < 5; ++i) {
    agents_.emplace_back().name = "m-" + std::to_string(i);
    agents_.back().zone = i < 3 ? "x" : "y";
  }
  leader_ = std::make_unique<Leader>(*this, ++fencing_token_, false);
  for (int i = 0; i < (exhausted_ ? kExhaustedJobs : kJobs); ++i) schedule(uniform(0, exhausted_ ? 100 : 60), [this, i] { submit(i); });
}

void Simulation::play(double until) {
  next_partition_ = partitions_ ? uniform(10, 30) : until;
  next_failover_ = uniform(8, 25);
  next_hang_ = uniform(5, 20);
  next_one_way_partition_ = uniform(5, 25);
  if (exhausted_) fault_free_from_ = kExhaustedFaultsUntil + kLongestFault;
  // In the last part nothing fails any more, so that all jobs that were accepted can end.
  const double last_fault_at = exhausted_ ? kExhaustedFaultsUntil : until - kFaultFreeEnd;
  for (now_ = 0; now_ < until; now_ += kStep) {
    while (!events_.empty() && events_.top().at <= now_) {
      auto run = events_.top().run;
      events_.pop();
      run();
    }
    for (auto& agent : agents_) step(agent);
    leader_->step();
    if (partitions_ && now_ >= next_peer_heartbeat_) {
      next_peer_heartbeat_ = now_ + kPeerHeartbeat;
      peer_heartbeat();
    }
    if (exhausted_ && now_ > fault_free_from_ + kSettled) check_for_idle_resources();
    if (now_ <= last_fault_at) inject_random_faults();
  }
}

void Simulation::inject_random_faults() {
  if (now_ > next_failover_) {
    next_failover_ = now_ + uniform(8, 30);
    inject_fault(uniform(0, 1) < 0.5 ? Fault::leader_suspended : uniform(0, 1) < 0.5 ? Fault::deposed_leader_answers : Fault::leader_stops);
  }
  if (now_ > next_partition_) {
    partitioned_until_ = now_ + uniform(2, 30);
    next_partition_ = partitioned_until_ + uniform(5, 30);
  }
  if (now_ > next_one_way_partition_) {
    next_one_way_partition_ = now_ + uniform(2, 10);
    inject_fault(random_() % 2 ? Fault::node_sends_nothing : Fault::node_receives_nothing);
  }
  if (now_ > next_hang_) {
    next_hang_ = now_ + uniform(5, 25);
    inject_fault(Fault::node_hangs);
  }
}

bool Simulation::all_ended() const {
  return !submitted_.empty() && not_ended().empty();
}

std::string Simulation::not_ended() const {
  std::string out;
  for (const auto& [uid, tasks] : submitted_) {
    const JobIndex j = leader_->cluster_state.find(uid);
    if (!j.valid()) out += " " + uid + " unknown";
    if (j.valid() && !leader_->cluster_state.job(j).ended()) out += " " + uid + " " + std::to_string(leader_->cluster_state.job(j).pending);
  }
  return out;
}

void Simulation::cancel_at_quota(double until) {
  for (const auto& [team, limit] : kTeams) {
    if (limit == 0 || leader_->cluster_state.quota_accounts().headroom(leader_->cluster_state.quota_accounts().find(team), 1e9).cores < 1)
      continue;
    if (now_ < until) schedule(now_ + kStep, [this, until] { cancel_at_quota(until); });
    return;
  }
  std::vector<std::pair<std::string, Agent*>> held;
  for (auto& agent : agents_)
    for (const auto& [key, p] : agent.tasks)
      if (has_valid_lease(agent) && p.phase == TaskPhase::running && submitted_.contains(std::get<0>(key)))
        held.emplace_back(std::get<0>(key), &agent);
  if (held.empty()) return;
  const auto [uid, worker] = held[random_() % held.size()];
  const double gone = now_ + uniform(3, 20);
  switch (random_() % 4) {
    case 0: worker->hangs_until = gone; break;
    case 1: worker->receives_nothing_until = gone; break;
    case 2: worker->sends_nothing_until = gone; break;
    default: worker->receives_nothing_until = worker->sends_nothing_until = gone;
  }
  cancel(uid);
  const bool twice = random_() % 2 == 0;
  const auto a_leader = [this] {
    inject_fault(random_() % 3 == 0 ? Fault::leader_suspended : random_() % 2 ? Fault::deposed_leader_answers : Fault::leader_stops, false);
  };
  schedule(now_ + uniform(0, 2), a_leader);
  if (twice) schedule(now_ + uniform(2, 6), a_leader);
  ++cancelled_at_quota;
  cancelled_with_two_failovers += twice;
}

void Simulation::check_for_stale_placements(const Job& job) {
  const ClusterState& cluster_state = leader_->cluster_state;
  for (const auto& [task, p] : job.placed) {
    const std::string& name = cluster_state.node(p.node).name;
    const Agent& agent = *std::find_if(agents_.begin(), agents_.end(), [&](const Agent& x) { return x.name == name; });
    const auto it = agent.tasks.find({job.uid, task, p.attempt});
    const bool runs = it != agent.tasks.end() && it->second.phase != TaskPhase::exited;
    must_not_last(!runs, "kept: " + job.uid + "/" + std::to_string(task) + " attempt " + std::to_string(p.attempt));
  }
}

bool Simulation::has_free_node() const {
  const ClusterState& cluster_state = leader_->cluster_state;
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
    const Node& node = cluster_state.node(NodeIndex{i});
    if (!node.lease_expired && node.used.cores + 1 <= kNodeCores && node.agent.highest_token >= leader_->takeover_token &&
        !is_unresponsive(node, now_, kHeartbeat))
      return true;
  }
  return false;
}

void Simulation::check_for_idle_resources() {
  ClusterState& cluster_state = leader_->cluster_state;
  std::set<TeamIndex> waits;
  for (JobIndex j : cluster_state.live()) {
    const Job& job = cluster_state.job(j);
    if (!job.ended() && job.pending > 0 && job.spec.job_type == JobType::array && !cluster_state.failure_attribution().is_suspect(j))
      waits.insert(job.team);
    check_for_stale_placements(job);
  }
  const bool room = has_free_node();
  for (std::uint32_t t = 0; t < cluster_state.teams().size(); ++t) {
    const bool idle = waits.contains(TeamIndex{t}) && room && cluster_state.quota_accounts().headroom(TeamIndex{t}, 1e9).cores >= 1;
    must_not_last(idle, "idle: " + cluster_state.teams()[t].name);
    idle_checks += waits.contains(TeamIndex{t}) && !idle;
  }
}

void Simulation::must_not_last(bool is, const std::string& what) {
  if (!is) {
    lasts_since_.erase(what);
  } else if (now_ - lasts_since_.try_emplace(what, now_).first->second > kReusedWithin) {
    violations.push_back(what + " at " + std::to_string(now_));
    lasts_since_[what] = now_;
  }
}

void Simulation::inject_fault(Fault fault, bool may_be_followed) {
  auto& agent = agents_[random_() % agents_.size()];
  switch (fault) {
    case Fault::leader_suspended:
    case Fault::deposed_leader_answers:
    case Fault::leader_stops: replace_leader(fault); break;
    case Fault::node_hangs: agent.hangs_until = now_ + uniform(1, 20); break;
    case Fault::node_receives_nothing: agent.receives_nothing_until = now_ + uniform(1, random_() % 4 == 0 ? 60 : 20); break;
    case Fault::node_sends_nothing: agent.sends_nothing_until = now_ + uniform(1, random_() % 4 == 0 ? 60 : 20); break;
    case Fault::count: break;
  }
  if (!may_be_followed || uniform(0, 1) < 0.5) return;
  const auto second = static_cast<Fault>(random_() % kFaultKinds);
  ++fault_pairs[static_cast<std::size_t>(fault)][static_cast<std::size_t>(second)];
  schedule(now_ + uniform(0, random_() % 2 ? kSecondWithin : kAtOnce), [this, second] { inject_fault(second, false); });
}

void Simulation::replace_leader(Fault fault) {
  if (fault == Fault::leader_suspended) leader_->suspend(uniform(1.5, 20));
  leader_->end();
  // Refused by the key-value store alone: it decides nothing more and answers heartbeats, with the kills that it knows of, until it
  // learns of its successor, which confirms no cancellation before.
  const bool still_answers = !partitions_ && fault == Fault::deposed_leader_answers;
  auto next = std::make_unique<Leader>(*this, fencing_token_ += 1, still_answers);
  if (still_answers) {
    deposed_until_ = std::max(deposed_until_, now_ + uniform(0, 25));
    deposed_ = std::move(leader_);
  }
  leader_ = std::move(next);
}

}  // namespace thistlefront::safety
