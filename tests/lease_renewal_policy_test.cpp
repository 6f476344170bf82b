// Explores the lease renewal policy exhaustively over a grid of faults: three controllers, one node with one task, one cancellation, and
// no direct command that arrives. The rules under test are those of the service. Times are seconds.
#include "worker_control/lease_renewal_policy.hpp"

#include <gtest/gtest.h>

#include <array>
#include <string>

#include "leadership/partition_lease.hpp"
#include "leadership/quorum_tracker.hpp"

namespace thistlefront {
namespace {

constexpr double kStepS = 0.5, kEndS = 34, kLeaseS = 8, kCancelS = 15, kSessionLeaseS = 1.5, kLedgerReadS = 0.5, kHangS = 5;
constexpr double kNever = 1e9;
constexpr std::size_t kControllers = 3;

// The faults of one scenario, the time of the cancellation and the zone of the node.
struct Faults {
  double store_unreachable_for = 0;                        // for the first leader only, from 2 s on
  double store_outage_at = kNever, store_outage_for = 14;  // for all controllers
  unsigned partitions = 0;                                 // bits: between the controllers 0-1, 0-2, 1-2
  double partition_from = 0, partition_until = 0;
  double cancel_at = 0;
  int restarted_controller = -1;  // -1: none restarts
  double restart_at = 0;
  double node_hangs_at = kNever;  // for kHangS
  std::size_t node_zone = 0;      // the zone of the controller with this index
};

// Safety guards to remove (true: removed). The removal of any one must lead to a violation.
struct RemovedGuards {
  bool kills_when_uncertain = false;             // kills go with replies while leadership is uncertain
  bool confirmation_waits_for_takeover = false;  // a cancellation is confirmed only once the takeover is known
  bool renewal_waits_for_ledger = false;         // a leader that has not read the ledger keeps no task alive
  bool grace_bounded_by_cancel_s = false;        // quorum_grace_s limits the grace period
  bool cancellation_age_shortens_lease = false;  // a partition lease is shortened by the age of a cancellation
};

class Simulation {
 public:
  Simulation(const Faults& faults, const RemovedGuards& removed) : faults_(faults), removed_(removed) {
    for (auto& controller : controllers_) controller.partition_lease = PartitionLease(max_partition_lease_s(kCancelS, kLeaseS), 0);
    take_over(0, 0);
    controllers_[0].ledger_read_at = 0;
  }
  // Runs the simulation. Returns whether the task still ran more than kCancelS after its cancellation was confirmed to the user.
  bool runs_into_violation() {
    for (now_ = 0; now_ < kEndS; now_ += kStepS) {
      if (faults_.restarted_controller >= 0 && now_ == faults_.restart_at) restart(static_cast<std::size_t>(faults_.restarted_controller));
      update_session_leases();
      for (std::size_t i = 0; i < kControllers; ++i)
        if (controllers_[i].leads) send_peer_heartbeats(i);
      cancel_and_confirm();
      send_node_heartbeat();
      if (confirmed_at_ >= 0 && task_runs_ && now_ > confirmed_at_ + kCancelS + kStepS) return true;
    }
    return false;
  }
  [[nodiscard]] bool is_confirmed() const { return confirmed_at_ >= 0; }
  [[nodiscard]] bool was_renewed_by_follower() const { return renewed_by_follower_; }
  [[nodiscard]] bool was_killed_while_uncertain() const { return killed_while_uncertain_; }

 private:
  struct Controller {
    bool leads = false;
    bool job_cancelled = false, job_ended = false;  // in its cluster state
    std::uint64_t fencing_token = 0, known_token = 0, process = 1;
    std::size_t known_leader = kControllers;
    double session_lease_until = 0, ledger_read_at = kNever;
    double cancelled_at = 0;  // 0: an earlier leader cancelled the job
    QuorumTracker quorum;
    PartitionLease partition_lease{0, 0};
    std::array<std::uint64_t, kControllers> echoed_process{};
    std::array<double, kControllers> echoed_sent_at{};
  };

  bool store_is_down() const { return now_ >= faults_.store_outage_at && now_ < faults_.store_outage_at + faults_.store_outage_for; }
  bool store_serves(std::size_t i) const { return !store_is_down() && !(i == 0 && now_ >= 2 && now_ < 2 + faults_.store_unreachable_for); }
  bool are_connected(std::size_t a, std::size_t b) const {
    const unsigned bit = a + b - 1;  // 0-1: 0, 0-2: 1, 1-2: 2
    return !((faults_.partitions >> bit & 1) != 0 && now_ >= faults_.partition_from && now_ < faults_.partition_until);
  }
  bool has_read_ledger(const Controller& controller) const { return now_ >= controller.ledger_read_at; }
  bool is_leadership_certain(const Controller& controller) const { return controller.leads && now_ < controller.session_lease_until; }

