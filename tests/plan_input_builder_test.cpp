// The planner's input: its nodes and jobs, and how planned starts become ledger records.
#include "scheduling/plan_input_builder.hpp"

#include <gtest/gtest.h>

#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "model/machine.hpp"
#include "scheduling/start_records.hpp"

namespace thistlefront {
namespace {

constexpr double kWallNow = 5000, kSteadyNow = 800;
constexpr std::uint64_t kTakeoverToken = 7;

// Two nodes of 8 cores and one with accelerators; red is guaranteed 4 cores.
class PlanInputBuilding : public testing::Test {
 protected:
  PlanInputBuilding() : cluster_state({{"red", {4, 0, 0}, {}, {}}, {"blue", {}, {}, {}}}) {
    cluster_state.apply(
        MachineTypesRecord{{{"plain", {8, 0, 32}, 50, 0.2, 1, 1, 30, {"x"}}, {"accelerated", {64, 8, 384}, 50, 0.2, 15, 6, 50, {"x"}}}});
    add_node("m-1", "plain");
    add_node("m-2", "plain");
    add_node("m-3", "accelerated");
  }
  void add_node(const std::string& name, const std::string& machine_type) {
    const NodeIndex index = cluster_state.find_or_add_node(name);
    cluster_state.set_node_attributes(index, "", machine_type, "x", false);
    Node& node = cluster_state.node(index);
    node.agent.incarnation = 3;
    node.agent.has_reported = true;
    node.agent.last_heartbeat_at = kSteadyNow;
    node.agent.highest_token = kTakeoverToken;
  }
  JobIndex add_job(const std::string& uid, const std::string& team, JobType job_type, std::uint32_t tasks, double accepted_at,
                   Resources demand = {1, 0, 1}) {
    JobAcceptedRecord record;
    record.job.uid = uid;
    record.job.owner = team;
    record.job.job_class = job_type == JobType::service ? "web" : "batch";
    record.job.job_type = job_type;
    record.job.task_count = tasks;
    record.job.demand = demand;
    record.job.estimated_run_s = 20;
    record.accepted_at = accepted_at;
    cluster_state.apply(record);
    return cluster_state.find(uid);
  }
  Node& node(const std::string& name) { return cluster_state.node(cluster_state.find_node(name)); }
  PlanInput build() { return builder.build(cluster_state, context, jobs_within_guarantee(cluster_state)); }
  std::vector<std::string> planned_nodes() {
    std::vector<std::string> names;
    for (const auto& plan_node : build().nodes) names.push_back(cluster_state.node(plan_node.node).name);
    return names;
  }

