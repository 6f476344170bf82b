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
constexpr double kNodeCores = 64;
constexpr int kNodeMemoryGb = 256;
constexpr double kTickS = 0.1;
constexpr std::size_t kCloudPageSize = 500;  // nodes in a reply of the fake cloud
constexpr int kMaxCloudConnections = 20;
constexpr std::size_t kSubmitters = 4;
constexpr std::size_t kFirstJobNumber = 1000;
constexpr double kTeamQuotaCores = 1e6;  // never reached
constexpr std::size_t kTasksPerWorker = 20;
constexpr double kStartsPerWorkerPerS = 0.28;
const std::vector<std::string> kZones = {"zone-a", "zone-b"};

std::string team_name(std::size_t i) {
  return "team-" + std::to_string(i);
}

std::map<std::string, double> team_quotas(std::size_t teams) {
  std::map<std::string, double> out;
  for (std::size_t i = 0; i < teams; ++i) out[team_name(i)] = kTeamQuotaCores;
  return out;
}
}  // namespace

LoadCluster::LoadCluster(const LoadTestOptions& options)
    : options_(options),
      checker_(team_quotas(options.teams), options.cancel_s),
      state_store_(options.controllers, options.seed),
      directory_((std::filesystem::temp_directory_path() / ("thistlefront-load-test-" + std::to_string(::getpid()))).string()),
      cloud_address_(test_support::free_address()) {
  state_store_.set_limits(static_cast<std::size_t>(options.store_value_kb * 1024), options.store_txn_ops);
  std::filesystem::create_directories(directory_);
  for (std::size_t i = 0; i < options.controllers; ++i) {
    client_addresses_.push_back(test_support::free_address());
    peer_addresses_.push_back(test_support::free_address());
  }
  SimulatedFleet::Options fleet;
  fleet.workers = options.workers;
  fleet.threads = options.threads;
  fleet.cores_per_node = kNodeCores;
  fleet.timings = {options.heartbeat_interval_s, options.lease_s};
  fleet.zones = kZones;
  fleet.controller_addresses = client_addresses_;
  fleet.seed = options.seed;
  fleet_ = std::make_unique<SimulatedFleet>(fleet, jobs_, checker_);
  cloud_ = std::make_unique<HttpServer>(cloud_address_, kMaxCloudConnections,
                                        [this](const HttpCall& call) { return handle_cloud_request(call); });
  processes_.resize(options.controllers);
  for (std::size_t i = 0; i < options.controllers; ++i) start_controller(i);
  checker_ticker_ = std::jthread([this](const std::stop_token& stop) {
    while (pause_for(stop, kTickS)) checker_.check_deadlines(steady_now());
  });
}

LoadCluster::~LoadCluster() {
  submitters_.clear();
  for (auto& process : processes_) process.kill();
  fleet_.reset();
  cloud_->stop();
  std::filesystem::remove_all(directory_);
}

void LoadCluster::start_controller(std::size_t i) {
  const auto path = directory_ + "/" + controller_label(i) + ".toml";
  std::ofstream(path) << settings_text(i);
  auto arguments = options_.controller_flags;
  arguments.insert(arguments.end(), {"--config", path, "--rent", "false"});
  const auto log = options_.log_directory.empty() ? "/dev/null" : options_.log_directory + "/" + controller_label(i) + ".log";
  processes_[i].start(options_.program, arguments, log);
}

std::size_t LoadCluster::leader_index() {
  return find_controller(state_store_.leader(), processes_.size());
}

std::string LoadCluster::settings_text(std::size_t i) {
  ControllerSettings out;
  out.controller = i;
  out.controllers = client_addresses_.size();
  out.zones = kZones;
  out.client_address = client_addresses_[i];
  out.peer_address = peer_addresses_[i];
  out.cloud_address = cloud_address_;
  out.store_address = state_store_.endpoint(i).address;
  for (std::size_t k = 0; k < peer_addresses_.size(); ++k)
    if (k != i) out.peers.push_back({k, peer_addresses_[k]});
  for (std::size_t t = 0; t < options_.teams; ++t) out.teams.push_back({team_name(t), 1, kTeamQuotaCores});
  out.heartbeat_interval_s = options_.heartbeat_interval_s;
  out.lease_s = options_.lease_s;
  out.gang_wait_s = 30;
  out.gang_peer_s = 4;
  out.cancel_s = options_.cancel_s;
  out.store_rps = options_.store_rps;
  out.store_write_rps = options_.store_write_rps;
  out.store_limits = {options_.store_value_kb, options_.store_txn_ops};
  out.cloud_rps = 4;
  out.list_lag_s = 3;
  out.max_memory_mb = options_.max_memory_mb;
  out.max_sockets = options_.max_sockets;
  return to_toml(out);
}

