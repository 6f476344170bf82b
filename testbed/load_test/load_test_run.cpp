#include "testbed/load_test/load_test_run.hpp"

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <sstream>
#include <stdexcept>

#include "testbed/checker.hpp"
#include "testbed/controller_process.hpp"
#include "testbed/fake_state_store.hpp"
#include "testbed/load_test/hollow_fleet.hpp"
#include "testbed/load_test/process_usage.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistlefront::testbed {

using nlohmann::json;

namespace {

constexpr double kMachineCores = 64;
constexpr double kTick = 0.1;    // seconds
constexpr double kSilence = 10;  // seconds
constexpr double kSilentShare = 0.1;
constexpr double kEnoughRunning = 0.95;  // of the tasks that are to run
constexpr std::size_t kPage = 500;       // machines in an answer of the cloud
constexpr std::size_t kSubmitters = 4;
constexpr std::size_t kFirstJob = 1000;
const std::vector<std::string> kZones = {"zone-a", "zone-b"};
const std::vector<std::string> kTroubles = {"", "leader-ends", "silence", "reconnect"};

void wait(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

std::string team_name(std::size_t i) {
  return "team-" + std::to_string(i);
}

json quantiles(std::vector<double> values) {
  if (values.empty()) return json::object();
  std::sort(values.begin(), values.end());
  const auto at = [&](double share) { return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))]; };
  return {{"count", values.size()}, {"p50", at(0.5)}, {"p90", at(0.9)}, {"p99", at(0.99)}, {"max", values.back()}};
}

// Unlabelled figures of a controller's /metrics; empty where it does not answer.
std::map<std::string, double> metrics_of(const std::string& address) {
  std::map<std::string, double> out;
  const auto answer = HttpClient(address).get("/metrics", 5);
  if (!answer.is(200)) return out;
  std::istringstream lines(answer.body);
  for (std::string name, value; lines >> name >> value;) {
    constexpr std::string_view prefix = "thistlefront_";
    if (!name.starts_with(prefix) || name.find('{') != std::string::npos) continue;
    out[name.substr(prefix.size())] = std::strtod(value.c_str(), nullptr);
  }
  return out;
}

// Everything that runs for one point.
class ScaleCluster {
 public:
  explicit ScaleCluster(const ScaleOptions& options)
      : options_(options),
        checker_(team_limits(options.teams), options.cancel_s),
        state_(options.controllers, options.seed),
        directory_((std::filesystem::temp_directory_path() / ("thistlefront-load-test-" + std::to_string(::getpid()))).string()),
        cloud_address_(test_support::free_address()) {
    state_.limit(static_cast<std::size_t>(options.state_value_kb * 1024), options.state_txn_ops);
    std::filesystem::create_directories(directory_);
    for (std::size_t i = 0; i < options.controllers; ++i) {
      addresses_.push_back(test_support::free_address());
      peers_.push_back(test_support::free_address());
    }
    HollowFleet::Options fleet;
    fleet.workers = options.workers;
    fleet.threads = options.threads;
    fleet.cores = kMachineCores;
    fleet.times = {options.heartbeat_interval_s, options.lease_s, options.cancel_s};
    fleet.zones = kZones;
    fleet.controllers = addresses_;
    fleet.seed = options.seed;
    fleet_ = std::make_unique<HollowFleet>(fleet, jobs_, checker_);
    cloud_ = std::make_unique<HttpServer>(cloud_address_, 20, [this](const HttpCall& call) { return cloud(call); });
    processes_.resize(options.controllers);
    for (std::size_t i = 0; i < options.controllers; ++i) start(i);
    ticker_ = std::jthread([this](std::stop_token stop) {
      while (pause_for(stop, kTick)) checker_.tick(steady_now());
    });
  }
  ~ScaleCluster() {
    submitters_.clear();
    for (auto& process : processes_) process.end();
    fleet_.reset();
    cloud_->stop();
    std::filesystem::remove_all(directory_);
  }
  ScaleCluster(const ScaleCluster&) = delete;
  ScaleCluster& operator=(const ScaleCluster&) = delete;

