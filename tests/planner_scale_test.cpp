// The timetable at the size of a grown fleet: some 400 machines and thousands of waiting tasks. Checked is the
// timetable itself, against the machines' room and the plan's own order, and how much was looked at to make it.
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

PlanInput fleet(unsigned seed, std::size_t nodes, std::size_t jobs) {
  std::mt19937 random(seed);
  const auto some = [&](std::uint32_t n) { return static_cast<std::uint32_t>(random() % n); };
  PlanInput in;
  in.now = 1000;
  in.horizon = 1030;
  for (std::uint32_t i = 0; i < nodes; ++i) {
    PlanNode h;
    h.node = NodeIndex{i};
    h.machine_type = MachineTypeIndex{i % 3};
    h.zone = ZoneIndex{some(2)};
    h.spot = some(3) == 0;
    h.capacity = i % 3 == 0 ? Resources{8, 0, 32} : i % 3 == 1 ? Resources{32, 0, 128} : Resources{64, 8, 384};
    h.image_fetch_gb_per_s = 0.2;
    Resources left = h.capacity;
    while (some(25) != 0) {
      const Resources need{1.0 + some(4), 0, 2.0 + some(8)};
      if (!need.fits(left)) break;
      left -= need;
      // Some have overrun their estimate, some run for ever.
      h.occupants.push_back({need, some(8) == 0 ? kForever : 990.0 + some(80)});
    }
    for (std::uint32_t image = 0; image < 12; ++image)
      if (some(4) == 0) h.images.push_back(ImageIndex{image});
    in.nodes.push_back(h);
  }
  for (std::uint32_t i = 0; i < jobs; ++i) {
    PlanJob j;
    j.job = JobIndex{i};
    const auto what = some(4);
    j.gang = what == 0;
    j.service = what == 1;
    j.units = j.gang ? 1 + some(8) : j.service ? 2 + some(14) : 20 + some(300);
    j.demand = j.gang ? Resources{57, 8, 310} : Resources{1.0 + some(3), 0, 2};
    j.estimated_run_s = 10 + some(100);
    j.image_gb = 0.5 + some(4);
    j.image = ImageIndex{some(12)};
    j.team = TeamIndex{some(2)};
    j.tier = static_cast<int>(some(3));
    j.key = some(1000) / 1000.0;
    j.single_zone = j.gang;
    j.allows_spot = what > 1;
    if (j.service) j.max_tasks_per_zone = (j.units + 1) / 2;
    in.jobs.push_back(j);
  }
  in.teams.assign(2, TeamHeadroom{{9000, 300, 1e9}});
  return in;
}

// Every slot's room, with what already runs there, at each moment at which something begins.
void expect_room(const PlanInput& in, const Plan& plan) {
  struct Use {
    double from, until;
    Resources need;
  };
  std::map<NodeIndex, std::vector<Use>> uses;
  for (const auto& h : in.nodes)
    for (const auto& o : h.occupants) uses[h.node].push_back({in.now, o.until <= in.now ? in.now + in.overrun_s : o.until, o.demand});
  for (const auto* slots : {&plan.starts, &plan.reservations}) {
    for (const auto& s : *slots) {
      const PlanJob& job = in.jobs[s.job.value];
      const double length = job.service ? kForever : s.image_pull_s + job.estimated_run_s;
      uses[s.node].push_back({s.at, s.at + length, job.demand * s.count});
    }
  }
  for (const auto& [h, list] : uses) {
    for (const auto& at : list) {
      Resources sum;
      for (const auto& u : list)
        if (u.from <= at.from && at.from < u.until) sum += u.need;
      ASSERT_TRUE(sum.fits(in.nodes[h.value].capacity)) << "machine " << h.value << " at " << at.from;
    }
  }
}

TEST(PlannerAtSize, NoRoomIsTakenTwiceAndJobsKeepTheirRules) {
  std::size_t holds = 0;
  for (unsigned seed = 1; seed <= 5; ++seed) {
    const auto in = fleet(seed, 420, 60);
    const Plan plan = make_plan(in);
    ASSERT_FALSE(plan.starts.empty());
    holds += plan.reservations.size();
    expect_room(in, plan);
    if (HasFatalFailure()) return;
    std::vector<Resources> team(2);
    std::map<JobIndex, std::map<ZoneIndex, std::uint32_t>> zones;
    std::map<JobIndex, std::uint32_t> given;
    for (const auto& s : plan.starts) team[in.jobs[s.job.value].team.value] += in.jobs[s.job.value].demand * s.count;
    for (const auto* slots : {&plan.starts, &plan.reservations}) {
      for (const auto& s : *slots) {
        const PlanJob& job = in.jobs[s.job.value];
        EXPECT_TRUE(may_run_on(job, in.nodes[s.node.value]));
        zones[s.job][in.nodes[s.node.value].zone] += s.count;
        given[s.job] += s.count;
      }
    }
    for (const auto& t : team) EXPECT_TRUE(t.fits({9000, 300, 1e9}));
    for (const auto& [j, n] : given) {
      const PlanJob& job = in.jobs[j.value];
      EXPECT_LE(n, job.units);
      if (job.gang) {
        EXPECT_EQ(n, job.units) << "a gang is one unit";
        EXPECT_EQ(zones[j].size(), 1u);
      }
      for (const auto& [z, in_zone] : zones[j]) EXPECT_LE(in_zone, job.max_tasks_per_zone);
    }
  }
  EXPECT_GT(holds, 100u);
}

