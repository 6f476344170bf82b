// Rules that keep a job off a node with room, and how long each of them does so. No job is left waiting for 90 s while a node that fits
// has room and its team is under its limit. Simulated time: passes over the real cluster state and planner, tasks that run for a given
// time.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "scheduling/plan_input_builder.hpp"
#include "scheduling/planner.hpp"
#include "scheduling/start_records.hpp"
#include "worker_control/lease_expiry.hpp"

namespace thistlefront {
namespace {

constexpr double kMaxWaitS = 90;
constexpr double kBeginS = 5000;  // wall and steady seconds
constexpr std::uint64_t kToken = 7;
constexpr Resources kTraining{57, 8, 310};  // leaves 7 cores of an accelerated node

class WaitingBounds : public testing::Test {
 protected:
  WaitingBounds() : cluster_state({{"red", {200, 0, 0}, {}, {}}, {"blue", {}, {}, {}}}) {
    cluster_state.apply(MachineTypesRecord{
        {{"plain", {4, 0, 16}, 50, 0.2, 1, 1, 30, {"x", "y"}}, {"accelerated", {64, 8, 384}, 50, 0.2, 15, 6, 50, {"x", "y"}}}});
  }
  void add_node(const std::string& name, const std::string& machine_type, const std::string& zone = "x") {
    const NodeIndex index = cluster_state.find_or_add_node(name);
    cluster_state.set_node_attributes(index, "", machine_type, zone, false);
    Node& node = cluster_state.node(index);
    node.agent.incarnation = 1;
    node.agent.has_reported = true;
    node.agent.highest_token = kToken;
  }
  // A job of team "blue" whose tasks run for `run_s`; services run until the end.
  JobSpec spec(const std::string& uid, JobType job_type, std::uint32_t tasks, Resources demand, double run_s) {
    JobSpec out;
    out.uid = uid;
    out.owner = "blue";
    out.job_class = "c";
    out.job_type = job_type;
    out.task_count = tasks;
    out.demand = demand;
    out.image = uid;
    out.estimated_run_s = job_type == JobType::service ? 0 : run_s;
    out.priority = job_type == JobType::service ? Priority::production : Priority::standard;
    run_s_by_uid[uid] = job_type == JobType::service ? 1e9 : run_s;
    return out;
  }
  JobIndex accept(const JobSpec& job) {
    cluster_state.apply(JobAcceptedRecord{job, 0.5, now});
    return cluster_state.find(job.uid);
  }
  // One pass each second.
  void run_for(double seconds) {
    for (const double until = now + seconds; now < until; now += 1) {
      complete_tasks();
      run_pass();
    }
  }
  void complete_tasks() {
    for (const JobIndex index : std::vector<JobIndex>(cluster_state.live())) {
      const Job& job = cluster_state.job(index);
      TasksCompletedRecord completed{job.uid, {}, now};
      for (const auto& [task, placement] : job.placed)
        if (now - placement.decided_at >= run_s_by_uid.at(job.uid)) append_task(completed.tasks, task);
      if (!completed.tasks.empty()) cluster_state.apply(completed);
    }
  }
  void run_pass() {
    for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
      Node& node = cluster_state.node(NodeIndex{i});
      if (!node.agent.has_reported) continue;
      node.agent.last_heartbeat_at = node.agent.last_replied_heartbeat_at = now;
      for (const auto& placed : node.placed) placed.placement->reported = true;
    }
    const PassContext context{now, now, kToken, first_term_ever ? kBeginS : kBeginS - 100, first_term_ever};
    const PlanInput input = builder.build(cluster_state, context, jobs_within_guarantee(cluster_state));
    const Plan plan = make_plan(input);
    for (const auto& [job, record] : assign_tasks(cluster_state, plan.starts, now).records) {
      last_start_at[record.uid] = now;
      cluster_state.apply(record);
    }
  }
  // Seconds until all tasks of the job are placed; kMaxWaitS + 1 if they are not within kMaxWaitS.
  double wait_until_placed(const std::vector<std::string>& uids) {
    const double accepted_at = now;
    const auto is_placed = [&](const std::string& uid) { return cluster_state.job(cluster_state.find(uid)).pending == 0; };
    while (now - accepted_at <= kMaxWaitS) {
      run_for(1);
      if (std::all_of(uids.begin(), uids.end(), is_placed)) return now - 1 - accepted_at;
    }
    return kMaxWaitS + 1;
  }
  std::size_t placed_on(const std::string& name) { return cluster_state.node(cluster_state.find_node(name)).placed.size(); }
  void run_trainings(std::uint32_t count) {
    for (std::uint32_t i = 0; i < count; ++i) {
      JobSpec training = spec("j-1" + std::to_string(i), JobType::gang, 1, kTraining, 3);
      training.machine_types = {"accelerated"};
      accept(training);
    }
    run_for(10);
  }