  void start(std::size_t i) {
    const auto path = directory_ + "/host-" + std::to_string(i) + ".toml";
    std::ofstream(path) << settings(i);
    auto arguments = options_.flags;
    arguments.insert(arguments.end(), {"--config", path, "--rent", "false"});
    const auto log = options_.logs.empty() ? "/dev/null" : options_.logs + "/host-" + std::to_string(i) + ".log";
    processes_[i].start(options_.program, arguments, log);
  }
  void end(std::size_t i) { processes_[i].end(); }
  // Or the number of controllers: nobody leads.
  std::size_t leader() {
    const auto label = state_.leader();
    for (std::size_t i = 0; i < processes_.size(); ++i)
      if (label == "host-" + std::to_string(i)) return i;
    return processes_.size();
  }

  // Submits the tasks that are to run at once, then as many a second as end.
  void begin_load() {
    const std::size_t jobs = tasks_wanted() / options_.tasks;
    const double period = static_cast<double>(options_.tasks * kSubmitters) / starts_wanted();
    for (std::size_t k = 0; k < kSubmitters; ++k)
      submitters_.emplace_back([this, k, jobs, period](std::stop_token stop) {
        HttpClient client(addresses_[k % addresses_.size()]);
        std::size_t sent = 0;
        for (std::size_t i = k; i < jobs && !stop.stop_requested(); i += kSubmitters) submit(client, stop, ++sent * kSubmitters + k, true);
        double next = steady_now();
        while (pause_for(stop, std::max(0.001, next - steady_now()))) {
          next += period;
          submit(client, stop, ++sent * kSubmitters + k, false);
        }
      });
  }
  [[nodiscard]] std::size_t tasks_wanted() const { return options_.running ? options_.running : options_.workers * 20; }
  [[nodiscard]] double starts_wanted() const {
    return options_.starts > 0 ? options_.starts : 0.28 * static_cast<double>(options_.workers);
  }

  HollowFleet& fleet() { return *fleet_; }
  Checker& checker() { return checker_; }
  std::vector<double> take_acceptances() {
    std::lock_guard lock(acceptances_mutex_);
    return std::exchange(acceptances_, {});
  }
  [[nodiscard]] std::uint64_t refused() const { return refused_; }
  ProcessUsage usage(std::size_t i) const { return usage_of(processes_[i].pid()); }
  std::map<std::string, double> metrics(std::size_t i) const { return metrics_of(addresses_[i]); }

