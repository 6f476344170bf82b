// State of a plan while it is being made: free capacity of each node over time, remaining team quotas, and the slots given so
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

// Position of a node in PlanInput::nodes.
using NodePosition = std::size_t;

// Returns the count at a position; extends the vector with zeros if it is shorter.
inline std::uint32_t& count_at(std::vector<std::uint32_t>& counts, std::size_t position) {
  if (counts.size() <= position) counts.resize(position + 1, 0);
  return counts[position];
}

class PlanBuilder {
 public:
  explicit PlanBuilder(const PlanInput& input);

  // Must be called before a job is placed: discards the cached image pull times of the previous job.
  void begin_job() { std::fill(pull_seconds_.begin(), pull_seconds_.end(), kNotComputed); }
  [[nodiscard]] Plan finish() { return std::move(plan_); }

  [[nodiscard]] const PlanInput& input() const { return input_; }
  [[nodiscard]] const PlanNode& node(NodePosition position) const { return input_.nodes[position]; }
  [[nodiscard]] const CapacityProfile& profile(NodePosition position) const { return profiles_[position]; }

  // Earliest time, not before `from`, at which one unit of the job fits for `duration_s`. Counts as one examined node.
  double find_earliest_fit(const PlanJob& job, NodePosition position, double duration_s, double from) {
    ++plan_.examined_nodes;
    return profiles_[position].find_earliest_fit(job.demand, duration_s, from);
  }
  // Number of units that fit throughout [start_at, start_at + duration_s). Counts as one examined node.
  std::uint32_t count_fitting_units(const PlanJob& job, NodePosition position, double start_at, double duration_s) {
    ++plan_.examined_nodes;
    return profiles_[position].count_fitting_units(job.demand, start_at, duration_s);
  }

  // Time to fetch the current job's image to the node. Computed once for each node and job.
  double image_pull_s(const PlanJob& job, NodePosition position) {
    double& seconds = pull_seconds_[position];
    if (seconds == kNotComputed) seconds = image_pull_time(job, input_.nodes[position]);
    return seconds;
  }
  // Time for which a unit occupies its capacity, never zero: a unit with an estimate of 0 s still needs capacity.
  double run_duration_s(const PlanJob& job, NodePosition position) {
    return job.service ? kInfinity : std::max(kMinRunSeconds, image_pull_s(job, position) + job.estimated_run_s);
  }
  // Ranks nodes whose slots are equally early; lower is better.
  double placement_cost(PlanJob& job, NodePosition position);

  // Units that the team's quota lets start now. Reservations do not count against it: otherwise the long queue of one job
  // would keep the team's next job from starting.
  [[nodiscard]] std::uint32_t startable_units(const PlanJob& job) const {
    return job.team.valid() ? count_whole_units(job.demand, teams_[job.team.value].remaining) : UINT32_MAX;
  }
  // Units for which the team's quota allows a reservation.
  [[nodiscard]] std::uint32_t reservable_units(const PlanJob& job) const {
    return job.team.valid() ? count_whole_units(job.demand, teams_[job.team.value].remaining - reserved_by_team_[job.team.value])
                            : UINT32_MAX;
  }
  // Whether the pass may make no further reservations.
  [[nodiscard]] bool reservations_full() const { return plan_.reservations.size() >= input_.max_reservations; }
  [[nodiscard]] bool is_now(double time) const { return time <= input_.now; }

  // Units that the node's backfill rule admits: as many as fit into its backfill capacity; if none does, the job's units beyond it.
  [[nodiscard]] std::uint32_t backfill_units(const PlanJob& job, NodePosition position) const {
    if (!is_backfill(job, input_.nodes[position])) return UINT32_MAX;
    const std::uint32_t fitting = count_whole_units(job.demand, backfill_capacity_[position]);
    return fitting > 0 ? fitting : job.units_beyond_backfill;
  }

  // Gives units of the job a slot on the node and adds them to the job's task counts.
  void add_slot(PlanJob& job, NodePosition position, std::uint32_t units, double start_at);
  // Counts units with a slot against the team's quota.
  void charge_team(const PlanJob& job, std::uint32_t units, double start_at);
  // Records units that do not start now, unless the job is suspect: suspect jobs cause neither preemption nor scale-out.
  void add_unserved(const PlanJob& job, std::uint32_t units, std::uint32_t after_horizon) {
    if (!job.suspect) plan_.unserved.push_back({job.job, units, after_horizon});
  }

 private:
  // Whether a unit of the job would be the first on the node beyond its backfill capacity.
  [[nodiscard]] bool is_first_beyond_backfill(const PlanJob& job, NodePosition position) const;

  static constexpr double kNotComputed = -1;
  static constexpr double kMinRunSeconds = 1.0;

  const PlanInput& input_;
  std::vector<CapacityProfile> profiles_;     // by node
  std::vector<Resources> backfill_capacity_;  // by node: what is left of it
  std::vector<double> pull_seconds_;          // by node, for the job that is being placed
  std::vector<TeamHeadroom> teams_;
  std::vector<Resources> reserved_by_team_;
  Plan plan_;
};

}  // namespace thistlefront
