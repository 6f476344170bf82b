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

constexpr double kTick = 0.1;          // seconds
constexpr double kProgressPauseS = 5;  // between two lines of progress
constexpr double kSilenceS = 10;
constexpr double kSilentShare = 0.1;
constexpr double kEnoughRunning = 0.95;  // of the tasks that are to run

void wait(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

json quantiles(std::vector<double> values) {
  if (values.empty()) return json::object();
  std::sort(values.begin(), values.end());
  const auto at = [&](double share) { return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))]; };
  return {{"count", values.size()}, {"p50", at(0.5)}, {"p90", at(0.9)}, {"p99", at(0.99)}, {"max", values.back()}};
}

// What all controllers and workers had used at one moment.
struct Snapshot {
  double at = 0;  // steady seconds
  std::vector<ProcessUsage> usage;
  std::vector<std::map<std::string, double>> metrics;
  std::map<std::string, double> fleet;
};

Snapshot take_snapshot(LoadCluster& cluster, std::size_t controllers) {
  Snapshot out;
  out.at = steady_now();
  for (std::size_t i = 0; i < controllers; ++i) {
    out.usage.push_back(cluster.usage(i));
    out.metrics.push_back(cluster.metrics(i));
  }
  const FleetCounters& counters = cluster.fleet().counters();
  out.fleet = {{"reports", counters.heartbeats},      {"report_bytes", counters.heartbeat_bytes},
               {"answers", counters.answers},         {"answer_bytes", counters.answer_bytes},
               {"redirects", counters.redirects},     {"failed_reports", counters.failed_heartbeats},
               {"commands", counters.commands},       {"command_bytes", counters.command_bytes},
               {"starts", counters.starts},           {"ends", counters.ends},
               {"leases_over", counters.leases_over}, {"connects", counters.connects}};
  return out;
}

json process_costs(const Snapshot& before, const Snapshot& after, std::size_t i) {
  const double seconds = after.at - before.at;
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

void play_fault(LoadCluster& cluster, const std::string& fault, std::size_t leader) {
  if (fault == kLeaderEnds) {
    cluster.end(leader);
    wait(1);
    cluster.start(leader);
  } else if (fault == kSilence) {
    cluster.fleet().silence(kSilentShare, steady_now() + kSilenceS);
  } else if (fault == kReconnect) {
    cluster.fleet().reconnect_all();
  }
}

// Measures one point; a class so that each stage is a function of its own.
class LoadTestRun {
 public:
  explicit LoadTestRun(const LoadTestOptions& options) : options_(options), cluster_(options), began_(steady_now()) {}
  json run();

 private:
  void say(const std::string& what) const { std::cerr << "  " << steady_now() - began_ << " s: " << what << std::endl; }
  std::int64_t running() { return cluster_.fleet().counters().running.load(); }
  void wait_for_leader();
  // Until the tasks run, or the time for that is over.
  void ramp_up();
  void measure();
  json result();
  json options_and_load();

  const LoadTestOptions& options_;
  LoadCluster cluster_;
  const double began_;  // steady seconds
  double ramp_s_ = 0;
  bool ramp_reached_ = false;
  std::size_t leader_before_ = 0;
  Snapshot before_, after_;
};

void LoadTestRun::wait_for_leader() {
  while (cluster_.leader() == options_.controllers && steady_now() < began_ + options_.ramp_s) wait(kTick);
  const auto leader = cluster_.leader();
  if (leader == options_.controllers) throw std::runtime_error("no controller leads");
  say(controller_label(leader) + " leads");
}

void LoadTestRun::ramp_up() {
  wait(2 * options_.heartbeat_interval_s);
  cluster_.begin_load();
  const auto wanted = static_cast<std::int64_t>(kEnoughRunning * static_cast<double>(cluster_.tasks_wanted()));
  const double until = steady_now() + options_.ramp_s;
  for (double told = steady_now(); running() < wanted && steady_now() < until; wait(kTick)) {
    if (steady_now() < told + kProgressPauseS) continue;
    told = steady_now();
    say(std::to_string(running()) + " tasks run");
  }
  ramp_s_ = steady_now() - began_;
  ramp_reached_ = running() >= wanted;
}

void LoadTestRun::measure() {
  wait(options_.settle_s);
  leader_before_ = cluster_.leader();
  cluster_.fleet().take_waits();
  cluster_.take_acceptances();
  before_ = take_snapshot(cluster_, options_.controllers);
  if (options_.fault != kNoFault) say(options_.fault);
  play_fault(cluster_, options_.fault, leader_before_);
  wait(options_.measure_s);
  after_ = take_snapshot(cluster_, options_.controllers);
  say(std::to_string(running()) + " tasks run at the end");
}

json LoadTestRun::options_and_load() {
  return {{"label", options_.label},
          {"workers", options_.workers},
          {"controllers", options_.controllers},
          {"teams", options_.teams},
          {"seed", options_.seed},
          {"trouble", options_.fault},
          {"report_s", options_.heartbeat_interval_s},
          {"flags", options_.flags},
          {"tasks_wanted", cluster_.tasks_wanted()},
          {"starts_wanted", cluster_.starts_wanted()},
          {"ramp_reached", ramp_reached_},
          {"ramp_s", ramp_s_},
          {"seconds", after_.at - before_.at},
          {"running", running()}};
}

json LoadTestRun::result() {
  json out = options_and_load();
  const auto leader = cluster_.leader();
  out["leader_changed"] = leader_before_ != leader;
  for (std::size_t i = 0; i < options_.controllers; ++i) {
    auto costs = process_costs(before_, after_, i);
    if (i == leader)
      out["leader"] = std::move(costs);
    else
      out["followers"].push_back(std::move(costs));
  }
  for (const auto& [name, value] : after_.fleet)
    out["fleet"][name + "_per_s"] = (value - before_.fleet.at(name)) / (after_.at - before_.at);
  out["start_wait_s"] = quantiles(cluster_.fleet().take_waits());
  out["accept_s"] = quantiles(cluster_.take_acceptances());
  out["submissions_refused"] = cluster_.refused();
  out["rules_broken"] = cluster_.checker().violations();
  return out;
}

json LoadTestRun::run() {
  wait_for_leader();
  ramp_up();
  measure();
  return result();
}

}  // namespace

json run_load_test(const LoadTestOptions& options) {
  constexpr std::array<std::string_view, 4> kFaults{kNoFault, kLeaderEnds, kSilence, kReconnect};
  if (std::find(kFaults.begin(), kFaults.end(), options.fault) == kFaults.end())
    throw std::runtime_error("trouble: not known: " + options.fault);
  return LoadTestRun(options).run();
}

}  // namespace thistlefront::testbed