  ClusterState cluster_state;
  PlanInputBuilder builder{{0.1 / 3600, 5, 1, {}}};
  double now = kBeginS;
  bool first_term_ever = false;
  std::map<std::string, double> run_s_by_uid, last_start_at;
};

// Guards against services kept off idle nodes by the demand of accelerator jobs that have ended (review case 3).
TEST_F(WaitingBounds, ServicesStartOnAcceleratedNodesAfterABurstOfAcceleratorJobs) {
  for (const char* zone : {"x", "y"}) {
    add_node(std::string("accelerated-") + zone, "accelerated", zone);
    add_node(std::string("plain-") + zone, "plain", zone);
  }
  run_trainings(4);
  std::vector<std::string> uids;
  for (int i = 0; i < 8; ++i) {
    JobSpec viewer = spec("j-2" + std::to_string(i), JobType::service, 4, {1, 0, 1.7}, 0);
    viewer.spread = true;
    accept(viewer);
    uids.push_back(viewer.uid);
  }
  EXPECT_LE(wait_until_placed(uids), kMaxWaitS);
}

// The same while accelerator jobs keep coming, so that their demand does not become old.
TEST_F(WaitingBounds, ServicesStartOnAcceleratedNodesWhileAcceleratorJobsKeepComing) {
  for (const char* name : {"m-1", "m-2"}) add_node(name, "accelerated");
  run_trainings(2);
  for (int i = 0; i < 20; ++i) accept(spec("j-2" + std::to_string(i), JobType::service, 1, {1, 0, 1.7}, 0));
  const double accepted_at = now;
  for (int i = 0; i < 9; ++i) {
    accept(spec("j-3" + std::to_string(i), JobType::gang, 1, kTraining, 5));
    run_for(10);
  }
  for (int i = 0; i < 20; ++i) {
    const Job& service = cluster_state.job(cluster_state.find("j-2" + std::to_string(i)));
    ASSERT_EQ(service.pending, 0u) << service.uid;
    EXPECT_LE(last_start_at.at(service.uid) - accepted_at, kMaxWaitS) << service.uid;
  }
  EXPECT_EQ(cluster_state.job(cluster_state.find("j-38")).attempts, 1u) << "accelerator jobs run on the other node";
}

// A task that needs more than accelerator jobs leave free of any node.
TEST_F(WaitingBounds, ATaskThatFitsOnlyIntoKeptCapacityStarts) {
  add_node("m-1", "accelerated");
  run_trainings(1);
  for (const JobType job_type : {JobType::service, JobType::array, JobType::gang}) {
    JobSpec large = spec("j-2" + std::to_string(static_cast<int>(job_type)), job_type, 1, {9, 0, 100}, 10);
    accept(large);
    EXPECT_LE(wait_until_placed({large.uid}), kMaxWaitS) << large.uid;
    cluster_state.apply(JobCancelledRecord{large.uid});
    run_s_by_uid[large.uid] = 0;
    run_trainings(1);
  }
}

// Arrays and gangs without accelerators on nodes that are reserved because accelerator jobs needed all of them recently.
TEST_F(WaitingBounds, ArraysAndGangsStartOnReservedNodes) {
  for (const char* name : {"m-1", "m-2", "m-3"}) add_node(name, "accelerated");
  JobSpec wide = spec("j-1", JobType::gang, 3, kTraining, 3);
  accept(wide);
  run_for(10);
  for (JobSpec job : {spec("j-2", JobType::array, 100, {1, 0, 1}, 1000), spec("j-3", JobType::gang, 60, {1, 0, 1}, 1000)}) {
    job.owner = "red";
    accept(job);
  }
  EXPECT_LE(wait_until_placed({"j-2", "j-3"}), kMaxWaitS);
}

// An array beyond its guarantee is not left waiting either, but it leaves the nodes to accelerator jobs that keep coming.
TEST_F(WaitingBounds, ArraysBeyondAGuaranteeTakeOneTaskOfKeptCapacityAtATime) {
  for (const char* name : {"m-1", "m-2"}) add_node(name, "accelerated");
  run_trainings(2);
  accept(spec("j-2", JobType::array, 60, {1, 0, 1}, 1000));
  for (int i = 10; i < 40; ++i) {
    const std::vector<std::string> uids{"j-3" + std::to_string(i), "j-4" + std::to_string(i)};
    for (const auto& uid : uids) accept(spec(uid, JobType::gang, 1, kTraining, 3));
    const double accepted_at = now;
    EXPECT_LE(wait_until_placed(uids), 4) << "one node is left to them";
    run_for(accepted_at + 10 - now);
    EXPECT_LE(now - last_start_at.at("j-2"), kMaxWaitS);
  }
  const std::size_t placed = cluster_state.job(cluster_state.find("j-2")).placed.size();
  EXPECT_GE(placed, 14u + 3u) << "14 beside accelerator jobs, then one at least every 90 s";
  EXPECT_LE(placed, 14u + 5u) << "and at most every 60 s";
}

// Overdue tasks take kept capacity of as few nodes as possible, so that accelerator jobs lose few nodes to them.
TEST_F(WaitingBounds, OverdueTasksLeaveOtherNodesToAcceleratorJobs) {
  for (const char* name : {"m-1", "m-2", "m-3", "m-4"}) add_node(name, "accelerated");
  run_trainings(4);
  for (int i = 0; i < 10; ++i) accept(spec("j-2" + std::to_string(i), JobType::service, 4, {1, 0, 1.7}, 0));
  run_for(kMaxWaitS);
  std::vector<std::size_t> counts;
  for (const char* name : {"m-1", "m-2", "m-3", "m-4"}) counts.push_back(placed_on(name));
  std::sort(counts.begin(), counts.end());
  EXPECT_EQ(counts, (std::vector<std::size_t>{7, 7, 7, 19})) << "three nodes still have room for an accelerator job";
  accept(spec("j-3", JobType::gang, 3, kTraining, 5));
  EXPECT_EQ(wait_until_placed({"j-3"}), 0);
}

// Without accelerator jobs for some minutes, nothing is kept for them.
TEST_F(WaitingBounds, NothingIsKeptWhenAcceleratorJobsHaveCeased) {
  add_node("m-1", "accelerated");
  run_trainings(1);
  run_for(301);
  accept(spec("j-2", JobType::service, 20, {1, 0, 1.7}, 0));
  EXPECT_EQ(wait_until_placed({"j-2"}), 0);
}

// A job that has started waits anew from its last start: replicas that are lost later don't take kept capacity at once.
TEST_F(WaitingBounds, LostReplicasWaitBeforeTheyTakeKeptCapacity) {
  add_node("m-1", "accelerated");
  add_node("m-2", "plain");
  run_trainings(1);
  accept(spec("j-2", JobType::service, 11, {1, 0, 1.7}, 0));
  EXPECT_EQ(wait_until_placed({"j-2"}), 0) << "4 on the plain node, 7 beside accelerator jobs";
  run_for(200);
  run_trainings(1);
  TasksRemovedRecord lost{"j-2", 1, {}, 0};
  for (const auto& placed : cluster_state.node(cluster_state.find_node("m-2")).placed) append_task(lost.tasks, placed.task);
  ASSERT_EQ(lost.tasks.size(), 1u);
  cluster_state.node(cluster_state.find_node("m-2")).release_requested = true;
  cluster_state.apply(lost);
  const double waited_s = wait_until_placed({"j-2"});
  EXPECT_GE(waited_s, 30);
  EXPECT_LE(waited_s, kMaxWaitS);
}

// A reservation for a wide gang of another team keeps a node free until the tasks on its other nodes end.
TEST_F(WaitingBounds, AJobWithinItsGuaranteeIsNotKeptOffByReservations) {
  for (const char* name : {"m-1", "m-2"}) add_node(name, "plain");
  accept(spec("j-1", JobType::array, 1, {4, 0, 4}, 1000));
  run_for(1);
  JobSpec wide = spec("j-2", JobType::gang, 2, {4, 0, 4}, 1000);
  wide.priority = Priority::high;
  accept(wide);
  run_for(1);
  JobSpec guaranteed = spec("j-3", JobType::array, 2, {1, 0, 1}, 2000);
  guaranteed.owner = "red";
  guaranteed.priority = Priority::idle;
  accept(guaranteed);
  EXPECT_LE(wait_until_placed({"j-3"}), kMaxWaitS);
}

// Beyond a guarantee, slots are kept: the largest jobs could not begin otherwise.
TEST_F(WaitingBounds, OverdueJobsBeyondAGuaranteeDoNotDelayAWideGang) {
  for (const char* name : {"m-1", "m-2"}) add_node(name, "plain");
  accept(spec("j-1", JobType::array, 1, {4, 0, 4}, 200));
  run_for(1);
  JobSpec wide = spec("j-2", JobType::gang, 2, {4, 0, 4}, 10);
  wide.priority = Priority::high;
  accept(wide);
  for (int i = 0; i < 8; ++i) accept(spec("j-3" + std::to_string(i), JobType::array, 1, {1, 0, 1}, 2000));
  run_for(220);
  EXPECT_EQ(last_start_at["j-2"], kBeginS + 200) << "when the first job ends";
  for (int i = 0; i < 8; ++i) EXPECT_EQ(last_start_at["j-3" + std::to_string(i)], kBeginS + 210) << "when the gang ends";
}

// In a fleet's first term ever, all nodes with accelerators are reserved for some seconds.
TEST_F(WaitingBounds, TheFirstTermKeepsAcceleratedNodesFreeForSecondsOnly) {
  first_term_ever = true;
  add_node("m-1", "accelerated");
  accept(spec("j-1", JobType::service, 1, {1, 0, 1}, 0));
  accept(spec("j-2", JobType::array, 1, {1, 0, 1}, 10));
  EXPECT_EQ(wait_until_placed({"j-1", "j-2"}), 6);
}

// After a takeover, the zone of a placed task may be unknown: its node has neither reported nor been listed. A job with zone rules waits
// until it is known, or until the node's lease has expired.
TEST_F(WaitingBounds, AJobWithZoneRulesDoesNotWaitForANodeThatNeverReturns) {
  constexpr double kLeaseS = 22;
  add_node("m-1", "plain");
  JobSpec spread = spec("j-1", JobType::service, 2, {1, 0, 1}, 0);
  spread.spread = true;
  accept(spread);
  cluster_state.apply(TasksStartedRecord{"j-1", 1, now, {{"m-9", 1, {{0, 1}}}}});
  run_for(10);
  EXPECT_EQ(placed_on("m-1"), 0u) << "the other replica may be in the same zone";
  const FencingState fencing{kToken, kBeginS, kBeginS, {}, {}};
  for (; placed_on("m-1") == 0 && now - kBeginS <= kMaxWaitS; run_for(1))
    for (const auto& eviction : evict_from_lost_nodes(cluster_state, fencing, kLeaseS, now))
      for (const auto& record : eviction.records) cluster_state.apply(record);
  EXPECT_LE(now - kBeginS, kLeaseS + 3);
}

// A replica, or a gang, would run sooner on a node that has the image. It must not wait for that node while another one has room and the
// tasks on the first exceed their estimates.
TEST_F(WaitingBounds, AJobDoesNotWaitForANodeWithItsImageWhoseTasksOverrun) {
  for (const JobType job_type : {JobType::service, JobType::gang}) {
    const std::string suffix = std::to_string(static_cast<int>(job_type));
    const std::string cached = "m-1" + suffix, other = "m-2" + suffix, zone = job_type == JobType::service ? "x" : "y";
    add_node(cached, "plain", zone);
    JobSpec overrunning = spec("j-1" + suffix, JobType::array, 4, {1, 0, 1}, 1e6);
    overrunning.estimated_run_s = 1;
    overrunning.zone = zone;
    overrunning.image = "image-" + suffix;
    accept(overrunning);
    run_for(10);
    add_node(other, "plain", zone);
    JobSpec waiting = spec("j-2" + suffix, job_type, 2, {1, 0, 1}, 100);
    waiting.image = overrunning.image;
    waiting.image_gb = 4;  // 20 s
    waiting.zone = zone;
    accept(waiting);
    EXPECT_LE(wait_until_placed({waiting.uid}), kMaxWaitS) << waiting.uid;
  }
}

// A node on which jobs fail again and again is cordoned again and again, but never for longer than this.
TEST_F(WaitingBounds, ANodeIsNotCordonedForLongerThanAJobMayWait) {
  add_node("m-1", "plain");
  const NodeIndex node = cluster_state.find_node("m-1");
  FailureAttribution& failures = cluster_state.failure_attribution();
  std::vector<JobIndex> failing;
  for (const char* uid : {"j-1", "j-2"}) {
    JobSpec job = spec(uid, JobType::array, 1, {1, 0, 1}, 1);
    job.machine_types = {"accelerated"};  // there is none: they only fail where the test says so
    failing.push_back(accept(job));
  }
  for (int times_cordoned = 1; times_cordoned < 8; ++times_cordoned) {
    for (const JobIndex job : failing) failures.record_failure(job, node, now, true);
    ASSERT_TRUE(failures.is_cordoned(node, now));
    const std::string uid = "j-1" + std::to_string(times_cordoned);
    accept(spec(uid, JobType::array, 1, {1, 0, 1}, 1e6));
    EXPECT_LE(wait_until_placed({uid}), kMaxWaitS) << "cordoned " << times_cordoned << " times";
    cluster_state.apply(JobCancelledRecord{uid});
    cluster_state.apply(TasksRemovedRecord{uid, 1, {{0, 1}}, 0});
  }
}

// The node's own rules end by themselves: after a refused start, a failure of the job there, and retries of a job that fails.
TEST_F(WaitingBounds, RulesAboutANodeOrAFailingJobEndByThemselves) {
  add_node("m-1", "plain");
  cluster_state.node(cluster_state.find_node("m-1")).full_until = now + 3;
  accept(spec("j-1", JobType::array, 1, {1, 0, 1}, 1));
  EXPECT_LE(wait_until_placed({"j-1"}), 4);
  accept(spec("j-2", JobType::array, 1, {1, 0, 1}, 1e6));
  for (int failure = 0; failure < 10; ++failure) {
    EXPECT_LE(wait_until_placed({"j-2"}), kMaxWaitS) << "after " << failure << " failures";
    cluster_state.apply(TasksRemovedRecord{"j-2", cluster_state.job(cluster_state.find("j-2")).attempts, {{0, 1}}, now});
  }
}

}  // namespace
}  // namespace thistlefront
