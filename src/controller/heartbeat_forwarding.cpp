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
// A heartbeat times out on the agent after 4 s, so the three time-outs below are shorter.
constexpr double kForwardTimeoutS = 2.5;
constexpr double kRelayTimeoutS = 3.0;
constexpr double kPartitionLeaseWaitS = 3.6;  // from the heartbeat's arrival; longer than the 3 s until the leader counts as silent
constexpr double kPartitionLeaseCheckPeriodS = 0.1;
constexpr double kRedirectWindowS = 12.0;  // an agent that returns within this time after a redirect can't reach the leader
constexpr double kForwardWindowS = 30.0;   // heartbeats of such an agent are forwarded this long before it is redirected again
// For this fraction of lease_s after a takeover, an agent may know the leader's fencing token only from a command.
constexpr double kCommandAnnouncementLeaseFraction = 0.6;

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
  if (const auto other = relay_.take_redirect_target()) return redirect_to(*other);
  if (auto reply = relay(lock, heartbeat)) return reply;
  if (shared_.role != Role::follower) return std::nullopt;
  return await_partition_lease(lock, heartbeat, now);
}

std::optional<HttpReply> HeartbeatHandler::relay(Lock& lock, const Heartbeat& heartbeat) {
  lock.unlock();
  const auto result = relay_.relay(heartbeat, kRelayTimeoutS);
  lock.lock();
  using Outcome = HeartbeatRelay::RelayResult::Outcome;
  const bool partitioned = result.outcome == Outcome::no_reply && relay_.is_partitioned();
  if (result.outcome == Outcome::not_supported || partitioned) return std::nullopt;
  // Valid only while the leader that replied is still the known one: once this controller has acknowledged a later leader, it sends no
  // reply under an older fencing token.
  const bool is_current = result.outcome == Outcome::replied && shared_.role == Role::follower &&
                          result.leader_change_count == shared_.known_leader.change_count;
  if (!is_current || result.reply.outcome != HeartbeatReply::Outcome::renewed) return redirect_to("");
  ++metrics_.counters.relayed_heartbeats;
  HttpReply reply{200, heartbeat_reply_body(result.fencing_token, result.reply.commands)};
  reply.evict_last = !heartbeat.tasks.empty();
  return reply;
}

// In a partitioned zone the agent can't reach the leader either. When agents were redirected to the leader nevertheless, 120 to 151 of
// about 400 lost their lease in a partition of 47 s.
std::optional<HttpReply> HeartbeatHandler::await_partition_lease(Lock& lock, const Heartbeat& heartbeat, double now) {
  const bool may_renew = heartbeat.zone == shared_.config.settings.site && shared_.partition_lease.is_unexpired(now);
  while (may_renew && relay_.is_partitioned() && shared_.role == Role::follower && steady_now() < now + kPartitionLeaseWaitS) {
    if (auto reply = renew_in_partition(heartbeat)) return reply;
    lock.unlock();
    std::this_thread::sleep_for(std::chrono::duration<double>(kPartitionLeaseCheckPeriodS));
    lock.lock();
  }
  return std::nullopt;
}

// This controller and the agent are both partitioned from the leader; all that this controller can do is to renew the agent's lease.
std::optional<HttpReply> HeartbeatHandler::renew_in_partition(const Heartbeat& heartbeat) {
  const double now = steady_now();
  if (!may_renew_in_partition(shared_, heartbeat, now)) return std::nullopt;
  shared_.partition_lease.record_renewal(now);
  ++metrics_.counters.partition_renewals;
  return HttpReply{200, heartbeat_reply_body(shared_.partition_lease.fencing_token(), {})};
}

// An agent counts as unable to reach the leader if it knows the leader's fencing token (it was connected to the leader and left), or if
// it returns soon after a redirect. If it were redirected again, it would wait for another time-out, and its lease could expire.
bool HeartbeatHandler::should_redirect(const Heartbeat& heartbeat, bool relaying, double now) {
  const auto& settings = shared_.config.settings;
  const KnownLeader& leader = shared_.known_leader;
  auto& redirect = shared_.redirects[heartbeat.node];
  // Shortly after a takeover the token proves nothing: it probably came with a command, and the agent has not tried to reach the leader
  // yet. Nor does it while heartbeats are relayed: the agent received it through this controller.
  const bool was_connected_to_leader = !relaying && heartbeat.fencing_token >= leader.takeover_token &&
                                       now - leader.known_since > kCommandAnnouncementLeaseFraction * settings.lease_s;
  const bool left_leader = was_connected_to_leader || now - redirect.redirected_at < kRedirectWindowS;
  if (now < redirect.forward_until) return false;
  if (!left_leader || redirect.forward_until > 0) {
    redirect = {now, 0};
    return true;
  }
  redirect = {-1e9, now + kForwardWindowS};
  return false;
}

HttpReply HeartbeatHandler::forward(Lock& lock, std::string_view body, double received_at) {
  FrameConnectionPool* pool = shared_.leader_pool();
  const std::string leader = shared_.known_leader.label;
  lock.unlock();
  if (!pool) return redirect_to("");
  const auto reply_frame = pool->call(pack(PeerCall{"POST", "/v1/report", std::string(body)}), kForwardTimeoutS);
  auto reply = reply_frame ? unpack_reply(*reply_frame, received_at) : std::nullopt;
  lock.lock();
  // Once this controller has acknowledged a later leader, it sends no reply under an older fencing token.
  if (reply && reply->status == 200 && shared_.known_leader.label == leader) return *reply;
  return redirect_to("");
}

}  // namespace thistlefront
