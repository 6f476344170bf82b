// Who may renew an agent's lease, explored exhaustively over a grid of faults: three controllers, one node with one task, one
// cancellation, and no direct command that arrives, with the very rules that the service uses. Times are seconds.
#include "worker_control/lease_renewal_policy.hpp"

#include <gtest/gtest.h>

#include <array>
#include <string>

#include "leadership/partition_lease.hpp"
#include "leadership/quorum_tracker.hpp"

namespace thistlefront {
namespace {

constexpr double kStep = 0.5, kEnd = 34, kLease = 8, kCancel = 15, kSessionLease = 1.5, kReading = 0.5, kHang = 5;
constexpr double kNever = 1e9;
constexpr std::size_t kControllers = 3;

// The faults of one world.
struct Faults {
  double refused_for = 0;                      // by the key-value store, the first leader alone, from 2 on
  double outage_at = kNever, outage_for = 14;  // of the key-value store, for all controllers
  unsigned partitions = 0;                     // bits: between the controllers 0-1, 0-2, 1-2
  double partition_from = 0, partition_until = 0;
  double cancel_at = 0;
  int restarts = -1;  // which controller does
  double restarts_at = 0;
  double hangs_at = kNever;  // the node, for kHang
  std::size_t zone = 0;      // of the node: that of this controller
};

// Safety guards that are removed, each of which must lead to a violation.
struct RemovedGuards {
  bool kills_when_uncertain = false, confirmation_waits = false, renewal_waits_for_ledger = false, grace_is_bounded = false,
       cancellation_age_counts = false;
};

class World {
 public:
  World(const Faults& faults, const RemovedGuards& removed) : faults_(faults), removed_(removed) {
    for (auto& c : replicas_) c.partition_lease = PartitionLease(max_partition_lease_s(kCancel, kLease), 0);
    take(0, 0);
    replicas_[0].read_at = 0;
  }
  // Whether the task stayed on the node for longer than it may after its cancellation was confirmed to the user.
  bool has_violation() {
    for (now_ = 0; now_ < kEnd; now_ += kStep) {
      if (faults_.restarts >= 0 && now_ == faults_.restarts_at) restart(static_cast<std::size_t>(faults_.restarts));
      key_value_store();
      for (std::size_t i = 0; i < kControllers; ++i)
        if (replicas_[i].leads) send_peer_heartbeats(i);
      users();
      node();
      if (confirmed_at_ >= 0 && task_runs_ && now_ > confirmed_at_ + kCancel + kStep) return true;
    }
    return false;
  }
  [[nodiscard]] bool confirmed() const { return confirmed_at_ >= 0; }
  [[nodiscard]] bool renewed_by_follower() const { return renewed_by_follower_; }
  [[nodiscard]] bool killed_while_uncertain() const { return killed_while_uncertain_; }

 private:
  struct Replica {
    bool leads = false, cancelled = false, ended = false;  // the latter two: the job in its cluster state
    std::uint64_t fencing_token = 0, known_token = 0, process = 1;
    std::size_t known_leader = kControllers;
    double valid_until = 0, read_at = kNever, cancelled_at = 0;  // cancelled_at 0: by an earlier leader
    QuorumTracker quorum;
    PartitionLease partition_lease{0, 0};
    std::array<std::uint64_t, kControllers> echoed_process{};
    std::array<double, kControllers> mark{};
  };

  bool outage() const { return now_ >= faults_.outage_at && now_ < faults_.outage_at + faults_.outage_for; }
  bool served(std::size_t i) const { return !outage() && !(i == 0 && now_ >= 2 && now_ < 2 + faults_.refused_for); }
  bool linked(std::size_t a, std::size_t b) const {
    const unsigned bit = a + b - 1;  // 0-1: 0, 0-2: 1, 1-2: 2
    return !((faults_.partitions >> bit & 1) != 0 && now_ >= faults_.partition_from && now_ < faults_.partition_until);
  }
  bool has_read(const Replica& n) const { return now_ >= n.read_at; }
  bool certain(const Replica& n) const { return n.leads && now_ < n.valid_until; }

