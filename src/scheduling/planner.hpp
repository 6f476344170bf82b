// The pass's timetable: conservative backfilling without guarantees (Zotkin, Keleher, Perkovic). Pure.
#pragma once
#include <cstdint>
#include <limits>
#include <vector>

#include "model/identifiers.hpp"
#include "model/resources.hpp"

namespace thistlefront {

inline constexpr double kForever = std::numeric_limits<double>::infinity();

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
  int tier = 0;  // higher goes first, ahead of the key
  double key = 0;
  std::vector<MachineTypeIndex> machine_types;  // empty: any
  ZoneIndex zone;                               // not valid: any
  bool single_zone = false;
  bool allows_spot = false;
  std::uint32_t max_tasks_per_zone = UINT32_MAX;  // most of its tasks in a zone
  std::vector<std::uint32_t> tasks_by_zone;       // by zone: its tasks that may be there
  std::vector<std::uint32_t> tasks_by_node;       // by position in PlanInput::hosts; empty: none
  std::vector<NodeIndex> avoided_nodes;           // hosts it failed on
  bool suspect = false;                           // fails wherever it runs: it makes no room and rents nothing
  double run_within_s = 0;                        // services: what is left of the aim for their wait; 0: none, or past
  double patience_s = 2;                          // a slot held no later than this is waited for; for later ones work is stopped
};

struct TeamHeadroom {
  Resources remaining;  // until its limit; kForever where there is none
};

struct PlanInput {
  double now = 0;
  double overrun_s = 30;               // an overrun counts as ending this long after the pass
  std::size_t max_reservations = 400;  // bound on held slots a pass, so that its time is bounded
  double horizon = kForever;           // units with no slot before it are told apart, for renting
  std::vector<PlanNode> nodes;
  std::vector<PlanJob> jobs;
  std::vector<TeamHeadroom> teams;
};

struct Slot {
  JobIndex job;
  NodeIndex node;
  std::uint32_t count = 0;
  double at = 0;
  double image_pull_s = 0;  // its image is fetched first
};

struct Plan {
  std::vector<Slot> starts;        // now
  std::vector<Slot> reservations;  // room held for later slots
  struct Unserved {                // units with no slot now, for renting
    JobIndex job;
    std::uint32_t units = 0;
    std::uint32_t late = 0;  // of them, those without a slot before the horizon
  };
  std::vector<Unserved> unserved;
  std::size_t examined_nodes = 0;  // machines looked at for a slot: what the pass costs
};

// Whether the job's tasks may run there at all, whatever room is free now.
bool may_run_on(const PlanJob& job, const PlanNode& node);
// Seconds until the job's image is there; 0 where it is cached.
double image_pull_time(const PlanJob& job, const PlanNode& node);
// The order of a pass: the tier, then the key.
bool goes_before(const PlanJob& a, const PlanJob& b);
// Whether any of these tasks, counted by zone, is in another zone.
bool elsewhere(const std::vector<std::uint32_t>& by_zone, ZoneIndex zone);
// Whether what this job takes there counts against what the host lends.
bool borrows(const PlanJob& job, const PlanNode& node);

// A host's free room over time.
class Profile {
 public:
  Profile(const PlanNode& node, double now, double overrun_s);
  // Earliest time from `from` at which one unit fits for `duration`; kForever if never.
  [[nodiscard]] double earliest(const Resources& need, double duration, double from) const;
  // How many units fit all through [at, at + duration).
  [[nodiscard]] std::uint32_t fits(const Resources& need, double at, double duration) const;
  void take(const Resources& amount, double at, double duration);

  struct Step {
    double at;
    Resources free;
  };
  [[nodiscard]] const std::vector<Step>& steps() const { return steps_; }

 private:
  std::size_t cut(double at);
  std::vector<Step> steps_;
  double until_;
};

Plan make_plan(const PlanInput& input);

// random / max(estimate, 10 s) + weight x waited; services: delay alone.
double key_of(double random_draw, double estimate_s, double weight, double waited_s, bool service);

}  // namespace thistlefront
