// Reconciliation between the cluster state and an agent: what its heartbeats mean, which commands it is due, and when its lease has
// expired.
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
#include "worker_control/lease_renewal_policy.hpp"
#include "worker_control/one_way_partition.hpp"

namespace thistlefront {
namespace {

constexpr std::uint64_t kToken = 10;

class Reconciliation : public testing::Test {
 protected:
  Reconciliation() : cluster_state({{"red", {}, {}, {}}}) { cluster_state.apply(big_machine_type()); }
  void accept(const std::string& uid, std::uint32_t tasks, JobType job_type = JobType::array) {
    cluster_state.apply(accepted_job(uid, tasks, job_type));
  }
  void start(const std::string& uid, std::uint64_t attempt, TaskRange tasks, std::uint64_t agent_incarnation = 1) {
    cluster_state.apply(TasksStartedRecord{uid, attempt, 0, {{"m-1", agent_incarnation, {tasks}}}});
  }
  HeartbeatOutcome heartbeat(std::vector<TaskReport> tasks, bool is_heartbeat = true, std::uint64_t fencing_token = kToken,
                             std::uint64_t agent_incarnation = 1) {
    const Heartbeat message = heartbeat_of_node("m-1", agent_incarnation, ++serial, fencing_token, std::move(tasks));
    return apply_heartbeat(cluster_state, message, {steady, steady}, is_heartbeat, kToken);
  }
  void make_durable(const HeartbeatOutcome& outcome) {
    for (const auto& record : outcome.records) cluster_state.apply(record);
  }
  Node& node() { return cluster_state.node(cluster_state.find_node("m-1")); }
  std::vector<Command> commands() { return pending_commands(cluster_state, cluster_state.find_node("m-1"), kToken); }
  Job& job(const std::string& uid) { return cluster_state.job(cluster_state.find(uid)); }