  void take(std::size_t i, double now) {
    Replica& n = replicas_[i];
    n.leads = true;
    n.fencing_token = n.known_token = ++last_token_;
    n.known_leader = i;
    n.valid_until = now + kSessionLease;
    n.read_at = kNever;
    n.quorum = QuorumTracker(kControllers - 1, now, removed_.grace_is_bounded ? kCancel : quorum_grace_s(kCancel, kLease));
    n.echoed_process = {};
    holder_ = i;
    lease_valid_until_ = now + kSessionLease;
    reading_since_ = -1;
  }
  void step_down(Replica& n) {
    n.leads = false;
    n.partition_lease.revoke();
  }
  void restart(std::size_t i) {
    const auto process = replicas_[i].process + 1;
    replicas_[i] = Replica{};
    replicas_[i].process = process;
    replicas_[i].partition_lease = PartitionLease(max_partition_lease_s(kCancel, kLease), now_);
  }
  double oldest_cancellation_s(const Replica& n, std::size_t zone) const {
    if (removed_.cancellation_age_counts || !n.cancelled || n.ended || zone != faults_.zone) return 0;
    return n.cancelled_at > 0 ? now_ - n.cancelled_at : kCancel;
  }

  void key_value_store() {
    if (outage()) {
      lease_valid_until_ = now_ + kSessionLease;  // every session lease has its full time again
      return;
    }
    for (std::size_t i = 0; i < kControllers; ++i) {
      Replica& n = replicas_[i];
      if (!n.leads || !served(i)) continue;
      if (holder_ != i || now_ > lease_valid_until_) {
        step_down(n);
        continue;
      }
      lease_valid_until_ = n.valid_until = now_ + kSessionLease;
      if (n.read_at == kNever) {
        if (reading_since_ < 0) reading_since_ = now_;
        if (now_ >= reading_since_ + kReading) {
          n.read_at = now_;
          n.cancelled = ledger_cancelled_;
          n.ended = ledger_ended_;
          n.cancelled_at = 0;
          n.partition_lease.revoke();
        }
      }
      if (has_read(n)) n.partition_lease.grant(n.fencing_token, now_, oldest_cancellation_s(n, i));
    }
    if (now_ <= lease_valid_until_) return;
    for (std::size_t i : {1, 2, 0}) {
      if (!served(i) || replicas_[i].leads) continue;
      take(i, now_);
      break;
    }
  }

  void send_peer_heartbeats(std::size_t from) {
    Replica& l = replicas_[from];
    for (std::size_t to = 0, peer = 0; to < kControllers; ++to) {
      if (to == from) continue;
      const std::size_t index = peer++;
      if (!linked(from, to)) continue;
      Replica& f = replicas_[to];
      if (l.fencing_token >= f.known_token) {
        if (f.leads) step_down(f);
        f.partition_lease.observe_leader(l.fencing_token);
        f.known_token = l.fencing_token;
        f.known_leader = from;
        const double age = has_read(l) ? oldest_cancellation_s(l, to) : kCancel;
        if (certain(l) && has_read(l) && l.echoed_process[to] == f.process && age < kCancel)
          f.partition_lease.grant(l.fencing_token, l.mark[to], age);
      } else {
        l.known_token = f.known_token;
        l.known_leader = f.known_leader;
        step_down(l);
        return;
      }
      l.quorum.record_ack(index, f.process, now_, f.known_token, certain(l));
      l.echoed_process[to] = f.process;
      l.mark[to] = now_;
    }
  }

