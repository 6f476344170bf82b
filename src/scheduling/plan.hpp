// What a pass plans with and what it decides: nodes with their occupants, jobs that wait, and slots. Plain data, built by
// PlanInputBuilder, read by the planner and by the choice of preemption victims.
#pragma once
#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

#include "model/identifiers.hpp"
#include "model/resources.hpp"

namespace thistlefront {

inline constexpr double kForever = std::numeric_limits<double>::infinity();

// A node that may take new tasks.
struct PlanNode {
  NodeIndex node;
  MachineTypeIndex machine_type;
  ZoneIndex zone;
  bool spot = false;
  Resources capacity;  // of the whole machine
  double image_fetch_gb_per_s = 0;
  double usable_until = kForever;
  struct Occupant {
    Resources demand;
    double until = 0;
  };
  std::vector<Occupant> occupants;
  std::vector<ImageIndex> images;
  // Machines with accelerators lend room to tasks that need none: services take only what the accelerator work
  // leaves (`lent`), and on machines kept for it so do all others. docs/design.md, exceptions.
  enum class Lending { all, not_to_services, kept } lending = Lending::all;
  Resources lent;
};

// The waiting units of a job; those of an array or a service are alike, so they are planned as one run.
struct PlanJob {
  JobIndex job;
  std::uint32_t units = 0;
  bool gang = false;     // all units at once or none
  bool service = false;  // runs until cancelled
  Resources demand;
  double estimated_run_s = 0;
  double image_gb = 0;
  ImageIndex image;
  TeamIndex team;
  int tier = 0;                                 // higher goes first, ahead of the key
  double key = 0;                               // higher goes first within a tier
  std::vector<MachineTypeIndex> machine_types;  // empty: any
  ZoneIndex zone;                               // not valid: any
  bool single_zone = false;
  bool allows_spot = false;
  std::uint32_t max_tasks_per_zone = UINT32_MAX;
  std::vector<std::uint32_t> tasks_by_zone;  // its tasks that may be in each zone
  std::vector<std::uint32_t> tasks_by_node;  // by position in PlanInput::nodes; empty: none
  std::vector<NodeIndex> avoided_nodes;      // nodes on which it failed
  bool suspect = false;                      // fails wherever it runs: nothing is preempted or rented for it
  double run_within_s = 0;                   // services: what is left of the target for their wait; 0: no target, or it is past
  double patience_s = 2;                     // a slot no later than this is waited for; for later ones work is preempted
};

// What a team may still use of its quota; kForever where it has none.
struct TeamHeadroom {
  Resources remaining;
};

struct PlanInput {
  double now = 0;
  double overrun_s = 30;               // a task over its estimate counts as ending this long after the pass
  std::size_t max_reservations = 400;  // in a pass, so that its time is bounded
  double horizon = kForever;           // units without a slot before it are counted apart, for renting machines
  std::vector<PlanNode> nodes;         // in the order of their indices
  std::vector<PlanJob> jobs;
  std::vector<TeamHeadroom> teams;
};

// Room for some units of a job on one node.
struct Slot {
  JobIndex job;
  NodeIndex node;
  std::uint32_t count = 0;
  double at = 0;
  double image_pull_s = 0;  // its image is fetched first
};

struct Plan {
  std::vector<Slot> starts;        // now
  std::vector<Slot> reservations;  // later: nothing that goes after them may delay them
  struct Unserved {                // units that do not start now, for renting machines
    JobIndex job;
    std::uint32_t units = 0;
    std::uint32_t late = 0;  // of them, those without a slot before the horizon
  };
  std::vector<Unserved> unserved;
  std::size_t examined_nodes = 0;  // how often a node was searched for a slot: what the pass costs
};

}  // namespace thistlefront