// What comes later in the order changes nothing for what came before it: its slots are the same as without it.
TEST(PlannerAtSize, NoHeldSlotIsDelayedByWhatComesBehind) {
  for (unsigned seed = 1; seed <= 3; ++seed) {
    auto in = fleet(seed, 420, 40);
    std::stable_sort(in.jobs.begin(), in.jobs.end(),
                     [](const PlanJob& a, const PlanJob& b) { return a.tier != b.tier ? a.tier > b.tier : a.key > b.key; });
    for (std::uint32_t i = 0; i < in.jobs.size(); ++i) in.jobs[i].job = JobIndex{i};
    const auto slots_of = [](const Plan& plan, std::uint32_t before) {
      std::vector<std::tuple<std::uint32_t, std::uint32_t, std::uint32_t, double>> out;
      for (const auto* slots : {&plan.starts, &plan.reservations})
        for (const auto& s : *slots)
          if (s.job.value < before) out.emplace_back(s.job.value, s.node.value, s.count, s.at);
      return out;
    };
    auto ahead = in;
    ahead.jobs.resize(20);
    EXPECT_EQ(slots_of(make_plan(in), 20), slots_of(make_plan(ahead), 20));
  }
}

// The first time at which enough machines take a unit at all is where a gang's search begins; a plain search over all
// times finds the same first slot.
TEST(PlannerAtSize, AGangsFirstSlotIsThatOfThePlainSearch) {
  std::size_t later = 0;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    auto in = fleet(seed, 60, 1);
    PlanJob& job = in.jobs[0];
    job = {};
    job.job = JobIndex{0};
    job.gang = job.single_zone = true;
    job.units = 3 + seed % 3;
    job.demand = {57, 8, 310};
    job.estimated_run_s = 50;
    job.team = TeamIndex{0};
    const Plan plan = make_plan(in);
    // Plain: every moment at which something ends, each zone, machines that have the room from then on.
    double first = kForever;
    std::vector<double> times{in.now};
    std::vector<CapacityProfile> profiles;
    for (const auto& h : in.nodes) profiles.emplace_back(h, in.now, in.overrun_s);
    for (const auto& p : profiles)
      for (const auto& s : p.steps()) times.push_back(s.at);
    for (double t : times) {
      for (std::uint32_t z = 0; z < 2; ++z) {
        std::uint32_t units = 0;
        for (std::size_t h = 0; h < in.nodes.size(); ++h)
          if (in.nodes[h].zone.value == z && may_run_on(job, in.nodes[h])) units += profiles[h].fits(job.demand, t, job.estimated_run_s);
        if (units >= job.units) first = std::min(first, t);
      }
    }
    double got = kForever;
    for (const auto* slots : {&plan.starts, &plan.reservations})
      for (const auto& s : *slots) got = std::min(got, s.at);
    EXPECT_EQ(got, first) << "seed " << seed;
    if (first > in.now && first < kForever) ++later;
  }
  EXPECT_GT(later, 0u);
}

// Work, not seconds: a pass over this fleet looks at each machine a few times for a job, not once for each task or step.
TEST(PlannerAtSize, LooksStayNearMachinesTimesJobs) {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    const auto in = fleet(seed, 420, 60);
    std::size_t units = 0;
    for (const auto& j : in.jobs) units += j.units;
    ASSERT_GT(units, 2000u);
    EXPECT_LT(make_plan(in).examined_nodes, 3 * in.nodes.size() * in.jobs.size());
  }
}

// With no later slot left to give, tasks that need no less than one for which nothing was free are passed over; smaller
// ones, and those that may use other machines, are still looked for.
TEST(PlannerAtSize, WhatFoundNothingHidesOnlyWhatNeedsNoLess) {
  PlanInput in;
  in.now = 100;
  in.max_reservations = 0;
  for (std::uint32_t i = 0; i < 2; ++i) {
    PlanNode h;
    h.node = NodeIndex{i};
    h.machine_type = MachineTypeIndex{i};
    h.zone = ZoneIndex{0};
    h.spot = i == 1;
    h.capacity = {1, 0, 8};
    h.occupants = {{{i == 0 ? 0.7 : 0.2, 0, 1}, 200}};
    in.nodes.push_back(h);
  }
  const auto add = [&](double cores, double key, bool allows_spot) {
    PlanJob j;
    j.job = JobIndex{static_cast<std::uint32_t>(in.jobs.size())};
    j.units = 1;
    j.demand = {cores, 0, 0.1};
    j.estimated_run_s = 10;
    j.key = key;
    j.allows_spot = allows_spot;
    in.jobs.push_back(j);
  };
  add(0.5, 9, false);  // 0.3 is free where it may run
  add(0.6, 8, false);
  add(0.25, 7, false);  // fits
  add(0.5, 6, true);    // fits on the spot machine
  add(0.5, 5, true);
  const Plan plan = make_plan(in);
  ASSERT_EQ(plan.starts.size(), 2u);
  EXPECT_EQ(plan.starts[0].job, JobIndex{2});
  EXPECT_EQ(plan.starts[1].job, JobIndex{3});
  std::vector<JobIndex> unserved;
  for (const auto& u : plan.unserved) unserved.push_back(u.job);
  EXPECT_EQ(unserved, (std::vector<JobIndex>{JobIndex{0}, JobIndex{1}, JobIndex{4}}));
}

}  // namespace
}  // namespace thistlefront
