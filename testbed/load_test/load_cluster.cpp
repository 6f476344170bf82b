#include "testbed/load_test/load_cluster.hpp"

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

#include "testbed/controller_settings.hpp"
#include "testbed/protocol_json.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistlefront::testbed {

namespace {
constexpr double kMachineCores = 64;
constexpr int kMachineRamGb = 256;
constexpr double kTick = 0.1;       // seconds
constexpr std::size_t kPage = 500;  // machines in an answer of the cloud
constexpr int kCloudConnections = 20;
constexpr std::size_t kSubmitters = 4;
constexpr std::size_t kFirstJob = 1000;
constexpr double kTeamLimit = 1e6;  // cores: never reached
constexpr std::size_t kTasksPerWorker = 20;
constexpr double kStartsPerWorker = 0.28;  // a second
const std::vector<std::string> kZones = {"zone-a", "zone-b"};

std::string team_name(std::size_t i) {
  return "team-" + std::to_string(i);
}

std::map<std::string, double> team_limits(std::size_t teams) {
  std::map<std::string, double> out;
  for (std::size_t i = 0; i < teams; ++i) out[team_name(i)] = kTeamLimit;
  return out;
}
}  // namespace

LoadCluster::LoadCluster(const LoadTestOptions& options)
    : options_(options),
      checker_(team_limits(options.teams), options.cancel_s),
      state_(options.controllers, options.seed),
      directory_((std::filesystem::temp_directory_path() / ("thistlefront-load-test-" + std::to_string(::getpid()))).string()),
      cloud_address_(test_support::free_address()) {
  state_.set_limits(static_cast<std::size_t>(options.state_value_kb * 1024), options.state_txn_ops);
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
  cloud_ = std::make_unique<HttpServer>(cloud_address_, kCloudConnections, [this](const HttpCall& call) { return answer_as_cloud(call); });
  processes_.resize(options.controllers);
  for (std::size_t i = 0; i < options.controllers; ++i) start(i);
  ticker_ = std::jthread([this](const std::stop_token& stop) {
    while (pause_for(stop, kTick)) checker_.check_deadlines(steady_now());
  });
}

LoadCluster::~LoadCluster() {
  submitters_.clear();
  for (auto& process : processes_) process.kill();
  fleet_.reset();
  cloud_->stop();
  std::filesystem::remove_all(directory_);
}

void LoadCluster::start(std::size_t i) {
  const auto path = directory_ + "/" + controller_label(i) + ".toml";
  std::ofstream(path) << settings(i);
  auto arguments = options_.flags;
  arguments.insert(arguments.end(), {"--config", path, "--rent", "false"});
  const auto log = options_.logs.empty() ? "/dev/null" : options_.logs + "/" + controller_label(i) + ".log";
  processes_[i].start(options_.program, arguments, log);
}

std::size_t LoadCluster::leader() {
  return find_controller(state_.leader(), processes_.size());
}

std::string LoadCluster::settings(std::size_t i) {
  ControllerSettings out;
  out.controller = i;
  out.controllers = addresses_.size();
  out.zones = kZones;
  out.client_address = addresses_[i];
  out.peer_address = peers_[i];
  out.cloud_address = cloud_address_;
  out.store_address = state_.endpoint(i).address;
  for (std::size_t k = 0; k < peers_.size(); ++k)
    if (k != i) out.peers.push_back({k, peers_[k]});
  for (std::size_t t = 0; t < options_.teams; ++t) out.teams.push_back({team_name(t), 1, kTeamLimit});
  out.heartbeat_interval_s = options_.heartbeat_interval_s;
  out.lease_s = options_.lease_s;
  out.gang_wait_s = 30;
  out.gang_peer_s = 4;
  out.cancel_s = options_.cancel_s;
  out.store_rps = options_.state_rps;
  out.store_write_rps = options_.state_write_rps;
  out.store_limits = {options_.state_value_kb, options_.state_txn_ops};
  out.cloud_rps = 4;
  out.list_lag_s = 3;
  out.max_memory_mb = options_.max_memory_mb;
  out.max_sockets = options_.max_sockets;
  return to_toml(out);
}

