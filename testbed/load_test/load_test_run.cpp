#include "testbed/load_test/load_test_run.hpp"

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <stdexcept>
#include <string_view>

#include "testbed/controller_settings.hpp"
#include "testbed/load_test/load_cluster.hpp"
#include "transport/clock.hpp"

namespace thistlefront::testbed {

using nlohmann::json;

namespace {

constexpr double kPollIntervalS = 0.1;
constexpr double kProgressIntervalS = 5;
constexpr double kSilenceS = 10;
constexpr double kSilentFraction = 0.1;
constexpr double kRampedUpFraction = 0.95;  // of the target number of running tasks

void wait(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

json quantiles(std::vector<double> values) {
  if (values.empty()) return json::object();
  std::sort(values.begin(), values.end());
  const auto quantile = [&](double fraction) {
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
  };
  return {{"count", values.size()}, {"p50", quantile(0.5)}, {"p90", quantile(0.9)}, {"p99", quantile(0.99)}, {"max", values.back()}};
}

// The resource usage and counters of all controllers and workers at one time.
struct Snapshot {
  double taken_at = 0;  // steady seconds
  std::vector<ProcessUsage> usage;
  std::vector<std::map<std::string, double>> metrics;
  std::map<std::string, double> fleet;
};

Snapshot take_snapshot(LoadCluster& cluster, std::size_t controllers) {
  Snapshot out;
  out.taken_at = steady_now();
  for (std::size_t i = 0; i < controllers; ++i) {
    out.usage.push_back(cluster.process_usage(i));
    out.metrics.push_back(cluster.metrics(i));
  }
  const FleetCounters& counters = cluster.fleet().counters();
  out.fleet = {
      {"reports", counters.heartbeats},        {"report_bytes", counters.heartbeat_bytes}, {"answers", counters.replies},
      {"answer_bytes", counters.reply_bytes},  {"redirects", counters.redirects},          {"failed_reports", counters.failed_heartbeats},
      {"commands", counters.command_requests}, {"command_bytes", counters.command_bytes},  {"starts", counters.task_starts},
      {"ends", counters.completed_tasks},      {"leases_over", counters.expired_leases},   {"connects", counters.connections_opened}};
  return out;
}

json process_costs(const Snapshot& before, const Snapshot& after, std::size_t i) {
  const double seconds = after.taken_at - before.taken_at;
  json out{{"processor", (after.usage[i].processor_s - before.usage[i].processor_s) / seconds},
           {"memory_mb", after.usage[i].memory_mb},
           {"threads", after.usage[i].threads},
           {"sockets", after.usage[i].sockets}};
  const auto rate = [&](const char* name) {
    const auto then = before.metrics[i].find(name), now = after.metrics[i].find(name);
    return then == before.metrics[i].end() || now == after.metrics[i].end() ? 0.0 : (now->second - then->second) / seconds;
  };
  for (const char* name : {"reports_total", "reports_repeated_total", "commits_total", "writes_total", "passes_total",
                           "pass_processor_seconds_total", "started_total", "finished_total"})
    out[std::string(name) + "_per_s"] = rate(name);
  return out;
}

void inject_fault(LoadCluster& cluster, const std::string& fault, std::size_t leader) {
  if (fault == kKillLeader) {
    cluster.kill_controller(leader);
    wait(1);
    cluster.start_controller(leader);
  } else if (fault == kSilenceWorkers) {
    cluster.fleet().silence(kSilentFraction, steady_now() + kSilenceS);
  } else if (fault == kReconnectAll) {
    cluster.fleet().reconnect_all();
  }
}

// Measures one point, in stages.
class LoadTestRun {
 public:
  explicit LoadTestRun(const LoadTestOptions& options) : options_(options), cluster_(options), started_at_(steady_now()) {}
  json run();

 private:
  void print_progress(const std::string& what) const { std::cerr << "  " << steady_now() - started_at_ << " s: " << what << std::endl; }
  std::int64_t running_tasks() { return cluster_.fleet().counters().running_tasks.load(); }
  void wait_for_leader();
  // Starts the load and waits until the tasks run, at most `max_ramp_s`.
  void ramp_up();
  void measure();
  json build_result();
  json options_to_json();

  const LoadTestOptions& options_;
  LoadCluster cluster_;
  const double started_at_;  // steady seconds
  double ramp_time_s_ = 0;
  bool ramp_reached_ = false;
  std::size_t leader_before_ = 0;
  Snapshot before_, after_;
};

void LoadTestRun::wait_for_leader() {
  while (cluster_.leader_index() == options_.controllers && steady_now() < started_at_ + options_.max_ramp_s) wait(kPollIntervalS);
  const auto leader = cluster_.leader_index();
  if (leader == options_.controllers) throw std::runtime_error("no controller leads");
  print_progress(controller_label(leader) + " leads");
}

void LoadTestRun::ramp_up() {
  wait(2 * options_.heartbeat_interval_s);
  cluster_.start_load();
  const auto target = static_cast<std::int64_t>(kRampedUpFraction * static_cast<double>(cluster_.target_running_tasks()));
  const double until = steady_now() + options_.max_ramp_s;
  for (double last_printed_at = steady_now(); running_tasks() < target && steady_now() < until; wait(kPollIntervalS)) {
    if (steady_now() < last_printed_at + kProgressIntervalS) continue;
    last_printed_at = steady_now();
    print_progress(std::to_string(running_tasks()) + " tasks running");
  }
  ramp_time_s_ = steady_now() - started_at_;
  ramp_reached_ = running_tasks() >= target;
}

void LoadTestRun::measure() {
  wait(options_.settle_s);
  leader_before_ = cluster_.leader_index();
  cluster_.fleet().take_start_waits();
  cluster_.take_acceptance_times();
  before_ = take_snapshot(cluster_, options_.controllers);
  if (options_.fault != kNoFault) print_progress(options_.fault);
  inject_fault(cluster_, options_.fault, leader_before_);
  wait(options_.measure_s);
  after_ = take_snapshot(cluster_, options_.controllers);
  print_progress(std::to_string(running_tasks()) + " tasks running at the end");
}

json LoadTestRun::options_to_json() {
  return {{"label", options_.label},
          {"workers", options_.workers},
          {"controllers", options_.controllers},
          {"teams", options_.teams},
          {"seed", options_.seed},
          {"trouble", options_.fault},
          {"report_s", options_.heartbeat_interval_s},
          {"flags", options_.controller_flags},
          {"tasks_wanted", cluster_.target_running_tasks()},
          {"starts_wanted", cluster_.target_starts_per_s()},
          {"ramp_reached", ramp_reached_},
          {"ramp_s", ramp_time_s_},
          {"seconds", after_.taken_at - before_.taken_at},
          {"running", running_tasks()}};
}

json LoadTestRun::build_result() {
  json out = options_to_json();
  const auto leader = cluster_.leader_index();
  out["leader_changed"] = leader_before_ != leader;
  for (std::size_t i = 0; i < options_.controllers; ++i) {
    auto costs = process_costs(before_, after_, i);
    if (i == leader)
      out["leader"] = std::move(costs);
    else
      out["followers"].push_back(std::move(costs));
  }
  for (const auto& [name, value] : after_.fleet)
    out["fleet"][name + "_per_s"] = (value - before_.fleet.at(name)) / (after_.taken_at - before_.taken_at);
  out["start_wait_s"] = quantiles(cluster_.fleet().take_start_waits());
  out["accept_s"] = quantiles(cluster_.take_acceptance_times());
  out["submissions_refused"] = cluster_.refused_submissions();
  out["rules_broken"] = cluster_.checker().violations();
  return out;
}

json LoadTestRun::run() {
  wait_for_leader();
  ramp_up();
  measure();
  return build_result();
}

}  // namespace

json run_load_test(const LoadTestOptions& options) {
  constexpr std::array<std::string_view, 4> kFaults{kNoFault, kKillLeader, kSilenceWorkers, kReconnectAll};
  if (std::find(kFaults.begin(), kFaults.end(), options.fault) == kFaults.end())
    throw std::runtime_error("trouble: unknown fault: " + options.fault);
  return LoadTestRun(options).run();
}

}  // namespace thistlefront::testbed