  ClusterState cluster_state;
  PassContext context{kWallNow, kSteadyNow, kTakeoverToken, kSteadyNow - 100, false};
  PlanInputBuilder builder{{0.1 / 3600, 5, 1, {{"batch", {30, 100}}}}};
};

using Names = std::vector<std::string>;

TEST_F(PlanInputBuilding, IsEmptyWhenNoJobWaits) {
  const PlanInput input = build();
  EXPECT_TRUE(input.nodes.empty());
  EXPECT_TRUE(input.jobs.empty());
  EXPECT_EQ(input.now, kWallNow);
}

TEST_F(PlanInputBuilding, LeavesOutSilentAndReleasingNodes) {
  add_job("j-1", "red", JobType::array, 1, kWallNow);
  EXPECT_EQ(planned_nodes(), (Names{"m-1", "m-2", "m-3"}));
  node("m-1").agent.last_heartbeat_at = kSteadyNow - 2.6;  // more than 1.5 heartbeat intervals and 1 s of slack
  EXPECT_EQ(planned_nodes(), (Names{"m-2", "m-3"}));
  node("m-2").release_requested = true;
  EXPECT_EQ(planned_nodes(), (Names{"m-3"}));
}

TEST_F(PlanInputBuilding, LeavesOutNodesThatHaveNotSeenThisLeadersToken) {
  add_job("j-1", "red", JobType::array, 1, kWallNow);
  node("m-1").agent.highest_token = kTakeoverToken - 1;
  EXPECT_EQ(planned_nodes(), (Names{"m-2", "m-3"}));
  context.first_term_ever = true;
  EXPECT_EQ(planned_nodes(), (Names{"m-1", "m-2", "m-3"}));
  context.first_term_ever = false;
  node("m-1").instance.requested_at = kSteadyNow - 50;
  EXPECT_EQ(planned_nodes(), (Names{"m-1", "m-2", "m-3"}));
}

TEST_F(PlanInputBuilding, CountsRunningTasksUntilTheirExpectedEnd) {
  const JobIndex running = add_job("j-1", "red", JobType::array, 3, kWallNow - 50);
  cluster_state.apply(TasksStartedRecord{"j-1", 1, kWallNow - 10, {{"m-1", 3, {{0, 2}}}}});
  for (auto& [task, placement] : cluster_state.job(running).placed) placement.reported = true, placement.running_since = kWallNow - 8;
  const PlanInput input = build();
  ASSERT_EQ(input.nodes.size(), 3u);
  ASSERT_EQ(input.nodes[0].occupants.size(), 1u) << "tasks that end together are one occupant";
  EXPECT_EQ(input.nodes[0].occupants[0].demand, (Resources{2, 0, 2}));
  EXPECT_EQ(input.nodes[0].occupants[0].ends_at, kWallNow + 12);
  ASSERT_EQ(input.jobs.size(), 1u);
  EXPECT_EQ(input.jobs[0].units, 1u);
}

TEST_F(PlanInputBuilding, RaisesTheTierOfTheEarliestJobsWithinTheGuarantee) {
  const JobIndex guaranteed = add_job("j-1", "red", JobType::array, 3, kWallNow - 30);
  add_job("j-2", "red", JobType::array, 2, kWallNow - 20);  // 5 cores together: beyond the guarantee
  add_job("j-3", "blue", JobType::array, 1, kWallNow - 10);
  EXPECT_EQ(jobs_within_guarantee(cluster_state), (std::set<JobIndex>{guaranteed}));
  const PlanInput input = build();
  ASSERT_EQ(input.jobs.size(), 3u);
  EXPECT_GT(input.jobs[0].tier, input.jobs[1].tier);
  EXPECT_EQ(input.jobs[1].tier, input.jobs[2].tier);
}

TEST_F(PlanInputBuilding, DerivesMaxWaitFromTheNextStartTarget) {
  add_job("j-1", "red", JobType::array, 1, kWallNow - 10);
  add_job("j-2", "red", JobType::array, 1, kWallNow - 40);
  add_job("j-3", "red", JobType::array, 1, kWallNow - 400);
  add_job("j-4", "red", JobType::service, 1, kWallNow);
  const PlanInput input = build();
  ASSERT_EQ(input.jobs.size(), 4u);
  EXPECT_DOUBLE_EQ(input.jobs[0].max_wait_s, 19.5);
  EXPECT_DOUBLE_EQ(input.jobs[1].max_wait_s, 59.5);
  EXPECT_DOUBLE_EQ(input.jobs[2].max_wait_s, 2);
  EXPECT_DOUBLE_EQ(input.jobs[3].max_wait_s, 2);
}

TEST_F(PlanInputBuilding, ReservesNodesForRecentAcceleratorDemand) {
  add_job("j-1", "red", JobType::array, 1, kWallNow);
  add_job("j-2", "blue", JobType::gang, 1, kWallNow, {57, 8, 310});
  PlanInput input = build();
  ASSERT_EQ(input.nodes.size(), 3u);
  EXPECT_EQ(input.nodes[2].backfill_rule, PlanNode::BackfillRule::reserved);
  EXPECT_EQ(input.nodes[2].backfill_capacity, (Resources{7, 0, 74}));
  cluster_state.apply(JobCancelledRecord{"j-2"});
  context.steady_now += 30;
  for (const char* name : {"m-1", "m-2", "m-3"}) node(name).agent.last_heartbeat_at = context.steady_now;
  EXPECT_EQ(build().nodes.at(2).backfill_rule, PlanNode::BackfillRule::reserved) << "the recent demand decays slowly";
  context.steady_now += 300;
  for (const char* name : {"m-1", "m-2", "m-3"}) node(name).agent.last_heartbeat_at = context.steady_now;
  EXPECT_EQ(build().nodes.at(2).backfill_rule, PlanNode::BackfillRule::limited_for_services);
}

TEST_F(PlanInputBuilding, PromotesAStarvingJobOnlyWhenNoJobWithinAGuaranteeWaits) {
  const JobIndex starving = add_job("j-1", "blue", JobType::array, 5, kWallNow - 100);
  cluster_state.job(starving).urgency.priority = Priority::idle;
  add_job("j-2", "blue", JobType::array, 1, kWallNow);
  const auto promote = [&](const std::set<JobIndex>& within) {
    PlanInput input = build();
    StarvationGuard guard;
    guard.accrue(20, kSteadyNow - 2);  // the pass then accrues 5% of 40 cores
    const auto promoted = promote_starving_jobs(input, cluster_state, guard, 20, context, within);
    return std::pair(promoted, input);
  };
  EXPECT_TRUE(promote({cluster_state.find("j-2")}).first.empty());
  const auto [promoted, input] = promote({});
  EXPECT_EQ(promoted, (std::set<JobIndex>{starving}));
  ASSERT_EQ(input.jobs.size(), 3u) << "its other units keep their tier";
  EXPECT_EQ(input.jobs[0].units, 2u);
  EXPECT_GT(input.jobs[0].tier, input.jobs[1].tier);
  EXPECT_EQ(input.jobs[2].units, 3u);
  EXPECT_LT(input.jobs[2].tier, input.jobs[1].tier);
}

TEST_F(PlanInputBuilding, AssignsTheLowestPendingTasksToSlots) {
  const JobIndex job = add_job("j-1", "red", JobType::array, 6, kWallNow);
  cluster_state.apply(TasksStartedRecord{"j-1", 1, kWallNow, {{"m-3", 3, {{1, 2}}}}});
  const NodeIndex first = cluster_state.find_node("m-1"), second = cluster_state.find_node("m-2");
  const PlannedStarts planned = assign_tasks(cluster_state, {{job, first, 2, kWallNow, 0}, {job, second, 9, kWallNow, 0}}, kWallNow);
  EXPECT_EQ(planned.nodes, (std::set<NodeIndex>{first, second}));
  ASSERT_EQ(planned.records.size(), 1u);
  const TasksStartedRecord& record = planned.records.at(job);
  EXPECT_EQ(record.uid, "j-1");
  EXPECT_EQ(record.attempt, cluster_state.job(job).attempts + 1);
  ASSERT_EQ(record.assignments.size(), 2u);
  EXPECT_EQ(record.assignments[0].node, "m-1");
  EXPECT_EQ(record.assignments[0].agent_incarnation, 3u);
  EXPECT_EQ(record.assignments[0].tasks, (TaskRanges{{0, 1}, {2, 3}}));
  EXPECT_EQ(record.assignments[1].tasks, (TaskRanges{{3, 6}}));
}

}  // namespace
}  // namespace thistlefront
