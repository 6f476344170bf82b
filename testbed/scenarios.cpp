#include "testbed/scenarios.hpp"

#include <algorithm>
#include <numeric>

#include "testbed/controller_settings.hpp"
#include "transport/clock.hpp"

namespace thistlefront::testbed {

namespace {
constexpr unsigned kDependenciesFormatVersion = 4;  // from it on jobs may wait for others
constexpr std::size_t kSmallValueBytes = 2048, kSmallTransaction = 4;

// The store takes no more than it has announced for later.
void shrink_store_limits(FaultRun& run) {
  run.cluster.state.limit(kSmallValueBytes, kSmallTransaction);
}

// ---- rollout

void roll_builds_under_faults(FaultRun& run) {
  constexpr std::size_t kFault = 0, kForward = 1, kActions = 3;
  for (wait(4); !run.over(); run.wait_between_events()) {
    const auto action = run.draw(kActions);
    if (action == kFault) {
      run.play_fault();
      continue;
    }
    const auto i = run.draw(run.controllers());
    const bool newer = action == kForward || run.draw(2) == 0;
    run.say(controller_label(i) + (newer ? " to the newer build" : " back to the older build"));
    run.start(i, newer);
    ++run.events;
  }
}

// Faults go on, with jobs that wait for others, after the store's limits have shrunk.
void play_faults_with_small_limits(FaultRun& run) {
  shrink_store_limits(run);
  for (const double until = steady_now() + run.options.faults_s / 2; steady_now() < until; run.wait_between_events()) run.play_fault();
  run.heal();
  run.start_all(true);
  wait(10);
}

// All are held at format version 1, and then get the older build again.
bool roll_back(FaultRun& run, std::string& figures) {
  run.cluster.dependent_jobs = false;
  wait(12);
  const double held_at = steady_now();
  for (std::size_t i = 0; i < run.controllers(); ++i, wait(1)) run.start(i, true, {"--state-level-most", "1"});
  const bool back = run.format_version_comes_on(1, run.options.settle_s);
  figures += back ? "back at level 1 after " + std::to_string(steady_now() - held_at) + " s, " : "NOT back at level 1, ";
  for (std::size_t i = 0; i < run.controllers(); ++i, wait(1)) run.start(i, false);
  wait(8);
  return back;
}

// ---- restarts

class Restarts {
 public:
  explicit Restarts(const ScenarioOptions& options) : run_(options) {}
  bool run();

 private:
  // Whether some controller answers within this time as only a leader does.
  bool serves(double within_s);
  void play_some_faults();
  void end_some_in_a_row();
  void end_all();
  // At a request to the store that is drawn, or at once.
  void end_one(std::size_t i);
  [[nodiscard]] std::string figures();

