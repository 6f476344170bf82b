#include "testbed/cluster.hpp"

#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "testbed/controller_settings.hpp"
#include "testbed/protocol_json.hpp"
#include "testbed/user.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistlefront::testbed {

using nlohmann::json;

namespace {
constexpr double kTick = 0.1;  // seconds
constexpr int kCloudConnections = 20;
constexpr std::size_t kFirstMachine = 100000;
constexpr int kRamGb = 64;
}  // namespace

Cluster::Cluster(const Options& options)
    : checker(kLimits, Times{}.cancel),
      state(options.controllers, options.seed),
      options_(options),
      directory_((std::filesystem::temp_directory_path() / ("thistlefront-fault-test-" + std::to_string(::getpid()))).string()),
      cloud_address_(test_support::free_address()) {
  std::filesystem::create_directories(directory_);
  cloud_ = std::make_unique<HttpServer>(cloud_address_, kCloudConnections, [this](const HttpCall& call) { return answer_as_cloud(call); });
  const auto n = options.controllers;
  for (std::size_t i = 0; i < n; ++i) {
    addresses_.push_back(test_support::free_address());
    peers_.push_back(test_support::free_address());
    configs_.push_back(directory_ + "/" + controller_label(i) + ".toml");
  }
  for (std::size_t i = 0; i < n; ++i)
    for (std::size_t k = 0; k < n; ++k)
      if (i != k) relays_[{i, k}] = std::make_unique<Relay>(peers_[k]);
  for (std::size_t i = 0; i < n; ++i) configure(i, kLimits);
  processes_.resize(n);
  for (std::size_t i = 0; i < options.workers; ++i)
    workers.push_back(std::make_unique<Worker>("m-" + std::to_string(kFirstMachine + i), kZones[i % kZones.size()], addresses_, checker,
                                               times_, options.seed * 10000 + static_cast<unsigned>(i)));
  ticker_ = std::jthread([this](const std::stop_token& stop) {
    while (pause_for(stop, kTick)) checker.tick(steady_now());
  });
  for (std::size_t i = 0; i < options.users; ++i)
    users_.emplace_back(
        [this, seed = options.seed * 100 + static_cast<unsigned>(i)](const std::stop_token& stop) { User(*this, seed).run(stop); });
}

Cluster::~Cluster() {
  users_.clear();
  for (std::size_t i = 0; i < processes_.size(); ++i) end(i);
  workers.clear();
  cloud_->stop();
  std::filesystem::remove_all(directory_);
}

void Cluster::configure(std::size_t i, const std::map<std::string, double>& limits) {
  ControllerSettings settings;
  settings.controller = i;
  settings.controllers = configs_.size();
  settings.zones = kZones;
  settings.client_address = addresses_[i];
  settings.peer_address = peers_[i];
  settings.cloud_address = cloud_address_;
  settings.store_address = state.endpoint(i).address;
  for (std::size_t k = 0; k < configs_.size(); ++k)
    if (k != i) settings.peers.push_back({k, relays_.at({i, k})->address()});
  for (const auto& [team, limit] : limits) settings.teams.push_back({team, limit / 2, limit});
  settings.heartbeat_interval_s = times_.heartbeat;
  settings.lease_s = times_.lease;
  settings.gang_wait_s = 10;
  settings.gang_peer_s = 2;
  settings.cancel_s = times_.cancel;
  settings.store_rps = 1000;
  settings.store_write_rps = 200;
  settings.store_limits = {8, 16};
  settings.next_store_limits = StoreLimits{2, 4};
  settings.cloud_rps = 10;
  settings.list_lag_s = 1;
  settings.max_memory_mb = 500;
  settings.max_sockets = 4000;
  std::ofstream(configs_[i]) << to_toml(settings);
}

void Cluster::start(std::size_t i, const std::string& program, const std::vector<std::string>& flags) {
  std::vector<std::string> arguments = flags;
  arguments.insert(arguments.end(), {"--config", configs_[i]});
  const auto log = options_.logs.empty() ? "/dev/null" : options_.logs + "/" + controller_label(i) + ".log";
  processes_[i].start(program, arguments, log);
}

void Cluster::end(std::size_t i) {
  processes_[i].end();
}

void Cluster::freeze(std::size_t i, bool frozen) {
  processes_[i].freeze(frozen);
}

void Cluster::part(std::size_t i, bool parted, bool store_too) {
  for (auto& [way, relay] : relays_)
    if (way.first == i || way.second == i) relay->cut(parted);
  if (store_too || !parted) state.endpoint(i).refuses = parted;
}

std::size_t Cluster::leader() {
  return controller_of_label(state.leader(), processes_.size());
}

HttpReply Cluster::answer_as_cloud(const HttpCall& call) const {
  if (call.target == "/flavors") return {200, machine_types(kMachineCores, kRamGb, kZones).dump()};
  // Machines are neither rented nor given back: a fault that the controllers have to live with.
  if (call.method != "GET") return {503, R"({"error":"no capacity"})"};
  std::vector<MachineDescription> machines;
  if (call.target.find("from=") == std::string_view::npos)
    for (const auto& worker : workers) machines.push_back({worker->name(), worker->address(), worker->zone()});
  return {200, machine_list(machines, false).dump()};
}

HttpResult Cluster::ask(const std::string& method, const std::string& path, const std::string& body, unsigned& random) const {
  HttpResult last;
  for (std::size_t k = 0; k < addresses_.size(); ++k) {
    random = random * 1664525u + 1013904223u;
    HttpClient client(addresses_[(random >> 8) % addresses_.size()]);
    last = client.call(method, path, body, method == "GET" ? 2 : 5);
    if (last.delivery != Delivery::unsent) break;
  }
  return last;
}

void Cluster::note_answer(const std::string& uid, const HttpResult& answer, double sent) {
  const double now = steady_now();
  if (sent == 0) sent = now;
  if (answer.is(200) || answer.is(201)) {
    const auto body = json::parse(answer.body, nullptr, false);
    checker.told(uid, body.is_object() ? body.value("status", std::string("?")) : "?", sent, now);
  } else if (answer.is(404)) {
    checker.told(uid, "unknown", sent, now);
  } else if (answer.is(400) || answer.is(422)) {
    checker.told(uid, "refused", sent, now);
  } else {
    checker.failed_poll(uid, now);
  }
}

void Cluster::ask_everywhere(const std::string& uid, const std::string& submission) {
  std::vector<std::jthread> askers;
  askers.reserve(addresses_.size());
  for (const auto& address : addresses_) {
    askers.emplace_back([&] {
      for (int k = 0; k < 2; ++k) {
        HttpClient client(address);
        const double sent = steady_now();
        const bool repeats = k == 1 && !submission.empty();
        const auto answer = repeats ? client.call("POST", "/v1/jobs", submission, 5) : client.call("GET", "/v1/jobs/" + uid, "", 2);
        note_answer(uid, answer, sent);
      }
    });
  }
}

}  // namespace thistlefront::testbed
