// The simulated leader and its heartbeats to a follower.
#include <algorithm>

#include "safety_world.hpp"

namespace thistlefront::safety {

Simulation::Leader::Leader(Simulation& world, std::uint64_t token, bool predecessor_still_replies)
    : simulation(world),
      cluster_state(world.teams()),
      fencing_token(token),
      takeover_token(token),
      taken_over_at(world.now_),
      token_raised_at(world.now_) {
  for (const auto& r : world.ledger_) cluster_state.apply(r);
  sole_leader_since = predecessor_still_replies || world.now_ < world.deposed_replies_until_ ? -1 : world.now_;
  follower_lease = world.has_partitions_ ? PartitionLeaseGrant(max_partition_lease_s(kCancellationDeadlineS, kLeaseS), taken_over_at)
                                         : PartitionLeaseGrant();
  const ZoneIndex x = cluster_state.intern_zone("x"), y = cluster_state.intern_zone("y");
  EXPECT_TRUE(x.value == 0 && y.value == 1);
  ++world.leader_count;
}

void Simulation::Leader::append_records(std::vector<Record> records, std::function<void()> on_durable) {
  if (!records.empty())
    queued_appends.push_back({simulation.now_ + simulation.uniform(0.02, 0.8), std::move(records), std::move(on_durable)});
}

void Simulation::Leader::apply_due_records() {
  while (!queued_appends.empty() && queued_appends.front().due_at <= simulation.now_) {
    for (auto& r : queued_appends.front().records) {
      cluster_state.apply(r);
      simulation.ledger_.push_back(std::move(r));
    }
    if (queued_appends.front().on_durable) queued_appends.front().on_durable();
    queued_appends.pop_front();
  }
  for (const auto& decision : cluster_state.failure_attribution().take_decisions())
    simulation.suspected_jobs += decision.type == FailureAttribution::Decision::Type::suspected;
}

void Simulation::Leader::stop() {
  for (auto& p : queued_appends) {
    if (simulation.uniform(0, 1) < 0.5) break;
    for (auto& r : p.records) simulation.ledger_.push_back(std::move(r));
  }
}

void Simulation::Leader::suspend(double duration_s) {
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
    const Node& node = cluster_state.node(NodeIndex{i});
    const auto commands = pending_commands(cluster_state, NodeIndex{i}, {takeover_token, fencing_token});
    if (commands.empty() || node.commands.in_flight_token != 0) continue;
    simulation.schedule(simulation.now_ + duration_s,
                        [world = &simulation, name = node.name, token = fencing_token, incarnation = node.agent.incarnation, commands] {
                          world->send_commands(name, token, incarnation, commands, false);
                        });
  }
}

void Simulation::Leader::checkpoint_one_gang() {
  if (simulation.now_ > simulation.fault_free_from_ || simulation.uniform(0, 1) > 0.03) return;
  for (JobIndex j : cluster_state.live()) {
    Job& job = cluster_state.job(j);
    if (job.ended() || job.spec.checkpoint_interval_s <= 0 || job.placed.empty()) continue;
    for (auto& [task, p] : job.placed) mark_for_stop(p, job.spec.checkpoint_duration_s);
    ++simulation.gangs_checkpointed;
    return;
  }
}

void Simulation::Leader::start_tasks() {
  if (unwritten_start_records > 0) return;
  cluster_state.recount_unplaced_usage();
  std::vector<double> headroom_by_team;
  for (std::uint32_t t = 0; t < cluster_state.teams().size(); ++t)
    headroom_by_team.push_back(cluster_state.quota_accounts().headroom(TeamIndex{t}, 1e9).cores);
  std::map<std::uint32_t, double> planned_cores;
  for (JobIndex j : std::vector<JobIndex>(cluster_state.live())) {
    const Job& job = cluster_state.job(j);
    if (job.ended() || job.pending == 0 || cluster_state.failure_attribution().next_retry_at(j) > simulation.now_) continue;
    const bool suspect = cluster_state.failure_attribution().is_suspect(j);
    if ((suspect || job.spec.job_type == JobType::gang) && !job.placed.empty()) continue;
    const TasksStartedRecord started = place_pending_tasks(job, suspect, headroom_by_team[job.team.value], planned_cores);
    if (started.assignments.empty()) continue;
    ++unwritten_start_records;  // the next pass begins once all starts of this one are in the ledger
    append_records({started}, [this] { --unwritten_start_records; });
  }
}

TasksStartedRecord Simulation::Leader::place_pending_tasks(const Job& job, bool suspect, double& headroom_cores,
                                                           std::map<std::uint32_t, double>& planned_cores) {
  TasksStartedRecord started{job.uid, job.attempts + 1, simulation.now_, {}};
  const bool is_gang = job.spec.job_type == JobType::gang;
  const auto planned_before = planned_cores;
  const double headroom_before = headroom_cores;
  std::uint32_t placed = 0;
  for (std::uint32_t t = 0; t < job.tasks.size(); ++t) {
    if (job.tasks[t] != TaskState::pending || headroom_cores < 1) continue;
    if (suspect && !is_gang && placed > 0) break;
    placed += place_task(t, headroom_cores, planned_cores, started);
  }
  if (is_gang && placed < job.pending) {
    planned_cores = planned_before;
    headroom_cores = headroom_before;
    started.assignments.clear();
  }
  return started;
}

