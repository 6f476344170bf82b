#include "controller/instance_releaser.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <functional>
#include <utility>

#include "controller/cloud_timeout.hpp"
#include "controller/leadership_conditions.hpp"
#include "protocol/messages.hpp"
#include "scheduling/scale_out.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"
#include "worker_control/failure_detector.hpp"
#include "worker_control/one_way_partition.hpp"
#include "worker_control/reachability.hpp"
#include "worker_control/reconciliation.hpp"

namespace thistlefront {

namespace {
constexpr std::size_t kMaxReleases = 50;       // in one round
constexpr double kClusterIdleAfterS = 20.0;    // without pending or running work apart from services
constexpr double kMaxIdleWithoutWorkS = 20.0;  // of an instance, while the cluster is idle
constexpr double kMaxIdleWithWorkS = 300.0;    // of an instance, while the cluster has work
constexpr double kRecentHeartbeatIntervals = 2.0;
constexpr double kDirectContactIntervals = 1.45;  // heartbeat intervals within which a node that reaches this leader contacts it
constexpr std::size_t kDirectContactDivisor = 3;  // this leader judges silence only if one in this many nodes contacts it directly
constexpr double kProbeTimeoutS = 1.0;
constexpr std::size_t kProbesBeforeHandOver = 5;
constexpr double kFirstHeartbeatLeases = 3.0;  // leases within which a running instance has to send its first heartbeat

const char* describe(std::size_t reason) {
  constexpr const char* kTexts[] = {
      "dead", "unresponsive", "idle", "faulty", "late and no longer needed", "running but never sent a heartbeat", "silent"};
  return kTexts[reason];
}
}  // namespace

InstanceReleaser::InstanceReleaser(SharedState& shared, CommitQueue& commit_queue, AgentMessages& agent_messages)
    : shared_(shared), commit_queue_(commit_queue), agent_messages_(agent_messages) {}

void InstanceReleaser::release(HttpClient& cloud, const std::vector<std::string>& names, Reason reason) {
  if (names.empty()) return;
  const auto reply = cloud.post(kReleasePath, release_body(names), kCloudTimeoutS);
  if (!reply.ok()) return;
  Lock lock(shared_.mutex);
  if (shared_.role != Role::leading) return;
  ClusterState& cluster_state = *shared_.term->cluster_state;
  for (const auto& name : names) {
    const NodeIndex node = cluster_state.find_node(name);
    if (!node.valid()) continue;
    cluster_state.node(node).terminated = true;
    spdlog::info("node {}: released, {}", name, describe(static_cast<std::size_t>(reason)));
    auto records = evict_all_tasks(cluster_state, node);
    if (!records.empty()) commit_queue_.enqueue(std::move(records));
  }
}

void InstanceReleaser::release_unneeded_nodes(HttpClient& cloud) {
  const Releases releases = choose_releases();
  for (std::size_t reason = 0; reason < releases.size(); ++reason) release(cloud, releases[reason], static_cast<Reason>(reason));
}

InstanceReleaser::FleetSummary InstanceReleaser::summarize_fleet() const {
  const Term& term = *shared_.term;
  const ClusterState& cluster_state = *term.cluster_state;
  const double lease_s = shared_.config.settings.lease_s;
  FleetSummary out;
  out.now = steady_now();
  // While there is work, idle instances are kept longer, since booting another one and fetching its images takes time.
  out.is_cluster_idle = out.now - std::max(term.last_work_at, term.taken_over_at) > kClusterIdleAfterS;
  out.max_idle_s = out.is_cluster_idle ? kMaxIdleWithoutWorkS : kMaxIdleWithWorkS;
  out.is_heartbeat_grace_over = out.now - term.taken_over_at > kFirstHeartbeatLeases * lease_s;
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
    const Node& node = cluster_state.node(NodeIndex{i});
    if (out.now - node.agent.last_direct_contact_at < lease_s) out.zones_in_contact.insert(node.zone);
  }
  return out;
}