  FaultRun run_;
  std::vector<double> back_after_s_;  // since the last end of a row
  std::size_t never_back_ = 0;
  bool well_ = true;
};

bool Restarts::run() {
  run_.start_all(true);
  well_ = serves(10);
  run_.all_newer_at = steady_now();
  if (run_.options.format_version >= kDependenciesFormatVersion) {
    well_ = run_.format_version_comes_on(run_.options.format_version, run_.options.settle_s) && well_;
    run_.cluster.dependent_jobs = true;
    shrink_store_limits(run_);
  }
  while (!run_.over()) {
    if (run_.draw(4) == 0) {
      play_some_faults();
    } else {
      end_some_in_a_row();
    }
  }
  run_.heal();
  well_ = serves(10) && well_;
  wait(8);
  return run_.report(figures()) && well_ && never_back_ == 0;
}

bool Restarts::serves(double within_s) {
  auto address_random = static_cast<unsigned>(run_.random());
  for (const double until = steady_now() + within_s; steady_now() < until; wait(0.01))
    if (run_.cluster.ask("GET", "/v1/jobs/j-9", "", address_random).is(404)) return true;
  return false;
}

void Restarts::play_some_faults() {
  for (auto k = 1 + run_.draw(3); k > 0; --k, wait(0.3)) run_.play_fault();
  run_.heal();
  run_.start_all(true);
  well_ = serves(15) && well_;
}

void Restarts::end_some_in_a_row() {
  constexpr std::size_t kAll = 0, kAny = 1, kChoices = 5;
  const auto which = run_.draw(kChoices);
  double last_end = 0;
  for (auto rounds = 1 + run_.draw(4); rounds > 0; --rounds) {
    std::vector<std::size_t> ended(run_.controllers());
    if (which == kAll) {
      std::iota(ended.begin(), ended.end(), std::size_t{0});
      end_all();
    } else {
      ended = {which == kAny ? run_.draw(run_.controllers()) : run_.leader_or_last()};
      end_one(ended.front());
    }
    last_end = steady_now();
    wait(std::uniform_real_distribution<double>(0.05, run_.options.restart_after_s)(run_.random));
    for (const auto i : ended) run_.start(i, true);
  }
  if (serves(10)) {
    back_after_s_.push_back(steady_now() - last_end);
  } else {
    ++never_back_;
  }
  wait(0.2 * static_cast<double>(run_.draw(10)));
}

void Restarts::end_all() {
  for (std::size_t i = 0; i < run_.controllers(); ++i) run_.cluster.end(i);
  ++run_.events;
}

void Restarts::end_one(std::size_t i) {
  auto& endpoint = run_.cluster.state.endpoint(i);
  const auto fuse = static_cast<int>(run_.draw(12));
  if (run_.draw(3) != 0) {
    endpoint.executes = run_.draw(2) == 0;
    endpoint.fuse = fuse;
    for (const double until = steady_now() + 2; !endpoint.blown && steady_now() < until;) wait(0.002);
  }
  std::string when;
  if (endpoint.blown) when = " at request " + std::to_string(fuse) + (endpoint.executes ? ", executed" : "");
  run_.say(controller_label(i) + " ends" + when);
  run_.cluster.end(i);
  endpoint.fuse = -1;
  endpoint.blown = false;
  ++run_.events;
}

std::string Restarts::figures() {
  std::sort(back_after_s_.begin(), back_after_s_.end());
  const auto at = [&](double share) {
    if (back_after_s_.empty()) return 0.0;
    return back_after_s_[static_cast<std::size_t>(share * static_cast<double>(back_after_s_.size() - 1))];
  };
  return "back after " + std::to_string(at(0.5)) + " s at the median, " + std::to_string(at(1)) + " s at most, " +
         std::to_string(never_back_) + " times not within 10 s, ";
}

// ---- limit changes

using Limits = std::map<std::string, double>;

Limits draw_limits(FaultRun& run, const Limits& now) {
  static const std::vector<double> kChoices{12, 20, 35, 60};
  Limits next = now;
  for (auto& [team, limit] : next) limit = kChoices[run.draw(kChoices.size())];
  std::string said = "new limits";
  for (const auto& [team, limit] : next) said += ", " + team + " " + std::to_string(static_cast<int>(limit));
  run.say(said);
  return next;
}

void roll_out_limits(FaultRun& run, const Limits& limits) {
  std::vector<std::size_t> order(run.controllers());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::shuffle(order.begin(), order.end(), run.random);
  for (const auto i : order) {
    run.cluster.configure(i, limits);
    run.start(i, true);
    for (auto k = run.draw(3); k > 0; --k) {
      run.wait_between_events();
      run.play_fault();
    }
  }
}
}  // namespace

bool run_rollout(const ScenarioOptions& options) {
  FaultRun run(options);
  run.start_all(false);
  roll_builds_under_faults(run);
  run.heal();
  for (std::size_t i = 0; i < run.controllers(); ++i)
    if (!run.newer(i)) run.start(i, true);
  run.all_newer_at = steady_now();
  const bool dependencies = options.format_version >= kDependenciesFormatVersion;
  run.cluster.dependent_jobs = dependencies;
  bool well = run.format_version_comes_on(options.format_version, options.settle_s);
  std::string figures = well ? "level on after " + std::to_string(run.since_healed()) + " s, " : "level NOT on, ";
  wait(5);
  if (dependencies) play_faults_with_small_limits(run);
  if (options.roll_back) well = roll_back(run, figures) && well;
  return run.report(figures) && well;
}

bool run_restarts(const ScenarioOptions& options) {
  return Restarts(options).run();
}

bool run_limit_changes(const ScenarioOptions& options) {
  FaultRun run(options);
  auto limits = kLimits;
  run.start_all(true);
  const bool well = run.format_version_comes_on(options.format_version, options.settle_s);
  run.all_newer_at = steady_now();
  run.cluster.dependent_jobs = options.format_version >= kDependenciesFormatVersion;
  std::size_t changes = 0;
  while (!run.over()) {
    const auto next = draw_limits(run, limits);
    for (const auto& [team, limit] : next) run.cluster.checker.limit(team, std::max(limit, limits.at(team)));
    roll_out_limits(run, next);
    ++changes;
    // All have the new limits and no fault lasts: what runs may stay above a lowered limit until it ends, and nothing more starts.
    run.heal();
    wait(16);
    for (const auto& [team, limit] : next) run.cluster.checker.limit(team, limit);
    wait(3);
    limits = next;
  }
  run.heal();
  wait(8);
  return run.report(std::to_string(changes) + " changes of limits, ") && well;
}

}  // namespace thistlefront::testbed