 private:
  static std::map<std::string, double> team_limits(std::size_t teams) {
    std::map<std::string, double> out;
    for (std::size_t i = 0; i < teams; ++i) out[team_name(i)] = 1e6;
    return out;
  }
  std::string settings(std::size_t i) const {
    std::ostringstream out;
    out << "label = \"host-" << i << "\"\nsite = \"" << kZones[i % kZones.size()] << "\"\nclient_listen = \"" << addresses_[i]
        << "\"\npeer_listen = \"" << peers_[i] << "\"\n";
    for (std::size_t k = 0; k < addresses_.size(); ++k)
      if (k != i)
        out << "[[peers]]\nlabel = \"host-" << k << "\"\nsite = \"" << kZones[k % kZones.size()] << "\"\naddr = \"" << peers_[k] << "\"\n";
    out << "[endpoints]\ncloud = \"" << cloud_address_ << "\"\nstate = \""
        << const_cast<test_support::FakeStateStore&>(state_).endpoint(i).address << "\"\n[deployment]\ncount = " << addresses_.size()
        << "\nzones = [\"" << kZones[0] << "\", \"" << kZones[1] << "\"]\nskew_ms = 5\n";
    for (std::size_t t = 0; t < options_.teams; ++t)
      out << "[[deployment.teams]]\nname = \"" << team_name(t) << "\"\ncpus = 1\ncpus_max = 1000000\n";
    out << "[deployment.workers]\nreport_s = " << options_.heartbeat_interval_s << "\nlease_s = " << options_.lease_s
        << "\ngang_wait_s = 30\ngang_peer_s = 4\ncancel_s = " << options_.cancel_s << "\n[deployment.state]\nrps = " << options_.state_rps
        << "\nwrite_rps = " << options_.state_write_rps << "\nvalue_kb = " << options_.state_value_kb
        << "\ntxn_ops = " << options_.state_txn_ops
        << "\n[deployment.cloud]\nrps = 4\nlist_lag_s = 3\n[deployment.limits]\ncpu = 1\nmemory_mb = " << options_.max_memory_mb
        << "\nmax_sockets = " << options_.max_sockets << "\n";
    return out.str();
  }
  HttpReply cloud(const HttpCall& call) const {
    if (call.target == "/flavors")
      return {200, json{{"hostKinds",
                         {{{"sku", "big"},
                           {"cores", kMachineCores},
                           {"accelerators", 0},
                           {"ramGb", 256},
                           {"cacheGb", 50},
                           {"fetchGbPerS", 5},
                           {"price", 1},
                           {"marketPrice", 0.5},
                           {"bootS", 5},
                           {"yards", kZones}}}}}
                       .dump()};
    if (call.method != "GET") return {503, R"({"error":"no capacity"})"};
    constexpr std::string_view parameter = "from=";
    const auto found = call.target.find(parameter);
    const std::string from(found == std::string_view::npos ? "" : call.target.substr(found + parameter.size()));
    json nodes = json::array();
    const auto& machines = fleet_->machines();
    auto it =
        std::upper_bound(machines.begin(), machines.end(), from, [](const std::string& name, const auto& m) { return name < m.name; });
    for (; it != machines.end() && nodes.size() < kPage; ++it)
      nodes.push_back({{"uid", it->name},
                       {"address", it->address},
                       {"hostKind", "big"},
                       {"yard", it->zone},
                       {"loaners", false},
                       {"status", "running"},
                       {"heldS", 100}});
    return {200, json{{"hosts", nodes}, {"truncated", it != machines.end()}}.dump()};
  }
  // `ramp`: of the load that is there at the start; its tasks have run for some of their time already.
  void submit(HttpClient& client, std::stop_token stop, std::size_t number, bool ramp) {
    // Running tasks = starts a second x mean run time.
    const double run_s = static_cast<double>(tasks_wanted()) / starts_wanted();
    const double share_left = ramp ? static_cast<double>(number % 97 + 3) / 100 : 1;
    SubmittedJob spec;
    spec.uid = "j-" + std::to_string(kFirstJob + number);
    spec.owner = team_name(number % options_.teams);
    spec.job_type = "batch";
    spec.task_count = static_cast<std::uint32_t>(options_.tasks);
    spec.run_s = run_s * share_left;
    jobs_.add(spec.uid, {spec.run_s, steady_now(), spec.cores});
    checker_.submitted(spec, steady_now());
    const auto body = json{{"uid", spec.uid},        {"jobClass", "array"}, {"owner", spec.owner},
                           {"shape", spec.job_type}, {"rank", "standard"},  {"pieces", spec.task_count},
                           {"cores", spec.cores},    {"accelerators", 0},   {"ramGb", 1},
                           {"bundle", "i"},          {"pullGb", 1},         {"hostKinds", nullptr},
                           {"yard", nullptr},        {"oneZone", false},    {"spread", false},
                           {"loaners", false},       {"expectedS", run_s},  {"snapshotEveryS", 0},
                           {"snapshotS", 0},         {"dueS", nullptr}}
                          .dump();
    const double asked = steady_now();
    while (!stop.stop_requested()) {
      const auto answer = client.post("/v1/jobs", body, 5);
      if (answer.is(200) || answer.is(201)) {
        checker_.told(spec.uid, "queued", steady_now());
        std::lock_guard lock(acceptances_mutex_);
        acceptances_.push_back(steady_now() - asked);
        return;
      }
      ++refused_;
      if (!pause_for(stop, 1)) return;
    }
  }

  const ScaleOptions& options_;
  Checker checker_;
  HollowJobs jobs_;
  test_support::FakeStateStore state_;
  std::string directory_, cloud_address_;
  std::vector<std::string> addresses_, peers_;
  std::unique_ptr<HollowFleet> fleet_;
  std::unique_ptr<HttpServer> cloud_;
  std::vector<ControllerProcess> processes_;
  std::jthread ticker_;
  std::mutex acceptances_mutex_;
  std::vector<double> acceptances_;
  std::atomic<std::uint64_t> refused_{0};
  std::vector<std::jthread> submitters_;
};

// What all controllers and workers had used at one moment.
struct Snapshot {
  double at = 0;  // steady seconds
  std::vector<ProcessUsage> usage;
  std::vector<std::map<std::string, double>> metrics;
  std::map<std::string, double> fleet;
};

