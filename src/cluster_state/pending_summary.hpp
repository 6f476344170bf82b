// Summary of pending tasks by team, job class and reason, with waiting times, to make starvation visible. The leader computes it
// for its metrics and status pages. No I/O and no clock.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "cluster_state/cluster_state.hpp"

namespace thistlefront {

struct PendingSummary {
  std::string team, job_class;
  // Why the tasks are pending.
  enum class Reason : std::uint8_t {
    capacity,       // not enough free resources, or other jobs come first
    team_limit,     // the team's limit is used up by its other tasks
    missing_quota,  // the team has no quota
    suspected,      // the job failed on every node: it is retried with one task, after delays
    stopping_gang,  // tasks of the gang's last attempt are still on nodes
  } reason = Reason::capacity;
  std::uint32_t tasks = 0;
  double unstarted_s = 0;  // time since the oldest job that has never started a task became eligible; 0: there is none
};
// The reason as a value of the metrics' label.
const char* name_of(PendingSummary::Reason reason);

// `wall_s`: wall-clock seconds. The result is sorted by team, job class and reason.
std::vector<PendingSummary> summarize_pending(const ClusterState& cluster_state, double wall_s);

}  // namespace thistlefront
