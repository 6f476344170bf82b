// What waits, by team and class, for how long, and what it waits for: so that nobody starves unseen. Pure.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "cluster_state/cluster_state.hpp"

namespace thistlefront {

struct PendingSummary {
  std::string team, job_class;
  enum class Reason : std::uint8_t {
    capacity,       // on machines, behind what goes before
    team_limit,     // the team's own work to end
    missing_quota,  // a team that nobody has told terms of
    suspected,      // it failed wherever it ran, and tries with one task after pauses
    stopping_gang,  // the rest of its gang to be off its machines
  } reason = Reason::capacity;
  std::uint32_t tasks = 0;
  double unstarted_s = 0;  // since the oldest job of which nothing has run yet was accepted; 0: there is none
};
const char* name_of(PendingSummary::Reason what);

// `wall`: seconds. In the order of teams, classes and reasons.
std::vector<PendingSummary> summarize_pending(const ClusterState& cluster_state, double wall);

}  // namespace thistlefront
