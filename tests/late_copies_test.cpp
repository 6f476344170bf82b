// Calls to `/commands` that an agent executed and answered arrive there once more, after the attempts that they started are over and
// acknowledged. Real controllers; tested for each way in which an attempt ends, and after a controller or the node was away for less than
// a second.
#include <gtest/gtest.h>

#include <array>

#include "cluster_fixture.hpp"

namespace thistlefront {
namespace {

using test_support::wait;

constexpr testbed::ProtocolTimes kTimes{.heartbeat_interval_s = 0.3, .lease_s = 4, .cancel_s = 8, .image_pull_s = 0.05};
constexpr std::size_t kControllers = 3;
constexpr double kAcknowledgedWithinS = 15, kAwayS = 0.15;
constexpr double kInterruptionNoticeS = 5;  // less than the estimated run time of the tasks

enum class AttemptEnd : std::uint8_t { failed, moved, cancelled };
enum class Return : std::uint8_t { none, leader, node, node_with_new_incarnation };
constexpr std::array kEndNames{"Failed", "Moved", "Cancelled"};
constexpr std::array kReturnNames{"", "LeaderBack", "NodeBack", "NodeBackWithNewIncarnation"};
using Case = std::tuple<AttemptEnd, Return>;

class LateCopies : public test_support::ClusterFixture, public testing::WithParamInterface<Case> {
 protected:
  LateCopies() : ClusterFixture(kTimes) {}

  // Starts the tasks of the job on the first node and ends these attempts there.
  void end_attempts_on_first_node(AttemptEnd end) {
    if (end == AttemptEnd::failed) workers.front()->fail_tasks(true);
    ASSERT_TRUE(cluster->submit_until("j-1", 20));
    if (end == AttemptEnd::failed) {
      ASSERT_TRUE(cluster->eventually(20, [&] { return workers.front()->reported_attempts() > 0; }));
    } else {
      ASSERT_TRUE(cluster->eventually(20, [&] { return count_running_tasks("j-1") == 2; }));
    }
    if (end == AttemptEnd::cancelled) {
      checker.record_withdrawal("j-1");
      ASSERT_TRUE(cluster->eventually(10, [&] { return withdraw(cluster->leader(), "j-1") == "aborted"; }));
      return;
    }
    if (end == AttemptEnd::moved) workers.front()->announce_interruption(kInterruptionNoticeS);
    add_worker(8);
    ASSERT_TRUE(cluster->eventually(20, [&] { return workers.back()->unfinished_tasks() == 2; }));
  }
  void come_back(Return returned) {
    const auto leader = cluster->leader();
    switch (returned) {
      case Return::none: break;
      case Return::leader:
        cluster->stop(leader);
        wait(kAwayS);
        cluster->start(leader, test_support::fixed_version_options());
        break;
      case Return::node:
        workers.front()->hang_until(steady_now() + kAwayS);
        wait(kAwayS);
        break;
      case Return::node_with_new_incarnation: workers.front()->restart(); break;
    }
  }
};

TEST_P(LateCopies, OfAnsweredStartsDoNotRunTheAttemptAgain) {
  const auto [end, returned] = GetParam();
  start_cluster(kControllers, 1);
  checker.record_submission({"j-1", "red", "batch", "", 2, 1, 1000}, steady_now());
  end_attempts_on_first_node(end);
  ASSERT_TRUE(cluster->eventually(kAcknowledgedWithinS, [&] { return workers.front()->reported_attempts() == 0; }))
      << "the exits are not acknowledged";
  workers.front()->fail_tasks(false);
  come_back(returned);
  for (int copies = 0; copies < 3; ++copies) {
    for (auto& worker : workers) worker->repeat_executed_commands();
    EXPECT_EQ(workers.front()->unfinished_tasks(), 0u);
    wait(0.5);
  }
}
INSTANTIATE_TEST_SUITE_P(Attempts, LateCopies,
                         testing::Combine(testing::Values(AttemptEnd::failed, AttemptEnd::moved, AttemptEnd::cancelled),
                                          testing::Values(Return::none, Return::leader, Return::node, Return::node_with_new_incarnation)),
                         [](const auto& info) {
                           return std::string(kEndNames.at(static_cast<std::size_t>(std::get<0>(info.param)))) +
                                  kReturnNames.at(static_cast<std::size_t>(std::get<1>(info.param)));
                         });

}  // namespace
}  // namespace thistlefront
