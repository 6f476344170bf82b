// Who may renew a lease in doubt, explored exhaustively over a grid of troubles: three controllers, one machine with one task,
// one cancellation, and no direct command that arrives, with the very rules that the service runs. Times are seconds.
#include "fleet/renewal.hpp"

#include <gtest/gtest.h>

#include <array>
#include <string>

#include "duties/backing.hpp"
#include "fleet/custody.hpp"

namespace thistle {
namespace {

constexpr double kStep = 0.5, kEnd = 34, kLease = 8, kCancel = 15, kHold = 1.5, kReading = 0.5, kHang = 5;
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
    for (auto& c : nodes_) c.custody = Custody(custody_span(kCancel, kLease), 0);
    take(0, 0);
    nodes_[0].read_at = 0;
  }
  // Whether the task was on the machine for longer than it may after its user was told.
  bool broken() {
    for (now_ = 0; now_ < kEnd; now_ += kStep) {
      if (t_.ends >= 0 && now_ == t_.ends_at) begin_anew(static_cast<std::size_t>(t_.ends));
      state_service();
      for (std::size_t i = 0; i < kControllers; ++i)
        if (nodes_[i].leads) beats(i);
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
  struct Node {
    bool leads = false, cancelled = false, off = false;  // the latter two: as its book has it
    std::uint64_t epoch = 0, known_epoch = 0, process = 1;
    std::size_t known_leader = kControllers;
    double valid_until = 0, read_at = kNever, cancelled_at = 0;  // cancelled_at 0: an earlier leader's
    Backing backing;
    Custody custody{0, 0};
    std::array<std::uint64_t, kControllers> marked_by{};
    std::array<double, kControllers> mark{};
  };

  bool outage() const { return now_ >= t_.outage_at && now_ < t_.outage_at + t_.outage_for; }
  bool served(std::size_t i) const { return !outage() && !(i == 0 && now_ >= 2 && now_ < 2 + t_.refused_for); }
  bool linked(std::size_t a, std::size_t b) const {
    const unsigned bit = a + b - 1;  // 0-1: 0, 0-2: 1, 1-2: 2
    return !((t_.cuts >> bit & 1) != 0 && now_ >= t_.cut_from && now_ < t_.cut_until);
  }
  bool read(const Node& n) const { return now_ >= n.read_at; }
  bool certain(const Node& n) const { return n.leads && now_ < n.valid_until; }

  void take(std::size_t i, double now) {
    Node& n = nodes_[i];
    n.leads = true;
    n.epoch = n.known_epoch = ++epochs_;
    n.known_leader = i;
    n.valid_until = now + kHold;
    n.read_at = kNever;
    n.backing = Backing(kControllers - 1, now, without_.grace_bound ? kCancel : backing_grace(kCancel, kLease));
    n.marked_by = {};
    holder_ = i;
    hold_until_ = now + kHold;
    reading_since_ = -1;
  }
  void step_down(Node& n) {
    n.leads = false;
    n.custody.revoke();
  }
  void begin_anew(std::size_t i) {
    const auto process = nodes_[i].process + 1;
    nodes_[i] = Node{};
    nodes_[i].process = process;
    nodes_[i].custody = Custody(custody_span(kCancel, kLease), now_);
  }
  double owed(const Node& n, std::size_t zone) const {
    if (without_.owed_age || !n.cancelled || n.off || zone != t_.zone) return 0;
    return n.cancelled_at > 0 ? now_ - n.cancelled_at : kCancel;
  }

  void state_service() {
    if (outage()) {
      hold_until_ = now_ + kHold;  // every hold has its full time again
      return;
    }
    for (std::size_t i = 0; i < kControllers; ++i) {
      Node& n = nodes_[i];
      if (!n.leads || !served(i)) continue;
      if (holder_ != i || now_ > hold_until_) {
        step_down(n);
        continue;
      }
      hold_until_ = n.valid_until = now_ + kHold;
      if (n.read_at == kNever) {
        if (reading_since_ < 0) reading_since_ = now_;
        if (now_ >= reading_since_ + kReading) {
          n.read_at = now_;
          n.cancelled = ledger_cancelled_;
          n.off = ledger_off_;
          n.cancelled_at = 0;
          n.custody.revoke();
        }
      }
      if (read(n)) n.custody.grant(n.epoch, now_, owed(n, i));
    }
    if (now_ <= hold_until_) return;
    for (std::size_t i : {1, 2, 0}) {
      if (!served(i) || nodes_[i].leads) continue;
      take(i, now_);
      break;
    }
  }

  void beats(std::size_t from) {
    Node& l = nodes_[from];
    for (std::size_t to = 0, peer = 0; to < kControllers; ++to) {
      if (to == from) continue;
      const std::size_t index = peer++;
      if (!linked(from, to)) continue;
      Node& f = nodes_[to];
      if (l.epoch >= f.known_epoch) {
        if (f.leads) step_down(f);
        f.custody.observe_leader(l.epoch);
        f.known_epoch = l.epoch;
        f.known_leader = from;
        const double age = read(l) ? owed(l, to) : kCancel;
        if (certain(l) && read(l) && l.marked_by[to] == f.process && age < kCancel) f.custody.grant(l.epoch, l.mark[to], age);
      } else {
        l.known_epoch = f.known_epoch;
        l.known_leader = f.known_leader;
        step_down(l);
        return;
      }
      l.backing.record_ack(index, f.process, now_, f.known_epoch, certain(l));
      l.marked_by[to] = f.process;
      l.mark[to] = now_;
    }
  }

  void users() {
    if (now_ < t_.cancel_at) return;
    for (auto& n : nodes_) {
      if (!n.leads || !read(n)) continue;
      if (certain(n) && !n.cancelled) {
        n.cancelled = ledger_cancelled_ = true;
        n.cancelled_at = now_;
      }
      // By the answer to a withdrawal, or to any later question, of a leader in doubt too.
      if (n.cancelled && told_at_ < 0 && (without_.telling_waits || n.off || n.backing.is_takeover_known(n.epoch))) told_at_ = now_;
    }
  }

  void machine() {
    if (now_ > lease_until_) on_ = false;
    if (now_ >= t_.hangs_at && now_ < t_.hangs_at + kHang) return;
    Node& n = nodes_[at_];
    if (n.leads && epoch_ > n.epoch) step_down(n);
    if (!n.leads) {
      if (n.custody.is_active(now_) && at_ == t_.zone && epoch_ <= n.custody.epoch()) {
        n.custody.record_renewal(now_);
        answered(n.custody.epoch(), false);
        kept_ = true;
      } else {
        at_ = n.known_leader < kControllers && n.known_leader != at_ ? n.known_leader : (at_ + 1) % kControllers;
      }
      return;
    }
    const bool own = at_ == t_.zone;
    const bool knows = read(n) || without_.reading_waits;
    const Standing s{knows, certain(n), n.backing.has_quorum(now_),
                     own && (read(n) ? n.custody.is_active(now_) : n.custody.is_granted(now_))};
    const Renewal may = renewal(s, on_);
    if (may == Renewal::refuse) {
      at_ = (at_ + 1) % kControllers;
      return;
    }
    if (!certain(n) && !s.has_quorum) n.custody.record_renewal(now_);
    const bool kill = read(n) && n.cancelled && (may == Renewal::all_commands || !without_.kills_in_doubt);
    killed_in_doubt_ = killed_in_doubt_ || (kill && on_ && may == Renewal::kills_only);
    answered(n.epoch, kill);
    if (read(n) && !on_) {
      n.off = true;
      if (certain(n)) ledger_off_ = true;
    }
  }
  void answered(std::uint64_t epoch, bool kill) {
    if (epoch < epoch_) return;
    epoch_ = epoch;
    lease_until_ = now_ + kLease;
    if (kill) on_ = false;
  }

  const Troubles t_;
  const Without without_;
  std::array<Node, kControllers> nodes_;
  double now_ = 0, hold_until_ = 0, reading_since_ = -1, told_at_ = -1;
  std::size_t holder_ = 0;
  std::uint64_t epochs_ = 0;
  bool ledger_cancelled_ = false, ledger_off_ = false, kept_ = false, killed_in_doubt_ = false;
  // The machine.
  bool on_ = true;
  std::size_t at_ = 0;
  std::uint64_t epoch_ = 0;
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

TEST(Renewal, NoTaskOutlivesItsCancellationWhoeverRenewsItsLease) {
  const auto f = explore({});
  EXPECT_EQ(f.broken, 0u) << f.first;
  EXPECT_GT(f.worlds, 300000u);
  EXPECT_GT(f.told, f.worlds / 2);
  EXPECT_GT(f.kept, 1000u) << "followers kept leases";
  EXPECT_GT(f.killed_in_doubt, 1000u) << "leaders in doubt handed out kills";
  std::cout << f.worlds << " worlds, told in " << f.told << ", kept in " << f.kept << ", killed in doubt in " << f.killed_in_doubt << "\n";
}

TEST(Renewal, EachGuardTakenOutIsFound) {
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
}  // namespace thistle
