// Exits are acknowledged only under a higher fencing token than the direct starts of their attempts, and the leader raises its token for
// it.
#include "worker_control/start_fencing.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "reconciliation_fixture.hpp"

namespace thistlefront {
namespace {

class StartFencing : public ReconciliationFixture {
 protected:
  // Sends the commands that are due directly, and returns them; the agent replies.
  std::vector<Command> send_directly(std::uint64_t current_token) {
    auto due = commands(current_token);
    record_direct_call(cluster_state, cluster_state.find_node("m-1"), current_token, due);
    record_direct_call_end(node(), current_token, includes_start(due), false);
    return due;
  }
};

class EndedAttempt : public StartFencing, public testing::WithParamInterface<ExitReason> {};

TEST_P(EndedAttempt, IsAcknowledgedOnlyUnderAHigherTokenThanItsAnsweredDirectStart) {
  accept("j-1", 1);
  heartbeat({});
  start("j-1", 1, {0, 1});
  send_directly(kToken);
  const std::vector<TaskReport> ended{task_report("j-1", 0, 1, TaskPhase::exited, GetParam())};
  commit_records(heartbeat(ended, false));
  heartbeat(ended);
  EXPECT_TRUE(commands().empty()) << "a copy of the start would run the attempt again";
  EXPECT_EQ(needed_token_raise(cluster_state, kToken), TokenRaise::deferrable);
  ASSERT_EQ(commands(kToken + 1).size(), 1u);
  EXPECT_EQ(commands(kToken + 1)[0].type, CommandType::acknowledge_exit);
  EXPECT_EQ(needed_token_raise(cluster_state, kToken + 1), TokenRaise::none);
  heartbeat({});
  EXPECT_EQ(needed_token_raise(cluster_state, kToken), TokenRaise::none);
}
INSTANTIATE_TEST_SUITE_P(Reasons, EndedAttempt,
                         testing::Values(ExitReason::completed, ExitReason::stopped, ExitReason::gang_member_lost,
                                         ExitReason::gang_incomplete, ExitReason::failed, ExitReason::insufficient_resources,
                                         ExitReason::duplicate_attempt, ExitReason::unknown_task));

TEST_F(StartFencing, AcknowledgesTheExitOfACancelledJobOnlyUnderAHigherTokenThanItsDirectStart) {
  accept("j-1", 1);
  heartbeat({});
  start("j-1", 1, {0, 1});
  send_directly(kToken);
  heartbeat({task_report("j-1", 0, 1, TaskPhase::running)});
  cluster_state.apply(JobCancelledRecord{"j-1"});
  send_directly(kToken);
  commit_records(heartbeat({task_report("j-1", 0, 1, TaskPhase::exited, ExitReason::stopped)}));
  EXPECT_TRUE(commands().empty());
  ASSERT_EQ(commands(kToken + 1).size(), 1u);
  EXPECT_EQ(commands(kToken + 1)[0].type, CommandType::acknowledge_exit);
}

TEST_F(StartFencing, AcknowledgesAnExitAtOnceIfTheTokenWasRaisedWhileTheTaskRan) {
  accept("j-1", 1);
  accept("j-2", 1);
  heartbeat({});
  start("j-1", 1, {0, 1});
  send_directly(kToken);
  heartbeat({task_report("j-1", 0, 1, TaskPhase::running)});
  start("j-2", 1, {0, 1});
  send_directly(kToken + 1);
  commit_records(heartbeat({task_report("j-1", 0, 1, TaskPhase::exited, ExitReason::completed),
                            task_report("j-2", 0, 1, TaskPhase::exited, ExitReason::completed)}));
  ASSERT_EQ(commands(kToken + 1).size(), 1u) << "the start of the other attempt was sent under this token";
  EXPECT_EQ(commands(kToken + 1)[0].id.uid, "j-1");
  EXPECT_EQ(commands(kToken + 2).size(), 2u);
}

TEST_F(StartFencing, StartsATaskAgainOnlyWhenTheAgentNoLongerHoldsItsExitedAttempt) {
  accept("j-1", 1);
  heartbeat({});
  start("j-1", 1, {0, 1});
  send_directly(kToken);
  commit_records(heartbeat({task_report("j-1", 0, 1, TaskPhase::exited, ExitReason::stopped)}));
  start("j-1", 2, {0, 1});
  EXPECT_TRUE(commands().empty()) << "the agent would refuse the start: it holds another attempt";
  EXPECT_EQ(needed_token_raise(cluster_state, kToken), TokenRaise::urgent);
  const auto due = commands(kToken + 1);
  ASSERT_EQ(due.size(), 2u);
  EXPECT_EQ(due[0].type, CommandType::acknowledge_exit);
  EXPECT_EQ(due[1].type, CommandType::run);
  EXPECT_EQ(due[1].attempt, 2u);
}

TEST_F(StartFencing, RaisesTheTokenSoonIfAnAgentReportsManyExits) {
  constexpr std::uint32_t kTasks = 101;
  accept("j-1", kTasks);
  heartbeat({});
  start("j-1", 1, {0, kTasks});
  send_directly(kToken);
  std::vector<TaskReport> ended;
  for (std::uint32_t task = 0; task < kTasks; ++task)
    ended.push_back(task_report("j-1", task, 1, TaskPhase::exited, ExitReason::completed));
  const TaskReport last = ended.back();
  ended.pop_back();
  commit_records(heartbeat(ended));
  EXPECT_EQ(needed_token_raise(cluster_state, kToken), TokenRaise::deferrable);
  ended.push_back(last);
  commit_records(heartbeat(ended));
  EXPECT_EQ(needed_token_raise(cluster_state, kToken), TokenRaise::urgent);
}

// An agent that starts and ends ten tasks each half second, for an hour. The token is raised by the rule of the leader.
TEST_F(StartFencing, ReportsStayShortWhileAnAgentRunsShortTasks) {
  constexpr double kStepS = 0.5, kLeaseS = 22, kMinRaiseIntervalS = 1;
  constexpr std::uint32_t kTasksPerStep = 10;
  // The limit of 100 exits, and what ends until the token is raised and the next message acknowledges it.
  constexpr std::size_t kMaxReported = 100 + 4 * kTasksPerStep;
  std::uint64_t token = kToken;
  double raised_at = steady_s;
  std::size_t most_reported = 0, raises = 0;
  std::vector<TaskReport> held;
  heartbeat({});
  for (int step = 0; step < 7200; ++step, steady_s += kStepS) {
    const std::string uid = "j-" + std::to_string(step);
    accept(uid, kTasksPerStep);
    start(uid, 1, {0, kTasksPerStep});
    for (const Command& command : send_directly(token)) {
      if (command.type == CommandType::run) {
        held.push_back(task_report(command.id.uid, command.id.task, command.attempt, TaskPhase::exited, ExitReason::completed));
      } else {
        std::erase_if(held, [&](const TaskReport& task) { return task.id.uid == command.id.uid && task.id.task == command.id.task; });
      }
    }
    most_reported = std::max(most_reported, held.size());
    commit_records(heartbeat(held, true, token));
    const TokenRaise needed = needed_token_raise(cluster_state, token);
    const double interval_s = needed == TokenRaise::urgent ? kMinRaiseIntervalS : kLeaseS;
    if (needed == TokenRaise::none || steady_s - raised_at <= interval_s) continue;
    ++token;
    ++raises;
    raised_at = steady_s;
  }
  EXPECT_LE(most_reported, kMaxReported);
  EXPECT_LT(raises, 3600u / 4) << "a change of the leader key each";
}

TEST_F(StartFencing, FencesStartsOfAnAttemptThatIsNotPlacedAnyMore) {
  accept("j-1", 1);
  heartbeat({});
  start("j-1", 1, {0, 1});
  send_directly(kToken);
  cluster_state.apply(TasksRemovedRecord{"j-1", 1, {{0, 1}}});
  heartbeat({task_report("j-1", 0, 1, TaskPhase::running)});
  heartbeat({task_report("j-1", 0, 1, TaskPhase::exited, ExitReason::stopped)});
  EXPECT_TRUE(commands().empty());
  EXPECT_EQ(commands(kToken + 1).size(), 1u);
}

}  // namespace
}  // namespace thistlefront