InstanceReleaser::Releases InstanceReleaser::choose_releases() {
  Releases out;
  Lock lock(shared_.mutex);
  if (!shared_.may_decide()) return out;
  Term& term = *shared_.term;
  ClusterState& cluster_state = *term.cluster_state;
  const FleetSummary fleet = summarize_fleet();
  const auto names = [&](Reason reason) -> std::vector<std::string>& { return out[static_cast<std::size_t>(reason)]; };
  for (const NodeIndex index : find_unresponsive_nodes_to_replace(cluster_state, fleet.now, shared_.config.settings.lease_s)) {
    if (term.starting_nodes.contains(index) || names(Reason::unresponsive).size() >= kMaxReleases) continue;
    cluster_state.node(index).release_requested = true;
    names(Reason::unresponsive).push_back(cluster_state.node(index).name);
  }
  const auto chosen_count = [&] {
    return names(Reason::dead).size() + names(Reason::idle).size() + names(Reason::late).size() + names(Reason::never_reported).size();
  };
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
    const Node& node = cluster_state.node(NodeIndex{i});
    if (!node.instance.listed || node.terminated || chosen_count() >= kMaxReleases) continue;
    Reason reason{};
    if (should_release(NodeIndex{i}, fleet, reason)) names(reason).push_back(node.name);
  }
  return out;
}

bool InstanceReleaser::is_unused(NodeIndex index) const {
  const Term& term = *shared_.term;
  return term.cluster_state->node(index).placed.empty() && !term.starting_nodes.contains(index);
}

bool InstanceReleaser::should_release(NodeIndex index, const FleetSummary& fleet, Reason& reason) {
  Term& term = *shared_.term;
  ClusterState& cluster_state = *term.cluster_state;
  Node& node = cluster_state.node(index);
  const MachineType* machine_type = cluster_state.machine_type(node.machine_type);
  if (node.instance.status == Instance::Status::failed || has_failed_to_boot(node, machine_type, fleet.now)) {
    reason = Reason::dead;
    return true;
  }
  // An instance that is late to boot is kept while there is work.
  if (fleet.is_cluster_idle && fleet.is_heartbeat_grace_over && boot_progress(node, machine_type, fleet.now) == BootProgress::late) {
    reason = Reason::late;
    return true;
  }
  // The instance has been listed as running for long, but its agent never sent a heartbeat. If no node of its zone is in contact, the
  // reason may be a partition.
  const bool never_reported = !node.agent.has_reported && node.placed.empty() && node.instance.status == Instance::Status::running;
  const bool long_running = fleet.now - node.instance.running_since > kFirstHeartbeatLeases * shared_.config.settings.lease_s;
  if (never_reported && long_running && fleet.zones_in_contact.contains(node.zone)) {
    reason = Reason::never_reported;
    return true;
  }
  // Tasks failed on the node again after it was uncordoned, so it is replaced.
  if (is_unused(index) && cluster_state.failure_attribution().should_replace(index, wall_now())) {
    node.release_requested = true;
    reason = Reason::faulty;
    return true;
  }
  const bool is_idle = is_unused(index) && node.idle_since > 0;
  const bool is_needed = !fleet.is_cluster_idle && !term.unserved.empty();
  if (!node.release_requested && (!is_idle || is_needed || fleet.now - node.idle_since <= fleet.max_idle_s)) return false;
  node.release_requested = true;
  reason = Reason::idle;
  return true;
}

// A node that became silent while others send heartbeats has most likely died or hangs. A confirmed release lets its services start on
// other nodes at once, without waiting for its lease to expire. The probes run in parallel: when they ran one after the other, the
// replicas on the last of 13 dead nodes waited 20 s.
void InstanceReleaser::probe_agents(std::vector<Probe>& probes) {
  std::vector<std::function<void()>> work;
  work.reserve(probes.size());
  for (auto& target : probes) work.emplace_back([this, &target] { probe_agent(target); });
  run_in_parallel(work);
}

void InstanceReleaser::probe_agent(Probe& target) {
  HttpClient agent(target.address);
  const auto reply = agent.get(kWorkerStatusPath, kProbeTimeoutS);
  if (!reply.ok()) return;
  target.replied = true;
  try {
    const auto status = parse_heartbeat(reply.body);
    Lock lock(shared_.mutex);
    if (shared_.role != Role::leading || status.node != target.name) return;
    agent_messages_.apply(status, MessageKind::command_reply);
    ClusterState& cluster_state = *shared_.term->cluster_state;
    Node& node = cluster_state.node(cluster_state.find_or_add_node(target.name));
    node.agent.last_direct_contact_at = steady_now();
    node.commands.last_command_failed = false;
    shared_.term->commands_failing_since = 0;
  } catch (const ProtocolError& e) {
    spdlog::error("node {}: malformed status: {}", target.name, e.what());
  }
}

