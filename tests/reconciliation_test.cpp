// Reconciliation between the cluster state and an agent: effects of its heartbeats, the commands that it is due, and the expiry of its
// lease.
#include "worker_control/reconciliation.hpp"

#include <gtest/gtest.h>

#include <set>

#include "heartbeat_builders.hpp"
#include "job_builders.hpp"
#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "model/task.hpp"
#include "protocol/messages.hpp"
#include "reconciliation_fixture.hpp"
#include "worker_control/lease_renewal_policy.hpp"
#include "worker_control/one_way_partition.hpp"

namespace thistlefront {
namespace {

class Reconciliation : public ReconciliationFixture {};

TEST_F(Reconciliation, RepeatsAStartUntilTheAgentReportsTheTask) {
  accept("j-1", 1);
  heartbeat({});
  start("j-1", 1, {0, 1});
  ASSERT_EQ(commands().size(), 1u);
  EXPECT_EQ(commands()[0].type, CommandType::run);
  heartbeat({});
  EXPECT_EQ(commands().size(), 1u);
  heartbeat({task_report("j-1", 0, 1, TaskPhase::pulling_image)});
  EXPECT_TRUE(commands().empty());
}

TEST_F(Reconciliation, AcknowledgesAnExitOnlyAfterItsOutcomeIsInTheLedger) {
  accept("j-1", 1);
  heartbeat({});
  start("j-1", 1, {0, 1});
  const auto outcome = heartbeat({task_report("j-1", 0, 1, TaskPhase::exited, ExitReason::completed)});
  ASSERT_EQ(outcome.records.size(), 1u);
  EXPECT_TRUE(commands().empty()) << "neither acknowledged nor started again before the outcome is in the ledger";
  commit_records(outcome);
  EXPECT_EQ(job("j-1").status, JobStatus::done);
  ASSERT_EQ(commands().size(), 1u);
  EXPECT_EQ(commands()[0].type, CommandType::acknowledge_exit);
  heartbeat({});
  EXPECT_TRUE(commands().empty());
}

TEST_F(Reconciliation, AcknowledgesNoExitWhileTheOutcomeOfADirectStartIsUnknown) {
  accept("j-1", 1);
  heartbeat({});
  start("j-1", 1, {0, 1});
  node().commands.indeterminate_token = kToken;
  commit_records(heartbeat({task_report("j-1", 0, 1, TaskPhase::exited, ExitReason::failed)}));
  // If the agent had forgotten this attempt, a delayed start would run it again.
  EXPECT_TRUE(commands().empty());
  heartbeat({task_report("j-1", 0, 1, TaskPhase::exited, ExitReason::failed)}, true, kToken + 1);
  ASSERT_EQ(commands().size(), 1u);
  EXPECT_EQ(commands()[0].type, CommandType::acknowledge_exit);
}

TEST_F(Reconciliation, RemovesAnUnreportedStoppedTaskOnlyWhenNoStartCanBeInTransit) {
  accept("j-1", 1);
  heartbeat({});
  start("j-1", 1, {0, 1});
  cluster_state.apply(JobCancelledRecord{"j-1"});
  EXPECT_EQ(commands()[0].type, CommandType::kill);
  EXPECT_TRUE(heartbeat({}, false).records.empty()) << "the reply to a direct command proves nothing about replies to heartbeats";
  EXPECT_TRUE(heartbeat({}, true, kToken - 1).records.empty()) << "a start of an earlier leader may be in transit";
  node().commands.indeterminate_token = kToken;
  EXPECT_TRUE(heartbeat({}).records.empty()) << "the outcome of a start of this leader is unknown";
  const auto outcome = heartbeat({}, true, kToken + 1);
  ASSERT_EQ(outcome.records.size(), 1u);
  commit_records(outcome);
  EXPECT_TRUE(node().placed.empty());
}

TEST_F(Reconciliation, RemovesAllTasksOfAnEarlierIncarnation) {
  accept("j-1", 2);
  heartbeat({});
  start("j-1", 1, {0, 2});
  commit_records(heartbeat({}, true, kToken, 2));
  EXPECT_EQ(job("j-1").pending, 2u);
  EXPECT_TRUE(commands().empty());
}

// The start was planned for one incarnation and reached the ledger after the first heartbeat of the next one.
TEST_F(Reconciliation, RemovesAStartForAnEarlierIncarnationWithTheNextHeartbeat) {
  accept("j-1", 1);
  heartbeat({}, true, kToken, 1);
  heartbeat({}, true, kToken, 2);
  start("j-1", 1, {0, 1}, 1);
  commit_records(heartbeat({}, true, kToken, 2));
  EXPECT_EQ(job("j-1").pending, 1u);
}

TEST_F(Reconciliation, IgnoresAnOlderHeartbeat) {
  accept("j-1", 1);
  heartbeat({});
  start("j-1", 1, {0, 1});
  heartbeat({task_report("j-1", 0, 1, TaskPhase::running)});
  serial = 0;
  EXPECT_TRUE(heartbeat({}).stale);
  EXPECT_EQ(job("j-1").running(), 1u);
}

TEST_F(Reconciliation, KillsAttemptsWithoutAPlacement) {
  accept("j-1", 1);
  heartbeat({task_report("j-1", 0, 7, TaskPhase::running), task_report("j-9", 3, 1, TaskPhase::running)});
  const auto pending = commands();
  ASSERT_EQ(pending.size(), 2u);
  EXPECT_EQ(pending[0].type, CommandType::kill);
  EXPECT_EQ(pending[1].type, CommandType::kill);
}

TEST_F(Reconciliation, StopsABrokenGang) {
  accept("j-1", 2, JobType::gang);
  heartbeat({});
  start("j-1", 1, {0, 2});
  commit_records(
      heartbeat({task_report("j-1", 0, 1, TaskPhase::running), task_report("j-1", 1, 1, TaskPhase::exited, ExitReason::failed)}));
  EXPECT_TRUE(stop_broken_gangs(cluster_state));
  EXPECT_TRUE(job("j-1").placed.at(0).stopping);
}

// A leader failed while it preempted a gang: its successor stops the rest of the gang too.
TEST_F(Reconciliation, ResumesStopsThatAnEarlierLeaderBegan) {
  accept("j-1", 2, JobType::gang);
  accept("j-2", 2);
  for (const auto* uid : {"j-1", "j-2"}) {
    job(uid).spec.checkpoint_interval_s = 30;
    job(uid).spec.checkpoint_duration_s = 4;
    start(uid, 1, {0, 2});
  }
  heartbeat({task_report("j-1", 0, 1, TaskPhase::running), task_report("j-1", 1, 1, TaskPhase::running),
             task_report("j-2", 0, 1, TaskPhase::running), task_report("j-2", 1, 1, TaskPhase::running)});
  EXPECT_TRUE(resume_inherited_stops(cluster_state).empty());
  heartbeat({task_report("j-1", 0, 1, TaskPhase::checkpointing), task_report("j-1", 1, 1, TaskPhase::running),
             task_report("j-2", 0, 1, TaskPhase::checkpointing), task_report("j-2", 1, 1, TaskPhase::running)});
  EXPECT_EQ(resume_inherited_stops(cluster_state).size(), 1u);
  EXPECT_TRUE(job("j-1").placed.at(0).stopping);
  EXPECT_TRUE(job("j-2").placed.at(0).stopping);
  EXPECT_FALSE(job("j-2").placed.at(1).stopping) << "tasks of an array are stopped individually";
  ASSERT_EQ(commands().size(), 1u);
  EXPECT_EQ(commands()[0].type, CommandType::kill);
  EXPECT_EQ(commands()[0].id.uid + "/" + std::to_string(commands()[0].id.task), "j-1/1");
  EXPECT_EQ(commands()[0].grace_period_s, 4);
  EXPECT_TRUE(resume_inherited_stops(cluster_state).empty()) << "each stop is resumed once";
}

TEST_F(Reconciliation, DrainsANodeWithAnInterruptionNotice) {
  accept("j-1", 1, JobType::service);
  accept("j-2", 1);
  heartbeat({});
  start("j-1", 1, {0, 1});
  start("j-2", 1, {0, 1});
  job("j-2").spec.estimated_run_s = 5;
  node().agent.interruption_at = steady_s + 20;
  EXPECT_EQ(drain_interrupted_nodes(cluster_state, {steady_s, steady_s}).size(), 1u);
  EXPECT_TRUE(job("j-1").placed.at(0).stopping) << "a service is stopped at once";
  EXPECT_FALSE(job("j-2").placed.at(0).stopping) << "it completes before the interruption";
  job("j-2").spec.estimated_run_s = 50;
  drain_interrupted_nodes(cluster_state, {steady_s, steady_s});
  EXPECT_TRUE(job("j-2").placed.at(0).stopping);
}

// Guards against a lease that counts from time zero because a new leader sent the agent a command before any reply to a heartbeat.
TEST(LeaseExpiry, CountsFromTheFirstContactUnderTheTokenWithoutAnyHeartbeatReply) {
  Node node;
  node.agent.highest_token = kToken;
  node.agent.fenced_at = 100;
  const FencingState fencing_state{kToken, 99, 99.5};
  EXPECT_FALSE(is_lease_expired(node, fencing_state, 10, 101));
  EXPECT_FALSE(is_lease_expired(node, fencing_state, 10, 109.9));
  EXPECT_TRUE(is_lease_expired(node, fencing_state, 10, 111));
}

// The randomised safety test found this case: a new incarnation of an agent lives for a whole lease without any reply.
TEST_F(Reconciliation, GivesANewIncarnationAWholeLeaseFromItsFirstMessage) {
  heartbeat({});
  node().agent.last_replied_heartbeat_at = 100;
  steady_s = 109;
  heartbeat({}, false, kToken, 2);
  const FencingState fencing_state{kToken, 50, 50};
  EXPECT_FALSE(is_lease_expired(node(), fencing_state, 10, 112));
  EXPECT_TRUE(is_lease_expired(node(), fencing_state, 10, 120));
}

// A delayed heartbeat reply carries the start of an attempt that direct commands have meanwhile started and stopped. If its exit were
// acknowledged, the reply would start the attempt again.
TEST_F(Reconciliation, AcknowledgesNoExitWhileAReplyWithAStartMayBeInTransit) {
  accept("j-1", 1);
  heartbeat({});
  start("j-1", 1, {0, 1});
  const auto sent_commands = commands();
  ASSERT_EQ(sent_commands.size(), 1u);
  record_commands_sent(node(), serial, sent_commands);
  cluster_state.apply(JobCancelledRecord{"j-1"});
  commit_records(heartbeat({task_report("j-1", 0, 1, TaskPhase::exited, ExitReason::stopped)}, false));
  EXPECT_TRUE(commands().empty()) << "the reply to a command proves nothing about the reply to the heartbeat";
  heartbeat({task_report("j-1", 0, 1, TaskPhase::exited, ExitReason::stopped)});
  ASSERT_EQ(commands().size(), 1u) << "its next heartbeat shows that the reply has arrived or was dropped";
  EXPECT_EQ(commands()[0].type, CommandType::acknowledge_exit);
}

// Copies of a dead node's heartbeats reach the leader that has already received them, and its successor, which has received nothing else
// from the node.
TEST_F(Reconciliation, DoesNotCountACopyOfAHeartbeatAsASignOfLife) {
  heartbeat({}, true, kToken);
  const Heartbeat first = heartbeat_of_node("m-1", 1, node().agent.serial, kToken);
  const double received_at = steady_s;
  record_lease_renewal(node(), false, received_at);
  for (steady_s = received_at + 1; steady_s < received_at + 30; steady_s += 3) {
    const auto outcome = apply_heartbeat(cluster_state, first, {steady_s, steady_s}, true, kToken);
    EXPECT_TRUE(outcome.stale);
    record_lease_renewal(node(), outcome.stale, steady_s);
  }
  EXPECT_EQ(node().agent.last_heartbeat_at, received_at);
  EXPECT_EQ(node().agent.last_replied_heartbeat_at, received_at);
  EXPECT_TRUE(is_lease_expired(node(), {kToken, 1, 1}, 10, received_at + 11)) << "it expires as early as without the copies";

  constexpr std::uint64_t kLaterToken = kToken + 5;
  ClusterState successor_state = cluster_state_with_core_limit(10);
  Node* silent_node = nullptr;
  for (std::uint64_t serial = 1; serial < 9; ++serial, steady_s += 2) {
    Heartbeat copy = first;
    copy.serial = serial;
    apply_heartbeat(successor_state, copy, {steady_s, steady_s}, true, kLaterToken);
    silent_node = &successor_state.node(successor_state.find_node("m-1"));
    EXPECT_LT(silent_node->agent.highest_token, kLaterToken) << "so nothing is placed on it";
  }
  EXPECT_EQ(silent_node->agent.last_heartbeat_at, steady_s - 16) << "silent since the first copy";
  silent_node->lease_expired = true;
  Heartbeat copy = first;
  copy.serial = 20;
  apply_heartbeat(successor_state, copy, {steady_s, steady_s}, true, kLaterToken);
  EXPECT_TRUE(silent_node->lease_expired);
  copy.serial = 21;
  copy.fencing_token = kLaterToken;
  apply_heartbeat(successor_state, copy, {steady_s, steady_s}, true, kLaterToken);
  EXPECT_FALSE(silent_node->lease_expired) << "it has seen this leader";
}

// One-way partition: heartbeats arrive, but replies do not reach the agent. It shows when an incarnation ends although the leader replied
// to its heartbeats in time.
TEST_F(Reconciliation, DetectsANodeThatRepliesDoNotReach) {
  constexpr double kLeaseS = 10, kHeartbeatIntervalS = 1;
  std::uint64_t agent_incarnation = 1, serial = 100, fencing_token = kToken;
  const auto receive = [&](bool is_heartbeat) {
    const Heartbeat message = heartbeat_of_node("m-1", agent_incarnation, ++serial, fencing_token);
    Node& node = cluster_state.node(cluster_state.find_or_add_node("m-1"));
    track_responsiveness(node, message, is_heartbeat, steady_s, kLeaseS);
    const auto outcome = apply_heartbeat(cluster_state, message, {steady_s, steady_s}, is_heartbeat, kToken);
    if (is_heartbeat) record_lease_renewal(node, outcome.stale, steady_s);
  };
  receive(true);
  const double started_at = steady_s;
  for (; steady_s < started_at + 9; steady_s += kHeartbeatIntervalS) receive(true);
  EXPECT_FALSE(is_unresponsive(node(), steady_s, kHeartbeatIntervalS));
  ++agent_incarnation, serial = 0, steady_s = started_at + 10;
  receive(true);
  EXPECT_TRUE(is_unresponsive(node(), steady_s, kHeartbeatIntervalS)) << "its lease expired although the leader replied a second ago";
  for (; steady_s < started_at + 19; steady_s += kHeartbeatIntervalS) receive(true);
  EXPECT_TRUE(is_unresponsive(node(), steady_s, kHeartbeatIntervalS));
  EXPECT_TRUE(find_unresponsive_nodes_to_replace(cluster_state, steady_s, kLeaseS).empty());
  EXPECT_EQ(find_unresponsive_nodes_to_replace(cluster_state, steady_s + 3 * kLeaseS, kLeaseS).size(), 1u)
      << "replaced if it stays unresponsive";
  receive(false);
  EXPECT_FALSE(is_unresponsive(node(), steady_s, kHeartbeatIntervalS)) << "it replied to a command";
  // An agent that hung for longer than its lease has received all replies.
  ++agent_incarnation, serial = 0, steady_s += 11;
  receive(true);
  EXPECT_FALSE(is_unresponsive(node(), steady_s, kHeartbeatIntervalS));
}

TEST(LeaseExpiry, DoesNotExpireWhileAnEarlierLeaderMayStillRenewTheLease) {
  Node node;
  FencingState fencing_state{kToken, 100, -1};
  EXPECT_FALSE(is_lease_expired(node, fencing_state, 10, 1e6));
  fencing_state.sole_leader_since = 200;
  EXPECT_FALSE(is_lease_expired(node, fencing_state, 10, 205));
  EXPECT_TRUE(is_lease_expired(node, fencing_state, 10, 211));
}

// A leader whose leadership is uncertain sends only these kills: no start, no preemption, no acknowledgement.
TEST_F(Reconciliation, SelectsOnlyKillsOfCancelledJobsWhenLeadershipIsUncertain) {
  accept("j-1", 3);
  accept("j-2", 3);
  accept("j-3", 1);
  heartbeat({});
  start("j-1", 1, {0, 3});
  start("j-2", 1, {0, 2});
  heartbeat({task_report("j-1", 0, 1, TaskPhase::running), task_report("j-1", 1, 1, TaskPhase::exited, ExitReason::failed),
             task_report("j-2", 0, 1, TaskPhase::running), task_report("j-3", 0, 4, TaskPhase::pulling_image)});
  mark_for_stop(job("j-2").placed.at(0), 0);
  const auto kills = [&] { return kills_for_cancelled_jobs(cluster_state, cluster_state.find_node("m-1")); };
  EXPECT_TRUE(kills().empty());
  EXPECT_FALSE(commands().empty());
  cluster_state.apply(JobCancelledRecord{"j-1"});
  cluster_state.apply(JobCancelledRecord{"j-3"});
  std::set<std::string> killed;
  for (const auto& command : kills()) {
    EXPECT_EQ(command.type, CommandType::kill);
    EXPECT_EQ(command.grace_period_s, 0);
    killed.insert(command.id.uid + "/" + std::to_string(command.id.task));
  }
  // A running task, a task whose start may be in transit, and a task without a placement.
  EXPECT_EQ(killed, (std::set<std::string>{"j-1/0", "j-1/2", "j-3/0"}));
}

// Guards against a preempted task that finishes its checkpoint although its job was cancelled in the meantime.
TEST_F(Reconciliation, KillsATaskAtOnceThatIsCancelledWhileItWritesItsCheckpoint) {
  accept("j-1", 1);
  heartbeat({});
  start("j-1", 1, {0, 1});
  mark_for_stop(job("j-1").placed.at(0), 4);
  heartbeat({task_report("j-1", 0, 1, TaskPhase::checkpointing)});
  EXPECT_TRUE(commands().empty()) << "the checkpoint is allowed to finish";
  cluster_state.apply(JobCancelledRecord{"j-1"});
  ASSERT_EQ(commands().size(), 1u);
  EXPECT_EQ(commands()[0].type, CommandType::kill);
  EXPECT_EQ(commands()[0].grace_period_s, 0);
}

// An agent may execute a delayed start of a job that was cancelled in the meantime until its incarnation ends or it sees a higher token.
// Some time after the cancellation, its lease must therefore not be renewed.
TEST_F(Reconciliation, DetectsADelayedStartOfACancelledJobThatBlocksLeaseRenewal) {
  constexpr double kMinCancellationAgeS = 20;
  accept("j-1", 1);
  heartbeat({});
  start("j-1", 1, {0, 1});
  cluster_state.apply(JobCancelledRecord{"j-1"});
  job("j-1").cancelled_at = 100;
  const auto may_still_start = [&](double now) { return may_still_start_cancelled_job(cluster_state, node(), now, kMinCancellationAgeS); };
  EXPECT_FALSE(may_still_start(200)) << "no command is in transit";
  node().commands.indeterminate_token = kToken;
  EXPECT_FALSE(may_still_start(119));
  EXPECT_TRUE(may_still_start(121));
  heartbeat({}, true, kToken + 1);
  EXPECT_FALSE(may_still_start(121)) << "fenced by a higher token";
  node().commands.indeterminate_token = kToken + 1;
  job("j-1").cancelled_at = 0;
  EXPECT_FALSE(may_still_start(121)) << "a start of an earlier leader is fenced by any message of this leader";
}

}  // namespace
}  // namespace thistlefront
