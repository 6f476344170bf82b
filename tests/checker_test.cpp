// The testbed's checker reports each broken rule, and no others.
#include "testbed/checker.hpp"

#include <gtest/gtest.h>

namespace thistlefront::testbed {
namespace {

class CheckerTest : public testing::Test {
 protected:
  CheckerTest() : checker({{"red", 3}}, 10) { checker.record_submission({"j-1", "red", "batch", "x", 2, 2, 1}, 100); }
  std::string first_broken_rule() const {
    return checker.violations().empty() ? "" : checker.violations().front().substr(0, checker.violations().front().find(':'));
  }
  Checker checker;
};

TEST_F(CheckerTest, AcceptsARegularRun) {
  checker.record_reply("j-1", "queued", 101);
  checker.record_task_start("j-1", 0, "m-1", "x", 102);
  checker.record_task_end("j-1", 0, "m-1", false, 103);
  checker.record_task_start("j-1", 0, "m-2", "x", 104);
  checker.record_task_end("j-1", 0, "m-2", true, 105);
  checker.record_task_start("j-1", 1, "m-2", "x", 106);
  checker.record_task_end("j-1", 1, "m-2", true, 107);
  checker.record_reply("j-1", "done", 108);
  checker.record_reply("j-2", "unknown", 109);
  checker.check_deadlines(200);
  EXPECT_EQ(first_broken_rule(), "");
  EXPECT_EQ(checker.completed_tasks(), 2u);
}
TEST_F(CheckerTest, ReportsAnAttemptThatIsStartedAgain) {
  checker.record_attempt("j-1", 0, 1, "m-1", 102);
  checker.record_attempt("j-1", 0, 2, "m-2", 103);
  checker.record_attempt("j-1", 1, 1, "m-1", 104);
  EXPECT_EQ(first_broken_rule(), "");
  checker.record_attempt("j-1", 0, 1, "m-1", 105);
  EXPECT_EQ(first_broken_rule(), "ran_again");
}
TEST_F(CheckerTest, ReportsATaskThatRunsOnTwoNodes) {
  checker.record_task_start("j-1", 0, "m-1", "x", 102);
  checker.record_task_start("j-1", 0, "m-2", "x", 104);
  EXPECT_EQ(first_broken_rule(), "ran_twice");
}
TEST_F(CheckerTest, ReportsATeamAboveItsLimit) {
  checker.record_task_start("j-1", 0, "m-1", "x", 102);
  checker.record_task_start("j-1", 1, "m-2", "x", 104);
  EXPECT_EQ(first_broken_rule(), "quota");
}
TEST_F(CheckerTest, AfterALoweredLimitReportsOnlyFurtherStarts) {
  checker.set_limit("red", 4);
  checker.record_task_start("j-1", 0, "m-1", "x", 102);
  checker.set_limit("red", 1);
  EXPECT_EQ(first_broken_rule(), "") << "running tasks may continue";
  checker.record_task_start("j-1", 1, "m-2", "x", 104);
  EXPECT_EQ(first_broken_rule(), "quota");
}
TEST_F(CheckerTest, ReportsATaskInAWrongZone) {
  checker.record_task_start("j-1", 0, "m-1", "y", 102);
  EXPECT_EQ(first_broken_rule(), "wrong_place");
}
TEST_F(CheckerTest, ReportsATaskThatOutlivesItsCancellation) {
  checker.record_task_start("j-1", 0, "m-1", "x", 102);
  checker.record_withdrawal("j-1");
  checker.record_reply("j-1", "aborted", 103);
  checker.check_deadlines(112);
  EXPECT_EQ(first_broken_rule(), "");
  checker.check_deadlines(114);
  EXPECT_EQ(first_broken_rule(), "ran_cancelled");
}
TEST_F(CheckerTest, ReportsAnAcceptedJobThatBecomesUnknown) {
  checker.record_reply("j-1", "unknown", 101);
  EXPECT_EQ(first_broken_rule(), "") << "the job was not accepted yet";
  checker.record_reply("j-1", "queued", 102);
  checker.record_reply("j-1", "unknown", 103);
  EXPECT_EQ(first_broken_rule(), "forgotten");
}
TEST_F(CheckerTest, ReportsAJobWhosePollsFailWhileThoseOfOthersSucceed) {
  checker.record_submission({"j-2", "red", "batch", "", 1, 1, 1}, 100);
  checker.record_reply("j-1", "queued", 101);
  for (double now = 102; now < 200; now += 0.5) {
    checker.record_failed_poll("j-1", now);
    checker.record_reply("j-2", "queued", now);
  }
  EXPECT_EQ(first_broken_rule(), "forgotten");
}
TEST_F(CheckerTest, ReportsInventedRevertedAndPrematureStatuses) {
  checker.record_reply("j-1", "aborted", 101);
  EXPECT_EQ(first_broken_rule(), "went_back") << "no user requested the cancellation";
  checker.record_reply("j-7", "queued", 102);
  checker.record_submission({"j-3", "red", "batch", "", 1, 1, 1}, 100);
  checker.record_reply("j-3", "done", 103);
  checker.record_reply("j-3", "running", 104);
  ASSERT_EQ(checker.violations().size(), 4u);
  EXPECT_TRUE(checker.violations()[1].starts_with("invented"));
  EXPECT_TRUE(checker.violations()[2].starts_with("not_done"));
  EXPECT_TRUE(checker.violations()[3].starts_with("went_back"));
}

// For concurrent requests to several controllers: a reply must be newer than another one only if its request was sent after that reply was
// received.
TEST_F(CheckerTest, ReportsAnOlderReplyOnlyIfRequestedAfterTheNewerReply) {
  checker.record_reply("j-1", "unknown", 100.1, 101.5);
  checker.record_reply("j-1", "queued", 100.2, 101.0);
  EXPECT_EQ(first_broken_rule(), "") << "the requests were concurrent";
  checker.record_withdrawal("j-1");
  checker.record_reply("j-1", "aborted", 102.0, 103.0);
  checker.record_reply("j-1", "running", 102.9, 104.0);
  EXPECT_EQ(first_broken_rule(), "") << "the requests were concurrent";
  checker.record_reply("j-1", "running", 103.1, 103.2);
  ASSERT_EQ(checker.violations().size(), 1u);
  EXPECT_TRUE(checker.violations()[0].starts_with("went_back"));
}
TEST_F(CheckerTest, ReportsAnOlderReplyWhenRepliesAreRecordedInAnyOrder) {
  checker.record_reply("j-1", "queued", 103.1, 103.2);
  checker.record_withdrawal("j-1");
  checker.record_reply("j-1", "aborted", 102.0, 103.0);
  ASSERT_EQ(checker.violations().size(), 1u);
  EXPECT_TRUE(checker.violations()[0].starts_with("went_back"));
  checker.record_submission({"j-2", "red", "batch", "", 1, 1, 1}, 100);
  checker.record_reply("j-2", "unknown", 104.0, 104.1);
  checker.record_reply("j-2", "refused", 103.0, 104.2);
  EXPECT_EQ(checker.violations().size(), 1u);
  checker.record_reply("j-2", "queued", 103.5, 103.9);
  ASSERT_EQ(checker.violations().size(), 2u);
  EXPECT_TRUE(checker.violations()[1].starts_with("forgotten"));
}
TEST_F(CheckerTest, MeasuresTheCancellationTimeFromTheFirstReply) {
  checker.record_task_start("j-1", 0, "m-1", "x", 101);
  checker.record_withdrawal("j-1");
  checker.record_reply("j-1", "aborted", 101.5, 105.0);
  checker.record_reply("j-1", "aborted", 101.0, 102.0);
  checker.check_deadlines(112.5);
  EXPECT_EQ(first_broken_rule(), "ran_cancelled");
}

TEST_F(CheckerTest, ReportsEarlyStartsAndOverdueCancellationsOfDependentJobs) {
  checker.record_submission({"j-2", "red", "batch", "", 1, 1, 1, {"j-1"}}, 100);
  checker.record_submission({"j-3", "red", "batch", "", 1, 1, 1, {"j-2"}}, 100);
  checker.record_reply("j-1", "queued", 100), checker.record_reply("j-2", "queued", 100), checker.record_reply("j-3", "queued", 100);
  checker.record_task_start("j-1", 0, "m-1", "x", 101);
  checker.record_task_end("j-1", 0, "m-1", true, 102);
  EXPECT_TRUE(checker.violations().empty());
  checker.record_task_start("j-2", 0, "m-1", "x", 103);
  ASSERT_EQ(checker.violations().size(), 1u) << "one of the two tasks of j-1 is not done";
  EXPECT_NE(checker.violations()[0].find("too_early: j-2/0"), std::string::npos);
  checker.record_withdrawal("j-1");
  checker.record_reply("j-1", "aborted", 105);
  checker.record_reply("j-3", "queued", 114);
  EXPECT_EQ(checker.violations().size(), 1u);
  checker.record_reply("j-2", "aborted", 114);
  EXPECT_EQ(checker.violations().size(), 1u) << "cancelled because of its dependency, without a request of its own user";
  checker.record_reply("j-3", "queued", 116);
  ASSERT_EQ(checker.violations().size(), 2u);
  EXPECT_NE(checker.violations()[1].find("orphaned: j-3"), std::string::npos);
}

}  // namespace
}  // namespace thistlefront::testbed
