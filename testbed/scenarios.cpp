#include "testbed/scenarios.hpp"

#include <algorithm>
#include <numeric>

#include "testbed/controller_settings.hpp"
#include "transport/clock.hpp"

namespace thistlefront::testbed {

namespace {
constexpr unsigned kDependenciesFormatVersion = 4;  // first format version with dependencies between jobs
constexpr std::size_t kSmallValueBytes = 2048, kSmallTransactionChanges = 4;

// Lowers the store's limits to those that the settings announce as the next ones.
void shrink_store_limits(FaultRun& run) {
  run.cluster.store.set_limits(kSmallValueBytes, kSmallTransactionChanges);
}

// ---- rollout

void roll_builds_under_faults(FaultRun& run) {
  constexpr std::size_t kInjectFault = 0, kRollForward = 1, kActionCount = 3;
  for (wait(4); !run.is_fault_time_over(); run.wait_between_events()) {
    const auto action = run.draw(kActionCount);
    if (action == kInjectFault) {
      run.inject_fault();
      continue;
    }
    const auto i = run.draw(run.controllers());
    const bool newer = action == kRollForward || run.draw(2) == 0;
    run.log_event(controller_label(i) + (newer ? " to the newer build" : " back to the older build"));
    run.start(i, newer);
    ++run.events;
  }
}

// Continues to inject faults, now with dependent jobs and lower store limits.
void inject_faults_with_small_limits(FaultRun& run) {
  shrink_store_limits(run);
  for (const double until = steady_now() + run.options.faults_s / 2; steady_now() < until; run.wait_between_events()) run.inject_fault();
  run.end_faults();
  run.start_all(true);
  wait(10);
}

// Lowers all controllers to format version 1, then rolls out the older build again.
bool roll_back(FaultRun& run, std::string& figures) {
  run.duplicate_commands(false);
  run.cluster.dependent_jobs = false;
  wait(12);
  const double started_at = steady_now();
  for (std::size_t i = 0; i < run.controllers(); ++i, wait(1)) run.start(i, true, {"--state-level-most", "1"});
  const bool lowered = run.wait_for_format_version(1, run.options.settle_s);
  figures += lowered ? "back at state level 1 after " + std::to_string(steady_now() - started_at) + " s, " : "NOT back at state level 1, ";
  for (std::size_t i = 0; i < run.controllers(); ++i, wait(1)) run.start(i, false);
  wait(8);
  return lowered;
}

// ---- restarts

class RestartScenario {
 public:
  explicit RestartScenario(const ScenarioOptions& options) : run_(options) {}
  bool run();

 private:
  // Whether a controller replies within this time with a 404, which only a leader returns.
  bool wait_until_leader_replies(double within_s);
  void inject_some_faults();
  void kill_several_times();
  void kill_all();
  // Kills a controller at a randomly chosen request to the store, or immediately.
  void kill_one(std::size_t i);
  [[nodiscard]] std::string recovery_figures();

