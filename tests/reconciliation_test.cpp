// What a report means, and what a worker is due: the invariants of dealings with workers.
#include "worker_control/reconciliation.hpp"

#include <gtest/gtest.h>

#include <set>

#include "job_builders.hpp"
#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "model/machine.hpp"
#include "model/task.hpp"
#include "protocol/messages.hpp"
#include "worker_control/lease_renewal_policy.hpp"
#include "worker_control/one_way_partition.hpp"

namespace thistlefront {
namespace {

constexpr std::uint64_t kToken = 10;

class Dealings : public testing::Test {
 protected:
  Dealings() : cluster_state({{"red", {}, {}, {}}}) {
    MachineType f;
    f.name = "big";
    f.capacity = {8, 0, 32};
    cluster_state.apply(MachineTypesRecord{{f}});
  }
  void accept(const std::string& uid, std::uint32_t tasks, JobType job_type = JobType::array) {
    JobAcceptedRecord r;
    r.job.uid = uid;
    r.job.owner = "red";
    r.job.job_class = "c";
    r.job.image = "i";
    r.job.job_type = job_type;
    r.job.task_count = tasks;
    r.job.demand = {1, 0, 1};
    cluster_state.apply(r);
  }
  void start(const std::string& uid, std::uint64_t attempt, TaskRange tasks, std::uint64_t agent_incarnation = 1) {
    cluster_state.apply(TasksStartedRecord{uid, attempt, 0, {{"m-1", agent_incarnation, {tasks}}}});
  }
  HeartbeatOutcome heartbeat(std::vector<TaskReport> tasks, bool is_heartbeat = true, std::uint64_t fencing_token = kToken,
                             std::uint64_t agent_incarnation = 1) {
    Heartbeat r;
    r.node = "m-1";
    r.address = "127.0.0.1:1";
    r.machine_type = "big";
    r.zone = "x";
    r.agent_incarnation = agent_incarnation;
    r.serial = ++serial;
    r.fencing_token = fencing_token;
    r.tasks = std::move(tasks);
    return apply_heartbeat(cluster_state, r, {steady, steady}, is_heartbeat, kToken);
  }
  void make_durable(const HeartbeatOutcome& o) {
    for (const auto& r : o.records) cluster_state.apply(r);
  }
  Node& node() { return cluster_state.node(cluster_state.find_node("m-1")); }
  std::vector<Command> commands() { return pending_commands(cluster_state, cluster_state.find_node("m-1"), kToken); }
  Job& job(const std::string& uid) { return cluster_state.job(cluster_state.find(uid)); }

