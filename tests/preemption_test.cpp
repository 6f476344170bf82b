// Preemption: who may be stopped for whom, and that nobody is stopped in turns.
#include "planning/preemption.hpp"

#include <gtest/gtest.h>

namespace thistle {
namespace {

// One machine of 4 cores; red and blue are guaranteed 2 each.
class Preemption : public testing::Test {
 protected:
  Preemption() : book({{"red", {2, 0, 0}, {}, {}}, {"blue", {2, 0, 0}, {}, {}}}) {
    Flavor f;
    f.name = "big";
    f.capacity = {4, 0, 32};
    book.apply(FlavorsRecord{{f}});
    book.describe(book.host_named("m-1"), "", "big", "x", false);
  }
  JobIdx add(const std::string& uid, const std::string& team, Shape shape, Rank rank, std::uint32_t pieces, std::uint32_t placed) {
    AcceptRecord r;
    r.job.uid = uid;
    r.job.owner = team;
    r.job.shape = shape;
    r.job.rank = rank;
    r.job.task_count = pieces;
    r.job.demand = {1, 0, 1};
    book.apply(r);
    if (placed) book.apply(StartRecord{uid, 1, 0, {{"m-1", 1, {{0, placed}}}}});
    return book.find(uid);
  }
  std::vector<Victim> claim(JobIdx j, const std::set<JobIdx>& within) {
    PlanInput in;
    in.now = 1000;
    PlanHost h;
    h.host = book.find_host("m-1");
    h.machine_type = book.kind_of("big");
    h.zone = book.zone_of("x");
    h.capacity = {4, 0, 32};
    for (const auto& ref : book.host(h.host).placed) h.occupants.push_back({book.job(ref.job).spec.demand, kForever});
    in.hosts.push_back(h);
    PlanJob p;
    p.job = j;
    p.units = 1;
    p.demand = {1, 0, 1};
    p.service = book.job(j).spec.shape == Shape::service;
    p.team = book.job(j).team;
    in.jobs.push_back(p);
    in.teams.assign(2, TeamRoom{{1e9, 1e9, 1e9}});
    const Plan plan = make_plan(in);
    return choose_victims({book, in, plan, within, 1000, turnover, {}, spared}).victims;
  }
  Book book;
  double turnover = 0;
  std::set<JobIdx> spared;
};

// What the floor started would be the first to go again: it is the freshest, of the lowest rank, on a full fleet.
TEST_F(Preemption, WhatTheFloorStartedGivesWayToServicesAlone) {
  spared.insert(add("j-1", "red", Shape::batch, Rank::idle, 4, 4));
  EXPECT_TRUE(claim(add("j-2", "blue", Shape::batch, Rank::high, 1, 0), {}).empty());
  EXPECT_EQ(claim(add("j-3", "blue", Shape::service, Rank::prod, 1, 0), {}).size(), 1u);
  spared.clear();
  EXPECT_EQ(claim(book.find("j-2"), {}).size(), 1u);
}

TEST_F(Preemption, ProductionStopsLowerRankButNeverItsEqual) {
  const auto batch = add("j-1", "red", Shape::batch, Rank::standard, 3, 3);
  add("j-2", "red", Shape::service, Rank::prod, 1, 1);
  const auto victims = claim(add("j-3", "blue", Shape::service, Rank::prod, 1, 0), {});
  ASSERT_EQ(victims.size(), 1u);
  EXPECT_EQ(victims[0].ref.job, batch);
  EXPECT_TRUE(claim(add("j-4", "blue", Shape::batch, Rank::standard, 1, 0), {}).empty());
}

TEST_F(Preemption, WhatComesFreeByItselfInTimeIsNotMadeByStopping) {
  add("j-1", "red", Shape::batch, Rank::standard, 4, 4);
  const auto urgent = add("j-2", "blue", Shape::batch, Rank::high, 1, 0);
  EXPECT_EQ(claim(urgent, {}).size(), 1u);
  turnover = 2;
  EXPECT_TRUE(claim(urgent, {}).empty());
  turnover = 0.5;  // less than a core within its patience
  EXPECT_EQ(claim(urgent, {}).size(), 1u);
  const auto replica = add("j-3", "blue", Shape::service, Rank::prod, 1, 0);
  turnover = 100;
  EXPECT_EQ(claim(replica, {}).size(), 1u) << "replicas do not wait";
}

TEST_F(Preemption, AGuaranteeStopsOnlyWhatAnotherTeamHasBeyondItsOwn) {
  const auto beyond = add("j-1", "red", Shape::batch, Rank::standard, 4, 4);
  const auto mine = add("j-2", "blue", Shape::batch, Rank::standard, 1, 0);
  EXPECT_TRUE(claim(mine, {}).empty()) << "not within its guarantee";
  const auto victims = claim(mine, {mine});
  ASSERT_EQ(victims.size(), 1u);
  EXPECT_EQ(victims[0].ref.job, beyond);
  EXPECT_TRUE(claim(mine, {mine, beyond}).empty()) << "the other lies within its own guarantee";
}

// Lienzo steady: replicas of two teams, both within their guarantees, stopped each other ten times a second.
TEST_F(Preemption, ReplicasOfEqualRankAreNeverStoppedForAGuarantee) {
  add("j-1", "red", Shape::service, Rank::prod, 4, 4);
  const auto mine = add("j-2", "blue", Shape::service, Rank::prod, 1, 0);
  EXPECT_TRUE(claim(mine, {mine}).empty());
}

// Lienzo and kaubaalus grown, steady: replicas started on machines that had room but not their image, and served only
// when it was fetched. A little batch work makes way where the image is; much does not.
TEST_F(Preemption, AReplicaGetsRoomWhereItsImageIsWhenLittleWorkIsLost) {
  book.describe(book.host_named("m-2"), "", "big", "y", false);
  const auto batch = add("j-1", "red", Shape::batch, Rank::standard, 4, 4);
  const auto mine = add("j-2", "blue", Shape::service, Rank::prod, 1, 0);
  for (const double ran : {1.0, 500.0}) {
    for (auto& [task, p] : book.job(batch).placed) p.running_at = 1000 - ran;
    PlanInput in;
    in.now = 1000;
    for (const char* name : {"m-1", "m-2"}) {
      PlanHost h;
      h.host = book.find_host(name);
      h.machine_type = book.kind_of("big");
      h.zone = book.host(h.host).zone;
      h.capacity = {4, 0, 32};
      h.fetch_gb_per_s = 0.2;
      for (const auto& ref : book.host(h.host).placed) h.occupants.push_back({book.job(ref.job).spec.demand, 1030});
      in.hosts.push_back(h);
    }
    in.hosts[0].images = {ImageIdx{7}};
    PlanJob p;
    p.job = mine;
    p.units = 1;
    p.service = true;
    p.demand = {1, 0, 1};
    p.pull_gb = 1;
    p.image = ImageIdx{7};
    p.run_within_s = 2;
    in.jobs.push_back(p);
    const Plan plan = make_plan(in);
    ASSERT_EQ(plan.starts.size(), 1u);
    EXPECT_EQ(plan.starts[0].host, in.hosts[1].host);
    const auto out = choose_victims({book, in, plan, {}, 1000, 0, {}, {}});
    EXPECT_EQ(out.victims.size(), ran < 10 ? 1u : 0u);
    EXPECT_EQ(out.waived.size(), out.victims.size());
  }
}

}  // namespace
}  // namespace thistle
