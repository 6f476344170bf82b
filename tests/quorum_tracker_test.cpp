// Explores the quorum tracker exhaustively: an earlier leader that is partitioned from the key-value store and from its successor, and a
// third controller that receives heartbeats of either, both or none of them and may restart at any time.
#include "leadership/quorum_tracker.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "worker_control/lease_renewal_policy.hpp"

namespace thistlefront {
namespace {

constexpr double kGraceS = 2;
constexpr std::uint64_t kEarlierToken = 5, kLaterToken = 9;

struct Scenario {
  // Trackers of the earlier leader, whose session lease was certainly valid until time 0, and of its successor.
  QuorumTracker earlier_leader{2, -10, kGraceS}, later_leader{2, 0, kGraceS};
  std::uint64_t process = 1, known_token = 0;  // of the third controller
  bool stepped_down = false;

  // `with_process_check`: acknowledgements count only if the process sent one before, while the session lease was valid.
  void third_controller_step(bool receives_from_earlier, bool receives_from_later, bool restarts, double now, bool with_process_check) {
    if (restarts) ++process, known_token = 0;
    if (receives_from_later) {
      known_token = kLaterToken;
      later_leader.record_ack(0, process, now, known_token, true);
    }
    if (receives_from_earlier && !stepped_down) {
      if (known_token > kEarlierToken) {
        stepped_down = true;
      } else {
        known_token = kEarlierToken;
        earlier_leader.record_ack(0, process, now, known_token, !with_process_check || now < 0);
      }
    }
  }
  // Once the later leader relies on being the sole leader, the earlier one must not reply to agents.
  bool is_safe(double now) {
    return later_leader.sole_leader_since(kLaterToken, now) < 0 || stepped_down || !earlier_leader.has_quorum(now);
  }
};

std::size_t explore(const Scenario& scenario, int step, int steps, bool with_process_check, std::string& violation_path) {
  if (step == steps) return 0;
  std::size_t violations = 0;
  for (int choice = 0; choice < 8 && violations == 0; ++choice) {
    Scenario next = scenario;
    next.third_controller_step(choice & 1, choice & 2, choice & 4, step, with_process_check);
    if (!next.is_safe(step)) {
      violation_path = std::to_string(step) + ":" + std::to_string(choice);
      return 1;
    }
    violations += explore(next, step + 1, steps, with_process_check, violation_path);
    if (violations) violation_path = std::to_string(step) + ":" + std::to_string(choice) + " " + violation_path;
  }
  return violations;
}

// The third controller has sent the earlier leader an acknowledgement while its session lease was valid.
Scenario initial_scenario() {
  Scenario scenario;
  scenario.third_controller_step(true, false, false, -1, true);
  return scenario;
}

TEST(QuorumTracker, EarlierLeaderHasNoQuorumOnceItsSuccessorIsTheSoleLeader) {
  std::string violation_path;
  EXPECT_EQ(explore(initial_scenario(), 0, 7, true, violation_path), 0u) << violation_path;
}

// Without the process check, the third controller acknowledges the later leader, forgets it in a restart, and gives the earlier leader a
// quorum again. Bits of a step: 1 receives from the earlier leader, 2 receives from the later one, 4 restarts before.
TEST(QuorumTracker, ViolatesSafetyWithoutTheProcessCheck) {
  std::string violation_path;
  EXPECT_EQ(explore(initial_scenario(), 0, 7, false, violation_path), 1u);
  EXPECT_NE(violation_path.find(":5"), std::string::npos) << violation_path;
}

TEST(QuorumTracker, LosesTheQuorumAfterTheGracePeriodUnlessAKnownProcessAcknowledges) {
  QuorumTracker tracker(2, 0, kGraceS);
  tracker.record_ack(0, 1, 10, kEarlierToken, true);
  EXPECT_TRUE(tracker.has_quorum(11));
  EXPECT_FALSE(tracker.has_quorum(12.5));
  tracker.record_ack(0, 1, 13, kEarlierToken, false);
  EXPECT_TRUE(tracker.has_quorum(14)) << "the same process would have reported a later leader";
  tracker.record_ack(0, 2, 16, kEarlierToken, false);
  EXPECT_FALSE(tracker.has_quorum(16.5)) << "it restarted, and may have forgotten a later leader";
  EXPECT_TRUE(tracker.is_isolated(40, 3));
}

TEST(QuorumTracker, IsTheSoleLeaderFromTheTakeoverWithoutPeers) {
  QuorumTracker tracker(0, 7, kGraceS);
  EXPECT_EQ(tracker.sole_leader_since(kLaterToken, 9), 7);
  EXPECT_TRUE(tracker.has_quorum(1e6));
}

// An earlier leader needs more than half of the controllers, so it is enough if half of them know of the later leader. Of two controllers,
// the successor alone is enough.
TEST(QuorumTracker, KnowsTheTakeoverWhenTheUnawareControllersAreNoMajority) {
  for (std::size_t controllers = 1; controllers <= 6; ++controllers) {
    QuorumTracker tracker(controllers - 1, 0, kGraceS);
    for (std::size_t aware = 1; aware <= controllers; ++aware) {
      EXPECT_EQ(tracker.is_takeover_known(kLaterToken), 2 * (controllers - aware) <= controllers) << aware << " of " << controllers;
      if (aware < controllers) tracker.record_ack(aware - 1, 1, 0, kLaterToken, true);
    }
  }
  QuorumTracker of_two_controllers(1, 0, kGraceS);
  EXPECT_LT(of_two_controllers.sole_leader_since(kLaterToken, 1), 0)
      << "the last acknowledgement of this controller counts for the earlier leader for one grace period";
  EXPECT_GT(of_two_controllers.sole_leader_since(kLaterToken, 1 + kGraceS + 1.1), 0);
}

// The grace period is bounded by the time between lease_s and cancel_s. If none is left, a leader whose leadership is uncertain renews
// no lease.
TEST(QuorumTracker, GracePeriodLeavesTimeForALease) {
  EXPECT_EQ(quorum_grace_s(40, 10), 5);
  for (double cancel_s : {42.0, 24.0, 23.0, 22.2, 22.0, 10.0}) {
    const double grace_s = quorum_grace_s(cancel_s, 22);
    EXPECT_GE(grace_s, 0);
    EXPECT_LE(grace_s + 22, std::max(cancel_s, 22.0));
    QuorumTracker tracker(2, 0, grace_s);
    tracker.record_ack(0, 1, 10, kEarlierToken, true);
    EXPECT_EQ(tracker.has_quorum(10), grace_s > 0) << cancel_s;
  }
}

}  // namespace
}  // namespace thistlefront
