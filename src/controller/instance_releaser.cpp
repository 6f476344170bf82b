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
constexpr std::size_t kMaxReleases = 50;  // in one round
constexpr double kQuietS = 20.0;          // no work is pending or runs, services aside, for so long
constexpr double kIdleLimitQuietS = 20.0;
constexpr double kIdleLimitBusyS = 300.0;
constexpr double kSilentHeartbeats = 2.0;   // heartbeat intervals
constexpr double kDirectHeartbeats = 1.45;  // heartbeat intervals within which a node that reaches this leader has been heard
constexpr std::size_t kDirectShare = 3;     // one node in so many must be heard directly, or this leader does not judge
constexpr double kProbeTimeoutS = 1.0;
constexpr std::size_t kProbesBeforeHandOver = 5;
constexpr double kMuteLeases = 3.0;  // leases for which a running instance may go unheard of

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
  const auto response = cloud.post(kReleasePath, release_body(names), kCloudTimeoutS);
  if (!response.ok()) return;
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

void InstanceReleaser::release_unneeded(HttpClient& cloud) {
  const Releases releases = choose_releases();
  for (std::size_t reason = 0; reason < releases.size(); ++reason) release(cloud, releases[reason], static_cast<Reason>(reason));
}

InstanceReleaser::Look InstanceReleaser::look() const {
  const Term& term = *shared_.term;
  const ClusterState& cluster_state = *term.cluster_state;
  const double lease_s = shared_.config.settings.lease_s;
  Look out;
  out.now = steady_now();
  // With no work about, an instance is released soon; else it is kept a while, for boots and image fetches take time.
  out.is_quiet = out.now - std::max(term.last_active_at, term.taken_over_at) > kQuietS;
  out.idle_limit_s = out.is_quiet ? kIdleLimitQuietS : kIdleLimitBusyS;
  out.is_settled = out.now - term.taken_over_at > kMuteLeases * lease_s;
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
    const Node& node = cluster_state.node(NodeIndex{i});
    if (out.now - node.agent.last_direct_contact_at < lease_s) out.heard_zones.insert(node.zone);
  }
  return out;
}

InstanceReleaser::Releases InstanceReleaser::choose_releases() {
  Releases out;
  Lock lock(shared_.mutex);
  if (!shared_.may_decide()) return out;
  Term& term = *shared_.term;
  ClusterState& cluster_state = *term.cluster_state;
  const Look seen = look();
  const auto names = [&](Reason reason) -> std::vector<std::string>& { return out[static_cast<std::size_t>(reason)]; };
  for (const NodeIndex index : find_unresponsive_nodes_to_replace(cluster_state, seen.now, shared_.config.settings.lease_s)) {
    if (term.starting_nodes.contains(index) || names(Reason::unresponsive).size() >= kMaxReleases) continue;
    cluster_state.node(index).release_requested = true;
    names(Reason::unresponsive).push_back(cluster_state.node(index).name);
  }
  const auto chosen = [&] {
    return names(Reason::dead).size() + names(Reason::idle).size() + names(Reason::late).size() + names(Reason::mute).size();
  };
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
    const Node& node = cluster_state.node(NodeIndex{i});
    if (!node.instance.listed || node.terminated || chosen() >= kMaxReleases) continue;
    Reason reason{};
    if (choose_release(NodeIndex{i}, seen, reason)) names(reason).push_back(node.name);
  }
  return out;
}

bool InstanceReleaser::is_unused(NodeIndex index) const {
  const Term& term = *shared_.term;
  return term.cluster_state->node(index).placed.empty() && !term.starting_nodes.contains(index);
}

bool InstanceReleaser::choose_release(NodeIndex index, const Look& look, Reason& reason) {
  Term& term = *shared_.term;
  ClusterState& cluster_state = *term.cluster_state;
  Node& node = cluster_state.node(index);
  const MachineType* machine_type = cluster_state.machine_type(node.machine_type);
  if (node.instance.status == Instance::Status::failed || has_failed_to_boot(node, machine_type, look.now)) {
    reason = Reason::dead;
    return true;
  }
  // A late one is kept while there is work.
  if (look.is_quiet && look.is_settled && boot_progress(node, machine_type, look.now) == BootProgress::late) {
    reason = Reason::late;
    return true;
  }
  // Running for long, by the list, and never heard of; not where a partition may be the reason.
  const bool never_heard = !node.agent.has_reported && node.placed.empty() && node.instance.status == Instance::Status::running;
  const bool long_running = look.now - node.instance.running_since > kMuteLeases * shared_.config.settings.lease_s;
  if (never_heard && long_running && look.heard_zones.contains(node.zone)) {
    reason = Reason::mute;
    return true;
  }
  // Tasks failed there once more after it was uncordoned: another node in its place serves better.
  if (is_unused(index) && cluster_state.failure_attribution().should_replace(index, wall_now())) {
    node.release_requested = true;
    reason = Reason::faulty;
    return true;
  }
  const bool is_idle = is_unused(index) && node.idle_since > 0;
  const bool is_needed = !look.is_quiet && !term.unserved.empty();
  if (!node.release_requested && (!is_idle || is_needed || look.now - node.idle_since <= look.idle_limit_s)) return false;
  node.release_requested = true;
  reason = Reason::idle;
  return true;
}

