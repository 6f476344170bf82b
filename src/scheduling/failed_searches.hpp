// Remembers, within one pass, demands for which no node had room. With no reservation left to give, a job whose like, with
// no larger demand, found nothing free finds nothing either: room that is free now only shrinks within a pass. Without this,
// bursts of hundreds of single tasks, each searched for on each node, took most of the planning. Internal to the planner.
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
  // Whether a search for this job is certain to find nothing free now.
  [[nodiscard]] bool covers(const PlanJob& job) const;
  // Some units of the job found nothing, and not for its team's quota.
  void add(const PlanJob& job);

 private:
  // Jobs that may use the same nodes.
  struct Eligibility {
    std::vector<MachineTypeIndex> machine_types;
    ZoneIndex zone;
    bool allows_spot;
    auto operator<=>(const Eligibility&) const = default;
  };
  static Eligibility eligibility_of(const PlanJob& job) { return {job.machine_types, job.zone, job.allows_spot}; }
  // Whether nothing but its eligibility and demand decides where the job finds room.
  static bool is_comparable(const PlanJob& job);

  std::map<Eligibility, std::vector<Resources>> smallest_demands_;
};

}  // namespace thistlefront
