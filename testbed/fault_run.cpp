#include "testbed/fault_run.hpp"

#include <algorithm>
#include <array>
#include <iostream>
#include <utility>

#include "protocol/version_messages.hpp"
#include "testbed/controller_settings.hpp"
#include "transport/clock.hpp"

namespace thistlefront::testbed {

namespace {
constexpr double kReplyLossProbability = 0.3, kDelayProbability = 0.2, kDuplicateProbability = 0.3;
constexpr double kMaxTransactionDelayS = 12;
constexpr double kHealthyPeriodS = 8;
constexpr int kMaxLastPollTries = 20;
}  // namespace

void wait(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

FaultRun::FaultRun(const ScenarioOptions& run_options)
    : options(run_options),
      cluster(run_options.cluster),
      random(run_options.cluster.seed),
      runs_newer_build_(run_options.cluster.controllers, false),
      started_at_(steady_now()) {
  for (auto& worker : cluster.workers) worker->duplicate_heartbeats(true);
}

void FaultRun::log_event(const std::string& event) const {
  if (options.verbose) std::cout << "  " << steady_now() - started_at_ << " s: " << event << std::endl;
}

void FaultRun::start(std::size_t i, bool newer, const std::vector<std::string>& more_flags) {
  runs_newer_build_[i] = newer;
  std::vector<std::string> flags;
  if (newer && options.soak_s > 0) flags = {"--state-level-soak", std::to_string(options.soak_s)};
  if (newer && (options.relay_mode == kRelayOn || (options.relay_mode == kRelayDrawn && draw(2) != 0)))
    flags.insert(flags.end(), {"--intake", "on"});
  flags.insert(flags.end(), more_flags.begin(), more_flags.end());
  cluster.start_controller(i, newer ? options.newer_program : options.older_program, flags);
}

void FaultRun::start_all(bool newer) {
  for (std::size_t i = 0; i < controllers(); ++i) start(i, newer);
}

void FaultRun::duplicate_commands(bool duplicates) {
  for (auto& worker : cluster.workers) worker->duplicate_commands(duplicates && options.command_copies);
}

void FaultRun::wait_between_events() {
  wait(0.5 + 0.25 * static_cast<double>(draw(8)));
}

std::size_t FaultRun::leader_or_last() {
  return std::min(cluster.leader(), controllers() - 1);
}

double FaultRun::seconds_since_faults_ended() const {
  return steady_now() - faults_ended_at_;
}

bool FaultRun::is_fault_time_over() const {
  return steady_now() > started_at_ + options.faults_s;
}

void FaultRun::end_faults() {
  for (auto& worker : cluster.workers) worker->lose_replies_until(0);
  cluster.store.set_outage(false);
  for (std::size_t i = 0; i < controllers(); ++i) {
    cluster.set_partitioned(i, false, false);
    auto& endpoint = cluster.store.endpoint(i);
    endpoint.rejects_requests = false;
    endpoint.reply_loss_probability = endpoint.delay_probability = endpoint.duplicate_probability = 0;
  }
  faults_ended_at_ = steady_now();
  cluster.checker.record_faults_ended(faults_ended_at_);
}

bool FaultRun::wait_for_format_version(std::uint32_t format_version, double within_s) {
  const auto expected_value = active_version_value({format_version, 0});
  for (const double until = steady_now() + within_s; steady_now() < until; wait(0.1))
    if (cluster.store.value(kActiveVersionKey) == expected_value) return true;
  return false;
}

// ---- the report

std::size_t FaultRun::count_jobs_without_reply(const std::vector<std::string>& uids) {
  unsigned address_random = options.cluster.seed;
  std::size_t jobs_without_reply = 0;
  for (const auto& uid : uids) {
    bool known = false;
    for (int tries = 0; tries < kMaxLastPollTries && !known; ++tries) {
      const auto reply = cluster.call("GET", "/v1/jobs/" + uid, "", address_random);
      if (reply.is(404)) cluster.checker.record_reply(uid, "unknown", steady_now());
      known = reply.is(200) || reply.is(404);
      if (!known) wait(0.2);
    }
    if (!known) ++jobs_without_reply;
  }
  return jobs_without_reply;
}

bool FaultRun::report(const std::string& scenario_figures) {
  cluster.stop_users();
  const auto accepted = cluster.checker.accepted_jobs();
  RunReport report;
  report.jobs_without_reply = count_jobs_without_reply(accepted);
  report.seed = options.cluster.seed;
  report.events = events;
  report.accepted = accepted.size();
  report.completed_tasks = cluster.checker.completed_tasks();
  report.longest_acceptance_gap_s = cluster.checker.longest_acceptance_gap(started_at_, faults_ended_at_);
  report.longest_acceptance_gap_after_faults_s =
      cluster.checker.longest_acceptance_gap(faults_ended_at_, faults_ended_at_ + kHealthyPeriodS);
  report.scenario_figures = scenario_figures;
  report.unfenced_writes = cluster.store.unfenced_writes();
  report.oversized_transactions = cluster.store.oversized_transactions();
  report.dependent_jobs = cluster.checker.dependent_jobs();
  report.first_dependent_after_s = report.dependent_jobs.first_accepted_at - all_newer_at;
  report.fault_pairs = fault_pairs_;
  report.violations = cluster.checker.violations();
  print(std::cout, report);
  return report.passed();
}

// ---- faults

const char* FaultRun::name_of(Fault fault) {
  static constexpr std::array kNames{"leader-killed",
                                     "leader-freezes",
                                     "controller-freezes",
                                     "endpoint-rejects",
                                     "replies-lost",
                                     "transactions-delayed",
                                     "transactions-duplicated",
                                     "store-outage",
                                     "leader-rejected-then-outage",
                                     "controller-partitioned",
                                     "workers-unresponsive",
                                     "worker-hangs",
                                     "all-killed"};
  static_assert(kNames.size() == static_cast<std::size_t>(Fault::count));
  return kNames.at(static_cast<std::size_t>(fault));
}

FaultRun::Fault FaultRun::choose_fault() {
  return static_cast<Fault>(draw(static_cast<std::size_t>(Fault::count)));
}

void FaultRun::inject_fault() {
  const Fault first = choose_fault();
  if (draw(2) != 0) {
    second_fault_ = choose_fault();
    ++fault_pairs_[std::string(name_of(first)) + "+" + name_of(*second_fault_)];
  }
  inject(first);
  if (!second_fault_) return;
  wait(0.05 * static_cast<double>(draw(20)));
  inject_second_fault();
}

void FaultRun::inject_second_fault() {
  if (const auto second = std::exchange(second_fault_, std::nullopt)) inject(*second);
}

void FaultRun::wait_during_fault(double seconds) {
  wait(seconds / 2);
  inject_second_fault();
  wait(seconds / 2);
}

void FaultRun::inject(Fault fault) {
  const auto any = draw(controllers()), leader = leader_or_last();
  auto& endpoint = cluster.store.endpoint(any);
  ++events;
  switch (fault) {
    case Fault::leader_killed: kill_leader(leader); break;
    case Fault::leader_freezes:
      log_event("leader freezes");
      freeze_controller(leader, 0.5 + 0.5 * static_cast<double>(draw(8)));
      break;
    case Fault::controller_freezes:
      // Replies to its workers may be pending, and it may resume under another leader.
      log_event(controller_label(any) + " freezes");
      freeze_controller(any, 0.5 + 0.5 * static_cast<double>(draw(16)));
      break;
    case Fault::endpoint_rejects:
      log_event("endpoint of the store: rejection of requests toggled");
      endpoint.rejects_requests = !endpoint.rejects_requests;
      break;
    case Fault::replies_lost:
      toggle_probability("loss of the store's replies", endpoint.reply_loss_probability, kReplyLossProbability);
      break;
    case Fault::transactions_delayed:
      endpoint.max_delay_s = kMaxTransactionDelayS;
      toggle_probability("delay of transactions", endpoint.delay_probability, kDelayProbability);
      break;
    case Fault::transactions_duplicated:
      toggle_probability("duplication of transactions", endpoint.duplicate_probability, kDuplicateProbability);
      break;
    case Fault::store_outage: inject_outage(); break;
    case Fault::leader_rejected_then_outage: reject_leader_then_all(leader); break;
    case Fault::controller_partitioned: partition_controller(leader, any); break;
    case Fault::workers_unresponsive: make_workers_unresponsive(); break;
    case Fault::worker_hangs: hang_worker(); break;
    case Fault::all_killed:
    case Fault::count: kill_all(); break;
  }
}

void FaultRun::kill_leader(std::size_t leader) {
  log_event("leader is killed");
  cluster.kill_controller(leader);
  wait_during_fault(draw(2) != 0 ? 0.5 : 0.05);
  start(leader, runs_newer_build(leader));
}

void FaultRun::freeze_controller(std::size_t i, double seconds) {
  cluster.set_frozen(i, true);
  wait_during_fault(seconds);
  cluster.set_frozen(i, false);
}

void FaultRun::toggle_probability(const std::string& event, std::atomic<double>& probability, double enabled_value) {
  log_event(event + " toggled");
  probability = probability > 0 ? 0 : enabled_value;
}

void FaultRun::inject_outage() {
  log_event("outage of the store");
  cluster.store.set_outage(true);
  wait_during_fault(1 + static_cast<double>(draw(4)));
  cluster.store.set_outage(false);
}

// The store rejects the leader's requests, then those of all controllers: the outage meets the successor during or just before its
// takeover. Some outages last longer than cancel_s.
void FaultRun::reject_leader_then_all(std::size_t leader) {
  log_event("store rejects the leader's requests, then all requests");
  cluster.store.endpoint(leader).rejects_requests = true;
  wait(1.3 + 0.1 * static_cast<double>(draw(12)));
  cluster.store.set_outage(true);
  wait_during_fault(draw(3) != 0 ? 8 : 26);
  cluster.store.set_outage(false);
}

// Partitions the leader or a random controller from its peers and mostly from the store; its workers and users still reach it.
void FaultRun::partition_controller(std::size_t leader, std::size_t any) {
  const auto controller = draw(2) != 0 ? leader : any;
  const bool store_too = draw(3) != 0;
  log_event(controller_label(controller) + " is partitioned from its peers" + (store_too ? " and the store" : ""));
  cluster.set_partitioned(controller, true, store_too);
  wait_during_fault(2 + static_cast<double>(draw(12)));
  cluster.set_partitioned(controller, false, false);
}

void FaultRun::make_workers_unresponsive() {
  enum Scope : std::uint8_t { one, some, zone, scope_count };
  const auto scope = draw(scope_count);
  const double until = steady_now() + 3 + static_cast<double>(draw(25));
  const auto affected_zone = cluster.workers.empty() ? std::string() : cluster.workers.front()->zone();
  log_event(std::string("replies are lost to ") + (scope == one ? "a node" : scope == some ? "some nodes" : "a zone"));
  for (auto& worker : cluster.workers) {
    bool affected = worker->zone() == affected_zone;
    if (scope == one) affected = draw(cluster.workers.size()) == 0;
    if (scope == some) affected = draw(4) == 0;
    if (affected) worker->lose_replies_until(until);
  }
}

void FaultRun::hang_worker() {
  if (cluster.workers.empty()) return;
  const auto index = static_cast<std::ptrdiff_t>(draw(cluster.workers.size()));
  Worker& worker = **std::next(cluster.workers.begin(), index);
  log_event(worker.name() + " hangs");
  worker.hang_until(steady_now() + 1 + static_cast<double>(draw(9)));
}

void FaultRun::kill_all() {
  log_event("all controllers are killed");
  for (std::size_t i = 0; i < controllers(); ++i) cluster.kill_controller(i);
  wait_during_fault(draw(2) != 0 ? 0.5 : 0.05);
  for (std::size_t i = 0; i < controllers(); ++i) start(i, runs_newer_build(i));
}

}  // namespace thistlefront::testbed