bool Simulation::Leader::place_task(std::uint32_t task, double& headroom_cores, std::map<std::uint32_t, double>& planned_cores,
                                    TasksStartedRecord& started) {
  for (std::uint32_t k = 0; k < cluster_state.node_count(); ++k) {
    const std::uint32_t i = (k + task + static_cast<std::uint32_t>(started.attempt)) % cluster_state.node_count();
    const Node& node = cluster_state.node(NodeIndex{i});
    if (!node.agent.has_reported || node.lease_expired || node.used.cores + planned_cores[i] >= kNodeCores) continue;
    if (node.agent.highest_token < takeover_token || is_unresponsive(node, simulation.now_, kHeartbeatIntervalS)) continue;
    planned_cores[i] += 1;
    headroom_cores -= 1;
    started.assignments.push_back({node.name, node.agent.incarnation, {{task, task + 1}}});
    return true;
  }
  return false;
}

void Simulation::Leader::send_pending_commands(NodeIndex node_index) {
  Node& node = cluster_state.node(node_index);
  const auto commands = pending_commands(cluster_state, node_index, {takeover_token, fencing_token});
  if (commands.empty() || node.commands.in_flight_token != 0 || simulation.now_ < next_commands_at[node_index.value]) return;
  record_direct_call(cluster_state, node_index, fencing_token, commands);
  next_commands_at[node_index.value] = simulation.now_ + 0.2;
  simulation.send_commands(node.name, fencing_token, node.agent.incarnation, commands, includes_start(commands));
}

void Simulation::Leader::raise_token_if_needed() {
  const TokenRaise needed = needed_token_raise(cluster_state, fencing_token);
  if (needed == TokenRaise::none || (needed == TokenRaise::deferrable && simulation.now_ <= token_raised_at + kLeaseS)) return;
  fencing_token = simulation.fencing_token_ += 1;
  token_raised_at = simulation.now_;
}

void Simulation::Leader::step() {
  apply_due_records();
  if (sole_leader_since < 0 && simulation.now_ >= simulation.deposed_replies_until_) sole_leader_since = simulation.now_;
  if (simulation.now_ < next_pass_at) return;
  next_pass_at = simulation.now_ + 0.3;
  const FencingState fencing_state{takeover_token,
                                   taken_over_at,
                                   sole_leader_since,
                                   {0, follower_lease.latest_possible_renewal(simulation.now_)},
                                   {0, follower_lease.latest_possible_earlier_renewal(simulation.now_)}};
  std::vector<Record> records;
  for (auto& eviction : evict_from_lost_nodes(cluster_state, fencing_state, kLeaseS, simulation.now_))
    for (auto& r : eviction.records) records.push_back(std::move(r));
  append_records(std::move(records));
  raise_token_if_needed();
  if (simulation.has_exhausted_quotas_) checkpoint_one_gang();
  resume_inherited_stops(cluster_state);
  stop_broken_gangs(cluster_state);
  start_tasks();
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) send_pending_commands(NodeIndex{i});
}

double Simulation::oldest_cancellation_age_s() const {
  double oldest_cancellation_age_s = 0;
  for (JobIndex j : leader_->cluster_state.live()) {
    const Job& job = leader_->cluster_state.job(j);
    if (job.status != JobStatus::cancelled || job.placed.empty()) continue;
    const auto it = cancellation_confirmed_at_.find(job.uid);
    oldest_cancellation_age_s = std::max(oldest_cancellation_age_s, it == cancellation_confirmed_at_.end() ? 0 : now_ - it->second);
  }
  return oldest_cancellation_age_s;
}

void Simulation::send_peer_heartbeat() {
  Leader& leader = *leader_;
  const double sent_at = now_, echoed_sent_at = leader.requested_at > 0 ? leader.acked_heartbeat_sent_at : 0,
               requested_at = leader.requested_at, cancellation_age_s = oldest_cancellation_age_s();
  if (requested_at > 0) leader.follower_lease.record_heartbeat_sent();
  const auto takeover_token = leader.takeover_token, fencing_token = leader.fencing_token;
  const bool is_delayed = uniform(0, 1) < 0.5;
  if (now_ < partitioned_until_ && !is_delayed) return;
  schedule(std::max(now_, partitioned_until_) + message_delay_s(),
           [this, takeover_token, fencing_token, requested_at, cancellation_age_s, sent_at, echoed_sent_at] {
             if (now_ < partitioned_until_ || fencing_token < follower_token_) return;
             partition_lease_.observe_leader(takeover_token);
             follower_token_ = fencing_token;
             if (requested_at > 0) partition_lease_.grant(fencing_token, requested_at, cancellation_age_s);
             const double received_at = now_, last_renewal_age_s = now_ - partition_lease_.last_renewal_at();
             schedule(now_ + message_delay_s(), [this, takeover_token, received_at, last_renewal_age_s, sent_at, echoed_sent_at] {
               if (leader_->takeover_token != takeover_token || now_ < partitioned_until_ || sent_at < leader_->acked_heartbeat_sent_at)
                 return;
               leader_->follower_lease.record_ack(echoed_sent_at, now_, last_renewal_age_s);
               leader_->requested_at = received_at;
               leader_->acked_heartbeat_sent_at = sent_at;
             });
           });
}

}  // namespace thistlefront::safety
