#include "worker_control/start_fencing.hpp"

#include <algorithm>

#include "worker_control/task_lookup.hpp"

namespace thistlefront {

namespace {

// Some 80 bytes each in a report of at most 64 KiB.
constexpr std::size_t kMaxUnacknowledgedExits = 100;

// Whether the agent holds an exited attempt of the task. It refuses starts of other attempts then.
bool holds_exited_attempt(const AgentState& agent, TaskRef task) {
  const auto attempts = find_reported_attempts(agent, task);
  return std::any_of(attempts.begin(), attempts.end(), [](const ReportedTask& reported) { return reported.phase == TaskPhase::exited; });
}

bool has_start_held_back(const Node& node) {
  return std::any_of(node.placed.begin(), node.placed.end(), [&](const PlacedTask& placed) {
    const Placement& placement = *placed.placement;
    return !placement.reported && !placement.removal_pending && !placement.stopping && holds_exited_attempt(node.agent, placed);
  });
}

TokenRaise needed_token_raise(const Node& node, std::uint64_t fencing_token) {
  if (node.terminated || node.lease_expired) return TokenRaise::none;
  if (node.commands.indeterminate_token >= fencing_token) return TokenRaise::urgent;
  if (node.agent.exited_start_token < fencing_token) return TokenRaise::none;
  const bool is_urgent = node.agent.exited_tasks > kMaxUnacknowledgedExits || has_start_held_back(node);
  return is_urgent ? TokenRaise::urgent : TokenRaise::deferrable;
}

}  // namespace

bool includes_start(const std::vector<Command>& commands) {
  return std::any_of(commands.begin(), commands.end(), [](const Command& command) { return command.type == CommandType::run; });
}

void record_direct_call(ClusterState& cluster_state, NodeIndex node_index, std::uint64_t fencing_token,
                        const std::vector<Command>& commands) {
  if (!includes_start(commands)) return;
  CommandState& state = cluster_state.node(node_index).commands;
  state.in_flight_token = fencing_token;
  state.start_token = fencing_token;
  for (const Command& command : commands) {
    if (command.type != CommandType::run) continue;
    Placement* placement = cluster_state.placement({cluster_state.find(command.id.uid), command.id.task});
    if (placement && placement->attempt == command.attempt) placement->start_token = fencing_token;
  }
}

void record_direct_call_end(Node& node, std::uint64_t fencing_token, bool has_start, bool outcome_unknown) {
  node.commands.in_flight_token = 0;
  if (has_start && outcome_unknown) node.commands.indeterminate_token = std::max(node.commands.indeterminate_token, fencing_token);
}

TokenRaise needed_token_raise(const ClusterState& cluster_state, std::uint64_t fencing_token) {
  TokenRaise needed = TokenRaise::none;
  for (std::uint32_t i = 0; i < cluster_state.node_count() && needed != TokenRaise::urgent; ++i)
    needed = std::max(needed, needed_token_raise(cluster_state.node(NodeIndex{i}), fencing_token));
  return needed;
}

}  // namespace thistlefront
