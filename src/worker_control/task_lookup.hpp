// Matches the tasks that an agent reports with the placements in the cluster state. Pure.
#pragma once
#include <algorithm>
#include <cstdint>
#include <functional>
#include <span>
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "model/identifiers.hpp"

namespace thistlefront {

// Whether `placement` places this attempt on this node and agent incarnation. `placement` may be null.
inline bool is_placement_of(const Placement* placement, NodeIndex node, std::uint64_t agent_incarnation, std::uint64_t attempt) {
  return placement && placement->node == node && placement->agent_incarnation == agent_incarnation && placement->attempt == attempt;
}

// Returns all attempts of the task that the agent's newest message contained.
inline std::span<const ReportedTask> find_reported_attempts(const AgentState& agent, TaskRef ref) {
  const auto attempts = std::ranges::equal_range(agent.tasks, ref, std::ranges::less{}, &ReportedTask::ref);
  return {attempts.begin(), attempts.end()};
}

// Returns the attempt as a message of the agent reported it, or null if that message did not contain it. `tasks`: of the message, sorted
// by ref.
inline const ReportedTask* find_reported_task(const std::vector<ReportedTask>& tasks, TaskRef ref, std::uint64_t attempt) {
  auto it = std::lower_bound(tasks.begin(), tasks.end(), ref,
                             [](const ReportedTask& reported, const TaskRef& wanted) { return reported.ref < wanted; });
  for (; it != tasks.end() && it->ref == ref; ++it)
    if (it->attempt == attempt) return &*it;
  return nullptr;
}

// The same for the agent's newest message.
inline const ReportedTask* find_reported_task(const AgentState& agent, TaskRef ref, std::uint64_t attempt) {
  return find_reported_task(agent.tasks, ref, attempt);
}

}  // namespace thistlefront
