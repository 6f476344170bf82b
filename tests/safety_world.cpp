// The simulation's main loop, its faults, and the check that free resources do not stay idle.
#include "safety_world.hpp"

#include <algorithm>
#include <set>

namespace thistlefront::safety {

namespace {

// In the scenario with exhausted quotas: time of the last new fault, and duration of the longest fault.
constexpr double kQuotaScenarioLastFaultAtS = 170, kLongestFaultS = 60;
// Seconds without faults at the end of the other scenarios.
constexpr double kFaultFreeEndS = 120;
constexpr double kPeerHeartbeatIntervalS = 0.5;
constexpr double kLongTermFactor = 5;  // how much longer leaders lead in the scenario with long terms
// Seconds without faults after which all delayed messages have arrived.
constexpr double kSettleTimeS = 30;
constexpr int kQuotaScenarioJobs = 54, kJobs = 12;
// Less than a lease: time within which free resources must be reused and ended tasks must be known to have ended.
constexpr double kMaxPersistenceS = 5;
// A second fault follows within one of these times, chosen at random.
constexpr double kSecondFaultWithinS = 4, kSimultaneousFaultWithinS = 0.3;

}  // namespace

Simulation::Simulation(std::uint64_t seed, Scenario scenario)
    : random_(seed),
      copy_random_(seed),
      has_partitions_(scenario == Scenario::partitions),
      has_several_teams_(scenario == Scenario::changing_quotas || scenario == Scenario::exhausted_quotas),
      has_exhausted_quotas_(scenario == Scenario::exhausted_quotas),
      failover_interval_factor_(scenario == Scenario::long_terms ? kLongTermFactor : 1) {
  for (const auto& [team, limit] : kInitialQuotaCores) quota_history_[team] = {{0, limit}};
  if (scenario == Scenario::changing_quotas)
    for (double t = 20; t < 150; t += 30) schedule(t, [this] { change_quotas(); });
  if (has_exhausted_quotas_)
    for (double t = 15; t < 140; t += uniform(5, 9)) schedule(t, [this, t] { cancel_job_at_quota(t + 6); });
  for (int i = 0; i < 5; ++i) {
    agents_.emplace_back().name = "m-" + std::to_string(i);
    agents_.back().zone = i < 3 ? "x" : "y";
  }
  leader_ = std::make_unique<Leader>(*this, ++fencing_token_, false);
  for (int i = 0; i < (has_exhausted_quotas_ ? kQuotaScenarioJobs : kJobs); ++i)
    schedule(uniform(0, has_exhausted_quotas_ ? 100 : 60), [this, i] { submit(i); });
}

void Simulation::run_until(double end_time) {
  next_partition_at_ = has_partitions_ ? uniform(10, 30) : end_time;
  next_failover_at_ = uniform(8, 25);
  next_hang_at_ = uniform(5, 20);
  next_one_way_partition_at_ = uniform(5, 25);
  if (has_exhausted_quotas_) fault_free_from_ = kQuotaScenarioLastFaultAtS + kLongestFaultS;
  // The last part is free of faults, so that all accepted jobs can end.
  const double last_fault_at = has_exhausted_quotas_ ? kQuotaScenarioLastFaultAtS : end_time - kFaultFreeEndS;
  for (now_ = 0; now_ < end_time; now_ += kTimeStepS) {
    while (!events_.empty() && events_.top().due_at <= now_) {
      auto run = events_.top().run;
      events_.pop();
      run();
    }
    for (auto& agent : agents_) step(agent);
    leader_->step();
    if (has_partitions_ && now_ >= next_peer_heartbeat_at_) {
      next_peer_heartbeat_at_ = now_ + kPeerHeartbeatIntervalS;
      send_peer_heartbeat();
    }
    if (has_exhausted_quotas_ && now_ > fault_free_from_ + kSettleTimeS) check_for_idle_resources();
    if (now_ <= last_fault_at) inject_random_faults();
  }
}

void Simulation::inject_random_faults() {
  if (now_ > next_failover_at_) {
    next_failover_at_ = now_ + failover_interval_factor_ * uniform(8, 30);
    inject_fault(uniform(0, 1) < 0.5 ? Fault::leader_suspended : uniform(0, 1) < 0.5 ? Fault::deposed_leader_replies : Fault::leader_stops);
  }
  if (now_ > next_partition_at_) {
    partitioned_until_ = now_ + uniform(2, 30);
    next_partition_at_ = partitioned_until_ + uniform(5, 30);
  }
  if (now_ > next_one_way_partition_at_) {
    next_one_way_partition_at_ = now_ + uniform(2, 10);
    inject_fault(random_() % 2 ? Fault::node_sends_nothing : Fault::node_receives_nothing);
  }
  if (now_ > next_hang_at_) {
    next_hang_at_ = now_ + uniform(5, 25);
    inject_fault(Fault::node_hangs);
  }
}

bool Simulation::all_jobs_ended() const {
  return !accepted_task_counts_.empty() && unfinished_jobs().empty();
}

std::string Simulation::unfinished_jobs() const {
  std::string out;
  for (const auto& [uid, tasks] : accepted_task_counts_) {
    const JobIndex j = leader_->cluster_state.find(uid);
    if (!j.valid()) out += " " + uid + " unknown";
    if (j.valid() && !leader_->cluster_state.job(j).ended()) out += " " + uid + " " + std::to_string(leader_->cluster_state.job(j).pending);
  }
  return out;
}

void Simulation::cancel_job_at_quota(double retry_until) {
  for (const auto& [team, limit] : kInitialQuotaCores) {
    if (limit == 0 || leader_->cluster_state.quota_accounts().headroom(leader_->cluster_state.quota_accounts().find(team), 1e9).cores < 1)
      continue;
    if (now_ < retry_until) schedule(now_ + kTimeStepS, [this, retry_until] { cancel_job_at_quota(retry_until); });
    return;
  }
  std::vector<std::pair<std::string, Agent*>> running_tasks;
  for (auto& agent : agents_)
    for (const auto& [key, p] : agent.tasks)
      if (has_valid_lease(agent) && p.phase == TaskPhase::running && accepted_task_counts_.contains(std::get<0>(key)))
        running_tasks.emplace_back(std::get<0>(key), &agent);
  if (running_tasks.empty()) return;
  const auto [uid, agent] = running_tasks[random_() % running_tasks.size()];
  const double fails_until = now_ + uniform(3, 20);
  switch (random_() % 4) {
    case 0: agent->hangs_until = fails_until; break;
    case 1: agent->receives_nothing_until = fails_until; break;
    case 2: agent->sends_nothing_until = fails_until; break;
    default: agent->receives_nothing_until = agent->sends_nothing_until = fails_until;
  }
  cancel(uid);
  const bool has_second_failure = random_() % 2 == 0;
  const auto fail_leader = [this] {
    inject_fault(random_() % 3 == 0 ? Fault::leader_suspended : random_() % 2 ? Fault::deposed_leader_replies : Fault::leader_stops, false);
  };
  schedule(now_ + uniform(0, 2), fail_leader);
  if (has_second_failure) schedule(now_ + uniform(2, 6), fail_leader);
  ++cancellations_at_quota;
  cancellations_with_two_failovers += has_second_failure;
}

void Simulation::check_for_stale_placements(const Job& job) {
  const ClusterState& cluster_state = leader_->cluster_state;
  for (const auto& [task, p] : job.placed) {
    const std::string& name = cluster_state.node(p.node).name;
    const Agent& agent = *std::find_if(agents_.begin(), agents_.end(), [&](const Agent& x) { return x.name == name; });
    const auto it = agent.tasks.find({job.uid, task, p.attempt});
    const bool is_running = it != agent.tasks.end() && it->second.phase != TaskPhase::exited;
    must_not_persist(!is_running, "stale_placement: " + job.uid + "/" + std::to_string(task) + " attempt " + std::to_string(p.attempt));
  }
}

bool Simulation::has_free_node() const {
  const ClusterState& cluster_state = leader_->cluster_state;
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
    const Node& node = cluster_state.node(NodeIndex{i});
    if (!node.lease_expired && node.used.cores + 1 <= kNodeCores && node.agent.highest_token >= leader_->takeover_token &&
        !is_unresponsive(node, now_, kHeartbeatIntervalS))
      return true;
  }
  return false;
}

