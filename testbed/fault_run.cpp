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
constexpr double kLostShare = 0.3, kLateShare = 0.2, kRepeatedShare = 0.3;
constexpr double kLongestDelayS = 12;  // of a late transaction
constexpr double kWellAfterHealingS = 8;
constexpr int kLastPollTries = 20;
}  // namespace

void wait(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

FaultRun::FaultRun(const ScenarioOptions& run_options)
    : options(run_options),
      cluster(run_options.cluster),
      random(run_options.cluster.seed),
      newer_(run_options.cluster.controllers, false),
      began_(steady_now()) {
  for (auto& worker : cluster.workers) worker->copy_heartbeats(true);
}

void FaultRun::say(const std::string& what) const {
  if (options.verbose) std::cout << "  " << steady_now() - began_ << " s: " << what << std::endl;
}

void FaultRun::start(std::size_t i, bool newer, const std::vector<std::string>& more_flags) {
  newer_[i] = newer;
  std::vector<std::string> flags;
  if (newer && options.soak_s > 0) flags = {"--state-level-soak", std::to_string(options.soak_s)};
  if (newer && (options.relay == kRelayOn || (options.relay == kRelayDrawn && draw(2) != 0))) flags.insert(flags.end(), {"--intake", "on"});
  flags.insert(flags.end(), more_flags.begin(), more_flags.end());
  cluster.start(i, newer ? options.newer_program : options.older_program, flags);
}

void FaultRun::start_all(bool newer) {
  for (std::size_t i = 0; i < controllers(); ++i) start(i, newer);
}

void FaultRun::wait_between_events() {
  wait(0.5 + 0.25 * static_cast<double>(draw(8)));
}

std::size_t FaultRun::leader_or_last() {
  return std::min(cluster.leader(), controllers() - 1);
}

double FaultRun::since_healed() const {
  return steady_now() - healed_;
}

bool FaultRun::over() const {
  return steady_now() > began_ + options.faults_s;
}

void FaultRun::heal() {
  for (auto& worker : cluster.workers) worker->deafen(0);
  cluster.state.outage(false);
  for (std::size_t i = 0; i < controllers(); ++i) {
    cluster.part(i, false, false);
    auto& endpoint = cluster.state.endpoint(i);
    endpoint.refuses = false;
    endpoint.loses = endpoint.late = endpoint.repeats = 0;
  }
  healed_ = steady_now();
  cluster.checker.healed(healed_);
}

bool FaultRun::format_version_comes_on(std::uint32_t format_version, double within_s) {
  const auto wanted = active_version_value({format_version, 0});
  for (const double until = steady_now() + within_s; steady_now() < until; wait(0.1))
    if (cluster.state.value(kActiveVersionKey) == wanted) return true;
  return false;
}

// ---- the report

std::size_t FaultRun::count_unanswered(const std::vector<std::string>& uids) {
  unsigned address_random = options.cluster.seed;
  std::size_t unanswered = 0;
  for (const auto& uid : uids) {
    bool known = false;
    for (int tries = 0; tries < kLastPollTries && !known; ++tries) {
      const auto answer = cluster.ask("GET", "/v1/jobs/" + uid, "", address_random);
      if (answer.is(404)) cluster.checker.told(uid, "unknown", steady_now());
      known = answer.is(200) || answer.is(404);
      if (!known) wait(0.2);
    }
    if (!known) ++unanswered;
  }
  return unanswered;
}

bool FaultRun::report(const std::string& scenario_figures) {
  cluster.stop_users();
  const auto accepted = cluster.checker.accepted();
  RunReport report;
  report.unanswered = count_unanswered(accepted);
  report.seed = options.cluster.seed;
  report.events = events;
  report.accepted = accepted.size();
  report.tasks_done = cluster.checker.tasks_done();
  report.longest_without_acceptance_s = cluster.checker.longest_without_acceptance(began_, healed_);
  report.longest_without_acceptance_healed_s = cluster.checker.longest_without_acceptance(healed_, healed_ + kWellAfterHealingS);
  report.scenario_figures = scenario_figures;
  report.unfenced = cluster.state.unfenced();
  report.too_large = cluster.state.too_large();
  report.dependent_jobs = cluster.checker.dependent_jobs();
  report.first_dependent_after_s = report.dependent_jobs.first_accepted - all_newer_at;
  report.pairs = pairs_;
  report.broken = cluster.checker.broken();
  print(std::cout, report);
  return report.passed();
}

// ---- faults

const char* FaultRun::name_of(Fault fault) {
  static constexpr std::array kNames{"leader-ends", "leader-freezes", "any-freezes", "endpoint-refuses", "answers-lost", "late-writes",
                                     "repeats",     "outage",         "gap",         "parted",           "deaf",         "hang",
                                     "all-end"};
  static_assert(kNames.size() == static_cast<std::size_t>(Fault::count));
  return kNames.at(static_cast<std::size_t>(fault));
}

FaultRun::Fault FaultRun::draw_fault() {
  return static_cast<Fault>(draw(static_cast<std::size_t>(Fault::count)));
}

void FaultRun::play_fault() {
  const Fault first = draw_fault();
  if (draw(2) != 0) {
    second_ = draw_fault();
    ++pairs_[std::string(name_of(first)) + "+" + name_of(*second_)];
  }
  play(first);
  if (!second_) return;
  wait(0.05 * static_cast<double>(draw(20)));
  play_second_fault();
}

void FaultRun::play_second_fault() {
  if (const auto second = std::exchange(second_, std::nullopt)) play(*second);
}

void FaultRun::last(double seconds) {
  wait(seconds / 2);
  play_second_fault();
  wait(seconds / 2);
}

void FaultRun::play(Fault fault) {
  const auto any = draw(controllers()), leader = leader_or_last();
  auto& endpoint = cluster.state.endpoint(any);
  ++events;
  switch (fault) {
    case Fault::leader_ends: end_leader(leader); break;
    case Fault::leader_freezes:
      say("the leader freezes");
      freeze(leader, 0.5 + 0.5 * static_cast<double>(draw(8)));
      break;
    case Fault::any_freezes:
      // With answers to its workers in hand, and back under another leader.
      say(controller_label(any) + " freezes");
      freeze(any, 0.5 + 0.5 * static_cast<double>(draw(16)));
      break;
    case Fault::endpoint_refuses:
      say("an endpoint refuses, or no longer");
      endpoint.refuses = !endpoint.refuses;
      break;
    case Fault::answers_lost: toggle_share("answers are lost", endpoint.loses, kLostShare); break;
    case Fault::late_writes:
      endpoint.late_most = kLongestDelayS;
      toggle_share("transactions are late", endpoint.late, kLateShare);
      break;
    case Fault::repeats: toggle_share("transactions are repeated", endpoint.repeats, kRepeatedShare); break;
    case Fault::outage: play_outage(); break;
    case Fault::gap: refuse_leader_then_all(leader); break;
    case Fault::parted: part(leader, any); break;
    case Fault::deaf: deafen_workers(); break;
    case Fault::hang: hang_worker(); break;
    case Fault::all_end:
    case Fault::count: end_all(); break;
  }
}

void FaultRun::end_leader(std::size_t leader) {
  say("the leader ends");
  cluster.end(leader);
  last(draw(2) != 0 ? 0.5 : 0.05);
  start(leader, newer(leader));
}

void FaultRun::freeze(std::size_t i, double seconds) {
  cluster.freeze(i, true);
  last(seconds);
  cluster.freeze(i, false);
}

void FaultRun::toggle_share(const std::string& said, std::atomic<double>& share, double to) {
  say(said + ", or no longer");
  share = share > 0 ? 0 : to;
}

void FaultRun::play_outage() {
  say("an outage of the store");
  cluster.state.outage(true);
  last(1 + static_cast<double>(draw(4)));
  cluster.state.outage(false);
}

// The leader's successor leads when all are refused, or is about to; now and then for longer than cancel_s.
void FaultRun::refuse_leader_then_all(std::size_t leader) {
  say("the store refuses the leader alone, then all");
  cluster.state.endpoint(leader).refuses = true;
  wait(1.3 + 0.1 * static_cast<double>(draw(12)));
  cluster.state.outage(true);
  last(draw(3) != 0 ? 8 : 26);
  cluster.state.outage(false);
}

// The leader or any controller reaches nobody but its workers and users.
void FaultRun::part(std::size_t leader, std::size_t any) {
  const auto who = draw(2) != 0 ? leader : any;
  const bool store_too = draw(3) != 0;
  say(controller_label(who) + " is parted from its peers" + (store_too ? " and the store" : ""));
  cluster.part(who, true, store_too);
  last(2 + static_cast<double>(draw(12)));
  cluster.part(who, false, false);
}

void FaultRun::deafen_workers() {
  enum Share : std::uint8_t { one, some, zone, shares };
  const auto share = draw(shares);
  const double until = steady_now() + 3 + static_cast<double>(draw(25));
  const auto cut_zone = cluster.workers.empty() ? std::string() : cluster.workers.front()->zone();
  say(std::string("answers do not reach ") + (share == one ? "a machine" : share == some ? "some machines" : "a zone"));
  for (auto& worker : cluster.workers) {
    bool deaf = worker->zone() == cut_zone;
    if (share == one) deaf = draw(cluster.workers.size()) == 0;
    if (share == some) deaf = draw(4) == 0;
    if (deaf) worker->deafen(until);
  }
}

void FaultRun::hang_worker() {
  if (cluster.workers.empty()) return;
  const auto at = static_cast<std::ptrdiff_t>(draw(cluster.workers.size()));
  Worker& worker = **std::next(cluster.workers.begin(), at);
  say(worker.name() + " hangs");
  worker.hang(steady_now() + 1 + static_cast<double>(draw(9)));
}

void FaultRun::end_all() {
  say("all end");
  for (std::size_t i = 0; i < controllers(); ++i) cluster.end(i);
  last(draw(2) != 0 ? 0.5 : 0.05);
  for (std::size_t i = 0; i < controllers(); ++i) start(i, newer(i));
}

}  // namespace thistlefront::testbed