// A leader that is partitioned only from the agents keeps its leader lease and its peers: heartbeats reach it through the peers, its
// commands fail, and healthy nodes look dead to it. It probes a few agents before it hands over, because agents may also use other
// controllers without need.
void InstanceReleaser::check_agent_reachability() {
  std::vector<Probe> probes = probes_of_relayed_nodes();
  probe_agents(probes);
  if (probes.empty() || std::any_of(probes.begin(), probes.end(), [](const Probe& p) { return p.replied; })) return;
  Lock lock(shared_.mutex);
  if (shared_.may_decide()) shared_.term->hand_over_reason = "workers reach other controllers but not this one";
}

std::vector<InstanceReleaser::Probe> InstanceReleaser::probes_of_relayed_nodes() const {
  std::vector<Probe> out;
  Lock lock(shared_.mutex);
  if (!shared_.may_decide() || !are_most_heartbeats_relayed(shared_)) return out;
  const double now = steady_now();
  const double recent_s = shared_.config.settings.heartbeat_interval_s * kRecentHeartbeatIntervals;
  const ClusterState& cluster_state = *shared_.term->cluster_state;
  for (std::uint32_t i = 0; i < cluster_state.node_count() && out.size() < kProbesBeforeHandOver; ++i) {
    const Node& node = cluster_state.node(NodeIndex{i});
    if (!node.agent.has_reported || node.terminated || node.lease_expired || node.address.empty()) continue;
    const bool is_recent = now - node.agent.last_heartbeat_at < recent_s;
    const bool is_relayed = now - node.agent.last_direct_contact_at > now - node.agent.last_heartbeat_at;
    if (is_recent && is_relayed) out.push_back({node.name, node.address});
  }
  return out;
}

// A leader that most nodes do not contact directly may itself be partitioned from them: in the first seconds of such a partition, 12
// healthy nodes were released. A leader that is short of CPU time also processes heartbeats late.
std::vector<NodeIndex> InstanceReleaser::find_nodes_to_probe() const {
  const double now = steady_now();
  const double interval_s = shared_.config.settings.heartbeat_interval_s;
  const Term& term = *shared_.term;
  const auto reachability = measure_reachability(*term.cluster_state, now, kDirectContactIntervals * interval_s);
  if (kDirectContactDivisor * reachability.direct_nodes < reachability.known_nodes) return {};
  return find_suspect_nodes(measure_silence(*term.cluster_state, now, term.taken_over_at), interval_s);
}

std::vector<InstanceReleaser::Probe> InstanceReleaser::probes_of_silent_nodes() const {
  std::vector<Probe> out;
  Lock lock(shared_.mutex);
  if (!shared_.may_decide() || are_most_heartbeats_relayed(shared_)) return out;
  for (const NodeIndex index : find_nodes_to_probe()) {
    const Node& node = shared_.term->cluster_state->node(index);
    if (out.size() < shared_.config.budget.concurrent_probes) out.push_back({node.name, node.address});
  }
  return out;
}

void InstanceReleaser::release_silent_nodes(HttpClient& cloud, std::stop_token stop) {
  const double started_at = steady_now();
  std::vector<Probe> probes = probes_of_silent_nodes();
  if (probes.empty()) return;
  probe_agents(probes);
  std::erase_if(probes, [](const Probe& p) { return p.replied; });
  if (probes.empty()) return;
  // In a partition connections may fail at once. Before the recheck, there must be time for the zone's other nodes to become silent too.
  if (!pause_for(stop, std::max(0.0, started_at + kProbeTimeoutS - steady_now()))) return;
  std::vector<std::string> names;
  {
    // Recheck: a partition may have begun just before the probes, or a node's heartbeat may have arrived through a peer.
    Lock lock(shared_.mutex);
    if (!shared_.may_decide()) return;
    std::set<std::string> still_suspect;
    for (const NodeIndex index : find_nodes_to_probe()) still_suspect.insert(shared_.term->cluster_state->node(index).name);
    for (const auto& target : probes)
      if (still_suspect.contains(target.name)) names.push_back(target.name);
  }
  if (names.size() > 1) spdlog::info("scale-in: {} nodes silent and unresponsive while others of their zones answer", names.size());
  release(cloud, names, Reason::silent);
}

}  // namespace thistlefront
