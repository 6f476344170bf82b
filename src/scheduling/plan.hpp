// Input and output of the planner: nodes with the tasks that occupy them, waiting jobs, and the slots that a pass gives out.
// Plain data, built by PlanInputBuilder and read by the planner and by the choice of preemption victims. Times are wall
// seconds.
#pragma once
#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

#include "model/identifiers.hpp"
#include "model/resources.hpp"

namespace thistlefront {

// A time that never comes, a duration without end, or the cost of something impossible.
inline constexpr double kInfinity = std::numeric_limits<double>::infinity();

// A node that may take new tasks.
struct PlanNode {
  NodeIndex node;
  MachineTypeIndex machine_type;
  ZoneIndex zone;
  bool spot = false;
  Resources capacity;  // of the whole node
  double image_fetch_gb_per_s = 0;
  double usable_until = kInfinity;
  // Tasks whose expected ends are equal after rounding.
  struct Occupant {
    Resources demand;
    double ends_at = 0;  // expected; kInfinity: it runs until it is cancelled
  };
  std::vector<Occupant> occupants;
  std::vector<ImageIndex> images;
  // Which tasks without accelerators are limited to the node's backfill capacity, the part that accelerator tasks leave
  // free: none, those of services, or all. See docs/design.md, exceptions.
  enum class BackfillRule { unrestricted, limited_for_services, reserved } backfill_rule = BackfillRule::unrestricted;
  Resources backfill_capacity;
};

// The waiting units of a job. The units of an array or a service are alike and are planned together.
struct PlanJob {
  JobIndex job;
  std::uint32_t units = 0;
  bool gang = false;     // all units start together or none
  bool service = false;  // runs until cancelled
  bool overdue = false;  // left waiting for too long (waiting_times.hpp)
  Resources demand;      // of one unit
  double estimated_run_s = 0;
  double image_gb = 0;
  ImageIndex image;
  TeamIndex team;
  int tier = 0;                                 // priority tier: a higher tier is planned first, whatever the sort keys are
  double sort_key = 0;                          // within a tier, a higher sort key is planned first
  std::vector<MachineTypeIndex> machine_types;  // empty: any
  ZoneIndex zone;                               // not valid: any
  bool single_zone = false;
  bool allows_spot = false;
  std::uint32_t max_tasks_per_zone = UINT32_MAX;
  std::vector<std::uint32_t> tasks_by_zone;  // placed tasks of the job; filled only where a rule needs the counts
  std::vector<std::uint32_t> tasks_by_node;  // placed tasks of the job by position in PlanInput::nodes; empty: none
  std::vector<NodeIndex> avoided_nodes;      // nodes on which the job failed recently
  std::uint32_t units_beyond_backfill = 0;   // units that may use capacity that nodes keep free for accelerator tasks
  bool suspect = false;                      // fails wherever it runs: causes neither preemption nor scale-out
  double remaining_start_target_s = 0;       // services: time left to meet the last start target; 0: no target, or it is missed
  double max_wait_s = 2;                     // maximum wait for a reserved slot before other work is preempted
};

// What a team may still use of its quota; very large where it has no quota.
struct TeamHeadroom {
  Resources remaining;
};

struct PlanInput {
  double now = 0;
  double overrun_s = 30;               // a task that exceeds its estimate is expected to end this long after the pass
  std::size_t max_reservations = 400;  // per pass; bounds the time of a pass
  double horizon = kInfinity;          // units without a slot before this time are counted for scale-out
  std::vector<PlanNode> nodes;         // by ascending index
  std::vector<PlanJob> jobs;
  std::vector<TeamHeadroom> teams;
};

// Capacity for some units of a job on one node from `start_at` on.
struct Slot {
  JobIndex job;
  NodeIndex node;
  std::uint32_t units = 0;
  double start_at = 0;
  double image_pull_s = 0;  // time to fetch the image before the units run
};

struct Plan {
  std::vector<Slot> starts;        // slots that start now
  std::vector<Slot> reservations;  // slots that start later; jobs planned afterwards never delay them
  // Units of a job that do not start now; input of scale-out and of preemption.
  struct Unserved {
    JobIndex job;
    std::uint32_t units = 0;
    std::uint32_t after_horizon = 0;  // those of `units` that have no slot before the horizon
  };
  std::vector<Unserved> unserved;
  std::size_t examined_nodes = 0;  // number of searches for a slot on a node, the main cost of a pass
};

}  // namespace thistlefront
