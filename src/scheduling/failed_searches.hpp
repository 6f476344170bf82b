// Remembers, within one pass, the demands for which no node had free capacity. Once all reservations are given out, a job that
// may use the same nodes and needs at least as much cannot start either, because free capacity only shrinks within a pass.
// Without this, bursts of hundreds of single tasks, each searched for on each node, took most of the planning time. Internal to
// the planner.
#pragma once
#include <compare>
#include <map>
#include <vector>

#include "model/identifiers.hpp"
#include "model/resources.hpp"
#include "scheduling/plan.hpp"

namespace thistlefront {

class FailedSearches {
 public:
  // Whether a search for this job is certain to find no capacity that is free now.
  [[nodiscard]] bool covers(const PlanJob& job) const;
  // Records that some units of the job found no capacity. Not to be called if the team's quota was the reason.
  void add(const PlanJob& job);

 private:
  // The constraints that decide which nodes a job may use.
  struct Eligibility {
    std::vector<MachineTypeIndex> machine_types;
    ZoneIndex zone;
    bool allows_spot, may_exceed_backfill;
    auto operator<=>(const Eligibility&) const = default;
  };
  static Eligibility eligibility_of(const PlanJob& job) {
    return {job.machine_types, job.zone, job.allows_spot, job.units_beyond_backfill > 0};
  }
  // Whether the job's eligibility and demand alone decide where it fits.
  static bool is_comparable(const PlanJob& job);

  std::map<Eligibility, std::vector<Resources>> smallest_demands_;
};

}  // namespace thistlefront
