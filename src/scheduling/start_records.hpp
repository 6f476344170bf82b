// Assigns tasks to the slots that start now and makes their ledger records. Called by the leader after each plan. It changes
// nothing itself: the tasks count as placed once the records are in the ledger and applied.
#pragma once
#include <map>
#include <set>
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "model/identifiers.hpp"
#include "model/ledger_records.hpp"
#include "scheduling/planner.hpp"

namespace thistlefront {

struct PlannedStarts {
  std::map<JobIndex, TasksStartedRecord> records;  // one attempt number for all starts of a job
  std::set<NodeIndex> nodes;                       // the nodes of all slots
};

// Gives each slot the lowest pending tasks of its job that no earlier slot has. `decided_at`: wall seconds of the decision.
PlannedStarts assign_tasks(const ClusterState& cluster_state, const std::vector<Slot>& starts, double decided_at);

}  // namespace thistlefront
