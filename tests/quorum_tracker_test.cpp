// What the answers of peers prove, explored exhaustively: an earlier leader that is separated from the key-value store and from its
// successor, and a third controller that hears either, both or none of them and may restart at any time.
#include "leadership/quorum_tracker.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "worker_control/lease_renewal_policy.hpp"

namespace thistlefront {
namespace {

constexpr double kGrace = 2;
constexpr std::uint64_t kEarlier = 5, kLater = 9;  // fencing tokens

struct World {
  // The earlier leader's session lease was certainly alive until 0. It is one of three controllers, as its successor is.
  QuorumTracker earlier{2, -10, kGrace}, later{2, 0, kGrace};
  std::uint64_t process = 1, known_token = 0;  // of the third controller
  bool stepped_down = false;

  void hear(bool from_earlier, bool from_later, bool restarts, double now, bool guarded) {
    if (restarts) ++process, known_token = 0;
    if (from_later) {
      known_token = kLater;
      later.record_ack(0, process, now, known_token, true);
    }
    if (from_earlier && !stepped_down) {
      if (known_token > kEarlier) {
        stepped_down = true;
      } else {
        known_token = kEarlier;
        earlier.record_ack(0, process, now, known_token, !guarded || now < 0);
      }
    }
  }
  // No agent may be answered under the earlier leader once the later one relies on that.
  bool is_safe(double now) { return later.sole_leader_since(kLater, now) < 0 || stepped_down || !earlier.has_quorum(now); }
};

std::size_t explore(const World& at, int step, int steps, bool guarded, std::string& how) {
  if (step == steps) return 0;
  std::size_t broken = 0;
  for (int choice = 0; choice < 8 && broken == 0; ++choice) {
    World next = at;
    next.hear(choice & 1, choice & 2, choice & 4, step, guarded);
    if (!next.is_safe(step)) {
      how = std::to_string(step) + ":" + std::to_string(choice);
      return 1;
    }
    broken += explore(next, step + 1, steps, guarded, how);
    if (broken) how = std::to_string(step) + ":" + std::to_string(choice) + " " + how;
  }
  return broken;
}

World before() {
  World w;
  w.hear(true, false, false, -1, true);  // the third one answered the earlier leader while its hold was alive
  return w;
}

TEST(QuorumTracker, ASuccessorNeverReliesOnSilenceThatARestartedPeerCouldBreak) {
  std::string how;
  EXPECT_EQ(explore(before(), 0, 7, true, how), 0u) << how;
}

// If it did not matter which process of a controller answered: the third one acknowledges the later leader, forgets it in a restart,
// and the earlier leader has a majority again. Bits of a step: 1 hears the earlier leader, 2 the later one, 4 restarts before.
TEST(QuorumTracker, WithoutTheCheckOfTheProcessAViolationIsFound) {
  std::string how;
  EXPECT_EQ(explore(before(), 0, 7, false, how), 1u);
  EXPECT_NE(how.find(":5"), std::string::npos) << how;
}

TEST(QuorumTracker, TheQuorumIsLostAfterTheGraceAndKeptByPeersKnownBefore) {
  QuorumTracker b(2, 0, kGrace);
  b.record_ack(0, 1, 10, kEarlier, true);
  EXPECT_TRUE(b.has_quorum(11));
  EXPECT_FALSE(b.has_quorum(12.5));
  b.record_ack(0, 1, 13, kEarlier, false);
  EXPECT_TRUE(b.has_quorum(14)) << "the same process would have told of a later leader";
  b.record_ack(0, 2, 16, kEarlier, false);
  EXPECT_FALSE(b.has_quorum(16.5)) << "it restarted, and may have forgotten a later leader";
  EXPECT_TRUE(b.is_isolated(40, 3));
}

TEST(QuorumTracker, AControllerWithoutPeersIsTheSoleLeaderFromTheStart) {
  QuorumTracker b(0, 7, kGrace);
  EXPECT_EQ(b.sole_leader_since(kLater, 9), 7);
  EXPECT_TRUE(b.has_quorum(1e6));
}

// An earlier leader needs more than half: so half that know of the later one are enough, and of two controllers the successor alone is.
TEST(QuorumTracker, ATakeoverIsKnownWhenTheOthersAreNoMajorityAnyMore) {
  for (std::size_t n = 1; n <= 6; ++n) {
    QuorumTracker b(n - 1, 0, kGrace);
    for (std::size_t aware = 1; aware <= n; ++aware) {
      EXPECT_EQ(b.is_takeover_known(kLater), 2 * (n - aware) <= n) << aware << " of " << n;
      if (aware < n) b.record_ack(aware - 1, 1, 0, kLater, true);
    }
  }
  QuorumTracker two(1, 0, kGrace);
  EXPECT_LT(two.sole_leader_since(kLater, 1), 0) << "the earlier leader relies on this one's last answer for a grace period";
  EXPECT_GT(two.sole_leader_since(kLater, 1 + kGrace + 1.1), 0);
}

// The time between lease_s and cancel_s bounds it; with none left, an uncertain leader renews nothing.
TEST(QuorumTracker, TheGraceLeavesTimeForALease) {
  EXPECT_EQ(quorum_grace_s(40, 10), 5);
  for (double cancel : {42.0, 24.0, 23.0, 22.2, 22.0, 10.0}) {
    const double grace = quorum_grace_s(cancel, 22);
    EXPECT_GE(grace, 0);
    EXPECT_LE(grace + 22, std::max(cancel, 22.0));
    QuorumTracker b(2, 0, grace);
    b.record_ack(0, 1, 10, kEarlier, true);
    EXPECT_EQ(b.has_quorum(10), grace > 0) << cancel;
  }
}

}  // namespace
}  // namespace thistlefront
