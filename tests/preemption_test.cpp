// Preemption: which tasks may be stopped for which jobs, and that no two jobs stop each other in turns.
#include "scheduling/preemption.hpp"

#include <gtest/gtest.h>

#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "model/machine.hpp"

namespace thistlefront {
namespace {

// One machine of 4 cores; red and blue are guaranteed 2 each.
class Preemption : public testing::Test {
 protected:
  Preemption() : cluster_state({{"red", {2, 0, 0}, {}, {}}, {"blue", {2, 0, 0}, {}, {}}}) {
    MachineType f;
    f.name = "big";
    f.capacity = {4, 0, 32};
    cluster_state.apply(MachineTypesRecord{{f}});
    cluster_state.set_node_attributes(cluster_state.find_or_add_node("m-1"), "", "big", "x", false);
  }
  JobIndex add(const std::string& uid, const std::string& team, JobType job_type, Priority priority, std::uint32_t tasks,
               std::uint32_t placed) {
    JobAcceptedRecord r;
    r.job.uid = uid;
    r.job.owner = team;
    r.job.job_type = job_type;
    r.job.priority = priority;
    r.job.task_count = tasks;
    r.job.demand = {1, 0, 1};
    cluster_state.apply(r);
    if (placed) cluster_state.apply(TasksStartedRecord{uid, 1, 0, {{"m-1", 1, {{0, placed}}}}});
    return cluster_state.find(uid);
  }
  std::vector<Victim> victims_for(JobIndex j, const std::set<JobIndex>& within) {
    PlanInput in;
    in.now = 1000;
    PlanNode h;
    h.node = cluster_state.find_node("m-1");
    h.machine_type = cluster_state.find_machine_type("big");
    h.zone = cluster_state.intern_zone("x");
    h.capacity = {4, 0, 32};
    for (const auto& ref : cluster_state.node(h.node).placed) h.occupants.push_back({cluster_state.job(ref.job).spec.demand, kForever});
    in.nodes.push_back(h);
    PlanJob p;
    p.job = j;
    p.units = 1;
    p.demand = {1, 0, 1};
    p.service = cluster_state.job(j).spec.job_type == JobType::service;
    p.team = cluster_state.job(j).team;
    in.jobs.push_back(p);
    in.teams.assign(2, TeamHeadroom{{1e9, 1e9, 1e9}});
    const Plan plan = make_plan(in);
    return choose_victims({cluster_state, in, plan, within, 1000, release_rate, {}, protected_jobs}).victims;
  }
  ClusterState cluster_state;
  double release_rate = 0;
  std::set<JobIndex> protected_jobs;
};

// Without protection, what the starvation guard started would be the first to be stopped again: it is the freshest work of the
// lowest priority on a full cluster.
TEST_F(Preemption, ProtectedJobsAreStoppedForServicesAlone) {
  protected_jobs.insert(add("j-1", "red", JobType::array, Priority::idle, 4, 4));
  EXPECT_TRUE(victims_for(add("j-2", "blue", JobType::array, Priority::high, 1, 0), {}).empty());
  EXPECT_EQ(victims_for(add("j-3", "blue", JobType::service, Priority::production, 1, 0), {}).size(), 1u);
  protected_jobs.clear();
  EXPECT_EQ(victims_for(cluster_state.find("j-2"), {}).size(), 1u);
}

TEST_F(Preemption, ProductionStopsLowerPriorityButNeverItsEqual) {
  const auto batch = add("j-1", "red", JobType::array, Priority::standard, 3, 3);
  add("j-2", "red", JobType::service, Priority::production, 1, 1);
  const auto victims = victims_for(add("j-3", "blue", JobType::service, Priority::production, 1, 0), {});
  ASSERT_EQ(victims.size(), 1u);
  EXPECT_EQ(victims[0].ref.job, batch);
  EXPECT_TRUE(victims_for(add("j-4", "blue", JobType::array, Priority::standard, 1, 0), {}).empty());
}

TEST_F(Preemption, StopsNothingWhereRoomComesFreeByItselfInTime) {
  add("j-1", "red", JobType::array, Priority::standard, 4, 4);
  const auto urgent = add("j-2", "blue", JobType::array, Priority::high, 1, 0);
  EXPECT_EQ(victims_for(urgent, {}).size(), 1u);
  release_rate = 2;
  EXPECT_TRUE(victims_for(urgent, {}).empty());
  release_rate = 0.5;  // less than a core within its patience
  EXPECT_EQ(victims_for(urgent, {}).size(), 1u);
  const auto replica = add("j-3", "blue", JobType::service, Priority::production, 1, 0);
  release_rate = 100;
  EXPECT_EQ(victims_for(replica, {}).size(), 1u) << "replicas do not wait";
}

TEST_F(Preemption, AGuaranteeStopsOnlyWhatAnotherTeamRunsBeyondItsOwn) {
  const auto beyond = add("j-1", "red", JobType::array, Priority::standard, 4, 4);
  const auto mine = add("j-2", "blue", JobType::array, Priority::standard, 1, 0);
  EXPECT_TRUE(victims_for(mine, {}).empty()) << "not within its guarantee";
  const auto victims = victims_for(mine, {mine});
  ASSERT_EQ(victims.size(), 1u);
  EXPECT_EQ(victims[0].ref.job, beyond);
  EXPECT_TRUE(victims_for(mine, {mine, beyond}).empty()) << "the other lies within its own guarantee";
}

// Once, replicas of two teams, both within their guarantees, stopped each other ten times a second.
TEST_F(Preemption, ReplicasOfEqualPriorityAreNeverStoppedForAGuarantee) {
  add("j-1", "red", JobType::service, Priority::production, 4, 4);
  const auto mine = add("j-2", "blue", JobType::service, Priority::production, 1, 0);
  EXPECT_TRUE(victims_for(mine, {mine}).empty());
}

// Once, replicas started on nodes that had room but not their image, and served only when it was fetched. A little batch work is
// stopped where the image is; much is not.
TEST_F(Preemption, AReplicaGetsRoomWhereItsImageIsCachedWhenLittleWorkIsLost) {
  cluster_state.set_node_attributes(cluster_state.find_or_add_node("m-2"), "", "big", "y", false);
  const auto batch = add("j-1", "red", JobType::array, Priority::standard, 4, 4);
  const auto mine = add("j-2", "blue", JobType::service, Priority::production, 1, 0);
  for (const double ran : {1.0, 500.0}) {
    for (auto& [task, p] : cluster_state.job(batch).placed) p.running_since = 1000 - ran;
    PlanInput in;
    in.now = 1000;
    for (const char* name : {"m-1", "m-2"}) {
      PlanNode h;
      h.node = cluster_state.find_node(name);
      h.machine_type = cluster_state.find_machine_type("big");
      h.zone = cluster_state.node(h.node).zone;
      h.capacity = {4, 0, 32};
      h.image_fetch_gb_per_s = 0.2;
      for (const auto& ref : cluster_state.node(h.node).placed) h.occupants.push_back({cluster_state.job(ref.job).spec.demand, 1030});
      in.nodes.push_back(h);
    }
    in.nodes[0].images = {ImageIndex{7}};
    PlanJob p;
    p.job = mine;
    p.units = 1;
    p.service = true;
    p.demand = {1, 0, 1};
    p.image_gb = 1;
    p.image = ImageIndex{7};
    p.run_within_s = 2;
    in.jobs.push_back(p);
    const Plan plan = make_plan(in);
    ASSERT_EQ(plan.starts.size(), 1u);
    EXPECT_EQ(plan.starts[0].node, in.nodes[1].node);
    const auto out = choose_victims({cluster_state, in, plan, {}, 1000, 0, {}, {}});
    EXPECT_EQ(out.victims.size(), ran < 10 ? 1u : 0u);
    EXPECT_EQ(out.waived.size(), out.victims.size());
  }
}

}  // namespace
}  // namespace thistlefront