  void take_over(std::size_t i, double now) {
    Controller& controller = controllers_[i];
    controller.leads = true;
    controller.fencing_token = controller.known_token = ++last_token_;
    controller.known_leader = i;
    controller.session_lease_until = now + kSessionLeaseS;
    controller.ledger_read_at = kNever;
    controller.quorum =
        QuorumTracker(kControllers - 1, now, removed_.grace_bounded_by_cancel_s ? kCancelS : quorum_grace_s(kCancelS, kLeaseS));
    controller.echoed_process = {};
    session_lease_holder_ = i;
    session_lease_until_ = now + kSessionLeaseS;
    ledger_read_since_ = -1;
  }
  void step_down(Controller& controller) {
    controller.leads = false;
    controller.partition_lease.revoke();
  }
  void restart(std::size_t i) {
    const auto process = controllers_[i].process + 1;
    controllers_[i] = Controller{};
    controllers_[i].process = process;
    controllers_[i].partition_lease = PartitionLease(max_partition_lease_s(kCancelS, kLeaseS), now_);
  }
  double oldest_cancellation_s(const Controller& controller, std::size_t zone) const {
    if (removed_.cancellation_age_shortens_lease || !controller.job_cancelled || controller.job_ended || zone != faults_.node_zone)
      return 0;
    return controller.cancelled_at > 0 ? now_ - controller.cancelled_at : kCancelS;
  }

  void update_session_leases() {
    if (store_is_down()) {
      session_lease_until_ = now_ + kSessionLeaseS;  // an outage extends every session lease to its full duration
      return;
    }
    for (std::size_t i = 0; i < kControllers; ++i) {
      Controller& controller = controllers_[i];
      if (!controller.leads || !store_serves(i)) continue;
      if (session_lease_holder_ != i || now_ > session_lease_until_) {
        step_down(controller);
        continue;
      }
      session_lease_until_ = controller.session_lease_until = now_ + kSessionLeaseS;
      if (controller.ledger_read_at == kNever) {
        if (ledger_read_since_ < 0) ledger_read_since_ = now_;
        if (now_ >= ledger_read_since_ + kLedgerReadS) {
          controller.ledger_read_at = now_;
          controller.job_cancelled = ledger_cancelled_;
          controller.job_ended = ledger_ended_;
          controller.cancelled_at = 0;
          controller.partition_lease.revoke();
        }
      }
      if (has_read_ledger(controller))
        controller.partition_lease.grant(controller.fencing_token, now_, oldest_cancellation_s(controller, i));
    }
    if (now_ <= session_lease_until_) return;
    for (std::size_t i : {1, 2, 0}) {
      if (!store_serves(i) || controllers_[i].leads) continue;
      take_over(i, now_);
      break;
    }
  }

  void send_peer_heartbeats(std::size_t from) {
    Controller& leader = controllers_[from];
    for (std::size_t to = 0, peer = 0; to < kControllers; ++to) {
      if (to == from) continue;
      const std::size_t peer_index = peer++;
      if (!are_connected(from, to)) continue;
      Controller& follower = controllers_[to];
      if (leader.fencing_token >= follower.known_token) {
        if (follower.leads) step_down(follower);
        follower.partition_lease.observe_leader(leader.fencing_token);
        follower.known_token = leader.fencing_token;
        follower.known_leader = from;
        const double age = has_read_ledger(leader) ? oldest_cancellation_s(leader, to) : kCancelS;
        if (is_leadership_certain(leader) && has_read_ledger(leader) && leader.echoed_process[to] == follower.process && age < kCancelS)
          follower.partition_lease.grant(leader.fencing_token, leader.echoed_sent_at[to], age);
      } else {
        leader.known_token = follower.known_token;
        leader.known_leader = follower.known_leader;
        step_down(leader);
        return;
      }
      leader.quorum.record_ack(peer_index, follower.process, now_, follower.known_token, is_leadership_certain(leader));
      leader.echoed_process[to] = follower.process;
      leader.echoed_sent_at[to] = now_;
    }
  }

