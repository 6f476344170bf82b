// The testbed's checker tells of each rule that is broken, and of nothing else.
#include "testbed/checker.hpp"

#include <gtest/gtest.h>

namespace thistlefront::testbed {
namespace {

class CheckerTest : public testing::Test {
 protected:
  CheckerTest() : checker({{"red", 3}}, 10) { checker.submitted({"j-1", "red", "batch", "x", 2, 2, 1}, 100); }
  std::string first() const {
    return checker.broken().empty() ? "" : checker.broken().front().substr(0, checker.broken().front().find(':'));
  }
  Checker checker;
};

TEST_F(CheckerTest, ARegularRunBreaksNothing) {
  checker.told("j-1", "queued", 101);
  checker.on("j-1", 0, "m-1", "x", 102);
  checker.off("j-1", 0, "m-1", false, 103);
  checker.on("j-1", 0, "m-2", "x", 104);
  checker.off("j-1", 0, "m-2", true, 105);
  checker.on("j-1", 1, "m-2", "x", 106);
  checker.off("j-1", 1, "m-2", true, 107);
  checker.told("j-1", "done", 108);
  checker.told("j-2", "unknown", 109);
  checker.tick(200);
  EXPECT_EQ(first(), "");
  EXPECT_EQ(checker.tasks_done(), 2u);
}
TEST_F(CheckerTest, RanTwice) {
  checker.on("j-1", 0, "m-1", "x", 102);
  checker.on("j-1", 0, "m-2", "x", 104);
  EXPECT_EQ(first(), "ran_twice");
}
TEST_F(CheckerTest, Quota) {
  checker.on("j-1", 0, "m-1", "x", 102);
  checker.on("j-1", 1, "m-2", "x", 104);
  EXPECT_EQ(first(), "quota");
}
TEST_F(CheckerTest, QuotaUnderALoweredLimit) {
  checker.limit("red", 4);
  checker.on("j-1", 0, "m-1", "x", 102);
  checker.limit("red", 1);
  EXPECT_EQ(first(), "") << "what runs may run on";
  checker.on("j-1", 1, "m-2", "x", 104);
  EXPECT_EQ(first(), "quota");
}
TEST_F(CheckerTest, WrongPlace) {
  checker.on("j-1", 0, "m-1", "y", 102);
  EXPECT_EQ(first(), "wrong_place");
}
TEST_F(CheckerTest, RanCancelled) {
  checker.on("j-1", 0, "m-1", "x", 102);
  checker.wants_withdrawn("j-1");
  checker.told("j-1", "aborted", 103);
  checker.tick(112);
  EXPECT_EQ(first(), "");
  checker.tick(114);
  EXPECT_EQ(first(), "ran_cancelled");
}
TEST_F(CheckerTest, Forgotten) {
  checker.told("j-1", "unknown", 101);
  EXPECT_EQ(first(), "") << "it was not accepted yet";
  checker.told("j-1", "queued", 102);
  checker.told("j-1", "unknown", 103);
  EXPECT_EQ(first(), "forgotten");
}
TEST_F(CheckerTest, ForgottenWhereItsPollsFailAndOthersAreAnswered) {
  checker.submitted({"j-2", "red", "batch", "", 1, 1, 1}, 100);
  checker.told("j-1", "queued", 101);
  for (double t = 102; t < 200; t += 0.5) {
    checker.failed_poll("j-1", t);
    checker.told("j-2", "queued", t);
  }
  EXPECT_EQ(first(), "forgotten");
}
TEST_F(CheckerTest, WentBackInventedAndNotDone) {
  checker.told("j-1", "aborted", 101);
  EXPECT_EQ(first(), "went_back") << "nobody asked for it";
  checker.told("j-7", "queued", 102);
  checker.submitted({"j-3", "red", "batch", "", 1, 1, 1}, 100);
  checker.told("j-3", "done", 103);
  checker.told("j-3", "running", 104);
  ASSERT_EQ(checker.broken().size(), 4u);
  EXPECT_TRUE(checker.broken()[1].starts_with("invented"));
  EXPECT_TRUE(checker.broken()[2].starts_with("not_done"));
  EXPECT_TRUE(checker.broken()[3].starts_with("went_back"));
}

// Questions at several nodes at once: which came first is told by when it was asked, and when any answer had come.
TEST_F(CheckerTest, AnOlderAnswerIsOneThatWasAskedForAfterANewerOneHadCome) {
  checker.told("j-1", "unknown", 100.1, 101.5);
  checker.told("j-1", "queued", 100.2, 101.0);
  EXPECT_EQ(first(), "") << "both were on their way at once";
  checker.wants_withdrawn("j-1");
  checker.told("j-1", "aborted", 102.0, 103.0);
  checker.told("j-1", "running", 102.9, 104.0);
  EXPECT_EQ(first(), "") << "the same";
  checker.told("j-1", "running", 103.1, 103.2);
  ASSERT_EQ(checker.broken().size(), 1u);
  EXPECT_TRUE(checker.broken()[0].starts_with("went_back"));
}
TEST_F(CheckerTest, AnOlderAnswerIsFoundInWhateverOrderTheyAreNoted) {
  checker.told("j-1", "queued", 103.1, 103.2);
  checker.wants_withdrawn("j-1");
  checker.told("j-1", "aborted", 102.0, 103.0);
  ASSERT_EQ(checker.broken().size(), 1u);
  EXPECT_TRUE(checker.broken()[0].starts_with("went_back"));
  checker.submitted({"j-2", "red", "batch", "", 1, 1, 1}, 100);
  checker.told("j-2", "unknown", 104.0, 104.1);
  checker.told("j-2", "refused", 103.0, 104.2);
  EXPECT_EQ(checker.broken().size(), 1u);
  checker.told("j-2", "queued", 103.5, 103.9);
  ASSERT_EQ(checker.broken().size(), 2u);
  EXPECT_TRUE(checker.broken()[1].starts_with("forgotten"));
}
TEST_F(CheckerTest, ACancellationCountsFromTheFirstAnswer) {
  checker.on("j-1", 0, "m-1", "x", 101);
  checker.wants_withdrawn("j-1");
  checker.told("j-1", "aborted", 101.5, 105.0);
  checker.told("j-1", "aborted", 101.0, 102.0);
  checker.tick(112.5);
  EXPECT_EQ(first(), "ran_cancelled");
}

TEST_F(CheckerTest, WhatStartsBeforeWhatItWaitsForOrOutlivesItsCancellationIsTold) {
  checker.submitted({"j-2", "red", "batch", "", 1, 1, 1, {"j-1"}}, 100);
  checker.submitted({"j-3", "red", "batch", "", 1, 1, 1, {"j-2"}}, 100);
  checker.told("j-1", "queued", 100), checker.told("j-2", "queued", 100), checker.told("j-3", "queued", 100);
  checker.on("j-1", 0, "m-1", "x", 101);
  checker.off("j-1", 0, "m-1", true, 102);
  EXPECT_TRUE(checker.broken().empty());
  checker.on("j-2", 0, "m-1", "x", 103);
  ASSERT_EQ(checker.broken().size(), 1u) << "one of the two tasks of j-1 is left";
  EXPECT_NE(checker.broken()[0].find("too_early: j-2/0"), std::string::npos);
  checker.wants_withdrawn("j-1");
  checker.told("j-1", "aborted", 105);
  checker.told("j-3", "queued", 114);
  EXPECT_EQ(checker.broken().size(), 1u);
  checker.told("j-2", "aborted", 114);
  EXPECT_EQ(checker.broken().size(), 1u) << "cancelled through another, though its own user asked for nothing";
  checker.told("j-3", "queued", 116);
  ASSERT_EQ(checker.broken().size(), 2u);
  EXPECT_NE(checker.broken()[1].find("orphaned: j-3"), std::string::npos);
}

}  // namespace
}  // namespace thistlefront::testbed