HttpReply LoadCluster::handle_cloud_request(const HttpCall& call) const {
  if (call.target == "/flavors") return {200, machine_types(kNodeCores, kNodeMemoryGb, kZones).dump()};
  if (call.method != "GET") return {503, R"({"error":"no capacity"})"};
  constexpr std::string_view kParameter = "from=";
  const auto found = call.target.find(kParameter);
  const std::string from(found == std::string_view::npos ? "" : call.target.substr(found + kParameter.size()));
  const auto& nodes = fleet_->nodes();
  const auto first =
      std::upper_bound(nodes.begin(), nodes.end(), from, [](const std::string& name, const auto& node) { return name < node.name; });
  const auto count = std::min<std::ptrdiff_t>(static_cast<std::ptrdiff_t>(kCloudPageSize), nodes.end() - first);
  return {200, instance_list({first, first + count}, first + count != nodes.end()).dump()};
}

// ---- the load

std::size_t LoadCluster::target_running_tasks() const {
  return options_.running_tasks ? options_.running_tasks : options_.workers * kTasksPerWorker;
}

double LoadCluster::target_starts_per_s() const {
  return options_.starts_per_s > 0 ? options_.starts_per_s : kStartsPerWorkerPerS * static_cast<double>(options_.workers);
}

void LoadCluster::start_load() {
  const std::size_t jobs = target_running_tasks() / options_.tasks_per_job;
  const double period_s = static_cast<double>(options_.tasks_per_job * kSubmitters) / target_starts_per_s();
  for (std::size_t k = 0; k < kSubmitters; ++k)
    submitters_.emplace_back([this, k, jobs, period_s](const std::stop_token& stop) { run_submitter(stop, k, jobs, period_s); });
}

void LoadCluster::run_submitter(const std::stop_token& stop, std::size_t submitter, std::size_t initial_jobs, double period_s) {
  HttpClient client(client_addresses_[submitter % client_addresses_.size()]);
  std::size_t sent = 0;
  for (std::size_t i = submitter; i < initial_jobs && !stop.stop_requested(); i += kSubmitters) {
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

SubmittedJob LoadCluster::make_job(std::size_t job_number, double run_s) const {
  SubmittedJob job;
  job.uid = "j-" + std::to_string(kFirstJobNumber + job_number);
  job.owner = team_name(job_number % options_.teams);
  job.job_type = "batch";
  job.task_count = static_cast<std::uint32_t>(options_.tasks_per_job);
  job.run_s = run_s;
  return job;
}

void LoadCluster::submit(HttpClient& client, const std::stop_token& stop, std::size_t job_number, bool is_initial_load) {
  // Running tasks = task starts per second * mean run time.
  const double run_s = static_cast<double>(target_running_tasks()) / target_starts_per_s();
  const double remaining_fraction = is_initial_load ? static_cast<double>(job_number % 97 + 3) / 100 : 1;
  const auto job = make_job(job_number, run_s * remaining_fraction);
  jobs_.add(job.uid, {job.run_s, steady_now(), job.cores});
  checker_.record_submission(job, steady_now());
  const auto body = submission_body(job, "array", run_s).dump();
  const double submitted_at = steady_now();
  while (!stop.stop_requested()) {
    const auto reply = client.post("/v1/jobs", body, 5);
    if (reply.is(200) || reply.is(201)) {
      checker_.record_reply(job.uid, "queued", steady_now());
      std::lock_guard lock(acceptance_times_mutex_);
      acceptance_times_s_.push_back(steady_now() - submitted_at);
      return;
    }
    ++refused_submissions_;
    if (!pause_for(stop, 1)) return;
  }
}

// ---- measurements

std::vector<double> LoadCluster::take_acceptance_times() {
  std::lock_guard lock(acceptance_times_mutex_);
  return std::exchange(acceptance_times_s_, {});
}

std::map<std::string, double> LoadCluster::metrics(std::size_t i) const {
  std::map<std::string, double> out;
  const auto reply = HttpClient(client_addresses_[i]).get("/metrics", 5);
  if (!reply.is(200)) return out;
  std::istringstream lines(reply.body);
  for (std::string name, value; lines >> name >> value;) {
    constexpr std::string_view kPrefix = "thistlefront_";
    if (!name.starts_with(kPrefix) || name.find('{') != std::string::npos) continue;
    out[name.substr(kPrefix.size())] = std::strtod(value.c_str(), nullptr);
  }
  return out;
}

}  // namespace thistlefront::testbed
