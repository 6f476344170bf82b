#include "controller/cloud_manager.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "controller/cloud_timeout.hpp"
#include "protocol/messages.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistlefront {

namespace {
constexpr double kMachineTypesPeriodS = 120.0;
constexpr double kMinInstancesPeriodS = 1.0;
constexpr double kMinRoundPauseS = 0.5;
constexpr double kCallsPerRound = 2.0;  // rounds are spaced so that this many calls each stay within the cloud's rate limit
constexpr unsigned kPageSize = 500;
constexpr double kNever = -1e9;  // steady seconds

bool is_same_type(const MachineType& a, const MachineType& b) {
  return a.name == b.name && a.capacity == b.capacity && a.boot_s == b.boot_s;
}
}  // namespace

CloudManager::CloudManager(SharedState& shared, CommitQueue& commit_queue, CommandSender& commands, ScaleOutManager& scale_out,
                           InstanceReleaser& releaser, ServiceMonitor& service_monitor)
    : shared_(shared),
      commit_queue_(commit_queue),
      commands_(commands),
      scale_out_(scale_out),
      releaser_(releaser),
      service_monitor_(service_monitor) {}

void CloudManager::run(std::stop_token stop) {
  const auto& settings = shared_.config.settings;
  HttpClient cloud(settings.cloud_address);
  std::stop_callback abort(stop, [&] { cloud.abort(); });
  while (!stop.stop_requested()) {
    const LeadershipStatus status = await_leadership(stop);
    if (stop.stop_requested()) return;
    if (status.is_leading) refresh(cloud);
    if (status.may_decide) {
      service_monitor_.observe();
      releaser_.check_agent_reachability();
      releaser_.release_silent_nodes(cloud, stop);
      releaser_.release_unneeded_nodes(cloud);
      scale_out_.run(cloud);
    }
    if (!pause_for(stop, std::max(kMinRoundPauseS, kCallsPerRound / settings.cloud_rps))) return;
  }
}

CloudManager::LeadershipStatus CloudManager::await_leadership(std::stop_token stop) {
  Lock lock(shared_.mutex);
  shared_.role_changed.wait(lock, stop, [&] { return shared_.role == Role::leading; });
  if (!shared_.is_term(term_)) {
    term_ = shared_.term_number;
    machine_types_refreshed_at_ = instances_refreshed_at_ = kNever;
  }
  return {shared_.role == Role::leading, shared_.may_decide()};
}

void CloudManager::refresh(HttpClient& cloud) {
  const double now = steady_now();
  const double instances_period = std::max(kMinInstancesPeriodS, shared_.config.settings.list_lag_s / 2);
  if (now - machine_types_refreshed_at_ > kMachineTypesPeriodS && refresh_machine_types(cloud)) machine_types_refreshed_at_ = now;
  if (now - instances_refreshed_at_ > instances_period && refresh_instances(cloud)) instances_refreshed_at_ = now;
}

bool CloudManager::refresh_machine_types(HttpClient& cloud) {
  const auto reply = cloud.get(kMachineTypesPath, kCloudTimeoutS);
  if (!reply.ok()) return false;
  try {
    auto types = parse_machine_types(reply.body);
    Lock lock(shared_.mutex);
    if (!shared_.may_decide()) return false;
    const auto& known = shared_.term->cluster_state->machine_types();
    if (!std::equal(known.begin(), known.end(), types.begin(), types.end(), is_same_type)) store_machine_types(std::move(types));
    return true;
  } catch (const ProtocolError& e) {
    spdlog::error("cloud: malformed machine types: {}", e.what());
    return false;
  }
}

// Machine types are stored in the ledger, so that a later leader can decide on submissions during an outage of the cloud.
void CloudManager::store_machine_types(std::vector<MachineType> types) {
  spdlog::info("cloud: {} machine types known", types.size());
  MachineTypesRecord record{std::move(types)};
  if (LedgerWriter::fits_in_entry(record, commit_queue_.max_entry_bytes())) {
    commit_queue_.enqueue({std::move(record)});
  } else {
    spdlog::info("ledger: machine types too large for any entry, each leader asks the cloud for them");
    shared_.term->cluster_state->apply(record);
  }
}

bool CloudManager::refresh_instances(HttpClient& cloud) {
  std::vector<Instance> all;
  std::string from;
  for (;;) {
    const auto reply = cloud.get(instances_path(from, kPageSize), kCloudTimeoutS);
    if (!reply.ok()) return false;
    try {
      auto page = parse_instances(reply.body);
      for (auto& instance : page.instances) all.push_back(std::move(instance));
      if (!page.truncated || page.instances.empty()) break;
      from = all.back().name;
    } catch (const ProtocolError& e) {
      spdlog::error("cloud: malformed instance list: {}", e.what());
      return false;
    }
  }
  Lock lock(shared_.mutex);
  if (shared_.role != Role::leading) return false;
  apply_instances(all);
  return true;
}

void CloudManager::apply_instances(const std::vector<Instance>& instances) {
  ClusterState& cluster_state = *shared_.term->cluster_state;
  const double now = steady_now();
  for (const auto& instance : instances) {
    const NodeIndex index = cluster_state.find_or_add_node(instance.name);
    Node& node = cluster_state.node(index);
    if (node.terminated) continue;
    const bool is_running = instance.status == Instance::Status::running;
    const bool is_new = !node.instance.listed;
    node.instance.listed = true;
    node.instance.listed_at = now;
    node.instance.status = instance.status;
    node.instance.age_s = instance.age_s;
    if (is_running && node.instance.running_since == 0) node.instance.running_since = now;
    if (node.agent.has_reported) continue;
    cluster_state.set_node_attributes(index, instance.address, instance.machine_type, instance.zone, instance.spot);
    // A node that is new to this leader may run tasks, so its agent is sent the fencing token at once.
    if (is_new && is_running) commands_.enqueue(index, true);
  }
}

}  // namespace thistlefront