  ClusterState cluster_state;
  std::uint64_t serial = 0;
  double steady = 100;
};

TaskReport task_report(const std::string& uid, std::uint32_t task, std::uint64_t attempt, TaskPhase phase,
                       ExitReason exit_reason = ExitReason::none) {
  return {{uid, task}, attempt, phase, exit_reason, false};
}

TEST_F(Dealings, RunIsRepeatedUntilTheWorkerShowsTheTask) {
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

TEST_F(Dealings, ReapOnlyAfterTheOutcomeIsInTheLedgerAndRunNeverAfterwards) {
  accept("j-1", 1);
  heartbeat({});
  start("j-1", 1, {0, 1});
  const auto outcome = heartbeat({task_report("j-1", 0, 1, TaskPhase::exited, ExitReason::completed)});
  ASSERT_EQ(outcome.records.size(), 1u);
  EXPECT_TRUE(commands().empty()) << "neither reap nor run while the outcome is on its way";
  make_durable(outcome);
  EXPECT_EQ(job("j-1").status, JobStatus::done);
  ASSERT_EQ(commands().size(), 1u);
  EXPECT_EQ(commands()[0].type, CommandType::acknowledge_exit);
  heartbeat({});
  EXPECT_TRUE(commands().empty());
}

TEST_F(Dealings, NoReapWhileADirectStartIsInDoubt) {
  accept("j-1", 1);
  heartbeat({});
  start("j-1", 1, {0, 1});
  node().commands.uncertain_token = kToken;
  make_durable(heartbeat({task_report("j-1", 0, 1, TaskPhase::exited, ExitReason::failed)}));
  // A late start would run it again if the worker had forgotten this attempt.
  EXPECT_TRUE(commands().empty());
  heartbeat({task_report("j-1", 0, 1, TaskPhase::exited, ExitReason::failed)}, true, kToken + 1);
  ASSERT_EQ(commands().size(), 1u);
  EXPECT_EQ(commands()[0].type, CommandType::acknowledge_exit);
}

TEST_F(Dealings, AStoppedTaskThatIsAbsentIsOffOnlyWhenNoStartCanBeOnItsWay) {
  accept("j-1", 1);
  heartbeat({});
  start("j-1", 1, {0, 1});
  cluster_state.apply(JobCancelledRecord{"j-1"});
  EXPECT_EQ(commands()[0].type, CommandType::kill);
  EXPECT_TRUE(heartbeat({}, false).records.empty()) << "the answer to a direct command says nothing of reports' answers";
  EXPECT_TRUE(heartbeat({}, true, kToken - 1).records.empty()) << "an earlier leader's start may be on its way";
  node().commands.uncertain_token = kToken;
  EXPECT_TRUE(heartbeat({}).records.empty()) << "a start of this leader is in doubt";
  const auto outcome = heartbeat({}, true, kToken + 1);
  ASSERT_EQ(outcome.records.size(), 1u);
  make_durable(outcome);
  EXPECT_TRUE(node().placed.empty());
}

TEST_F(Dealings, ALaterTenureMeansThatAllIsOff) {
  accept("j-1", 2);
  heartbeat({});
  start("j-1", 1, {0, 2});
  make_durable(heartbeat({}, true, kToken, 2));
  EXPECT_EQ(job("j-1").pending, 2u);
  EXPECT_TRUE(commands().empty());
}

// Planned for one session, in the ledger after the next one was heard of.
TEST_F(Dealings, AStartForAnEarlierTenureIsOffWithTheNextReport) {
  accept("j-1", 1);
  heartbeat({}, true, kToken, 1);
  heartbeat({}, true, kToken, 2);
  start("j-1", 1, {0, 1}, 1);
  make_durable(heartbeat({}, true, kToken, 2));
  EXPECT_EQ(job("j-1").pending, 1u);
}

TEST_F(Dealings, AnOlderReportChangesNothing) {
  accept("j-1", 1);
  heartbeat({});
  start("j-1", 1, {0, 1});
  heartbeat({task_report("j-1", 0, 1, TaskPhase::running)});
  serial = 0;
  EXPECT_TRUE(heartbeat({}).stale);
  EXPECT_EQ(job("j-1").running(), 1u);
}

TEST_F(Dealings, StrayAttemptsAreKilled) {
  accept("j-1", 1);
  heartbeat({task_report("j-1", 0, 7, TaskPhase::running), task_report("j-9", 3, 1, TaskPhase::running)});
  const auto due = commands();
  ASSERT_EQ(due.size(), 2u);
  EXPECT_EQ(due[0].type, CommandType::kill);
  EXPECT_EQ(due[1].type, CommandType::kill);
}

TEST_F(Dealings, ABrokenGangIsStopped) {
  accept("j-1", 2, JobType::gang);
  heartbeat({});
  start("j-1", 1, {0, 2});
  make_durable(heartbeat({task_report("j-1", 0, 1, TaskPhase::running), task_report("j-1", 1, 1, TaskPhase::exited, ExitReason::failed)}));
  EXPECT_TRUE(stop_broken_gangs(cluster_state));
  EXPECT_TRUE(job("j-1").placed.at(0).stopping);
}

// A leader ended while it stopped a gang to make room: its successor stops the rest of it in order, and counts on the room.
TEST_F(Dealings, StopsThatAnEarlierLeaderBeganGoOn) {
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

TEST_F(Dealings, ARecalledMachineIsDrained) {
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

// Tasks that come back scattered, as after a cut, made a start too large for an entry: it was refused, and every leader in
// turn stepped down for it (kaubaalus ops, operations, once).
TEST(FittingRecords, ScatteredStartsAndEndsFitIntoAnEntry) {
  TasksStartedRecord r{"j-000001", 3, 1234567.891, {}};
  std::size_t tasks = 0;
  for (int h = 0; h < 40; ++h) {
    TasksStartedRecord::NodeAssignment part{"m-" + std::to_string(100000 + h), 12, {}};
    for (int i = 0; i < 256; ++i, ++tasks) append_task(part.tasks, 20000 + static_cast<std::uint32_t>(2 * tasks));
    r.assignments.push_back(std::move(part));
  }
  std::size_t found = 0;
  for (const auto& s : split_by_size(r)) {
    EXPECT_LT(encoded_size(s), 4000u);
    EXPECT_EQ(s.attempt, 3u);
    for (const auto& p : s.assignments)
      for (const auto& range : p.tasks) found += range.last - range.first;
  }
  EXPECT_EQ(found, tasks);

  ClusterState cluster_state = book_of_red(1e6);
  cluster_state.apply(JobAcceptedRecord{submission("j-1", 4000, 0.01), 0.5, 1});
  TasksStartedRecord all{"j-1", 1, 1, {{"m-1", 1, {}}}};
  for (std::uint32_t t = 0; t < 4000; t += 2) append_task(all.assignments[0].tasks, t);
  for (const auto& s : split_by_size(all)) cluster_state.apply(s);
  ASSERT_EQ(cluster_state.job(cluster_state.find("j-1")).placed.size(), 2000u);
  std::size_t off = 0;
  for (const auto& end : evict_all_tasks(cluster_state, cluster_state.find_node("m-1"))) {
    EXPECT_LT(encoded_size(end), 4000u);
    for (const auto& range : std::get<TasksRemovedRecord>(end).tasks) off += range.last - range.first;
  }
  EXPECT_EQ(off, 2000u);
}

// A new leader greets a worker before it has answered any of its reports: its lease must not count from never.
TEST(Lease, OfAGreetedWorkerCountsFromWhenItWasKnownToHaveSeenTheEpoch) {
  Node node;
  node.agent.highest_token = kToken;
  node.agent.fenced_at = 100;
  const FencingState fencing_state{kToken, 99, 99.5};
  EXPECT_FALSE(is_lease_expired(node, fencing_state, 10, 101));
  EXPECT_FALSE(is_lease_expired(node, fencing_state, 10, 109.9));
  EXPECT_TRUE(is_lease_expired(node, fencing_state, 10, 111));
}

// Found by the randomised test: a worker's new session lives for a whole lease without any answer.
TEST_F(Dealings, ANewTenureHasAWholeLeaseFromWhenItIsHeardOf) {
  heartbeat({});
  node().agent.last_answered_at = 100;
  steady = 109;
  heartbeat({}, false, kToken, 2);
  const FencingState fencing_state{kToken, 50, 50};
  EXPECT_FALSE(is_lease_expired(node(), fencing_state, 10, 112));
  EXPECT_TRUE(is_lease_expired(node(), fencing_state, 10, 120));
}

// An answer that says run is on its way; a command starts, stops and would reap the same attempt: the answer, coming last,
// would start it again.
TEST_F(Dealings, NothingIsReapedWhileAnAnswerThatSaysRunMayBeOnItsWay) {
  accept("j-1", 1);
  heartbeat({});
  start("j-1", 1, {0, 1});
  const auto told = commands();
  ASSERT_EQ(told.size(), 1u);
  record_commands_sent(node(), serial, told);
  cluster_state.apply(JobCancelledRecord{"j-1"});
  make_durable(heartbeat({task_report("j-1", 0, 1, TaskPhase::exited, ExitReason::stopped)}, false));
  EXPECT_TRUE(commands().empty()) << "by the answer to a command nobody knows what became of the report's";
  heartbeat({task_report("j-1", 0, 1, TaskPhase::exited, ExitReason::stopped)});
  ASSERT_EQ(commands().size(), 1u) << "its next report: the answer came, or never will";
  EXPECT_EQ(commands()[0].type, CommandType::acknowledge_exit);
}

// Copies of a dead machine's reports, to the leader that had them and to its successor, which never heard of it.
TEST_F(Dealings, ACopyOfAReportIsNoSignOfLife) {
  heartbeat({}, true, kToken);
  const Heartbeat first{"m-1", "a", "big", "x", false, 1, node().agent.serial, kToken, std::nullopt, {}};
  const double heard = steady;
  record_lease_renewal(node(), false, heard);
  for (steady = heard + 1; steady < heard + 30; steady += 3) {
    const auto outcome = apply_heartbeat(cluster_state, first, {steady, steady}, true, kToken);
    EXPECT_TRUE(outcome.stale);
    record_lease_renewal(node(), outcome.stale, steady);
  }
  EXPECT_EQ(node().agent.last_heartbeat_at, heard);
  EXPECT_EQ(node().agent.last_answered_at, heard);
  EXPECT_TRUE(is_lease_expired(node(), {kToken, 1, 1}, 10, heard + 11)) << "found lost when it would have been without them";

  constexpr std::uint64_t kLater = kToken + 5;
  ClusterState next = book_of_red(10);
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

// Reports come and answers do not arrive: it is told when a tenure ends that was answered all along.
TEST_F(Dealings, AMachineThatAnswersDoNotReachIsToldByWhatItReports) {
  constexpr double kLease = 10, kHeartbeat = 1;
  std::uint64_t agent_incarnation = 1, serial = 100, fencing_token = kToken;
  const auto heard = [&](bool is_heartbeat) {
    const Heartbeat r{"m-1", "a", "big", "x", false, agent_incarnation, ++serial, fencing_token, std::nullopt, {}};
    Node& h = cluster_state.node(cluster_state.find_or_add_node("m-1"));
    observe_message(h, r, is_heartbeat, steady, kLease);
    const auto outcome = apply_heartbeat(cluster_state, r, {steady, steady}, is_heartbeat, kToken);
    if (is_heartbeat) record_lease_renewal(h, outcome.stale, steady);
  };
  heard(true);
  const double began = steady;
  for (; steady < began + 9; steady += kHeartbeat) heard(true);
  EXPECT_FALSE(is_unresponsive(node(), steady, kHeartbeat));
  ++agent_incarnation, serial = 0, steady = began + 10;
  heard(true);
  EXPECT_TRUE(is_unresponsive(node(), steady, kHeartbeat)) << "its lease ran out, though it was answered a second ago";
  for (; steady < began + 19; steady += kHeartbeat) heard(true);
  EXPECT_TRUE(is_unresponsive(node(), steady, kHeartbeat));
  EXPECT_TRUE(unresponsive_nodes_to_replace(cluster_state, steady, kLease).empty());
  EXPECT_EQ(unresponsive_nodes_to_replace(cluster_state, steady + 3 * kLease, kLease).size(), 1u) << "replaced, if it stays so";
  heard(false);
  EXPECT_FALSE(is_unresponsive(node(), steady, kHeartbeat)) << "it answered a command";
  // One that stood still for longer than its lease heard all that it was sent.
  ++agent_incarnation, serial = 0, steady += 11;
  heard(true);
  EXPECT_FALSE(is_unresponsive(node(), steady, kHeartbeat));
}

TEST(Lease, OfASilentWorkerIsNotOverWhileAPeerMayStillAnswerIt) {
  Node node;
  FencingState fencing_state{kToken, 100, -1};
  EXPECT_FALSE(is_lease_expired(node, fencing_state, 10, 1e6));
  fencing_state.peers_acked_at = 200;
  EXPECT_FALSE(is_lease_expired(node, fencing_state, 10, 205));
  EXPECT_TRUE(is_lease_expired(node, fencing_state, 10, 211));
}

// A leader in doubt gives these and nothing else: no start, no stop to make room, no reap.
TEST_F(Dealings, KillsOfWhatIsCancelledAreAllThatALeaderInDoubtGives) {
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
  for (const auto& o : kills()) {
    EXPECT_EQ(o.type, CommandType::kill);
    EXPECT_EQ(o.grace_period_s, 0);
    killed.insert(o.id.uid + "/" + std::to_string(o.id.task));
  }
  // One that runs, one whose start may be on its way, and one that the book places nowhere.
  EXPECT_EQ(killed, (std::set<std::string>{"j-1/0", "j-1/2", "j-3/0"}));
}

// Stopped to make room, it saves; cancelled meanwhile, it was left to save and to wait for its gang.
TEST_F(Dealings, WhatIsCancelledWhileItSavesIsEndedAtOnce) {
  accept("j-1", 1);
  heartbeat({});
  start("j-1", 1, {0, 1});
  mark_for_stop(job("j-1").placed.at(0), 4);
  heartbeat({task_report("j-1", 0, 1, TaskPhase::checkpointing)});
  EXPECT_TRUE(commands().empty()) << "it saves";
  cluster_state.apply(JobCancelledRecord{"j-1"});
  ASSERT_EQ(commands().size(), 1u);
  EXPECT_EQ(commands()[0].type, CommandType::kill);
  EXPECT_EQ(commands()[0].grace_period_s, 0);
}

// Held up on its way, a start of a job that is cancelled since may be carried out as long as the session lasts and no higher
// token was seen: no report is answered for longer than the command may still matter.
TEST_F(Dealings, ALeaseIsNotRenewedBeyondWhatALateStartOfACancelledJobAllows) {
  constexpr double span = 20;
  accept("j-1", 1);
  heartbeat({});
  start("j-1", 1, {0, 1});
  cluster_state.apply(JobCancelledRecord{"j-1"});
  job("j-1").cancelled_at = 100;
  const auto late = [&](double now) { return has_late_start_of_cancelled_job(cluster_state, node(), now, span); };
  EXPECT_FALSE(late(200)) << "no command is on its way";
  node().commands.uncertain_token = kToken;
  EXPECT_FALSE(late(119));
  EXPECT_TRUE(late(121));
  heartbeat({}, true, kToken + 1);
  EXPECT_FALSE(late(121)) << "fenced by a higher token";
  node().commands.uncertain_token = kToken + 1;
  job("j-1").cancelled_at = 0;
  EXPECT_FALSE(late(121)) << "an earlier leader's: it is fenced by any answer of this one";
}

}  // namespace
}  // namespace thistlefront
