// Preemption: which tasks may be preempted for which jobs, and that no two jobs preempt each other in turn.
#include "scheduling/preemption.hpp"

#include <gtest/gtest.h>

#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "model/machine.hpp"

namespace thistlefront {
namespace {

// One node of 4 cores; the teams red and blue are guaranteed 2 cores each.
class Preemption : public testing::Test {
 protected:
  Preemption() : cluster_state({{"red", {2, 0, 0}, {}, {}}, {"blue", {2, 0, 0}, {}, {}}}) {
    MachineType machine_type;
    machine_type.name = "big";
    machine_type.capacity = {4, 0, 32};
    cluster_state.apply(MachineTypesRecord{{machine_type}});
    cluster_state.set_node_attributes(cluster_state.find_or_add_node("m-1"), "", "big", "x", false);
  }
  JobIndex add_job(const std::string& uid, const std::string& team, JobType job_type, Priority priority, std::uint32_t tasks,
                   std::uint32_t placed) {
    JobAcceptedRecord record;
    record.job.uid = uid;
    record.job.owner = team;
    record.job.job_type = job_type;
    record.job.priority = priority;
    record.job.task_count = tasks;
    record.job.demand = {1, 0, 1};
    cluster_state.apply(record);
    if (placed) cluster_state.apply(TasksStartedRecord{uid, 1, 0, {{"m-1", 1, {{0, placed}}}}});
    return cluster_state.find(uid);
  }
  std::vector<Victim> victims_for(JobIndex job, const std::set<JobIndex>& within) {
    PlanInput in;
    in.now = 1000;
    PlanNode node;
    node.node = cluster_state.find_node("m-1");
    node.machine_type = cluster_state.find_machine_type("big");
    node.zone = cluster_state.intern_zone("x");
    node.capacity = {4, 0, 32};
    for (const auto& ref : cluster_state.node(node.node).placed)
      node.occupants.push_back({cluster_state.job(ref.job).spec.demand, kInfinity});
    in.nodes.push_back(node);
    PlanJob plan_job;
    plan_job.job = job;
    plan_job.units = 1;
    plan_job.demand = {1, 0, 1};
    plan_job.service = cluster_state.job(job).spec.job_type == JobType::service;
    plan_job.team = cluster_state.job(job).team;
    in.jobs.push_back(plan_job);
    in.teams.assign(2, TeamHeadroom{{1e9, 1e9, 1e9}});
    const Plan plan = make_plan(in);
    return choose_victims({cluster_state, in, plan, within, 1000, release_rate, {}, protected_jobs}).victims;
  }
  ClusterState cluster_state;
  double release_rate = 0;
  std::set<JobIndex> protected_jobs;
};

// Without protection, tasks started by the starvation guard would be the first to be preempted: they are the newest work of the
// lowest priority on a full cluster.
TEST_F(Preemption, PreemptsProtectedJobsForServicesOnly) {
  protected_jobs.insert(add_job("j-1", "red", JobType::array, Priority::idle, 4, 4));
  EXPECT_TRUE(victims_for(add_job("j-2", "blue", JobType::array, Priority::high, 1, 0), {}).empty());
  EXPECT_EQ(victims_for(add_job("j-3", "blue", JobType::service, Priority::production, 1, 0), {}).size(), 1u);
  protected_jobs.clear();
  EXPECT_EQ(victims_for(cluster_state.find("j-2"), {}).size(), 1u);
}

TEST_F(Preemption, PreemptsLowerPriorityButNeverEqualPriority) {
  const auto batch = add_job("j-1", "red", JobType::array, Priority::standard, 3, 3);
  add_job("j-2", "red", JobType::service, Priority::production, 1, 1);
  const auto victims = victims_for(add_job("j-3", "blue", JobType::service, Priority::production, 1, 0), {});
  ASSERT_EQ(victims.size(), 1u);
  EXPECT_EQ(victims[0].ref.job, batch);
  EXPECT_TRUE(victims_for(add_job("j-4", "blue", JobType::array, Priority::standard, 1, 0), {}).empty());
}

TEST_F(Preemption, PreemptsNothingWhenEnoughCapacityIsReleasedInTime) {
  add_job("j-1", "red", JobType::array, Priority::standard, 4, 4);
  const auto urgent = add_job("j-2", "blue", JobType::array, Priority::high, 1, 0);
  EXPECT_EQ(victims_for(urgent, {}).size(), 1u);
  release_rate = 2;
  EXPECT_TRUE(victims_for(urgent, {}).empty());
  release_rate = 0.5;  // less than a core within the job's maximum wait
  EXPECT_EQ(victims_for(urgent, {}).size(), 1u);
  const auto replica = add_job("j-3", "blue", JobType::service, Priority::production, 1, 0);
  release_rate = 100;
  EXPECT_EQ(victims_for(replica, {}).size(), 1u) << "replicas do not wait for released capacity";
}

TEST_F(Preemption, WithinAGuaranteePreemptsOnlyWorkBeyondAnotherTeamsGuarantee) {
  const auto red_job = add_job("j-1", "red", JobType::array, Priority::standard, 4, 4);
  const auto blue_job = add_job("j-2", "blue", JobType::array, Priority::standard, 1, 0);
  EXPECT_TRUE(victims_for(blue_job, {}).empty()) << "not within its guarantee";
  const auto victims = victims_for(blue_job, {blue_job});
  ASSERT_EQ(victims.size(), 1u);
  EXPECT_EQ(victims[0].ref.job, red_job);
  EXPECT_TRUE(victims_for(blue_job, {blue_job, red_job}).empty()) << "the other job is within its own guarantee";
}

// Guards against replicas of two teams, both within their guarantees, preempting each other ten times a second.
TEST_F(Preemption, NeverPreemptsReplicasOfEqualPriorityForAGuarantee) {
  add_job("j-1", "red", JobType::service, Priority::production, 4, 4);
  const auto blue_job = add_job("j-2", "blue", JobType::service, Priority::production, 1, 0);
  EXPECT_TRUE(victims_for(blue_job, {blue_job}).empty());
}

// Guards against replicas that start on a free node without their image and miss their start target while they fetch it. Batch
// work on a node with the image is preempted instead, if little work is lost.
TEST_F(Preemption, MovesReplicasToNodesWithTheirImageWhenLittleWorkIsLost) {
  cluster_state.set_node_attributes(cluster_state.find_or_add_node("m-2"), "", "big", "y", false);
  const auto batch = add_job("j-1", "red", JobType::array, Priority::standard, 4, 4);
  const auto blue_job = add_job("j-2", "blue", JobType::service, Priority::production, 1, 0);
  for (const double ran_s : {1.0, 500.0}) {
    for (auto& [task, placement] : cluster_state.job(batch).placed) placement.running_since = 1000 - ran_s;
    PlanInput in;
    in.now = 1000;
    for (const char* name : {"m-1", "m-2"}) {
      PlanNode node;
      node.node = cluster_state.find_node(name);
      node.machine_type = cluster_state.find_machine_type("big");
      node.zone = cluster_state.node(node.node).zone;
      node.capacity = {4, 0, 32};
      node.image_fetch_gb_per_s = 0.2;
      for (const auto& ref : cluster_state.node(node.node).placed) node.occupants.push_back({cluster_state.job(ref.job).spec.demand, 1030});
      in.nodes.push_back(node);
    }
    in.nodes[0].images = {ImageIndex{7}};
    PlanJob plan_job;
    plan_job.job = blue_job;
    plan_job.units = 1;
    plan_job.service = true;
    plan_job.demand = {1, 0, 1};
    plan_job.image_gb = 1;
    plan_job.image = ImageIndex{7};
    plan_job.remaining_start_target_s = 2;
    in.jobs.push_back(plan_job);
    const Plan plan = make_plan(in);
    ASSERT_EQ(plan.starts.size(), 1u);
    EXPECT_EQ(plan.starts[0].node, in.nodes[1].node);
    const auto preemption = choose_victims({cluster_state, in, plan, {}, 1000, 0, {}, {}});
    EXPECT_EQ(preemption.victims.size(), ran_s < 10 ? 1u : 0u);
    EXPECT_EQ(preemption.cancelled_starts.size(), preemption.victims.size());
  }
}

}  // namespace
}  // namespace thistlefront