  // Users cancel the job and receive the confirmation.
  void cancel_and_confirm() {
    if (now_ < faults_.cancel_at) return;
    for (auto& controller : controllers_) {
      if (!controller.leads || !has_read_ledger(controller)) continue;
      if (is_leadership_certain(controller) && !controller.job_cancelled) {
        controller.job_cancelled = ledger_cancelled_ = true;
        controller.cancelled_at = now_;
      }
      // The reply to the cancellation, or to any later status request, confirms it. The leadership may be uncertain.
      if (controller.job_cancelled && confirmed_at_ < 0 &&
          (removed_.confirmation_waits_for_takeover || controller.job_ended ||
           controller.quorum.is_takeover_known(controller.fencing_token)))
        confirmed_at_ = now_;
    }
  }

  // A follower replies under its partition lease, or names the leader that it knows.
  void send_heartbeat_to_follower(Controller& controller) {
    if (controller.partition_lease.is_active(now_) && contacted_controller_ == faults_.node_zone &&
        agent_token_ <= controller.partition_lease.fencing_token()) {
      controller.partition_lease.record_renewal(now_);
      receive_reply(controller.partition_lease.fencing_token(), false);
      renewed_by_follower_ = true;
    } else {
      contacted_controller_ = controller.known_leader < kControllers && controller.known_leader != contacted_controller_
                                  ? controller.known_leader
                                  : (contacted_controller_ + 1) % kControllers;
    }
  }
  // Sends a heartbeat of the node to the controller that it contacts.
  void send_node_heartbeat() {
    if (now_ > lease_until_) task_runs_ = false;
    if (now_ >= faults_.node_hangs_at && now_ < faults_.node_hangs_at + kHangS) return;
    Controller& controller = controllers_[contacted_controller_];
    if (controller.leads && agent_token_ > controller.fencing_token) step_down(controller);
    if (!controller.leads) {
      send_heartbeat_to_follower(controller);
      return;
    }
    const bool is_own_zone = contacted_controller_ == faults_.node_zone;
    const bool ledger_read = has_read_ledger(controller) || removed_.renewal_waits_for_ledger;
    const LeadershipEvidence evidence{ledger_read, is_leadership_certain(controller), controller.quorum.has_quorum(now_),
                                      is_own_zone && (has_read_ledger(controller) ? controller.partition_lease.is_active(now_)
                                                                                  : controller.partition_lease.is_unexpired(now_))};
    const LeaseRenewal renewal = decide_lease_renewal(evidence, task_runs_);
    if (renewal == LeaseRenewal::refuse) {
      contacted_controller_ = (contacted_controller_ + 1) % kControllers;
      return;
    }
    if (!is_leadership_certain(controller) && !evidence.has_quorum) controller.partition_lease.record_renewal(now_);
    const bool kills_task = has_read_ledger(controller) && controller.job_cancelled &&
                            (renewal == LeaseRenewal::all_commands || !removed_.kills_when_uncertain);
    killed_while_uncertain_ = killed_while_uncertain_ || (kills_task && task_runs_ && renewal == LeaseRenewal::kills_only);
    receive_reply(controller.fencing_token, kills_task);
    if (has_read_ledger(controller) && !task_runs_) {
      controller.job_ended = true;
      if (is_leadership_certain(controller)) ledger_ended_ = true;
    }
  }
  void receive_reply(std::uint64_t fencing_token, bool kills_task) {
    if (fencing_token < agent_token_) return;
    agent_token_ = fencing_token;
    lease_until_ = now_ + kLeaseS;
    if (kills_task) task_runs_ = false;
  }

