#include "testbed/fault_test_cluster.hpp"

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
constexpr double kCheckIntervalS = 0.1;
constexpr int kCloudConnections = 20;
constexpr std::size_t kFirstNodeNumber = 100000;
constexpr int kRamGb = 64;
}  // namespace

FaultTestCluster::FaultTestCluster(const Options& options)
    : checker(kLimits, ProtocolTimes{}.cancel_s),
      store(options.controllers, options.seed),
      options_(options),
      directory_((std::filesystem::temp_directory_path() / ("thistlefront-fault-test-" + std::to_string(::getpid()))).string()),
      cloud_address_(test_support::free_address()) {
  std::filesystem::create_directories(directory_);
  cloud_ =
      std::make_unique<HttpServer>(cloud_address_, kCloudConnections, [this](const HttpCall& call) { return handle_cloud_request(call); });
  const auto n = options.controllers;
  for (std::size_t i = 0; i < n; ++i) {
    addresses_.push_back(test_support::free_address());
    peer_addresses_.push_back(test_support::free_address());
    settings_files_.push_back(directory_ + "/" + controller_label(i) + ".toml");
  }
  for (std::size_t i = 0; i < n; ++i)
    for (std::size_t k = 0; k < n; ++k)
      if (i != k) network_relays_[{i, k}] = std::make_unique<NetworkRelay>(peer_addresses_[k]);
  for (std::size_t i = 0; i < n; ++i) write_settings(i, kLimits);
  processes_.resize(n);
  for (std::size_t i = 0; i < options.workers; ++i)
    workers.push_back(std::make_unique<Worker>("m-" + std::to_string(kFirstNodeNumber + i), kZones[i % kZones.size()], addresses_, checker,
                                               times_, options.seed * 10000 + static_cast<unsigned>(i)));
  checker_thread_ = std::jthread([this](const std::stop_token& stop) {
    while (pause_for(stop, kCheckIntervalS)) checker.check_deadlines(steady_now());
  });
  for (std::size_t i = 0; i < options.users; ++i)
    users_.emplace_back(
        [this, seed = options.seed * 100 + static_cast<unsigned>(i)](const std::stop_token& stop) { User(*this, seed).run(stop); });
}

FaultTestCluster::~FaultTestCluster() {
  users_.clear();
  for (std::size_t i = 0; i < processes_.size(); ++i) kill_controller(i);
  workers.clear();
  cloud_->stop();
  std::filesystem::remove_all(directory_);
}

void FaultTestCluster::write_settings(std::size_t i, const std::map<std::string, double>& limits) {
  ControllerSettings settings;
  settings.controller = i;
  settings.controllers = settings_files_.size();
  settings.zones = kZones;
  settings.client_address = addresses_[i];
  settings.peer_address = peer_addresses_[i];
  settings.cloud_address = cloud_address_;
  settings.store_address = store.endpoint(i).address;
  for (std::size_t k = 0; k < settings_files_.size(); ++k)
    if (k != i) settings.peers.push_back({k, network_relays_.at({i, k})->address()});
  for (const auto& [team, limit] : limits) settings.teams.push_back({team, limit / 2, limit});
  settings.heartbeat_interval_s = times_.heartbeat_interval_s;
  settings.lease_s = times_.lease_s;
  settings.gang_wait_s = 10;
  settings.gang_peer_s = 2;
  settings.cancel_s = times_.cancel_s;
  settings.store_rps = 1000;
  settings.store_write_rps = 200;
  settings.store_limits = {8, 16};
  settings.next_store_limits = StoreLimits{2, 4};
  settings.cloud_rps = 10;
  settings.list_lag_s = 1;
  settings.max_memory_mb = 500;
  settings.max_sockets = 4000;
  std::ofstream(settings_files_[i]) << to_toml(settings);
}

void FaultTestCluster::start_controller(std::size_t i, const std::string& program, const std::vector<std::string>& flags) {
  std::vector<std::string> arguments = flags;
  arguments.insert(arguments.end(), {"--config", settings_files_[i]});
  const auto log = options_.logs.empty() ? "/dev/null" : options_.logs + "/" + controller_label(i) + ".log";
  processes_[i].start(program, arguments, log);
}

void FaultTestCluster::kill_controller(std::size_t i) {
  processes_[i].kill();
}

void FaultTestCluster::set_frozen(std::size_t i, bool frozen) {
  processes_[i].set_frozen(frozen);
}

void FaultTestCluster::set_partitioned(std::size_t i, bool partitioned, bool store_too) {
  for (auto& [controllers, relay] : network_relays_)
    if (controllers.first == i || controllers.second == i) relay->set_partitioned(partitioned);
  if (store_too || !partitioned) store.endpoint(i).rejects_requests = partitioned;
}

std::size_t FaultTestCluster::leader() {
  return find_controller(store.leader(), processes_.size());
}

HttpReply FaultTestCluster::handle_cloud_request(const HttpCall& call) const {
  if (call.target == "/flavors") return {200, machine_types(kNodeCores, kRamGb, kZones).dump()};
  // Injected fault: instances can be neither requested nor released.
  if (call.method != "GET") return {503, R"({"error":"no capacity"})"};
  std::vector<InstanceDescription> instances;
  if (call.target.find("from=") == std::string_view::npos)
    for (const auto& worker : workers) instances.push_back({worker->name(), worker->address(), worker->zone()});
  return {200, instance_list(instances, false).dump()};
}

HttpResult FaultTestCluster::call(const std::string& method, const std::string& path, const std::string& body, unsigned& random) const {
  HttpResult result;
  for (std::size_t k = 0; k < addresses_.size(); ++k) {
    random = random * 1664525u + 1013904223u;
    HttpClient client(addresses_[(random >> 8) % addresses_.size()]);
    result = client.call(method, path, body, method == "GET" ? 2 : 5);
    if (result.delivery != Delivery::unsent) break;
  }
  return result;
}

void FaultTestCluster::record_reply(const std::string& uid, const HttpResult& reply, double sent_at) {
  const double now = steady_now();
  if (sent_at == 0) sent_at = now;
  if (reply.is(200) || reply.is(201)) {
    const auto body = json::parse(reply.body, nullptr, false);
    checker.record_reply(uid, body.is_object() ? body.value("status", std::string("?")) : "?", sent_at, now);
  } else if (reply.is(404)) {
    checker.record_reply(uid, "unknown", sent_at, now);
  } else if (reply.is(400) || reply.is(422)) {
    checker.record_reply(uid, "refused", sent_at, now);
  } else {
    checker.record_failed_poll(uid, now);
  }
}

void FaultTestCluster::poll_all_controllers(const std::string& uid, const std::string& submission) {
  std::vector<std::jthread> callers;
  callers.reserve(addresses_.size());
  for (const auto& address : addresses_) {
    callers.emplace_back([&] {
      for (int k = 0; k < 2; ++k) {
        HttpClient client(address);
        const double sent_at = steady_now();
        const bool submits_again = k == 1 && !submission.empty();
        const auto reply = submits_again ? client.call("POST", "/v1/jobs", submission, 5) : client.call("GET", "/v1/jobs/" + uid, "", 2);
        record_reply(uid, reply, sent_at);
      }
    });
  }
}

}  // namespace thistlefront::testbed