  void users() {
    if (now_ < faults_.cancel_at) return;
    for (auto& n : replicas_) {
      if (!n.leads || !has_read(n)) continue;
      if (certain(n) && !n.cancelled) {
        n.cancelled = ledger_cancelled_ = true;
        n.cancelled_at = now_;
      }
      // By the answer to the cancellation or to any later question, also of an uncertain leader.
      if (n.cancelled && confirmed_at_ < 0 && (removed_.confirmation_waits || n.ended || n.quorum.is_takeover_known(n.fencing_token)))
        confirmed_at_ = now_;
    }
  }

  // The agent asks a controller that does not lead, which answers under a partition lease or names the leader that it knows.
  void ask_follower(Replica& n) {
    if (n.partition_lease.is_active(now_) && asked_ == faults_.zone && fencing_token_ <= n.partition_lease.fencing_token()) {
      n.partition_lease.record_renewal(now_);
      answered(n.partition_lease.fencing_token(), false);
      renewed_by_follower_ = true;
    } else {
      asked_ = n.known_leader < kControllers && n.known_leader != asked_ ? n.known_leader : (asked_ + 1) % kControllers;
    }
  }
  void node() {
    if (now_ > lease_until_) task_runs_ = false;
    if (now_ >= faults_.hangs_at && now_ < faults_.hangs_at + kHang) return;
    Replica& n = replicas_[asked_];
    if (n.leads && fencing_token_ > n.fencing_token) step_down(n);
    if (!n.leads) {
      ask_follower(n);
      return;
    }
    const bool own = asked_ == faults_.zone;
    const bool knows = has_read(n) || removed_.renewal_waits_for_ledger;
    const LeadershipEvidence evidence{knows, certain(n), n.quorum.has_quorum(now_),
                                      own && (has_read(n) ? n.partition_lease.is_active(now_) : n.partition_lease.is_granted(now_))};
    const LeaseRenewal may = decide_lease_renewal(evidence, task_runs_);
    if (may == LeaseRenewal::refuse) {
      asked_ = (asked_ + 1) % kControllers;
      return;
    }
    if (!certain(n) && !evidence.has_quorum) n.partition_lease.record_renewal(now_);
    const bool kill = has_read(n) && n.cancelled && (may == LeaseRenewal::all_commands || !removed_.kills_when_uncertain);
    killed_while_uncertain_ = killed_while_uncertain_ || (kill && task_runs_ && may == LeaseRenewal::kills_only);
    answered(n.fencing_token, kill);
    if (has_read(n) && !task_runs_) {
      n.ended = true;
      if (certain(n)) ledger_ended_ = true;
    }
  }
  void answered(std::uint64_t fencing_token, bool kill) {
    if (fencing_token < fencing_token_) return;
    fencing_token_ = fencing_token;
    lease_until_ = now_ + kLease;
    if (kill) task_runs_ = false;
  }

