// Who may renew a lease in doubt, explored exhaustively over a grid of troubles: three controllers, one machine with one task,
// one cancellation, and no direct command that arrives, with the very rules that the service runs. Times are seconds.
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

// One day's troubles.
struct Troubles {
  double refused_for = 0;                      // the first leader alone, from 2 on
  double outage_at = kNever, outage_for = 14;  // everybody
  unsigned cuts = 0;                           // bits: pairs 0-1, 0-2, 1-2
  double cut_from = 0, cut_until = 0;
  double cancel_at = 0;
  int ends = -1;  // which controller begins anew
  double ends_at = 0;
  double hangs_at = kNever;  // the machine, for kHang
  std::size_t zone = 0;      // of the machine: that of this controller
};

// Guards that are taken out, each to be found.
struct Without {
  bool kills_in_doubt = false, telling_waits = false, reading_waits = false, grace_bound = false, owed_age = false;
};

class World {
 public:
  World(const Troubles& t, const Without& w) : t_(t), without_(w) {
    for (auto& c : replicas_) c.partition_lease = PartitionLease(max_partition_lease_s(kCancel, kLease), 0);
    take(0, 0);
    replicas_[0].read_at = 0;
  }
  // Whether the task was on the machine for longer than it may after its user was told.
  bool broken() {
    for (now_ = 0; now_ < kEnd; now_ += kStep) {
      if (t_.ends >= 0 && now_ == t_.ends_at) begin_anew(static_cast<std::size_t>(t_.ends));
      state_service();
      for (std::size_t i = 0; i < kControllers; ++i)
        if (replicas_[i].leads) beats(i);
      users();
      machine();
      if (told_at_ >= 0 && on_ && now_ > told_at_ + kCancel + kStep) return true;
    }
    return false;
  }
  [[nodiscard]] bool told() const { return told_at_ >= 0; }
  [[nodiscard]] bool kept() const { return kept_; }
  [[nodiscard]] bool killed_in_doubt() const { return killed_in_doubt_; }

 private:
  struct Replica {
    bool leads = false, cancelled = false, off = false;  // the latter two: as its book has it
    std::uint64_t fencing_token = 0, known_token = 0, process = 1;
    std::size_t known_leader = kControllers;
    double valid_until = 0, read_at = kNever, cancelled_at = 0;  // cancelled_at 0: an earlier leader's
    QuorumTracker quorum;
    PartitionLease partition_lease{0, 0};
    std::array<std::uint64_t, kControllers> echoed_process{};
    std::array<double, kControllers> mark{};
  };

  bool outage() const { return now_ >= t_.outage_at && now_ < t_.outage_at + t_.outage_for; }
  bool served(std::size_t i) const { return !outage() && !(i == 0 && now_ >= 2 && now_ < 2 + t_.refused_for); }
  bool linked(std::size_t a, std::size_t b) const {
    const unsigned bit = a + b - 1;  // 0-1: 0, 0-2: 1, 1-2: 2
    return !((t_.cuts >> bit & 1) != 0 && now_ >= t_.cut_from && now_ < t_.cut_until);
  }
  bool read(const Replica& n) const { return now_ >= n.read_at; }
  bool certain(const Replica& n) const { return n.leads && now_ < n.valid_until; }

  void take(std::size_t i, double now) {
    Replica& n = replicas_[i];
    n.leads = true;
    n.fencing_token = n.known_token = ++tokens_by_peer_;
    n.known_leader = i;
    n.valid_until = now + kSessionLease;
    n.read_at = kNever;
    n.quorum = QuorumTracker(kControllers - 1, now, without_.grace_bound ? kCancel : quorum_grace_s(kCancel, kLease));
    n.echoed_process = {};
    holder_ = i;
    lease_valid_until_ = now + kSessionLease;
    reading_since_ = -1;
  }
  void step_down(Replica& n) {
    n.leads = false;
    n.partition_lease.revoke();
  }
  void begin_anew(std::size_t i) {
    const auto process = replicas_[i].process + 1;
    replicas_[i] = Replica{};
    replicas_[i].process = process;
    replicas_[i].partition_lease = PartitionLease(max_partition_lease_s(kCancel, kLease), now_);
  }
  double oldest_cancellation_s(const Replica& n, std::size_t zone) const {
    if (without_.owed_age || !n.cancelled || n.off || zone != t_.zone) return 0;
    return n.cancelled_at > 0 ? now_ - n.cancelled_at : kCancel;
  }