void Simulation::check_for_idle_resources() {
  ClusterState& cluster_state = leader_->cluster_state;
  std::set<TeamIndex> teams_with_pending_tasks;
  for (JobIndex j : cluster_state.live()) {
    const Job& job = cluster_state.job(j);
    if (!job.ended() && job.pending > 0 && job.spec.job_type == JobType::array && !cluster_state.failure_attribution().is_suspect(j))
      teams_with_pending_tasks.insert(job.team);
    check_for_stale_placements(job);
  }
  const bool has_room = has_free_node();
  for (std::uint32_t t = 0; t < cluster_state.teams().size(); ++t) {
    const bool is_idle = teams_with_pending_tasks.contains(TeamIndex{t}) && has_room &&
                         cluster_state.quota_accounts().headroom(TeamIndex{t}, 1e9).cores >= 1;
    must_not_persist(is_idle, "idle_resources: " + cluster_state.teams()[t].name);
    idle_checks += teams_with_pending_tasks.contains(TeamIndex{t}) && !is_idle;
  }
}

void Simulation::must_not_persist(bool holds, const std::string& condition) {
  if (!holds) {
    condition_since_.erase(condition);
  } else if (now_ - condition_since_.try_emplace(condition, now_).first->second > kMaxPersistenceS) {
    violations.push_back(condition + " at " + std::to_string(now_));
    condition_since_[condition] = now_;
  }
}