HttpReply LoadCluster::answer_as_cloud(const HttpCall& call) const {
  if (call.target == "/flavors") return {200, machine_types(kMachineCores, kMachineRamGb, kZones).dump()};
  if (call.method != "GET") return {503, R"({"error":"no capacity"})"};
  constexpr std::string_view kParameter = "from=";
  const auto found = call.target.find(kParameter);
  const std::string from(found == std::string_view::npos ? "" : call.target.substr(found + kParameter.size()));
  const auto& machines = fleet_->machines();
  const auto first = std::upper_bound(machines.begin(), machines.end(), from,
                                      [](const std::string& name, const auto& machine) { return name < machine.name; });
  const auto count = std::min<std::ptrdiff_t>(static_cast<std::ptrdiff_t>(kPage), machines.end() - first);
  return {200, instance_list({first, first + count}, first + count != machines.end()).dump()};
}

// ---- the load

std::size_t LoadCluster::tasks_wanted() const {
  return options_.running ? options_.running : options_.workers * kTasksPerWorker;
}

double LoadCluster::starts_wanted() const {
  return options_.starts > 0 ? options_.starts : kStartsPerWorker * static_cast<double>(options_.workers);
}

void LoadCluster::begin_load() {
  const std::size_t jobs = tasks_wanted() / options_.tasks;
  const double period_s = static_cast<double>(options_.tasks * kSubmitters) / starts_wanted();
  for (std::size_t k = 0; k < kSubmitters; ++k)
    submitters_.emplace_back([this, k, jobs, period_s](const std::stop_token& stop) { run_submitter(stop, k, jobs, period_s); });
}

void LoadCluster::run_submitter(const std::stop_token& stop, std::size_t submitter, std::size_t first_jobs, double period_s) {
  HttpClient client(addresses_[submitter % addresses_.size()]);
  std::size_t sent = 0;
  for (std::size_t i = submitter; i < first_jobs && !stop.stop_requested(); i += kSubmitters) {
    ++sent;
    submit(client, stop, sent * kSubmitters + submitter, true);
  }
  double next = steady_now();
  while (pause_for(stop, std::max(0.001, next - steady_now()))) {
    next += period_s;
    ++sent;
    submit(client, stop, sent * kSubmitters + submitter, false);
  }
}

SubmittedJob LoadCluster::make_job(std::size_t number, double run_s) const {
  SubmittedJob job;
  job.uid = "j-" + std::to_string(kFirstJob + number);
  job.owner = team_name(number % options_.teams);
  job.job_type = "batch";
  job.task_count = static_cast<std::uint32_t>(options_.tasks);
  job.run_s = run_s;
  return job;
}

void LoadCluster::submit(HttpClient& client, const std::stop_token& stop, std::size_t number, bool ramp) {
  // Running tasks = starts a second x mean run time.
  const double run_s = static_cast<double>(tasks_wanted()) / starts_wanted();
  const double share_left = ramp ? static_cast<double>(number % 97 + 3) / 100 : 1;
  const auto job = make_job(number, run_s * share_left);
  jobs_.add(job.uid, {job.run_s, steady_now(), job.cores});
  checker_.record_submission(job, steady_now());
  const auto body = submission_body(job, "array", run_s).dump();
  const double asked = steady_now();
  while (!stop.stop_requested()) {
    const auto answer = client.post("/v1/jobs", body, 5);
    if (answer.is(200) || answer.is(201)) {
      checker_.record_reply(job.uid, "queued", steady_now());
      std::lock_guard lock(acceptances_mutex_);
      acceptances_.push_back(steady_now() - asked);
      return;
    }
    ++refused_;
    if (!pause_for(stop, 1)) return;
  }
}

// ---- what is measured

std::vector<double> LoadCluster::take_acceptances() {
  std::lock_guard lock(acceptances_mutex_);
  return std::exchange(acceptances_, {});
}

std::map<std::string, double> LoadCluster::metrics(std::size_t i) const {
  std::map<std::string, double> out;
  const auto answer = HttpClient(addresses_[i]).get("/metrics", 5);
  if (!answer.is(200)) return out;
  std::istringstream lines(answer.body);
  for (std::string name, value; lines >> name >> value;) {
    constexpr std::string_view kPrefix = "thistlefront_";
    if (!name.starts_with(kPrefix) || name.find('{') != std::string::npos) continue;
    out[name.substr(kPrefix.size())] = std::strtod(value.c_str(), nullptr);
  }
  return out;
}

}  // namespace thistlefront::testbed