  void state_service() {
    if (outage()) {
      lease_valid_until_ = now_ + kSessionLease;  // every hold has its full time again
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
          n.off = ledger_off_;
          n.cancelled_at = 0;
          n.partition_lease.revoke();
        }
      }
      if (read(n)) n.partition_lease.grant(n.fencing_token, now_, oldest_cancellation_s(n, i));
    }
    if (now_ <= lease_valid_until_) return;
    for (std::size_t i : {1, 2, 0}) {
      if (!served(i) || replicas_[i].leads) continue;
      take(i, now_);
      break;
    }
  }

  void beats(std::size_t from) {
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
        const double age = read(l) ? oldest_cancellation_s(l, to) : kCancel;
        if (certain(l) && read(l) && l.echoed_process[to] == f.process && age < kCancel)
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
    if (now_ < t_.cancel_at) return;
    for (auto& n : replicas_) {
      if (!n.leads || !read(n)) continue;
      if (certain(n) && !n.cancelled) {
        n.cancelled = ledger_cancelled_ = true;
        n.cancelled_at = now_;
      }
      // By the answer to a withdrawal, or to any later question, of a leader in doubt too.
      if (n.cancelled && told_at_ < 0 && (without_.telling_waits || n.off || n.quorum.is_takeover_known(n.fencing_token))) told_at_ = now_;
    }
  }

  void machine() {
    if (now_ > lease_until_) on_ = false;
    if (now_ >= t_.hangs_at && now_ < t_.hangs_at + kHang) return;
    Replica& n = replicas_[at_];
    if (n.leads && fencing_token_ > n.fencing_token) step_down(n);
    if (!n.leads) {
      if (n.partition_lease.is_active(now_) && at_ == t_.zone && fencing_token_ <= n.partition_lease.fencing_token()) {
        n.partition_lease.record_renewal(now_);
        answered(n.partition_lease.fencing_token(), false);
        kept_ = true;
      } else {
        at_ = n.known_leader < kControllers && n.known_leader != at_ ? n.known_leader : (at_ + 1) % kControllers;
      }
      return;
    }
    const bool own = at_ == t_.zone;
    const bool knows = read(n) || without_.reading_waits;
    const LeadershipEvidence s{knows, certain(n), n.quorum.has_quorum(now_),
                               own && (read(n) ? n.partition_lease.is_active(now_) : n.partition_lease.is_granted(now_))};
    const LeaseRenewal may = decide_lease_renewal(s, on_);
    if (may == LeaseRenewal::refuse) {
      at_ = (at_ + 1) % kControllers;
      return;
    }
    if (!certain(n) && !s.has_quorum) n.partition_lease.record_renewal(now_);
    const bool kill = read(n) && n.cancelled && (may == LeaseRenewal::all_commands || !without_.kills_in_doubt);
    killed_in_doubt_ = killed_in_doubt_ || (kill && on_ && may == LeaseRenewal::kills_only);
    answered(n.fencing_token, kill);
    if (read(n) && !on_) {
      n.off = true;
      if (certain(n)) ledger_off_ = true;
    }
  }
  void answered(std::uint64_t fencing_token, bool kill) {
    if (fencing_token < fencing_token_) return;
    fencing_token_ = fencing_token;
    lease_until_ = now_ + kLease;
    if (kill) on_ = false;
  }

  const Troubles t_;
  const Without without_;
  std::array<Replica, kControllers> replicas_;
  double now_ = 0, lease_valid_until_ = 0, reading_since_ = -1, told_at_ = -1;
  std::size_t holder_ = 0;
  std::uint64_t tokens_by_peer_ = 0;
  bool ledger_cancelled_ = false, ledger_off_ = false, kept_ = false, killed_in_doubt_ = false;
  // The machine.
  bool on_ = true;
  std::size_t at_ = 0;
  std::uint64_t fencing_token_ = 0;
  double lease_until_ = kLease;
};