  const Faults faults_;
  const RemovedGuards removed_;
  std::array<Controller, kControllers> controllers_;
  double now_ = 0, session_lease_until_ = 0, ledger_read_since_ = -1, confirmed_at_ = -1;
  std::size_t session_lease_holder_ = 0;
  std::uint64_t last_token_ = 0;
  bool ledger_cancelled_ = false, ledger_ended_ = false, renewed_by_follower_ = false, killed_while_uncertain_ = false;
  // The node.
  bool task_runs_ = true;
  std::size_t contacted_controller_ = 0;
  std::uint64_t agent_token_ = 0;
  double lease_until_ = kLeaseS;
};

struct Findings {
  std::size_t scenarios = 0, violations = 0, confirmed = 0, renewed_by_follower = 0, killed_while_uncertain = 0;
  std::string first_violation;
};

std::string text_of(const Faults& faults) {
  return "store unreachable for " + std::to_string(faults.store_unreachable_for) + ", store outage at " +
         std::to_string(faults.store_outage_at) + ", partitions " + std::to_string(faults.partitions) + " from " +
         std::to_string(faults.partition_from) + " for " + std::to_string(faults.partition_until - faults.partition_from) +
         ", cancelled at " + std::to_string(faults.cancel_at) + ", controller " + std::to_string(faults.restarted_controller) +
         " restarts at " + std::to_string(faults.restart_at) + ", node hangs at " + std::to_string(faults.node_hangs_at) + ", zone " +
         std::to_string(faults.node_zone);
}

// Calls `visit` with each combination of network faults.
template <class Visit>
void for_each_network_fault(const Visit& visit) {
  Faults faults;
  for (faults.store_unreachable_for = 4; faults.store_unreachable_for <= 28; faults.store_unreachable_for += 24)
    for (double outage : {kNever, 2.0, 3.0, 3.5, 4.0, 4.5, 5.0, 6.0, 9.0})
      for (faults.partitions = 0; faults.partitions < 8; ++faults.partitions)
        for (faults.partition_from = 0; faults.partition_from <= (faults.partitions ? 3 : 0); faults.partition_from += 3)
          for (double partition_for : {7.0, 40.0}) {
            if (faults.partitions == 0 && partition_for > 7) continue;
            faults.store_outage_at = outage;
            faults.partition_until = faults.partition_from + partition_for;
            visit(faults);
          }
}

// Calls `visit` with these network faults and each combination of the other faults.
template <class Visit>
void for_each_other_fault(Faults faults, const Visit& visit) {
  for (double cancel : {0.5, 1.0, 2.0, 3.0, 3.5, 4.0, 4.5, 5.5, 7.0})
    for (faults.restarted_controller = -1; faults.restarted_controller < 3; ++faults.restarted_controller)
      for (faults.restart_at = 3; faults.restart_at <= (faults.restarted_controller < 0 ? 3 : 6); faults.restart_at += 1.5)
        for (double hangs : {kNever, 0.5, 2.5, 4.0})
          for (faults.node_zone = 0; faults.node_zone < kControllers; ++faults.node_zone) {
            faults.cancel_at = cancel;
            faults.node_hangs_at = hangs;
            visit(faults);
          }
}

// Simulates all scenarios or, with `first_only`, those up to the first violation.
Findings explore(const RemovedGuards& removed, bool first_only = false) {
  Findings findings;
  const auto simulate = [&](const Faults& faults) {
    if (first_only && findings.violations > 0) return;
    Simulation simulation(faults, removed);
    ++findings.scenarios;
    if (simulation.runs_into_violation() && ++findings.violations == 1) findings.first_violation = text_of(faults);
    if (first_only && findings.violations > 0) return;
    findings.confirmed += simulation.is_confirmed();
    findings.renewed_by_follower += simulation.was_renewed_by_follower();
    findings.killed_while_uncertain += simulation.was_killed_while_uncertain();
  };
  for_each_network_fault([&](const Faults& faults) { for_each_other_fault(faults, simulate); });
  return findings;
}

TEST(LeaseRenewal, NoTaskOutlivesItsCancellation) {
  const auto findings = explore({});
  EXPECT_EQ(findings.violations, 0u) << findings.first_violation;
  EXPECT_GT(findings.scenarios, 300000u);
  EXPECT_GT(findings.confirmed, findings.scenarios / 2);
  EXPECT_GT(findings.renewed_by_follower, 1000u) << "followers renewed leases";
  EXPECT_GT(findings.killed_while_uncertain, 1000u) << "leaders sent kills while their leadership was uncertain";
  std::cout << findings.scenarios << " scenarios, confirmed in " << findings.confirmed << ", renewed by a follower in "
            << findings.renewed_by_follower << ", killed while uncertain in " << findings.killed_while_uncertain << "\n";
}

TEST(LeaseRenewal, EachRemovedGuardLeadsToAViolation) {
  const auto expect_violation = [](const char* guard, RemovedGuards removed) {
    const auto findings = explore(removed, true);
    EXPECT_GT(findings.violations, 0u) << guard;
    std::cout << guard << ", scenario " << findings.scenarios << ": " << findings.first_violation << "\n";
  };
  expect_violation("kills are sent while leadership is uncertain", {.kills_when_uncertain = true});
  expect_violation("a cancellation is confirmed only when the takeover is known", {.confirmation_waits_for_takeover = true});
  expect_violation("a leader that has not read the ledger renews no lease", {.renewal_waits_for_ledger = true});
  expect_violation("the grace period is bounded by cancel_s", {.grace_bounded_by_cancel_s = true});
  expect_violation("a partition lease is shortened by the age of a cancellation", {.cancellation_age_shortens_lease = true});
}

}  // namespace
}  // namespace thistlefront