  FaultRun run_;
  std::vector<double> recovery_times_s_;  // since the last kill of a series
  std::size_t not_recovered_count_ = 0;
  bool passed_ = true;
};

bool RestartScenario::run() {
  run_.start_all(true);
  run_.duplicate_commands(true);
  passed_ = wait_until_leader_replies(10);
  run_.all_newer_at = steady_now();
  if (run_.options.format_version >= kDependenciesFormatVersion) {
    passed_ = run_.wait_for_format_version(run_.options.format_version, run_.options.settle_s) && passed_;
    run_.cluster.dependent_jobs = true;
    shrink_store_limits(run_);
  }
  while (!run_.is_fault_time_over()) {
    if (run_.draw(4) == 0) {
      inject_some_faults();
    } else {
      kill_several_times();
    }
  }
  run_.end_faults();
  passed_ = wait_until_leader_replies(10) && passed_;
  wait(8);
  return run_.report(recovery_figures()) && passed_ && not_recovered_count_ == 0;
}

bool RestartScenario::wait_until_leader_replies(double within_s) {
  auto address_random = static_cast<unsigned>(run_.random());
  for (const double until = steady_now() + within_s; steady_now() < until; wait(0.01))
    if (run_.cluster.call("GET", "/v1/jobs/j-9", "", address_random).is(404)) return true;
  return false;
}

void RestartScenario::inject_some_faults() {
  for (auto k = 1 + run_.draw(3); k > 0; --k, wait(0.3)) run_.inject_fault();
  run_.end_faults();
  run_.start_all(true);
  passed_ = wait_until_leader_replies(15) && passed_;
}

void RestartScenario::kill_several_times() {
  constexpr std::size_t kAll = 0, kAny = 1, kTargetCount = 5;  // other values: the leader
  const auto target = run_.draw(kTargetCount);
  double last_kill_at = 0;
  for (auto rounds = 1 + run_.draw(4); rounds > 0; --rounds) {
    std::vector<std::size_t> killed(run_.controllers());
    if (target == kAll) {
      std::iota(killed.begin(), killed.end(), std::size_t{0});
      kill_all();
    } else {
      killed = {target == kAny ? run_.draw(run_.controllers()) : run_.leader_or_last()};
      kill_one(killed.front());
    }
    last_kill_at = steady_now();
    wait(std::uniform_real_distribution<double>(0.05, run_.options.restart_after_s)(run_.random));
    for (const auto i : killed) run_.start(i, true);
  }
  if (wait_until_leader_replies(10)) {
    recovery_times_s_.push_back(steady_now() - last_kill_at);
  } else {
    ++not_recovered_count_;
  }
  wait(0.2 * static_cast<double>(run_.draw(10)));
}

void RestartScenario::kill_all() {
  for (std::size_t i = 0; i < run_.controllers(); ++i) run_.cluster.kill_controller(i);
  ++run_.events;
}

void RestartScenario::kill_one(std::size_t i) {
  auto& endpoint = run_.cluster.store.endpoint(i);
  const auto requests_before_crash = static_cast<int>(run_.draw(12));
  if (run_.draw(3) != 0) {
    endpoint.executes_last_request = run_.draw(2) == 0;
    endpoint.requests_before_crash = requests_before_crash;
    for (const double until = steady_now() + 2; !endpoint.crash_reached && steady_now() < until;) wait(0.002);
  }
  std::string when;
  if (endpoint.crash_reached)
    when = " at request " + std::to_string(requests_before_crash) + (endpoint.executes_last_request ? ", executed" : "");
  run_.log_event(controller_label(i) + " is killed" + when);
  run_.cluster.kill_controller(i);
  endpoint.requests_before_crash = -1;
  endpoint.crash_reached = false;
  ++run_.events;
}

std::string RestartScenario::recovery_figures() {
  std::sort(recovery_times_s_.begin(), recovery_times_s_.end());
  const auto quantile = [&](double fraction) {
    if (recovery_times_s_.empty()) return 0.0;
    return recovery_times_s_[static_cast<std::size_t>(fraction * static_cast<double>(recovery_times_s_.size() - 1))];
  };
  return "served again after " + std::to_string(quantile(0.5)) + " s (median), " + std::to_string(quantile(1)) + " s (maximum), " +
         std::to_string(not_recovered_count_) + " times not within 10 s, ";
}

// ---- limit changes

using Limits = std::map<std::string, double>;

Limits draw_limits(FaultRun& run, const Limits& current) {
  static const std::vector<double> kChoices{12, 20, 35, 60};
  Limits next = current;
  for (auto& [team, limit] : next) limit = kChoices[run.draw(kChoices.size())];
  std::string event = "new limits";
  for (const auto& [team, limit] : next) event += ", " + team + " " + std::to_string(static_cast<int>(limit));
  run.log_event(event);
  return next;
}

void roll_out_limits(FaultRun& run, const Limits& limits) {
  std::vector<std::size_t> order(run.controllers());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::shuffle(order.begin(), order.end(), run.random);
  for (const auto i : order) {
    run.cluster.write_settings(i, limits);
    run.start(i, true);
    for (auto k = run.draw(3); k > 0; --k) {
      run.wait_between_events();
      run.inject_fault();
    }
  }
}
}  // namespace

bool run_rollout(const ScenarioOptions& options) {
  FaultRun run(options);
  run.start_all(false);
  roll_builds_under_faults(run);
  run.end_faults();
  for (std::size_t i = 0; i < run.controllers(); ++i)
    if (!run.runs_newer_build(i)) run.start(i, true);
  run.all_newer_at = steady_now();
  run.duplicate_commands(true);
  const bool dependencies = options.format_version >= kDependenciesFormatVersion;
  run.cluster.dependent_jobs = dependencies;
  bool passed = run.wait_for_format_version(options.format_version, options.settle_s);
  std::string figures =
      passed ? "state level active after " + std::to_string(run.seconds_since_faults_ended()) + " s, " : "state level NOT active, ";
  wait(5);
  if (dependencies) inject_faults_with_small_limits(run);
  if (options.roll_back) passed = roll_back(run, figures) && passed;
  return run.report(figures) && passed;
}

bool run_restarts(const ScenarioOptions& options) {
  return RestartScenario(options).run();
}

bool run_limit_changes(const ScenarioOptions& options) {
  FaultRun run(options);
  auto limits = kLimits;
  run.start_all(true);
  run.duplicate_commands(true);
  const bool passed = run.wait_for_format_version(options.format_version, options.settle_s);
  run.all_newer_at = steady_now();
  run.cluster.dependent_jobs = options.format_version >= kDependenciesFormatVersion;
  std::size_t changes = 0;
  while (!run.is_fault_time_over()) {
    const auto next = draw_limits(run, limits);
    for (const auto& [team, limit] : next) run.cluster.checker.set_limit(team, std::max(limit, limits.at(team)));
    roll_out_limits(run, next);
    ++changes;
    // All controllers have the new limits and no fault is active. Running tasks may exceed a lowered limit until they exit, but no further
    // task may start above it.
    run.end_faults();
    wait(16);
    for (const auto& [team, limit] : next) run.cluster.checker.set_limit(team, limit);
    wait(3);
    limits = next;
  }
  run.end_faults();
  wait(8);
  return run.report(std::to_string(changes) + " limit changes, ") && passed;
}

}  // namespace thistlefront::testbed
