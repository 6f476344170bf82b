// Plans a large cluster of about 400 nodes and thousands of waiting tasks. Checks the plan against the nodes' capacity and the
// order of the jobs, and the number of nodes examined to make it.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

#include "model/identifiers.hpp"
#include "model/resources.hpp"
#include "scheduling/capacity_profile.hpp"
#include "scheduling/planner.hpp"

namespace thistlefront {
namespace {

PlanInput make_cluster(unsigned seed, std::size_t nodes, std::size_t jobs) {
  std::mt19937 random(seed);
  const auto random_below = [&](std::uint32_t n) { return static_cast<std::uint32_t>(random() % n); };
  PlanInput in;
  in.now = 1000;
  in.horizon = 1030;
  for (std::uint32_t i = 0; i < nodes; ++i) {
    PlanNode node;
    node.node = NodeIndex{i};
    node.machine_type = MachineTypeIndex{i % 3};
    node.zone = ZoneIndex{random_below(2)};
    node.spot = random_below(3) == 0;
    node.capacity = i % 3 == 0 ? Resources{8, 0, 32} : i % 3 == 1 ? Resources{32, 0, 128} : Resources{64, 8, 384};
    node.image_fetch_gb_per_s = 0.2;
    Resources free = node.capacity;
    while (random_below(25) != 0) {
      const Resources demand{1.0 + random_below(4), 0, 2.0 + random_below(8)};
      if (!demand.fits(free)) break;
      free -= demand;
      // Some tasks are past their expected end, some run until they are cancelled.
      node.occupants.push_back({demand, random_below(8) == 0 ? kInfinity : 990.0 + random_below(80)});
    }
    for (std::uint32_t image = 0; image < 12; ++image)
      if (random_below(4) == 0) node.images.push_back(ImageIndex{image});
    in.nodes.push_back(node);
  }
  for (std::uint32_t i = 0; i < jobs; ++i) {
    PlanJob job;
    job.job = JobIndex{i};
    const auto job_type = random_below(4);
    job.gang = job_type == 0;
    job.service = job_type == 1;
    job.units = job.gang ? 1 + random_below(8) : job.service ? 2 + random_below(14) : 20 + random_below(300);
    job.demand = job.gang ? Resources{57, 8, 310} : Resources{1.0 + random_below(3), 0, 2};
    job.estimated_run_s = 10 + random_below(100);
    job.image_gb = 0.5 + random_below(4);
    job.image = ImageIndex{random_below(12)};
    job.team = TeamIndex{random_below(2)};
    job.tier = static_cast<int>(random_below(3));
    job.sort_key = random_below(1000) / 1000.0;
    job.single_zone = job.gang;
    job.allows_spot = job_type > 1;
    if (job.service) job.max_tasks_per_zone = (job.units + 1) / 2;
    in.jobs.push_back(job);
  }
  in.teams.assign(2, TeamHeadroom{{9000, 300, 1e9}});
  return in;
}

// Checks that slots and occupants together fit into each node, at every time at which one of them starts.
void expect_capacity_respected(const PlanInput& in, const Plan& plan) {
  struct Use {
    double from, until;
    Resources demand;
  };
  std::map<NodeIndex, std::vector<Use>> uses;
  for (const auto& node : in.nodes)
    for (const auto& occupant : node.occupants)
      uses[node.node].push_back({in.now, occupant.ends_at <= in.now ? in.now + in.overrun_s : occupant.ends_at, occupant.demand});
  for (const auto* slots : {&plan.starts, &plan.reservations}) {
    for (const auto& slot : *slots) {
      const PlanJob& job = in.jobs[slot.job.value];
      const double duration_s = job.service ? kInfinity : slot.image_pull_s + job.estimated_run_s;
      uses[slot.node].push_back({slot.start_at, slot.start_at + duration_s, job.demand * slot.units});
    }
  }
  for (const auto& [node, node_uses] : uses) {
    for (const auto& start : node_uses) {
      Resources sum;
      for (const auto& use : node_uses)
        if (use.from <= start.from && start.from < use.until) sum += use.demand;
      ASSERT_TRUE(sum.fits(in.nodes[node.value].capacity)) << "node " << node.value << " at " << start.from;
    }
  }
}

TEST(PlannerScale, NeverOvercommitsNodesAndKeepsTheRulesOfJobs) {
  std::size_t reservations = 0;
  for (unsigned seed = 1; seed <= 5; ++seed) {
    const auto in = make_cluster(seed, 420, 60);
    const Plan plan = make_plan(in);
    ASSERT_FALSE(plan.starts.empty());
    reservations += plan.reservations.size();
    expect_capacity_respected(in, plan);
    if (HasFatalFailure()) return;
    std::vector<Resources> started_by_team(2);
    std::map<JobIndex, std::map<ZoneIndex, std::uint32_t>> units_by_zone;
    std::map<JobIndex, std::uint32_t> placed_units;
    for (const auto& slot : plan.starts) started_by_team[in.jobs[slot.job.value].team.value] += in.jobs[slot.job.value].demand * slot.units;
    for (const auto* slots : {&plan.starts, &plan.reservations}) {
      for (const auto& slot : *slots) {
        const PlanJob& job = in.jobs[slot.job.value];
        EXPECT_TRUE(may_run_on(job, in.nodes[slot.node.value]));
        units_by_zone[slot.job][in.nodes[slot.node.value].zone] += slot.units;
        placed_units[slot.job] += slot.units;
      }
    }
    for (const auto& started : started_by_team) EXPECT_TRUE(started.fits({9000, 300, 1e9}));
    for (const auto& [index, units] : placed_units) {
      const PlanJob& job = in.jobs[index.value];
      EXPECT_LE(units, job.units);
      if (job.gang) {
        EXPECT_EQ(units, job.units) << "a gang is placed as a whole";
        EXPECT_EQ(units_by_zone[index].size(), 1u);
      }
      for (const auto& [zone, in_zone] : units_by_zone[index]) EXPECT_LE(in_zone, job.max_tasks_per_zone);
    }
  }
  EXPECT_GT(reservations, 100u);
}

// The slots of earlier jobs are the same with and without later jobs.
TEST(PlannerScale, LaterJobsNeverDelayReservations) {
  for (unsigned seed = 1; seed <= 3; ++seed) {
    auto in = make_cluster(seed, 420, 40);
    std::stable_sort(in.jobs.begin(), in.jobs.end(),
                     [](const PlanJob& a, const PlanJob& b) { return a.tier != b.tier ? a.tier > b.tier : a.sort_key > b.sort_key; });
    for (std::uint32_t i = 0; i < in.jobs.size(); ++i) in.jobs[i].job = JobIndex{i};
    const auto slots_of = [](const Plan& plan, std::uint32_t job_limit) {
      std::vector<std::tuple<std::uint32_t, std::uint32_t, std::uint32_t, double>> out;
      for (const auto* slots : {&plan.starts, &plan.reservations})
        for (const auto& slot : *slots)
          if (slot.job.value < job_limit) out.emplace_back(slot.job.value, slot.node.value, slot.units, slot.start_at);
      return out;
    };
    auto without_later = in;
    without_later.jobs.resize(20);
    EXPECT_EQ(slots_of(make_plan(in), 20), slots_of(make_plan(without_later), 20));
  }
}

// The search for a gang's slot skips times at which too few nodes can take a unit. An exhaustive search over all times finds the
// same first slot.
TEST(PlannerScale, FindsTheSameFirstGangSlotAsAnExhaustiveSearch) {
  std::size_t later_slots = 0;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    auto in = make_cluster(seed, 60, 1);
    PlanJob& job = in.jobs[0];
    job = {};
    job.job = JobIndex{0};
    job.gang = job.single_zone = true;
    job.units = 3 + seed % 3;
    job.demand = {57, 8, 310};
    job.estimated_run_s = 50;
    job.team = TeamIndex{0};
    const Plan plan = make_plan(in);
    // Exhaustive search: every step time, each zone, all nodes with enough free capacity from then on.
    double first_start = kInfinity;
    std::vector<double> times{in.now};
    std::vector<CapacityProfile> profiles;
    for (const auto& node : in.nodes) profiles.emplace_back(node, in.now, in.overrun_s);
    for (const auto& profile : profiles)
      for (const auto& step : profile.steps()) times.push_back(step.start_at);
    for (double t : times) {
      for (std::uint32_t z = 0; z < 2; ++z) {
        std::uint32_t units = 0;
        for (std::size_t n = 0; n < in.nodes.size(); ++n)
          if (in.nodes[n].zone.value == z && may_run_on(job, in.nodes[n]))
            units += profiles[n].count_fitting_units(job.demand, t, job.estimated_run_s);
        if (units >= job.units) first_start = std::min(first_start, t);
      }
    }
    double planned_start = kInfinity;
    for (const auto* slots : {&plan.starts, &plan.reservations})
      for (const auto& slot : *slots) planned_start = std::min(planned_start, slot.start_at);
    EXPECT_EQ(planned_start, first_start) << "seed " << seed;
    if (first_start > in.now && first_start < kInfinity) ++later_slots;
  }
  EXPECT_GT(later_slots, 0u);
}

// Counts examined nodes instead of seconds: a pass examines each node a few times per job, not once per task or profile step.
TEST(PlannerScale, ExaminesEachNodeAFewTimesPerJob) {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    const auto in = make_cluster(seed, 420, 60);
    std::size_t units = 0;
    for (const auto& job : in.jobs) units += job.units;
    ASSERT_GT(units, 2000u);
    EXPECT_LT(make_plan(in).examined_nodes, 3 * in.nodes.size() * in.jobs.size());
  }
}

