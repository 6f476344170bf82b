// The follower's side of HeartbeatHandler: redirects, relays and forwards heartbeats, or renews leases in a partition.
#include <spdlog/spdlog.h>

#include <chrono>
#include <thread>

#include "controller/heartbeat_handler.hpp"
#include "controller/leadership_conditions.hpp"
#include "protocol/messages.hpp"
#include "protocol/peer_messages.hpp"
#include "transport/clock.hpp"

namespace thistlefront {

namespace {
constexpr double kForwardTimeoutS = 2.5;      // the agent itself waits 4 s
constexpr double kRelayTimeoutS = 3.0;        // the same
constexpr double kPartitionLeaseWaitS = 3.6;  // after a heartbeat came: the leader is taken for silent after 3 s
constexpr double kLookAgainS = 0.1;
constexpr double kRedirectWindowS = 12.0;       // an agent that is back sooner can't reach the leader
constexpr double kForwardWindowS = 30.0;        // then it is redirected once more
constexpr double kAnnouncedShareOfLease = 0.6;  // after a takeover: so long its token may come from a command

HttpReply redirect_to(std::string_view label) {
  return {421, redirect_body(label)};
}
}  // namespace

HttpReply HeartbeatHandler::handle_as_follower(Lock& lock, const Heartbeat& heartbeat, std::string_view body) {
  const double now = steady_now();
  if (shared_.known_leader.label.empty() || shared_.known_leader.label == shared_.config.settings.label) return redirect_to("");
  const bool relaying = shared_.config.options.relay_mode != RelayMode::off && relay_.is_in_use();
  if (relaying) {
    if (auto reply = try_relay(lock, heartbeat, now)) return *reply;
    if (shared_.role != Role::follower) return handle_as_leader(lock, heartbeat, Route::direct);
  }
  if (should_redirect(heartbeat, relaying, now)) return redirect_to(shared_.known_leader.label);
  if (auto reply = renew_in_partition(heartbeat)) return *reply;
  return forward(lock, body, now);
}

std::optional<HttpReply> HeartbeatHandler::try_relay(Lock& lock, const Heartbeat& heartbeat, double now) {
  if (const auto other = relay_.redirect_target()) return redirect_to(*other);
  if (auto reply = relay(lock, heartbeat)) return reply;
  if (shared_.role != Role::follower) return std::nullopt;
  return await_partition_lease(lock, heartbeat, now);
}

std::optional<HttpReply> HeartbeatHandler::relay(Lock& lock, const Heartbeat& heartbeat) {
  lock.unlock();
  const auto result = relay_.relay(heartbeat, kRelayTimeoutS);
  lock.lock();
  using Outcome = HeartbeatRelay::RelayResult::Outcome;
  const bool cut_off = result.outcome == Outcome::not_answered && relay_.is_cut_off();
  if (result.outcome == Outcome::not_supported || cut_off) return std::nullopt;
  // Under the lead that made it alone: from when a later one is confirmed nothing is answered under an older token.
  const bool stands =
      result.outcome == Outcome::answered && shared_.role == Role::follower && result.lead_number == shared_.known_leader.change_count;
  if (!stands || result.answer.outcome != HeartbeatAnswer::Outcome::renewed) return redirect_to("");
  ++metrics_.counters.relayed;
  HttpReply reply{200, heartbeat_response_body(result.fencing_token, result.answer.commands)};
  reply.evict_last = !heartbeat.tasks.empty();
  return reply;
}

// Cut off with its zone, the agent reaches the leader no more than this controller does. Redirected there all the same, 120 to
// 151 of some 400 lost their lease in a partition of 47 s.
std::optional<HttpReply> HeartbeatHandler::await_partition_lease(Lock& lock, const Heartbeat& heartbeat, double now) {
  const bool may_renew = heartbeat.zone == shared_.config.settings.site && shared_.partition_lease.is_unexpired(now);
  while (may_renew && relay_.is_cut_off() && shared_.role == Role::follower && steady_now() < now + kPartitionLeaseWaitS) {
    if (auto reply = renew_in_partition(heartbeat)) return reply;
    lock.unlock();
    std::this_thread::sleep_for(std::chrono::duration<double>(kLookAgainS));
    lock.lock();
  }
  return std::nullopt;
}

// Parted from the leader, as this agent is: all that this controller can do for it is to renew its lease.
std::optional<HttpReply> HeartbeatHandler::renew_in_partition(const Heartbeat& heartbeat) {
  const double now = steady_now();
  if (!may_renew_in_partition(shared_, heartbeat, now)) return std::nullopt;
  shared_.partition_lease.record_renewal(now);
  ++metrics_.counters.kept;
  return HttpReply{200, heartbeat_response_body(shared_.partition_lease.fencing_token(), {})};
}

// An agent that has seen a token of the present leader's was with it and left it, or comes back soon after it was redirected: it
// can't reach the leader. Redirected once more, it would wait there for its time limit again, and its lease could expire.
bool HeartbeatHandler::should_redirect(const Heartbeat& heartbeat, bool relaying, double now) {
  const auto& settings = shared_.config.settings;
  const KnownLeader& leader = shared_.known_leader;
  auto& redirect = shared_.redirects[heartbeat.node];
  // Shortly after a takeover the token more likely came with a command: the agent has not tried yet. Nor does it tell anything
  // where agents stay with any controller.
  const bool was_with_leader =
      !relaying && heartbeat.fencing_token >= leader.takeover_token && now - leader.known_since > kAnnouncedShareOfLease * settings.lease_s;
  const bool left_leader = was_with_leader || now - redirect.redirected_at < kRedirectWindowS;
  if (now < redirect.forward_until) return false;
  if (!left_leader || redirect.forward_until > 0) {
    redirect = {now, 0};
    return true;
  }
  redirect = {-1e9, now + kForwardWindowS};
  return false;
}

HttpReply HeartbeatHandler::forward(Lock& lock, std::string_view body, double asked_at) {
  FrameConnectionPool* pool = shared_.leader_pool();
  const std::string leader = shared_.known_leader.label;
  lock.unlock();
  if (!pool) return redirect_to("");
  const auto answer = pool->call(pack(PeerCall{"POST", "/v1/report", std::string(body)}), kForwardTimeoutS);
  auto reply = answer ? unpack_reply(*answer, asked_at) : std::nullopt;
  lock.lock();
  // Not if a later leader was confirmed meanwhile: nothing is answered under an older token from then on.
  if (reply && reply->status == 200 && shared_.known_leader.label == leader) return *reply;
  return redirect_to("");
}

}  // namespace thistlefront