void Simulation::inject_fault(Fault fault, bool may_be_followed) {
  auto& agent = agents_[random_() % agents_.size()];
  switch (fault) {
    case Fault::leader_suspended:
    case Fault::deposed_leader_replies:
    case Fault::leader_stops: replace_leader(fault); break;
    case Fault::node_hangs: agent.hangs_until = now_ + uniform(1, 20); break;
    case Fault::node_receives_nothing: agent.receives_nothing_until = now_ + uniform(1, random_() % 4 == 0 ? 60 : 20); break;
    case Fault::node_sends_nothing: agent.sends_nothing_until = now_ + uniform(1, random_() % 4 == 0 ? 60 : 20); break;
    case Fault::count: break;
  }
  if (!may_be_followed || uniform(0, 1) < 0.5) return;
  const auto second = static_cast<Fault>(random_() % kFaultCount);
  ++fault_pair_counts[static_cast<std::size_t>(fault)][static_cast<std::size_t>(second)];
  schedule(now_ + uniform(0, random_() % 2 ? kSecondFaultWithinS : kSimultaneousFaultWithinS),
           [this, second] { inject_fault(second, false); });
}

void Simulation::replace_leader(Fault fault) {
  if (fault == Fault::leader_suspended) leader_->suspend(uniform(1.5, 20));
  leader_->stop();
  // A deposed leader that only the key-value store refuses makes no more decisions. It still replies to heartbeats, with the kills that
  // it knows of, until it learns of its successor. The successor confirms no cancellation before that.
  const bool still_replies = !has_partitions_ && fault == Fault::deposed_leader_replies;
  auto successor = std::make_unique<Leader>(*this, fencing_token_ += 1, still_replies);
  if (still_replies) {
    deposed_replies_until_ = std::max(deposed_replies_until_, now_ + uniform(0, 25));
    deposed_leader_ = std::move(leader_);
  }
  leader_ = std::move(successor);
}

}  // namespace thistlefront::safety