  const Faults faults_;
  const RemovedGuards removed_;
  std::array<Replica, kControllers> replicas_;
  double now_ = 0, lease_valid_until_ = 0, reading_since_ = -1, confirmed_at_ = -1;
  std::size_t holder_ = 0;
  std::uint64_t last_token_ = 0;
  bool ledger_cancelled_ = false, ledger_ended_ = false, renewed_by_follower_ = false, killed_while_uncertain_ = false;
  // The node.
  bool task_runs_ = true;
  std::size_t asked_ = 0;
  std::uint64_t fencing_token_ = 0;
  double lease_until_ = kLease;
};

struct Findings {
  std::size_t worlds = 0, violations = 0, confirmed = 0, renewed_by_follower = 0, killed_while_uncertain = 0;
  std::string first_violation;
};

std::string text_of(const Faults& f) {
  return "refused for " + std::to_string(f.refused_for) + ", outage at " + std::to_string(f.outage_at) + ", partitions " +
         std::to_string(f.partitions) + " from " + std::to_string(f.partition_from) + " for " +
         std::to_string(f.partition_until - f.partition_from) + ", cancelled at " + std::to_string(f.cancel_at) + ", " +
         std::to_string(f.restarts) + " restarts at " + std::to_string(f.restarts_at) + ", hangs at " + std::to_string(f.hangs_at) +
         ", zone " + std::to_string(f.zone);
}

// Calls `visit` with each combination of network faults.
template <class Visit>
void for_each_network_fault(const Visit& visit) {
  Faults f;
  for (f.refused_for = 4; f.refused_for <= 28; f.refused_for += 24)
    for (double outage : {kNever, 2.0, 3.0, 3.5, 4.0, 4.5, 5.0, 6.0, 9.0})
      for (f.partitions = 0; f.partitions < 8; ++f.partitions)
        for (f.partition_from = 0; f.partition_from <= (f.partitions ? 3 : 0); f.partition_from += 3)
          for (double partition_for : {7.0, 40.0}) {
            if (f.partitions == 0 && partition_for > 7) continue;
            f.outage_at = outage;
            f.partition_until = f.partition_from + partition_for;
            visit(f);
          }
}

// Calls `visit` with these network faults and each combination of the others.
template <class Visit>
void for_each_other_fault(Faults f, const Visit& visit) {
  for (double cancel : {0.5, 1.0, 2.0, 3.0, 3.5, 4.0, 4.5, 5.5, 7.0})
    for (f.restarts = -1; f.restarts < 3; ++f.restarts)
      for (f.restarts_at = 3; f.restarts_at <= (f.restarts < 0 ? 3 : 6); f.restarts_at += 1.5)
        for (double hangs : {kNever, 0.5, 2.5, 4.0})
          for (f.zone = 0; f.zone < kControllers; ++f.zone) {
            f.cancel_at = cancel;
            f.hangs_at = hangs;
            visit(f);
          }
}

// `first_only`: until the first world with a violation.
Findings explore(const RemovedGuards& removed, bool first_only = false) {
  Findings out;
  const auto play = [&](const Faults& faults) {
    if (first_only && out.violations > 0) return;
    World world(faults, removed);
    ++out.worlds;
    if (world.has_violation() && ++out.violations == 1) out.first_violation = text_of(faults);
    if (first_only && out.violations > 0) return;
    out.confirmed += world.confirmed();
    out.renewed_by_follower += world.renewed_by_follower();
    out.killed_while_uncertain += world.killed_while_uncertain();
  };
  for_each_network_fault([&](const Faults& faults) { for_each_other_fault(faults, play); });
  return out;
}

TEST(LeaseRenewal, NoTaskOutlivesItsCancellationWhoeverRenewsItsLease) {
  const auto f = explore({});
  EXPECT_EQ(f.violations, 0u) << f.first_violation;
  EXPECT_GT(f.worlds, 300000u);
  EXPECT_GT(f.confirmed, f.worlds / 2);
  EXPECT_GT(f.renewed_by_follower, 1000u) << "followers renewed leases";
  EXPECT_GT(f.killed_while_uncertain, 1000u) << "uncertain leaders sent kills";
  std::cout << f.worlds << " worlds, confirmed in " << f.confirmed << ", renewed by a follower in " << f.renewed_by_follower
            << ", killed while uncertain in " << f.killed_while_uncertain << "\n";
}

TEST(LeaseRenewal, EachRemovedGuardLeadsToAViolation) {
  const auto found = [](const char* what, RemovedGuards removed) {
    const auto f = explore(removed, true);
    EXPECT_GT(f.violations, 0u) << what;
    std::cout << what << ", world " << f.worlds << ": " << f.first_violation << "\n";
  };
  found("kills are sent while uncertain", {.kills_when_uncertain = true});
  found("a cancellation is confirmed only when the takeover is known", {.confirmation_waits = true});
  found("a leader that has not read the ledger renews no lease", {.renewal_waits_for_ledger = true});
  found("the grace is bounded by cancel_s", {.grace_is_bounded = true});
  found("a partition lease is shortened by the age of a cancellation", {.cancellation_age_counts = true});
}

}  // namespace
}  // namespace thistlefront
