#include "controller/shared_state.hpp"

#include <spdlog/spdlog.h>

#include <chrono>

#include "transport/clock.hpp"

namespace thistlefront {

SharedState::SharedState(const ControllerConfig& configuration)
    : config(configuration),
      follower_since(configuration.started_at),
      partition_lease(max_partition_lease_s(configuration.settings.cancel_s, configuration.settings.lease_s), configuration.started_at) {
  for (const auto& peer : config.settings.peers) {
    PeerLink link;
    link.peer = peer;
    link.calls = std::make_unique<FrameConnectionPool>(peer.address, ResourceBudget::kCallConnectionsPerPeer);
    link.heartbeats = std::make_unique<FrameConnectionPool>(peer.address, 1);
    peers.push_back(std::move(link));
  }
}

bool SharedState::may_decide() const {
  return role == Role::leading && !term->hand_over_reason && steady_now() < term->session_lease_valid_until;
}

void SharedState::observe_leader(std::uint64_t fencing_token, const std::string& label) {
  if (fencing_token < known_leader.fencing_token) return;
  if (fencing_token == known_leader.fencing_token && !known_leader.label.empty()) return;
  if (label != known_leader.label) {
    // Assumed to be the takeover token until the leader reports it. A raised token of the same leader does not change it.
    known_leader.takeover_token = fencing_token;
    handle_leader_change(!label.empty());
    if (!label.empty()) spdlog::info("leader: now {}, fencing token {}", label, fencing_token);
  }
  known_leader.fencing_token = fencing_token;
  known_leader.label = label;
}

void SharedState::handle_leader_change(bool label_known) {
  ++known_leader.change_count;
  known_leader.known_since = steady_now();
  // At its own takeover this controller keeps its partition lease until it has read the ledger.
  if (role == Role::follower) partition_lease.revoke();
  // Agents that could not reach the earlier leader may reach the new one.
  redirects.clear();
  if (FrameConnectionPool* pool = leader_pool(); pool && label_known) pool->interrupt_calls();
}

FrameConnectionPool* SharedState::leader_pool() {
  for (auto& link : peers)
    if (link.peer.label == known_leader.label) return link.calls.get();
  return nullptr;
}

void SharedState::step_down(const Lock&, const char* reason) {
  if (role == Role::follower) return;
  spdlog::info("leader: stepped down, fencing token {}: {}", term->fencing_token, reason);
  role = Role::follower;
  partition_lease.revoke();
  follower_since = steady_now();
  ++term_number;
  start_stall_detector.record_started();
  term.reset();
  if (known_leader.label == config.settings.label) known_leader.label.clear();
  for (const auto& listener : step_down_listeners_) listener();
  role_changed.notify_all();
  pass_request_added_.notify_all();
}

void SharedState::request_pass() {
  pass_requested_ = true;
  pass_request_added_.notify_all();
}

void SharedState::wait_for_pass_request(Lock& lock, std::stop_token stop, double timeout_s) {
  pass_request_added_.wait_for(lock, stop, std::chrono::duration<double>(timeout_s), [&] { return pass_requested_; });
  if (!stop.stop_requested()) pass_requested_ = false;
}

}  // namespace thistlefront
