// The leader of the simulated world, and its exchange with a follower.
#include <algorithm>

#include "safety_world.hpp"

namespace thistlefront::safety {

Simulation::Leader::Leader(Simulation& in, std::uint64_t token, bool earlier_answers)
    : simulation(in), cluster_state(in.teams()), fencing_token(token), takeover_token(token), taken_at(in.now_) {
  for (const auto& r : in.ledger_) cluster_state.apply(r);
  acked_at = earlier_answers || in.now_ < in.deposed_until_ ? -1 : in.now_;
  follower_lease = in.partitions_ ? PartitionLeaseGrant(max_partition_lease_s(kCancel, kLease), taken_at) : PartitionLeaseGrant();
  const ZoneIndex x = cluster_state.intern_zone("x"), y = cluster_state.intern_zone("y");
  EXPECT_TRUE(x.value == 0 && y.value == 1);
  ++in.leaders;
}

void Simulation::Leader::record(std::vector<Record> records, std::function<void()> durable) {
  if (!records.empty()) pending.push_back({simulation.now_ + simulation.uniform(0.02, 0.8), std::move(records), std::move(durable)});
}

void Simulation::Leader::commit() {
  while (!pending.empty() && pending.front().at <= simulation.now_) {
    for (auto& r : pending.front().records) {
      cluster_state.apply(r);
      simulation.ledger_.push_back(std::move(r));
    }
    if (pending.front().durable) pending.front().durable();
    pending.pop_front();
  }
  for (const auto& verdict : cluster_state.failure_attribution().take_decisions())
    simulation.suspected += verdict.type == FailureAttribution::Decision::Type::suspected;
}

void Simulation::Leader::end() {
  for (auto& p : pending) {
    if (simulation.uniform(0, 1) < 0.5) break;
    for (auto& r : p.records) simulation.ledger_.push_back(std::move(r));
  }
}

void Simulation::Leader::suspend(double for_s) {
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
    const Node& node = cluster_state.node(NodeIndex{i});
    const auto commands = pending_commands(cluster_state, NodeIndex{i}, takeover_token);
    if (commands.empty() || node.commands.in_flight_token != 0) continue;
    simulation.schedule(simulation.now_ + for_s,
                        [in = &simulation, name = node.name, token = fencing_token, incarnation = node.agent.incarnation, commands] {
                          in->send_commands(name, token, incarnation, commands, false);
                        });
  }
}

void Simulation::Leader::checkpoint_a_gang() {
  if (simulation.now_ > simulation.fault_free_from_ || simulation.uniform(0, 1) > 0.03) return;
  for (JobIndex j : cluster_state.live()) {
    Job& job = cluster_state.job(j);
    if (job.ended() || job.spec.checkpoint_interval_s <= 0 || job.placed.empty()) continue;
    for (auto& [task, p] : job.placed) mark_for_stop(p, job.spec.checkpoint_duration_s);
    ++simulation.gangs_checkpointed;
    return;
  }
}

void Simulation::Leader::start() {
  if (starting > 0) return;
  cluster_state.recount_unplaced_usage();
  std::vector<double> rooms;
  for (std::uint32_t t = 0; t < cluster_state.teams().size(); ++t)
    rooms.push_back(cluster_state.quota_accounts().headroom(TeamIndex{t}, 1e9).cores);
  std::map<std::uint32_t, double> taken;
  for (JobIndex j : std::vector<JobIndex>(cluster_state.live())) {
    const Job& job = cluster_state.job(j);
    if (job.ended() || job.pending == 0 || cluster_state.failure_attribution().next_retry_at(j) > simulation.now_) continue;
    const bool suspect = cluster_state.failure_attribution().is_suspect(j);
    if ((suspect || job.spec.job_type == JobType::gang) && !job.placed.empty()) continue;
    const TasksStartedRecord started = place(job, suspect, rooms[job.team.value], taken);
    if (started.assignments.empty()) continue;
    ++starting;  // no other pass before all of this one's starts are in the ledger
    record({started}, [this] { --starting; });
  }
}

TasksStartedRecord Simulation::Leader::place(const Job& job, bool suspect, double& room, std::map<std::uint32_t, double>& taken) {
  TasksStartedRecord started{job.uid, job.attempts + 1, simulation.now_, {}};
  const bool is_gang = job.spec.job_type == JobType::gang;
  const auto taken_before = taken;
  const double room_before = room;
  std::uint32_t placed = 0;
  for (std::uint32_t t = 0; t < job.tasks.size(); ++t) {
    if (job.tasks[t] != TaskState::pending || room < 1) continue;
    if (suspect && !is_gang && placed > 0) break;
    placed += place_task(t, room, taken, started);
  }
  if (is_gang && placed < job.pending) {
    taken = taken_before;
    room = room_before;
    started.assignments.clear();
  }
  return started;
}

