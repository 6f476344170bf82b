// The plan while it is being made: free room of each node over time, what teams may still use, and the slots given so
// far. Shared by the placement of gangs and of single units; internal to the planner. Functions called for each node and job
// are inline: a pass calls them hundreds of thousands of times.
#pragma once
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "model/resources.hpp"
#include "scheduling/capacity_profile.hpp"
#include "scheduling/placement_rules.hpp"
#include "scheduling/plan.hpp"

namespace thistlefront {

// Nodes are named by their position in PlanInput::nodes.
using NodePosition = std::size_t;

// The count at a position, which is added where it is missing.
inline std::uint32_t& count_at(std::vector<std::uint32_t>& counts, std::size_t position) {
  if (counts.size() <= position) counts.resize(position + 1, 0);
  return counts[position];
}

class PlanBuilder {
 public:
  explicit PlanBuilder(const PlanInput& input);

  // To be called before the first look at each job.
  void begin_job() { std::fill(pull_seconds_.begin(), pull_seconds_.end(), kNotComputed); }
  [[nodiscard]] Plan finish() { return std::move(plan_); }

  [[nodiscard]] const PlanInput& input() const { return input_; }
  [[nodiscard]] const PlanNode& node(NodePosition position) const { return input_.nodes[position]; }
  [[nodiscard]] const CapacityProfile& profile(NodePosition position) const { return profiles_[position]; }

  // Earliest time from `from` on at which one unit of the job fits for `duration`; counted as one examined node.
  double earliest(const PlanJob& job, NodePosition position, double duration, double from) {
    ++plan_.examined_nodes;
    return profiles_[position].earliest(job.demand, duration, from);
  }
  // How many units fit there all through [at, at + duration); counted as one examined node.
  std::uint32_t examine_fits(const PlanJob& job, NodePosition position, double at, double duration) {
    ++plan_.examined_nodes;
    return profiles_[position].fits(job.demand, at, duration);
  }

  // Seconds until the node has the image of the job that is being placed. Computed once for each node.
  double image_pull_s(const PlanJob& job, NodePosition position) {
    double& seconds = pull_seconds_[position];
    if (seconds == kNotComputed) seconds = image_pull_time(job, input_.nodes[position]);
    return seconds;
  }
  // Seconds for which a unit takes its room. An estimate of 0 s still takes room.
  double duration(const PlanJob& job, NodePosition position) {
    return job.service ? kForever : std::max(kShortestRunSeconds, image_pull_s(job, position) + job.estimated_run_s);
  }
  // Rank of a node among slots at the same time: lower is better.
  double cost(PlanJob& job, NodePosition position);

  // Units that the team's quota lets start now. What is only reserved does not count against starts: a long queue of
  // one job must not keep the team's next one from starting.
  [[nodiscard]] std::uint32_t startable(const PlanJob& job) const {
    return job.team.valid() ? whole_units(job.demand, teams_[job.team.value].remaining) : UINT32_MAX;
  }
  // Units for which the team's quota lets a later slot be reserved.
  [[nodiscard]] std::uint32_t reservable(const PlanJob& job) const {
    return job.team.valid() ? whole_units(job.demand, teams_[job.team.value].remaining - reserved_[job.team.value]) : UINT32_MAX;
  }
  [[nodiscard]] bool reservations_full() const { return plan_.reservations.size() >= input_.max_reservations; }
  [[nodiscard]] bool is_now(double at) const { return at <= input_.now; }

  // Whether one more unit fits into what the node lends; true where the job does not borrow.
  [[nodiscard]] bool lends(const PlanJob& job, NodePosition position) const {
    return !borrows(job, input_.nodes[position]) || job.demand.fits(lent_[position]);
  }
  [[nodiscard]] std::uint32_t lendable_units(const PlanJob& job, NodePosition position) const {
    return borrows(job, input_.nodes[position]) ? whole_units(job.demand, lent_[position]) : UINT32_MAX;
  }

  // Gives units of the job a slot on the node, and counts them among the job's tasks there.
  void add_slot(PlanJob& job, NodePosition position, std::uint32_t units, double at);
  // Counts units that got a slot against the team's quota.
  void charge_team(const PlanJob& job, std::uint32_t units, double at);
  // Units that do not start now; nothing is rented for suspect jobs.
  void add_unserved(const PlanJob& job, std::uint32_t units, std::uint32_t late) {
    if (!job.suspect) plan_.unserved.push_back({job.job, units, late});
  }

 private:
  static constexpr double kNotComputed = -1;
  static constexpr double kShortestRunSeconds = 1.0;

  const PlanInput& input_;
  std::vector<CapacityProfile> profiles_;
  std::vector<Resources> lent_;       // what each node still lends
  std::vector<double> pull_seconds_;  // by node, of the job that is being placed
  std::vector<TeamHeadroom> teams_;
  std::vector<Resources> reserved_;  // by team
  Plan plan_;
};

}  // namespace thistlefront