// A node that has fallen silent while the others report is most likely dead or hangs. Its lease may have long to run; an answered
// release ends it for certain, so that its services can start elsewhere at once. All are probed at once: one after the other,
// the replicas of the last of 13 dead nodes waited 20 s.
void InstanceReleaser::probe(std::vector<Probe>& probes) {
  std::vector<std::function<void()>> work;
  work.reserve(probes.size());
  for (auto& target : probes) work.emplace_back([this, &target] { probe_one(target); });
  run_at_once(work);
}

void InstanceReleaser::probe_one(Probe& target) {
  HttpClient agent(target.address);
  const auto response = agent.get(kWorkerStatusPath, kProbeTimeoutS);
  if (!response.ok()) return;
  target.answered = true;
  try {
    const auto report = parse_heartbeat(response.body);
    Lock lock(shared_.mutex);
    if (shared_.role != Role::leading || report.node != target.name) return;
    agent_messages_.apply(report, MessageKind::command_answer);
    ClusterState& cluster_state = *shared_.term->cluster_state;
    Node& node = cluster_state.node(cluster_state.find_or_add_node(target.name));
    node.agent.last_direct_contact_at = steady_now();
    node.commands.last_command_failed = false;
    shared_.term->commands_failing_since = 0;
  } catch (const ProtocolError& e) {
    spdlog::error("node {}: malformed status: {}", target.name, e.what());
  }
}

// Cut from the agents only, this controller keeps its lease and its peers: heartbeats reach it by way of them, its commands fail,
// and sound nodes look dead to it. A few are probed before it gives up, so that agents which only go by way of others, though
// they need not, are no reason.
void InstanceReleaser::check_worker_reachability() {
  std::vector<Probe> probes = probes_of_indirect_nodes();
  probe(probes);
  if (probes.empty() || std::any_of(probes.begin(), probes.end(), [](const Probe& p) { return p.answered; })) return;
  Lock lock(shared_.mutex);
  if (shared_.may_decide()) shared_.term->hand_over_reason = "workers reach other controllers but not this one";
}

std::vector<InstanceReleaser::Probe> InstanceReleaser::probes_of_indirect_nodes() const {
  std::vector<Probe> out;
  Lock lock(shared_.mutex);
  if (!shared_.may_decide() || !are_workers_heard_through_peers(shared_)) return out;
  const double now = steady_now();
  const double recent_s = shared_.config.settings.heartbeat_interval_s * kSilentHeartbeats;
  const ClusterState& cluster_state = *shared_.term->cluster_state;
  for (std::uint32_t i = 0; i < cluster_state.node_count() && out.size() < kProbesBeforeHandOver; ++i) {
    const Node& node = cluster_state.node(NodeIndex{i});
    if (!node.agent.has_reported || node.terminated || node.lease_expired || node.address.empty()) continue;
    const bool is_recent = now - node.agent.last_heartbeat_at < recent_s;
    const bool is_indirect = now - node.agent.last_direct_contact_at > now - node.agent.last_heartbeat_at;
    if (is_recent && is_indirect) out.push_back({node.name, node.address});
  }
  return out;
}

// Not the one to judge is a leader that hears most nodes by way of its peers, or not at all just now: in the first seconds of a
// partition between it and the agents, 12 sound ones were released. One that is short of processor time hears late.
std::vector<NodeIndex> InstanceReleaser::suspect_nodes_heard_directly() const {
  const double now = steady_now();
  const double interval_s = shared_.config.settings.heartbeat_interval_s;
  const Term& term = *shared_.term;
  const auto heard = measure_reachability(*term.cluster_state, now, kDirectHeartbeats * interval_s);
  if (kDirectShare * heard.direct_nodes < heard.known_nodes) return {};
  return find_suspect_nodes(measure_silence(*term.cluster_state, now, term.taken_over_at), interval_s);
}

std::vector<InstanceReleaser::Probe> InstanceReleaser::probes_of_silent_nodes() const {
  std::vector<Probe> out;
  Lock lock(shared_.mutex);
  if (!shared_.may_decide() || are_workers_heard_through_peers(shared_)) return out;
  for (const NodeIndex index : suspect_nodes_heard_directly()) {
    const Node& node = shared_.term->cluster_state->node(index);
    if (out.size() < shared_.config.budget.probes) out.push_back({node.name, node.address});
  }
  return out;
}

void InstanceReleaser::release_silent(HttpClient& cloud, std::stop_token stop) {
  const double began = steady_now();
  std::vector<Probe> probes = probes_of_silent_nodes();
  if (probes.empty()) return;
  probe(probes);
  std::erase_if(probes, [](const Probe& p) { return p.answered; });
  if (probes.empty()) return;
  // A partition may refuse connections at once: by the second look it must show in what is heard of the zone.
  if (!pause_for(stop, std::max(0.0, began + kProbeTimeoutS - steady_now()))) return;
  std::vector<std::string> names;
  {
    // Looked at once more: a partition may have begun just before they were probed, or one was heard of through a peer.
    Lock lock(shared_.mutex);
    if (!shared_.may_decide()) return;
    std::set<std::string> still_suspect;
    for (const NodeIndex index : suspect_nodes_heard_directly()) still_suspect.insert(shared_.term->cluster_state->node(index).name);
    for (const auto& target : probes)
      if (still_suspect.contains(target.name)) names.push_back(target.name);
  }
  if (names.size() > 1) spdlog::info("scale-in: {} nodes silent and unresponsive while others of their zones answer", names.size());
  release(cloud, names, Reason::silent);
}

}  // namespace thistlefront
