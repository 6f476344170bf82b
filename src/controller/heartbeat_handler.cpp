#include "controller/heartbeat_handler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/leadership_conditions.hpp"
#include "controller/user_reply.hpp"
#include "heartbeat_relay/relay_mode.hpp"
#include "protocol/messages.hpp"
#include "protocol/peer_messages.hpp"
#include "transport/clock.hpp"
#include "worker_control/reachability.hpp"
#include "worker_control/reconciliation.hpp"

namespace thistlefront {

namespace {
constexpr double kLedgerWaitS = 1.0;             // below the 4 s after which a heartbeat times out on the agent
constexpr double kCommandsLostAfterS = 2.0;      // if commands are sent but none is replied to for this long, they do not reach agents
constexpr double kCountPeriodS = 1.0;            // between counts of the agents that are connected directly
constexpr double kRecentHeartbeatPeriods = 2.5;  // heartbeat intervals within which a received heartbeat is recent

HttpReply redirect_to(std::string_view label) {
  return {421, redirect_body(label)};
}

HttpReply refuse() {
  return redirect_to("");
}
}  // namespace

HeartbeatHandler::HeartbeatHandler(SharedState& shared, CommitQueue& commit_queue, AgentMessages& agent_messages, HeartbeatRelay& relay,
                                   ControllerMetrics& metrics)
    : shared_(shared), commit_queue_(commit_queue), agent_messages_(agent_messages), relay_(relay), metrics_(metrics) {}

HttpReply HeartbeatHandler::handle(std::string_view body, HeartbeatCache& cache) {
  const Heartbeat* heartbeat = nullptr;
  try {
    heartbeat = &cache.read(body);
  } catch (const ProtocolError& e) {
    spdlog::error("heartbeat: malformed: {}", e.what());
    return error_reply(400, e.what());
  }
  if (heartbeat->repeated_serial) ++metrics_.counters.repeated_heartbeats;
  Lock lock(shared_.mutex);
  if (shared_.role == Role::follower) return handle_as_follower(lock, *heartbeat, body);
  return handle_as_leader(lock, *heartbeat, Route::direct);
}

HttpReply HeartbeatHandler::handle_forwarded(std::string_view body) {
  Heartbeat heartbeat;
  try {
    heartbeat = parse_heartbeat(body);
  } catch (const ProtocolError& e) {
    spdlog::error("heartbeat: malformed: {}", e.what());
    return error_reply(400, e.what());
  }
  Lock lock(shared_.mutex);
  if (shared_.role == Role::follower) return refuse();
  return handle_as_leader(lock, heartbeat, Route::forwarded);
}

HttpReply HeartbeatHandler::reply_to_batch_support_query() {
  Lock lock(shared_.mutex);
  if (shared_.role == Role::follower) return unavailable_reply();
  Term& term = *shared_.term;
  const auto& config = shared_.config;
  const bool needed = config.options.relay_mode == RelayMode::automatic && term.cluster_state &&
                      is_relay_needed(term.cluster_state->node_count(), config.settings.cpu, config.budget.client_connections);
  if (config.options.relay_mode == RelayMode::on || needed) term.accepts_heartbeat_batches = true;
  if (term.accepts_heartbeat_batches) return {200, "{}"};
  if (!term.cluster_state) return unavailable_reply();
  return error_reply(404, "batches of reports are not taken");
}

HttpReply HeartbeatHandler::handle_as_leader(Lock& lock, const Heartbeat& heartbeat, Route route) {
  if (!shared_.term->cluster_state && route == Route::direct && shared_.ledger_unreadable_since == 0) await_ledger(lock);
  if (shared_.role == Role::follower) return refuse();
  if (shared_.term->accepts_heartbeat_batches && route == Route::direct && shared_.may_decide()) {
    const double now = steady_now();
    if (const auto other = shared_.term->balancer.redirect_from_leader(count_direct_agents(now), now)) return redirect_to(*other);
  }
  const auto heartbeat_reply = reply_to_heartbeat(lock, heartbeat, route);
  if (heartbeat_reply.outcome != HeartbeatReply::Outcome::renewed) return refuse();
  HttpReply reply{200, heartbeat_reply_body(shared_.term->fencing_token, heartbeat_reply.commands)};
  reply.evict_last = !heartbeat.tasks.empty();
  return reply;
}

void HeartbeatHandler::await_ledger(Lock& lock) {
  const auto term = shared_.term_number;
  commit_queue_.wait_for_progress(lock, kLedgerWaitS,
                                  [&] { return !shared_.is_term(term) || shared_.term->cluster_state || shared_.term->hand_over_reason; });
}

std::size_t HeartbeatHandler::count_direct_agents(double now) {
  Term& term = *shared_.term;
  if (now - term.direct_agents_counted_at < kCountPeriodS) return term.direct_agent_count;
  term.direct_agents_counted_at = now;
  const double recent_s = kRecentHeartbeatPeriods * shared_.config.settings.heartbeat_interval_s;
  const auto recent = measure_reachability(*term.cluster_state, now, recent_s).recent_nodes;
  const auto at_relays = term.balancer.count_agents_at_relays(now);
  term.direct_agent_count = recent > at_relays ? recent - at_relays : 0;
  return term.direct_agent_count;
}

HeartbeatReply HeartbeatHandler::reply_to_heartbeat(const Lock& lock, const Heartbeat& heartbeat, Route route) {
  HeartbeatReply refused{HeartbeatReply::Outcome::refused, {}};
  if (heartbeat.fencing_token > shared_.term->fencing_token) {
    // The agent has received a reply or a command from a later leader.
    shared_.step_down(lock, "a worker reports a higher fencing token");
    shared_.known_leader.fencing_token = heartbeat.fencing_token;
    shared_.known_leader.label.clear();
    return refused;
  }
  const double now = steady_now();
  const auto& settings = shared_.config.settings;
  const bool ledger_read = shared_.term->cluster_state != nullptr;
  // A leader that can't read the ledger renews leases for a limited time only, also those of agents without tasks.
  const double unreadable_since = shared_.ledger_unreadable_since;
  const double max_renewal_s = max_partition_lease_s(settings.cancel_s, settings.lease_s);
  if (!ledger_read && unreadable_since != 0 && now - unreadable_since > max_renewal_s) return refused;
  const LeadershipEvidence evidence = leadership_evidence(shared_, heartbeat, now);
  const bool certain_or_quorum = evidence.session_lease_valid || evidence.has_quorum;
  if (decide_lease_renewal(evidence, !heartbeat.tasks.empty()) == LeaseRenewal::refuse) return refused;
  if (route != Route::direct && !certain_or_quorum) return refused;
  if (!certain_or_quorum) {
    shared_.partition_lease.record_renewal(now);
    ++metrics_.counters.partition_renewals;
  }
  ++metrics_.counters.heartbeats;
  if (!ledger_read) {
    shared_.term->early_reply_times[heartbeat.node] = now;
    return {HeartbeatReply::Outcome::renewed, {}};
  }
  return reply_with_commands(heartbeat, route, now);
}

HeartbeatReply HeartbeatHandler::reply_with_commands(const Heartbeat& heartbeat, Route route, double now) {
  ClusterState& cluster_state = *shared_.term->cluster_state;
  const auto& settings = shared_.config.settings;
  const bool stale = !agent_messages_.apply(heartbeat, MessageKind::heartbeat);
  const NodeIndex index = cluster_state.find_or_add_node(heartbeat.node);
  Node& node = cluster_state.node(index);
  if (may_still_start_cancelled_job(cluster_state, node, now, max_partition_lease_s(settings.cancel_s, settings.lease_s)))
    return {HeartbeatReply::Outcome::refused, {}};
  record_lease_renewal(node, stale, now);
  record_direct_contact(node, route, stale, now);
  HeartbeatReply out{HeartbeatReply::Outcome::renewed, {}};
  // Each reply that renews a lease carries the kills of cancelled jobs, even if a newer heartbeat has overtaken this one.
  const bool newest = node.agent.incarnation == heartbeat.agent_incarnation && node.agent.serial == heartbeat.serial;
  out.commands = newest ? agent_messages_.due_commands(index) : kills_for_cancelled_jobs(cluster_state, index);
  record_commands_sent(node, heartbeat.serial, out.commands);
  if (!shared_.may_decide()) {
    ++metrics_.counters.replied_while_uncertain;
    metrics_.counters.kills_while_uncertain += out.commands.size();
  }
  return out;
}

// An agent whose heartbeats are relayed has not tried to reach this controller. It counts as in direct contact while commands reach it.
void HeartbeatHandler::record_direct_contact(Node& node, Route route, bool stale, double now) const {
  const double failing_since = shared_.term->commands_failing_since;
  const bool commands_arrive = !node.commands.last_command_failed && (failing_since == 0 || now - failing_since < kCommandsLostAfterS);
  const bool reachable = route == Route::direct || (route == Route::relayed && commands_arrive);
  if (reachable && !stale) node.agent.last_direct_contact_at = now;
}

Frame HeartbeatHandler::handle_batch(const Frame& frame) {
  const auto batch = unpack_heartbeat_batch(frame);
  if (!batch) {
    spdlog::error("heartbeat relay: malformed batch from a peer, {} bytes", frame.payload.size());
    return pack(error_reply(400, "malformed batch"), steady_now());
  }
  Lock lock(shared_.mutex);
  HeartbeatBatchReply out;
  // Replies with takeover token 0 if the batch is meant for another term; the sender then looks up the leader again.
  if (shared_.role == Role::follower) return pack(out);
  Term& term = *shared_.term;
  if (!term.accepts_heartbeat_batches || batch->takeover_token != term.takeover_token) return pack(out);
  out.takeover_token = batch->takeover_token;
  out.fencing_token = term.fencing_token;
  const double now = steady_now();
  term.balancer.record_agent_count(batch->sender, batch->agent_count, now);
  if (shared_.may_decide()) {
    const auto redirection = term.balancer.redirect_from_relay(batch->sender, now);
    out.redirect_count = redirection.count;
    out.redirect_target = redirection.target;
  }
  const bool is_reading_ledger = !term.cluster_state && shared_.ledger_unreadable_since == 0;
  for (const HeartbeatDelta& delta : batch->heartbeats) out.replies.push_back(reply_to_batched(lock, delta, is_reading_ledger));
  return pack(out);
}

HeartbeatReply HeartbeatHandler::reply_to_batched(const Lock& lock, const HeartbeatDelta& delta, bool is_reading_ledger) {
  using Outcome = HeartbeatReply::Outcome;
  if (shared_.role == Role::follower) return {Outcome::refused, {}};
  if (is_reading_ledger) return {Outcome::retry_later, {}};
  const Heartbeat* heartbeat = shared_.term->relayed_heartbeats.decode(delta);
  return heartbeat ? reply_to_heartbeat(lock, *heartbeat, Route::relayed) : HeartbeatReply{Outcome::full_required, {}};
}

}  // namespace thistlefront