  ClusterState cluster_state;
  std::uint64_t serial = 0;
  double steady = 100;
};

TEST_F(Reconciliation, RunIsRepeatedUntilTheAgentReportsTheTask) {
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

TEST_F(Reconciliation, ExitIsAcknowledgedOnlyAfterItsOutcomeIsInTheLedgerAndTheTaskNeverRunAgain) {
  accept("j-1", 1);
  heartbeat({});
  start("j-1", 1, {0, 1});
  const auto outcome = heartbeat({task_report("j-1", 0, 1, TaskPhase::exited, ExitReason::completed)});
  ASSERT_EQ(outcome.records.size(), 1u);
  EXPECT_TRUE(commands().empty()) << "neither acknowledged nor run while the outcome is on its way";
  make_durable(outcome);
  EXPECT_EQ(job("j-1").status, JobStatus::done);
  ASSERT_EQ(commands().size(), 1u);
  EXPECT_EQ(commands()[0].type, CommandType::acknowledge_exit);
  heartbeat({});
  EXPECT_TRUE(commands().empty());
}

TEST_F(Reconciliation, NoExitIsAcknowledgedWhileADirectStartIsUncertain) {
  accept("j-1", 1);
  heartbeat({});
  start("j-1", 1, {0, 1});
  node().commands.indeterminate_token = kToken;
  make_durable(heartbeat({task_report("j-1", 0, 1, TaskPhase::exited, ExitReason::failed)}));
  // A late start would run it again if the agent had forgotten this attempt.
  EXPECT_TRUE(commands().empty());
  heartbeat({task_report("j-1", 0, 1, TaskPhase::exited, ExitReason::failed)}, true, kToken + 1);
  ASSERT_EQ(commands().size(), 1u);
  EXPECT_EQ(commands()[0].type, CommandType::acknowledge_exit);
}

TEST_F(Reconciliation, AStoppedTaskThatIsAbsentIsRemovedOnlyWhenNoStartCanBeOnItsWay) {
  accept("j-1", 1);
  heartbeat({});
  start("j-1", 1, {0, 1});
  cluster_state.apply(JobCancelledRecord{"j-1"});
  EXPECT_EQ(commands()[0].type, CommandType::kill);
  EXPECT_TRUE(heartbeat({}, false).records.empty()) << "the answer to a direct command says nothing about answers to heartbeats";
  EXPECT_TRUE(heartbeat({}, true, kToken - 1).records.empty()) << "an earlier leader's start may be on its way";
  node().commands.indeterminate_token = kToken;
  EXPECT_TRUE(heartbeat({}).records.empty()) << "a start of this leader is uncertain";
  const auto outcome = heartbeat({}, true, kToken + 1);
  ASSERT_EQ(outcome.records.size(), 1u);
  make_durable(outcome);
  EXPECT_TRUE(node().placed.empty());
}

TEST_F(Reconciliation, ALaterIncarnationMeansThatAllTasksAreRemoved) {
  accept("j-1", 2);
  heartbeat({});
  start("j-1", 1, {0, 2});
  make_durable(heartbeat({}, true, kToken, 2));
  EXPECT_EQ(job("j-1").pending, 2u);
  EXPECT_TRUE(commands().empty());
}

// Planned for one incarnation, in the ledger after the next one was heard of.
TEST_F(Reconciliation, AStartForAnEarlierIncarnationIsRemovedWithTheNextHeartbeat) {
  accept("j-1", 1);
  heartbeat({}, true, kToken, 1);
  heartbeat({}, true, kToken, 2);
  start("j-1", 1, {0, 1}, 1);
  make_durable(heartbeat({}, true, kToken, 2));
  EXPECT_EQ(job("j-1").pending, 1u);
}

TEST_F(Reconciliation, AnOlderHeartbeatChangesNothing) {
  accept("j-1", 1);
  heartbeat({});
  start("j-1", 1, {0, 1});
  heartbeat({task_report("j-1", 0, 1, TaskPhase::running)});
  serial = 0;
  EXPECT_TRUE(heartbeat({}).stale);
  EXPECT_EQ(job("j-1").running(), 1u);
}

TEST_F(Reconciliation, StrayAttemptsAreKilled) {
  accept("j-1", 1);
  heartbeat({task_report("j-1", 0, 7, TaskPhase::running), task_report("j-9", 3, 1, TaskPhase::running)});
  const auto due = commands();
  ASSERT_EQ(due.size(), 2u);
  EXPECT_EQ(due[0].type, CommandType::kill);
  EXPECT_EQ(due[1].type, CommandType::kill);
}

TEST_F(Reconciliation, ABrokenGangIsStopped) {
  accept("j-1", 2, JobType::gang);
  heartbeat({});
  start("j-1", 1, {0, 2});
  make_durable(heartbeat({task_report("j-1", 0, 1, TaskPhase::running), task_report("j-1", 1, 1, TaskPhase::exited, ExitReason::failed)}));
  EXPECT_TRUE(stop_broken_gangs(cluster_state));
  EXPECT_TRUE(job("j-1").placed.at(0).stopping);
}

// A leader ended while it stopped a gang to make room: its successor stops the rest of the gang too, and counts on the room.
TEST_F(Reconciliation, StopsThatAnEarlierLeaderBeganAreResumed) {
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
  EXPECT_FALSE(job("j-2").placed.at(1).stopping) << "the tasks of an array are stopped one by one";
  ASSERT_EQ(commands().size(), 1u);
  EXPECT_EQ(commands()[0].type, CommandType::kill);
  EXPECT_EQ(commands()[0].id.uid + "/" + std::to_string(commands()[0].id.task), "j-1/1");
  EXPECT_EQ(commands()[0].grace_period_s, 4);
  EXPECT_TRUE(resume_inherited_stops(cluster_state).empty()) << "once";
}

TEST_F(Reconciliation, ANodeAboutToBeInterruptedIsDrained) {
  accept("j-1", 1, JobType::service);
  accept("j-2", 1);
  heartbeat({});
  start("j-1", 1, {0, 1});
  start("j-2", 1, {0, 1});
  job("j-2").spec.estimated_run_s = 5;
  node().agent.interruption_at = steady + 20;
  EXPECT_EQ(drain_interrupted_nodes(cluster_state, {steady, steady}).size(), 1u);
  EXPECT_TRUE(job("j-1").placed.at(0).stopping) << "a service moves at once";
  EXPECT_FALSE(job("j-2").placed.at(0).stopping) << "it ends before the machine goes";
  job("j-2").spec.estimated_run_s = 50;
  drain_interrupted_nodes(cluster_state, {steady, steady});
  EXPECT_TRUE(job("j-2").placed.at(0).stopping);
}

// A new leader sends an agent a command before it has answered any of its heartbeats: its lease must not count from zero.
TEST(LeaseExpiry, OfANodeReachedByCommandCountsFromWhenItSawTheToken) {
  Node node;
  node.agent.highest_token = kToken;
  node.agent.fenced_at = 100;
  const FencingState fencing_state{kToken, 99, 99.5};
  EXPECT_FALSE(is_lease_expired(node, fencing_state, 10, 101));
  EXPECT_FALSE(is_lease_expired(node, fencing_state, 10, 109.9));
  EXPECT_TRUE(is_lease_expired(node, fencing_state, 10, 111));
}

// Found by the randomised test: an agent's new incarnation lives for a whole lease without any answer.
TEST_F(Reconciliation, ANewIncarnationHasAWholeLeaseFromItsFirstMessage) {
  heartbeat({});
  node().agent.last_answered_heartbeat_at = 100;
  steady = 109;
  heartbeat({}, false, kToken, 2);
  const FencingState fencing_state{kToken, 50, 50};
  EXPECT_FALSE(is_lease_expired(node(), fencing_state, 10, 112));
  EXPECT_TRUE(is_lease_expired(node(), fencing_state, 10, 120));
}

// An answer that starts an attempt is on its way; direct commands start it, stop it and would acknowledge its exit: the answer,
// arriving last, would start it again.
TEST_F(Reconciliation, NoExitIsAcknowledgedWhileAnAnswerWithAStartMayBeOnItsWay) {
  accept("j-1", 1);
  heartbeat({});
  start("j-1", 1, {0, 1});
  const auto sent = commands();
  ASSERT_EQ(sent.size(), 1u);
  record_commands_sent(node(), serial, sent);
  cluster_state.apply(JobCancelledRecord{"j-1"});
  make_durable(heartbeat({task_report("j-1", 0, 1, TaskPhase::exited, ExitReason::stopped)}, false));
  EXPECT_TRUE(commands().empty()) << "the answer to a command does not tell what became of the answer to the heartbeat";
  heartbeat({task_report("j-1", 0, 1, TaskPhase::exited, ExitReason::stopped)});
  ASSERT_EQ(commands().size(), 1u) << "its next heartbeat: the answer has arrived, or never will";
  EXPECT_EQ(commands()[0].type, CommandType::acknowledge_exit);
}

// Copies of a dead node's heartbeats reach the leader that had them already, and its successor, which never heard of the node.
TEST_F(Reconciliation, ACopyOfAHeartbeatIsNoSignOfLife) {
  heartbeat({}, true, kToken);
  const Heartbeat first = heartbeat_of_node("m-1", 1, node().agent.serial, kToken);
  const double heard_at = steady;
  record_lease_renewal(node(), false, heard_at);
  for (steady = heard_at + 1; steady < heard_at + 30; steady += 3) {
    const auto outcome = apply_heartbeat(cluster_state, first, {steady, steady}, true, kToken);
    EXPECT_TRUE(outcome.stale);
    record_lease_renewal(node(), outcome.stale, steady);
  }
  EXPECT_EQ(node().agent.last_heartbeat_at, heard_at);
  EXPECT_EQ(node().agent.last_answered_heartbeat_at, heard_at);
  EXPECT_TRUE(is_lease_expired(node(), {kToken, 1, 1}, 10, heard_at + 11)) << "it expires as early as without the copies";

  constexpr std::uint64_t kLater = kToken + 5;
  ClusterState next = cluster_state_with_core_limit(10);
  Node* there = nullptr;
  for (std::uint64_t serial = 1; serial < 9; ++serial, steady += 2) {
    Heartbeat copy = first;
    copy.serial = serial;
    apply_heartbeat(next, copy, {steady, steady}, true, kLater);
    there = &next.node(next.find_node("m-1"));
    EXPECT_LT(there->agent.highest_token, kLater) << "so nothing is placed there";
  }
  EXPECT_EQ(there->agent.last_heartbeat_at, steady - 16) << "silent since the first of them";
  there->lease_expired = true;
  Heartbeat copy = first;
  copy.serial = 20;
  apply_heartbeat(next, copy, {steady, steady}, true, kLater);
  EXPECT_TRUE(there->lease_expired);
  copy.serial = 21;
  copy.fencing_token = kLater;
  apply_heartbeat(next, copy, {steady, steady}, true, kLater);
  EXPECT_FALSE(there->lease_expired) << "it has seen this leader";
}

// Heartbeats come and answers do not arrive: detected when an incarnation ends that was answered all along.
TEST_F(Reconciliation, ANodeThatAnswersDoNotReachIsDetectedFromItsHeartbeats) {
  constexpr double kLease = 10, kHeartbeat = 1;
  std::uint64_t agent_incarnation = 1, serial = 100, fencing_token = kToken;
  const auto receive = [&](bool is_heartbeat) {
    const Heartbeat message = heartbeat_of_node("m-1", agent_incarnation, ++serial, fencing_token);
    Node& node = cluster_state.node(cluster_state.find_or_add_node("m-1"));
    observe_message(node, message, is_heartbeat, steady, kLease);
    const auto outcome = apply_heartbeat(cluster_state, message, {steady, steady}, is_heartbeat, kToken);
    if (is_heartbeat) record_lease_renewal(node, outcome.stale, steady);
  };
  receive(true);
  const double began = steady;
  for (; steady < began + 9; steady += kHeartbeat) receive(true);
  EXPECT_FALSE(is_unresponsive(node(), steady, kHeartbeat));
  ++agent_incarnation, serial = 0, steady = began + 10;
  receive(true);
  EXPECT_TRUE(is_unresponsive(node(), steady, kHeartbeat)) << "its lease expired, though it was answered a second ago";
  for (; steady < began + 19; steady += kHeartbeat) receive(true);
  EXPECT_TRUE(is_unresponsive(node(), steady, kHeartbeat));
  EXPECT_TRUE(unresponsive_nodes_to_replace(cluster_state, steady, kLease).empty());
  EXPECT_EQ(unresponsive_nodes_to_replace(cluster_state, steady + 3 * kLease, kLease).size(), 1u) << "replaced, if it stays so";
  receive(false);
  EXPECT_FALSE(is_unresponsive(node(), steady, kHeartbeat)) << "it answered a command";
  // One that stood still for longer than its lease heard all that it was sent.
  ++agent_incarnation, serial = 0, steady += 11;
  receive(true);
  EXPECT_FALSE(is_unresponsive(node(), steady, kHeartbeat));
}

TEST(LeaseExpiry, OfASilentNodeHasNotExpiredWhileAPeerMayStillRenewIt) {
  Node node;
  FencingState fencing_state{kToken, 100, -1};
  EXPECT_FALSE(is_lease_expired(node, fencing_state, 10, 1e6));
  fencing_state.peers_acked_at = 200;
  EXPECT_FALSE(is_lease_expired(node, fencing_state, 10, 205));
  EXPECT_TRUE(is_lease_expired(node, fencing_state, 10, 211));
}

// An uncertain leader sends these and nothing else: no start, no stop to make room, no acknowledgement.
TEST_F(Reconciliation, AnUncertainLeaderSendsOnlyKillsOfCancelledJobs) {
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
  // One that runs, one whose start may be on its way, and one that the cluster state places nowhere.
  EXPECT_EQ(killed, (std::set<std::string>{"j-1/0", "j-1/2", "j-3/0"}));
}

// A task stopped to make room writes its checkpoint; when it was cancelled meanwhile, it used to be left to finish that.
TEST_F(Reconciliation, ATaskCancelledWhileItWritesItsCheckpointIsKilledAtOnce) {
  accept("j-1", 1);
  heartbeat({});
  start("j-1", 1, {0, 1});
  mark_for_stop(job("j-1").placed.at(0), 4);
  heartbeat({task_report("j-1", 0, 1, TaskPhase::checkpointing)});
  EXPECT_TRUE(commands().empty()) << "it writes its checkpoint";
  cluster_state.apply(JobCancelledRecord{"j-1"});
  ASSERT_EQ(commands().size(), 1u);
  EXPECT_EQ(commands()[0].type, CommandType::kill);
  EXPECT_EQ(commands()[0].grace_period_s, 0);
}

// A delayed start of a job that is cancelled since may be executed as long as the incarnation lasts and no higher token was seen: the
// lease is not renewed for longer than the command may still matter.
TEST_F(Reconciliation, ALeaseIsNotRenewedBeyondWhatALateStartOfACancelledJobAllows) {
  constexpr double kSpan = 20;
  accept("j-1", 1);
  heartbeat({});
  start("j-1", 1, {0, 1});
  cluster_state.apply(JobCancelledRecord{"j-1"});
  job("j-1").cancelled_at = 100;
  const auto late = [&](double now) { return has_late_start_of_cancelled_job(cluster_state, node(), now, kSpan); };
  EXPECT_FALSE(late(200)) << "no command is on its way";
  node().commands.indeterminate_token = kToken;
  EXPECT_FALSE(late(119));
  EXPECT_TRUE(late(121));
  heartbeat({}, true, kToken + 1);
  EXPECT_FALSE(late(121)) << "fenced by a higher token";
  node().commands.indeterminate_token = kToken + 1;
  job("j-1").cancelled_at = 0;
  EXPECT_FALSE(late(121)) << "an earlier leader's start is fenced by any answer of this one";
}

}  // namespace
}  // namespace thistlefront