bool Simulation::Leader::place_task(std::uint32_t task, double& room, std::map<std::uint32_t, double>& taken, TasksStartedRecord& started) {
  for (std::uint32_t k = 0; k < cluster_state.node_count(); ++k) {
    const std::uint32_t i = (k + task + static_cast<std::uint32_t>(started.attempt)) % cluster_state.node_count();
    const Node& node = cluster_state.node(NodeIndex{i});
    if (!node.agent.has_reported || node.lease_expired || node.used.cores + taken[i] >= kNodeCores) continue;
    if (node.agent.highest_token < takeover_token || is_unresponsive(node, simulation.now_, kHeartbeat)) continue;
    taken[i] += 1;
    room -= 1;
    started.assignments.push_back({node.name, node.agent.incarnation, {{task, task + 1}}});
    return true;
  }
  return false;
}

void Simulation::Leader::command(NodeIndex h) {
  Node& node = cluster_state.node(h);
  const auto commands = pending_commands(cluster_state, h, takeover_token);
  if (commands.empty() || node.commands.in_flight_token != 0 || simulation.now_ < not_before[h.value]) return;
  bool starts = false;
  for (const auto& command : commands) starts = starts || command.type == CommandType::run;
  if (starts) node.commands.in_flight_token = fencing_token;
  not_before[h.value] = simulation.now_ + 0.2;
  simulation.send_commands(node.name, fencing_token, node.agent.incarnation, commands, starts);
}

void Simulation::Leader::step() {
  commit();
  if (acked_at < 0 && simulation.now_ >= simulation.deposed_until_) acked_at = simulation.now_;
  if (simulation.now_ < next_pass) return;
  next_pass = simulation.now_ + 0.3;
  const FencingState fencing_state{takeover_token,
                                   taken_at,
                                   acked_at,
                                   {0, follower_lease.latest_possible_renewal(simulation.now_)},
                                   {0, follower_lease.latest_possible_earlier_renewal(simulation.now_)}};
  std::vector<Record> records;
  bool doubt = false;
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
    Node& node = cluster_state.node(NodeIndex{i});
    doubt = doubt || (!node.lease_expired && node.commands.indeterminate_token >= fencing_token);
    if (node.lease_expired || !is_lease_expired(node, fencing_state, kLease, simulation.now_)) continue;
    node.lease_expired = true;
    for (auto& r : evict_all_tasks(cluster_state, NodeIndex{i})) records.push_back(std::move(r));
  }
  record(std::move(records));
  if (doubt) fencing_token = simulation.fencing_token_ += 1;
  if (simulation.exhausted_) checkpoint_a_gang();
  resume_inherited_stops(cluster_state);
  stop_broken_gangs(cluster_state);
  start();
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) command(NodeIndex{i});
}

double Simulation::oldest_cancellation_s() const {
  double oldest_cancellation_s = 0;
  for (JobIndex j : leader_->cluster_state.live()) {
    const Job& job = leader_->cluster_state.job(j);
    if (job.status != JobStatus::cancelled || job.placed.empty()) continue;
    const auto it = cancelled_.find(job.uid);
    oldest_cancellation_s = std::max(oldest_cancellation_s, it == cancelled_.end() ? 0 : now_ - it->second);
  }
  return oldest_cancellation_s;
}

void Simulation::peer_heartbeat() {
  Leader& l = *leader_;
  const double sent = now_, echoed_sent_at = l.mark > 0 ? l.marked_sent_at : 0, mark = l.mark,
               oldest_cancellation = oldest_cancellation_s();
  if (mark > 0) l.follower_lease.record_heartbeat_sent();
  const auto term = l.takeover_token, fencing_token = l.fencing_token;
  const bool held = uniform(0, 1) < 0.5;
  if (now_ < partitioned_until_ && !held) return;
  schedule(std::max(now_, partitioned_until_) + delay(), [this, term, fencing_token, mark, oldest_cancellation, sent, echoed_sent_at] {
    if (now_ < partitioned_until_ || fencing_token < follower_token_) return;
    partition_lease_.observe_leader(term);
    follower_token_ = fencing_token;
    if (mark > 0) partition_lease_.grant(fencing_token, mark, oldest_cancellation);
    const double asked = now_, last_renewal_age = now_ - partition_lease_.last_renewal_at();
    schedule(now_ + delay(), [this, term, asked, last_renewal_age, sent, echoed_sent_at] {
      if (leader_->takeover_token != term || now_ < partitioned_until_ || sent < leader_->marked_sent_at) return;
      leader_->follower_lease.record_ack(echoed_sent_at, now_, last_renewal_age);
      leader_->mark = asked;
      leader_->marked_sent_at = sent;
    });
  });
}

}  // namespace thistlefront::safety