// Once all reservations are given out, no slot is searched for a task that needs at least as much as an earlier task whose search
// failed. Smaller tasks and tasks that may use other nodes are still searched for.
TEST(PlannerScale, SkipsOnlyTasksThatNeedAtLeastAsMuchAfterAFailedSearch) {
  PlanInput in;
  in.now = 100;
  in.max_reservations = 0;
  for (std::uint32_t i = 0; i < 2; ++i) {
    PlanNode node;
    node.node = NodeIndex{i};
    node.machine_type = MachineTypeIndex{i};
    node.zone = ZoneIndex{0};
    node.spot = i == 1;
    node.capacity = {1, 0, 8};
    node.occupants = {{{i == 0 ? 0.7 : 0.2, 0, 1}, 200}};
    in.nodes.push_back(node);
  }
  const auto add = [&](double cores, double sort_key, bool allows_spot) {
    PlanJob job;
    job.job = JobIndex{static_cast<std::uint32_t>(in.jobs.size())};
    job.units = 1;
    job.demand = {cores, 0, 0.1};
    job.estimated_run_s = 10;
    job.sort_key = sort_key;
    job.allows_spot = allows_spot;
    in.jobs.push_back(job);
  };
  add(0.5, 9, false);  // 0.3 cores are free on the only node that it may use
  add(0.6, 8, false);
  add(0.25, 7, false);  // fits
  add(0.5, 6, true);    // fits on the spot node
  add(0.5, 5, true);
  const Plan plan = make_plan(in);
  ASSERT_EQ(plan.starts.size(), 2u);
  EXPECT_EQ(plan.starts[0].job, JobIndex{2});
  EXPECT_EQ(plan.starts[1].job, JobIndex{3});
  std::vector<JobIndex> unserved;
  for (const auto& entry : plan.unserved) unserved.push_back(entry.job);
  EXPECT_EQ(unserved, (std::vector<JobIndex>{JobIndex{0}, JobIndex{1}, JobIndex{4}}));
}

}  // namespace
}  // namespace thistlefront
