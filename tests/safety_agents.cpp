// The simulated agents, the network between them and the leaders, and the checks of the tasks that they run.
#include <algorithm>
#include <cmath>

#include "heartbeat_builders.hpp"
#include "safety_world.hpp"

namespace thistlefront::safety {

namespace {
// "Messages may arrive minutes late" (protocol, "Delayed messages").
constexpr double kMinCopyDelayS = 1, kMaxCopyDelayS = 120;
constexpr double kCopiedCallShare = 0.5;

// Whether the agent holds another attempt of the task, in whatever state, so that it refuses to start this one.
template <class Tasks>
bool holds_other_attempt(const Tasks& tasks, const typename Tasks::key_type& key) {
  const auto first = tasks.lower_bound({std::get<0>(key), std::get<1>(key), 0});
  return first != tasks.end() && std::get<0>(first->first) == std::get<0>(key) && std::get<1>(first->first) == std::get<1>(key);
}
}  // namespace

Heartbeat Simulation::heartbeat_of(Agent& agent) {
  Heartbeat out = heartbeat_of_node(agent.name, agent.agent_incarnation, ++agent.serial, agent.fencing_token);
  out.zone = agent.zone;
  for (const auto& [key, p] : agent.tasks)
    out.tasks.push_back(task_report(std::get<0>(key), std::get<1>(key), std::get<2>(key), p.phase, p.exit_reason));
  return out;
}

void Simulation::end_tasks(Agent& agent) {
  for (auto& [key, p] : agent.tasks) {
    if (p.phase == TaskPhase::checkpointing && now_ >= p.ends_at) p = {TaskPhase::exited, ExitReason::stopped, 0};
    if (p.phase != TaskPhase::running || now_ < p.ends_at) continue;
    p.phase = TaskPhase::exited;
    p.exit_reason = is_faulty_job(std::get<0>(key)) || uniform(0, 1) < 0.1 ? ExitReason::failed : ExitReason::completed;
    if (p.exit_reason == ExitReason::completed) completed_tasks_.insert({std::get<0>(key), std::get<1>(key)});
  }
}

void Simulation::step(Agent& agent) {
  if (now_ < agent.hangs_until) return;
  if (!has_valid_lease(agent)) {
    agent.tasks.clear();
    ++agent.agent_incarnation;
    agent.last_replied_sent_at = now_;
    agent.awaited_serial = 0;
    agent.next_heartbeat_at = now_;
  }
  while (!agent.delayed_messages.empty()) {
    auto run = agent.delayed_messages.front();
    agent.delayed_messages.pop_front();
    run();
  }
  end_tasks(agent);
  if (agent.awaited_serial != 0 && now_ > agent.reply_deadline) agent.awaited_serial = 0;
  if (agent.awaited_serial == 0 && now_ >= agent.next_heartbeat_at) send_heartbeat(agent);
  check_rules(agent);
}

void Simulation::receive(const Heartbeat& heartbeat, bool is_heartbeat) {
  ClusterState& cluster_state = leader_->cluster_state;
  Node& node = cluster_state.node(cluster_state.find_or_add_node(heartbeat.node));
  const bool was_unresponsive = node.agent.unresponsive_since > 0;
  track_responsiveness(node, heartbeat, is_heartbeat, now_, kLeaseS);
  unresponsive_nodes_found += !was_unresponsive && node.agent.unresponsive_since > 0;
  auto outcome = apply_heartbeat(cluster_state, heartbeat, {now_, now_}, is_heartbeat, leader_->takeover_token);
  if (is_heartbeat) record_lease_renewal(node, outcome.stale, now_);
  leader_->append_records(std::move(outcome.records));
}

std::optional<Simulation::Reply> Simulation::reply_to(const Agent& agent, const Heartbeat& heartbeat, bool to_deposed_leader) {
  if (is_partitioned(agent) || (has_partitions_ && agent.zone == "y" && uniform(0, 1) < 0.1)) {
    if (!partition_lease_.is_active(now_) || heartbeat.fencing_token > partition_lease_.fencing_token()) return std::nullopt;
    partition_lease_.record_renewal(now_);
    ++follower_renewals;
    return Reply{partition_lease_.fencing_token(), {}};
  }
  if (to_deposed_leader) {
    if (now_ >= deposed_replies_until_ || heartbeat.fencing_token > deposed_leader_->fencing_token) return std::nullopt;
    apply_heartbeat(deposed_leader_->cluster_state, heartbeat, {now_, now_}, true, deposed_leader_->takeover_token);
    auto kills = kills_for_cancelled_jobs(deposed_leader_->cluster_state, deposed_leader_->cluster_state.find_or_add_node(heartbeat.node));
    kills_by_deposed_leaders += kills.size();
    return Reply{deposed_leader_->fencing_token, std::move(kills)};
  }
  receive(heartbeat, true);
  const NodeIndex node_index = leader_->cluster_state.find_node(heartbeat.node);
  Node& node = leader_->cluster_state.node(node_index);
  if (may_still_start_cancelled_job(leader_->cluster_state, node, now_, max_partition_lease_s(kCancellationDeadlineS, kLeaseS)))
    return std::nullopt;
  std::vector<Command> commands;
  if (node.agent.incarnation == heartbeat.agent_incarnation && node.agent.serial == heartbeat.serial)
    commands = pending_commands(leader_->cluster_state, node_index, {leader_->takeover_token, leader_->fencing_token});
  record_commands_sent(node, heartbeat.serial, commands);
  return Reply{leader_->fencing_token, std::move(commands)};
}

void Simulation::send_heartbeat(Agent& agent) {
  const Heartbeat heartbeat = heartbeat_of(agent);
  // Late duplicates reach whichever controller leads then; the agent ignores the replies to them.
  for (int copies = uniform(0, 1) < 0.1 ? 1 + static_cast<int>(random_() % 3) : 0; copies > 0; --copies)
    schedule(now_ + uniform(1, 4 * kLeaseS), [this, heartbeat] { receive(heartbeat, true); });
  const double sent_at = now_;
  agent.awaited_serial = heartbeat.serial;
  agent.reply_deadline = now_ + kReplyTimeoutS;
  agent.next_heartbeat_at = now_ + uniform(0.75, 1.25) * kHeartbeatIntervalS;
  const bool to_deposed_leader = now_ < deposed_replies_until_ && uniform(0, 1) < 0.8;
  for (int copy = uniform(0, 1) < 0.05 ? 0 : 1; copy < 2; ++copy) {
    if (is_message_dropped() || now_ < agent.sends_nothing_until) continue;
    schedule(now_ + message_delay_s(),
             [this, &agent, heartbeat, sent_at, to_deposed_leader] { deliver_heartbeat(agent, heartbeat, sent_at, to_deposed_leader); });
  }
}

void Simulation::deliver_heartbeat(Agent& agent, const Heartbeat& heartbeat, double sent_at, bool to_deposed_leader) {
  const std::optional<Reply> reply = reply_to(agent, heartbeat, to_deposed_leader);
  if (!reply) return;
  if (is_message_dropped() || now_ < agent.receives_nothing_until || (!reply->commands.empty() && is_partitioned(agent))) return;
  schedule(now_ + message_delay_s(),
           [this, &agent, agent_incarnation = heartbeat.agent_incarnation, serial = heartbeat.serial, sent_at, reply = *reply] {
             if (now_ < agent.hangs_until || agent.agent_incarnation != agent_incarnation || agent.awaited_serial != serial ||
                 reply.fencing_token < agent.fencing_token || now_ - sent_at > kReplyTimeoutS)
               return;
             agent.awaited_serial = 0;
             agent.fencing_token = reply.fencing_token;
             agent.last_replied_sent_at = std::max(agent.last_replied_sent_at, sent_at);
             execute(agent, reply.commands);
           });
}

void Simulation::execute(Agent& agent, const std::vector<Command>& commands) {
  for (const auto& command : commands) execute(agent, command);
  for (const auto& [team, cores] : used_cores_by_team())
    if (cores > highest_recent_quota(team))
      violations.push_back("quota: " + team + " uses " + std::to_string(cores) + " at " + std::to_string(now_));
}

void Simulation::execute(Agent& agent, const Command& command) {
  const auto key = std::tuple(command.id.uid, command.id.task, command.attempt);
  auto it = agent.tasks.find(key);
  if (command.type == CommandType::run && it == agent.tasks.end()) {
    check_attempt(agent, command);
    if (holds_other_attempt(agent.tasks, key)) {
      agent.tasks[key] = {TaskPhase::exited, ExitReason::duplicate_attempt, 0};
      return;
    }
    ++task_starts;
    check_start(agent, command);
    agent.tasks[key] = {TaskPhase::running, ExitReason::none, now_ + uniform(0.5, 12)};
  } else if (command.type == CommandType::kill && it != agent.tasks.end() && it->second.phase != TaskPhase::exited) {
    if (command.grace_period_s > 0 && it->second.phase == TaskPhase::running) {
      it->second = {TaskPhase::checkpointing, ExitReason::none, now_ + uniform(0.5, 1.5)};
    } else if (command.grace_period_s == 0) {
      it->second = {TaskPhase::exited, ExitReason::stopped, 0};
    }
  } else if (command.type == CommandType::acknowledge_exit && it != agent.tasks.end() && it->second.phase == TaskPhase::exited) {
    agent.tasks.erase(it);
  }
}

void Simulation::check_attempt(const Agent& agent, const Command& command) {
  if (started_attempts_.insert({command.id.uid, command.id.task, command.attempt}).second) return;
  violations.push_back("ran_again: " + command.id.uid + "/" + std::to_string(command.id.task) + " attempt " +
                       std::to_string(command.attempt) + " on " + agent.name + " at " + std::to_string(now_));
}

void Simulation::check_start(const Agent& agent, const Command& command) {
  const std::string task = command.id.uid + "/" + std::to_string(command.id.task);
  for (const auto& other : agents_)
    for (const auto& [key, p] : other.tasks)
      if (has_valid_lease(other) && std::get<0>(key) == command.id.uid && std::get<1>(key) == command.id.task &&
          p.phase != TaskPhase::exited)
        violations.push_back("ran_twice: " + task + " on " + other.name + " and " + agent.name + " at " + std::to_string(now_));
}

void Simulation::check_rules(Agent& agent) {
  for (const auto& [key, p] : agent.tasks) {
    auto it = cancellation_confirmed_at_.find(std::get<0>(key));
    if (it != cancellation_confirmed_at_.end() && p.phase != TaskPhase::exited && now_ > it->second + kCancellationDeadlineS)
      violations.push_back("ran_cancelled: " + std::get<0>(key) + " at " + std::to_string(now_));
  }
  for (const auto& [uid, tasks] : accepted_task_counts_) {
    const JobIndex j = leader_->cluster_state.find(uid);
    if (!j.valid()) {
      violations.push_back("forgotten: " + uid);
      continue;
    }
    const auto status = leader_->cluster_state.job(j).status;
    if (cancellation_confirmed_at_.contains(uid) && status != JobStatus::cancelled) violations.push_back("went_back: " + uid);
    if (status != JobStatus::done) continue;
    for (std::uint32_t t = 0; t < tasks; ++t)
      if (!completed_tasks_.contains({uid, t})) violations.push_back("not_done: " + uid + "/" + std::to_string(t));
  }
}

bool Simulation::execute_call(Agent& agent, std::uint64_t fencing_token, std::uint64_t agent_incarnation,
                              const std::vector<Command>& commands) {
  if (fencing_token < agent.fencing_token || agent_incarnation != agent.agent_incarnation) return false;
  agent.fencing_token = fencing_token;
  execute(agent, commands);
  return true;
}

void Simulation::schedule_command_copies(Agent& agent, std::uint64_t fencing_token, std::uint64_t agent_incarnation,
                                         const std::vector<Command>& commands) {
  if (now_ >= fault_free_from_ || std::uniform_real_distribution<double>(0, 1)(copy_random_) >= kCopiedCallShare) return;
  const auto deliver = [this, &agent, fencing_token, agent_incarnation, commands] {
    accepted_command_copies += execute_call(agent, fencing_token, agent_incarnation, commands);
  };
  // As many within the first seconds as within the last minute.
  std::uniform_real_distribution<double> delay_exponent(std::log(kMinCopyDelayS), std::log(kMaxCopyDelayS));
  for (auto copies = 1 + copy_random_() % 2; copies > 0; --copies) {
    ++command_copies;
    schedule(now_ + std::exp(delay_exponent(copy_random_)), [this, &agent, deliver] {
      if (now_ < agent.hangs_until) {
        agent.delayed_messages.push_back(deliver);
      } else {
        deliver();
      }
    });
  }
}

void Simulation::send_commands(const std::string& name, std::uint64_t fencing_token, std::uint64_t agent_incarnation,
                               const std::vector<Command>& commands, bool includes_start) {
  Agent& agent = *std::find_if(agents_.begin(), agents_.end(), [&](Agent& x) { return x.name == name; });
  const auto takeover_token = leader_->takeover_token;
  auto is_resolved = std::make_shared<bool>(false);
  const auto deliver = [this, &agent, fencing_token, agent_incarnation, commands, takeover_token, is_resolved, includes_start] {
    if (execute_call(agent, fencing_token, agent_incarnation, commands))
      schedule_command_copies(agent, fencing_token, agent_incarnation, commands);
    const Heartbeat heartbeat = heartbeat_of(agent);
    if (is_message_dropped() || now_ < agent.sends_nothing_until || is_partitioned(agent)) return;
    schedule(now_ + message_delay_s(), [this, heartbeat, takeover_token, is_resolved, fencing_token, includes_start] {
      if (leader_->takeover_token != takeover_token || *is_resolved) return;
      *is_resolved = true;
      Node& node = leader_->cluster_state.node(leader_->cluster_state.find_or_add_node(heartbeat.node));
      record_direct_call_end(node, fencing_token, includes_start, false);
      receive(heartbeat, false);
    });
  };
  schedule(now_ + 1.5, [this, name, takeover_token, is_resolved, includes_start, fencing_token] {
    if (leader_->takeover_token != takeover_token || *is_resolved) return;
    *is_resolved = true;
    Node& node = leader_->cluster_state.node(leader_->cluster_state.find_node(name));
    record_direct_call_end(node, fencing_token, includes_start, true);
  });
  const double receives_nothing_until = std::max(agent.receives_nothing_until, agent.zone == "y" ? partitioned_until_ : 0);
  if (now_ < receives_nothing_until && uniform(0, 1) < 0.5) return;  // lost; otherwise delayed
  schedule(std::max(now_, receives_nothing_until) + message_delay_s(), [this, &agent, deliver] {
    if (now_ < agent.hangs_until) {
      agent.delayed_messages.push_back(deliver);
    } else {
      deliver();
    }
  });
}

}  // namespace thistlefront::safety