Snapshot take_snapshot(ScaleCluster& cluster, std::size_t controllers) {
  Snapshot out;
  out.at = steady_now();
  for (std::size_t i = 0; i < controllers; ++i) {
    out.usage.push_back(cluster.usage(i));
    out.metrics.push_back(cluster.metrics(i));
  }
  const FleetCounters& c = cluster.fleet().counters();
  out.fleet = {{"reports", c.heartbeats},      {"report_bytes", c.heartbeat_bytes},
               {"answers", c.answers},         {"answer_bytes", c.answer_bytes},
               {"redirects", c.redirects},     {"failed_reports", c.failed_heartbeats},
               {"commands", c.commands},       {"command_bytes", c.command_bytes},
               {"starts", c.starts},           {"ends", c.ends},
               {"leases_over", c.leases_over}, {"connects", c.connects}};
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

void bring_trouble(ScaleCluster& cluster, const std::string& trouble, std::size_t leader) {
  if (trouble == "leader-ends") {
    cluster.end(leader);
    wait(1);
    cluster.start(leader);
  } else if (trouble == "silence") {
    cluster.fleet().silence(kSilentShare, steady_now() + kSilence);
  } else if (trouble == "reconnect") {
    cluster.fleet().reconnect_all();
  }
}

}  // namespace

json play_scale(const ScaleOptions& options) {
  if (std::find(kTroubles.begin(), kTroubles.end(), options.trouble) == kTroubles.end())
    throw std::runtime_error("trouble: not known: " + options.trouble);
  ScaleCluster cluster(options);
  const double began = steady_now();
  const auto tell = [&](const std::string& what) { std::cerr << "  " << steady_now() - began << " s: " << what << std::endl; };
  while (cluster.leader() == options.controllers && steady_now() < began + options.ramp_s) wait(kTick);
  if (cluster.leader() == options.controllers) throw std::runtime_error("no controller leads");
  tell("host-" + std::to_string(cluster.leader()) + " leads");
  wait(2 * options.heartbeat_interval_s);
  cluster.begin_load();
  const auto wanted = static_cast<std::int64_t>(kEnoughRunning * static_cast<double>(cluster.tasks_wanted()));
  const auto running = [&] { return cluster.fleet().counters().running.load(); };
  const double ramp_until = steady_now() + options.ramp_s;
  for (double told = steady_now(); running() < wanted && steady_now() < ramp_until; wait(kTick)) {
    if (steady_now() < told + 5) continue;
    told = steady_now();
    tell(std::to_string(running()) + " tasks run");
  }
  const double ramped = steady_now() - began;
  const bool reached = running() >= wanted;
  wait(options.settle_s);
  const auto leader = cluster.leader();
  cluster.fleet().take_waits();
  cluster.take_acceptances();
  const auto before = take_snapshot(cluster, options.controllers);
  if (!options.trouble.empty()) tell(options.trouble);
  bring_trouble(cluster, options.trouble, leader);
  wait(options.measure_s);
  const auto after = take_snapshot(cluster, options.controllers);
  tell(std::to_string(running()) + " tasks run at the end");
  json out{{"label", options.label},
           {"workers", options.workers},
           {"controllers", options.controllers},
           {"teams", options.teams},
           {"seed", options.seed},
           {"trouble", options.trouble},
           {"report_s", options.heartbeat_interval_s},
           {"flags", options.flags},
           {"tasks_wanted", cluster.tasks_wanted()},
           {"starts_wanted", cluster.starts_wanted()},
           {"ramp_reached", reached},
           {"ramp_s", ramped},
           {"seconds", after.at - before.at},
           {"running", running()}};
  const auto leader_after = cluster.leader();
  out["leader_changed"] = leader != leader_after;
  for (std::size_t i = 0; i < options.controllers; ++i) {
    auto costs = process_costs(before, after, i);
    if (i == leader_after)
      out["leader"] = std::move(costs);
    else
      out["followers"].push_back(std::move(costs));
  }
  for (const auto& [name, value] : after.fleet) out["fleet"][name + "_per_s"] = (value - before.fleet.at(name)) / (after.at - before.at);
  out["start_wait_s"] = quantiles(cluster.fleet().take_waits());
  out["accept_s"] = quantiles(cluster.take_acceptances());
  out["submissions_refused"] = cluster.refused();
  out["rules_broken"] = cluster.checker().broken();
  return out;
}

}  // namespace thistlefront::testbed