struct Found {
  std::size_t worlds = 0, broken = 0, told = 0, kept = 0, killed_in_doubt = 0;
  std::string first;
};

// `first_only`: until the first world that is broken.
Found explore(const Without& without, bool first_only = false) {
  Found out;
  Troubles t;
  for (t.refused_for = 4; t.refused_for <= 28; t.refused_for += 24)
    for (double outage : {kNever, 2.0, 3.0, 3.5, 4.0, 4.5, 5.0, 6.0, 9.0})
      for (t.cuts = 0; t.cuts < 8; ++t.cuts)
        for (t.cut_from = 0; t.cut_from <= (t.cuts ? 3 : 0); t.cut_from += 3)
          for (double cut_for : {7.0, 40.0})
            for (double cancel : {0.5, 1.0, 2.0, 3.0, 3.5, 4.0, 4.5, 5.5, 7.0})
              for (t.ends = -1; t.ends < 3; ++t.ends)
                for (t.ends_at = 3; t.ends_at <= (t.ends < 0 ? 3 : 6); t.ends_at += 1.5)
                  for (double hangs : {kNever, 0.5, 2.5, 4.0})
                    for (t.zone = 0; t.zone < kControllers; ++t.zone) {
                      if (t.cuts == 0 && cut_for > 7) continue;
                      t.outage_at = outage, t.cut_until = t.cut_from + cut_for, t.cancel_at = cancel, t.hangs_at = hangs;
                      World w(t, without);
                      ++out.worlds;
                      if (w.broken() && ++out.broken == 1)
                        out.first = "refused for " + std::to_string(t.refused_for) + ", outage at " + std::to_string(outage) + ", cuts " +
                                    std::to_string(t.cuts) + " from " + std::to_string(t.cut_from) + " for " + std::to_string(cut_for) +
                                    ", cancelled at " + std::to_string(cancel) + ", " + std::to_string(t.ends) + " ends at " +
                                    std::to_string(t.ends_at) + ", hangs at " + std::to_string(hangs) + ", zone " + std::to_string(t.zone);
                      if (first_only && out.broken > 0) return out;
                      out.told += w.told();
                      out.kept += w.kept();
                      out.killed_in_doubt += w.killed_in_doubt();
                    }
  return out;
}

TEST(LeaseRenewal, NoTaskOutlivesItsCancellationWhoeverRenewsItsLease) {
  const auto f = explore({});
  EXPECT_EQ(f.broken, 0u) << f.first;
  EXPECT_GT(f.worlds, 300000u);
  EXPECT_GT(f.told, f.worlds / 2);
  EXPECT_GT(f.kept, 1000u) << "followers kept leases";
  EXPECT_GT(f.killed_in_doubt, 1000u) << "leaders in doubt handed out kills";
  std::cout << f.worlds << " worlds, told in " << f.told << ", kept in " << f.kept << ", killed in doubt in " << f.killed_in_doubt << "\n";
}

TEST(LeaseRenewal, EachGuardTakenOutIsFound) {
  const auto found = [](const char* what, Without w) {
    const auto f = explore(w, true);
    EXPECT_GT(f.broken, 0u) << what;
    std::cout << what << ", world " << f.worlds << ": " << f.first << "\n";
  };
  found("kills in doubt", {.kills_in_doubt = true});
  found("telling waits until this lead is known", {.telling_waits = true});
  found("one that has not read renews nothing", {.reading_waits = true});
  found("the grace is bounded by cancel_s", {.grace_bound = true});
  found("the age of what is owed", {.owed_age = true});
}

}  // namespace
}  // namespace thistlefront
