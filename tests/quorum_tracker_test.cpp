// What the answers of peers prove, explored exhaustively: an earlier leader that is cut off from the state service and from its
// successor, a third controller that hears either, both or none of them and may begin anew at any time.
#include "leadership/quorum_tracker.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "worker_control/lease_renewal_policy.hpp"

namespace thistlefront {
namespace {

constexpr double kGrace = 2;
constexpr std::uint64_t kEarlier = 5, kLater = 9;  // epochs

struct World {
  // The earlier leader's hold was alive for sure until 0. It is one of three, as its successor is.
  QuorumTracker earlier{2, -10, kGrace}, later{2, 0, kGrace};
  std::uint64_t process = 1, knows = 0;  // of the third
  bool stepped_down = false;

  void hear(bool of_earlier, bool of_later, bool begins_anew, double now, bool guarded) {
    if (begins_anew) ++process, knows = 0;
    if (of_later) {
      knows = kLater;
      later.record_ack(0, process, now, knows, true);
    }
    if (of_earlier && !stepped_down) {
      if (knows > kEarlier) {
        stepped_down = true;
      } else {
        knows = kEarlier;
        earlier.record_ack(0, process, now, knows, !guarded || now < 0);
      }
    }
  }
  // No worker may be answered under the earlier lead once the later one counts on it.
  bool whole(double now) { return later.sole_leader_since(kLater, now) < 0 || stepped_down || !earlier.has_quorum(now); }
};

std::size_t explore(const World& at, int step, int steps, bool guarded, std::string& how) {
  if (step == steps) return 0;
  std::size_t broken = 0;
  for (int choice = 0; choice < 8 && broken == 0; ++choice) {
    World next = at;
    next.hear(choice & 1, choice & 2, choice & 4, step, guarded);
    if (!next.whole(step)) {
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

TEST(QuorumTracker, ASuccessorNeverCountsOnSilenceThatAProcessBegunAnewCouldBreak) {
  std::string how;
  EXPECT_EQ(explore(before(), 0, 7, true, how), 0u) << how;
}

// Without regard to which process of a controller answered: acknowledged by the third one, forgotten as it begins anew, and the
// earlier leader has a majority again. Each step: 1 hears the earlier one, 2 the later one, 4 begins anew before.
TEST(QuorumTracker, WithoutRegardToTheProcessItIsFound) {
  std::string how;
  EXPECT_EQ(explore(before(), 0, 7, false, how), 1u);
  EXPECT_NE(how.find(":5"), std::string::npos) << how;
}

TEST(QuorumTracker, AMajorityIsLostAfterTheGraceAndKeptByThoseKnownBefore) {
  QuorumTracker b(2, 0, kGrace);
  b.record_ack(0, 1, 10, kEarlier, true);
  EXPECT_TRUE(b.has_quorum(11));
  EXPECT_FALSE(b.has_quorum(12.5));
  b.record_ack(0, 1, 13, kEarlier, false);
  EXPECT_TRUE(b.has_quorum(14)) << "the same process would have told";
  b.record_ack(0, 2, 16, kEarlier, false);
  EXPECT_FALSE(b.has_quorum(16.5)) << "it began anew: it may have forgotten";
  EXPECT_TRUE(b.is_isolated(40, 3));
}

TEST(QuorumTracker, OneWithoutPeersIsAloneFromTheStart) {
  QuorumTracker b(0, 7, kGrace);
  EXPECT_EQ(b.sole_leader_since(kLater, 9), 7);
  EXPECT_TRUE(b.has_quorum(1e6));
}

// An earlier leader needs more than half: so half that know better are enough, and of two controllers the successor alone is.
TEST(QuorumTracker, ALeadIsKnownWhenTheOthersAreNoMajorityAnyMore) {
  for (std::size_t n = 1; n <= 6; ++n) {
    QuorumTracker b(n - 1, 0, kGrace);
    for (std::size_t knowing = 1; knowing <= n; ++knowing) {
      EXPECT_EQ(b.is_takeover_known(kLater), 2 * (n - knowing) <= n) << knowing << " of " << n;
      if (knowing < n) b.record_ack(knowing - 1, 1, 0, kLater, true);
    }
  }
  QuorumTracker two(1, 0, kGrace);
  EXPECT_LT(two.sole_leader_since(kLater, 1), 0) << "the earlier one counts on this one's last answer for a grace";
  EXPECT_GT(two.sole_leader_since(kLater, 1 + kGrace + 1.1), 0);
}

// What is left between lease_s and cancel_s bounds it; with nothing left, an uncertain leader renews nothing.
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
