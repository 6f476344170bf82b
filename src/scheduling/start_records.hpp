// Turns the slots that the planner starts now into task numbers and ledger records. Called by the leader after each plan;
// it changes nothing itself: the tasks count as placed once the records are in the ledger and applied.
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
  std::set<NodeIndex> nodes;                       // of all slots
};

// Gives each slot the job's lowest pending tasks that no slot before it took. `wall`: when the starts are decided.
PlannedStarts assign_tasks(const ClusterState& cluster_state, const std::vector<Slot>& starts, double wall);

}  // namespace thistlefront
