// What is pending, by team and job class, for how long and for which reason, so that starvation is seen. The leader computes
// it for its metrics and status pages. Pure.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "cluster_state/cluster_state.hpp"

namespace thistlefront {

struct PendingSummary {
  std::string team, job_class;
  // What the tasks wait for.
  enum class Reason : std::uint8_t {
    capacity,       // free nodes, behind jobs that go first
    team_limit,     // the end of other work of the team
    missing_quota,  // a quota for the team, which has none
    suspected,      // the job failed wherever it ran: it is retried with one task after delays
    stopping_gang,  // the end of the remaining tasks of the gang's last attempt
  } reason = Reason::capacity;
  std::uint32_t tasks = 0;
  double unstarted_s = 0;  // for how long the oldest job has been eligible of which nothing has run yet; 0: there is none
};
// The value of the metrics' label.
const char* name_of(PendingSummary::Reason reason);

// `wall`: wall seconds. Sorted by team, class and reason.
std::vector<PendingSummary> summarize_pending(const ClusterState& cluster_state, double wall);

}  // namespace thistlefront
