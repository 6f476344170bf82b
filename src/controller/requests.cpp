// Requests of users and workers, on the leader and on the controllers that forward to it.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "cluster_state/pending_summary.hpp"
#include "controller/controller.hpp"
#include "model/heartbeat.hpp"
#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "transport/clock.hpp"
#include "worker_control/reachability.hpp"

namespace thistlefront {

namespace {
constexpr double kCommitWait = 2.0;        // a submission not in the ledger by then is given up on
constexpr double kForwardTimeout = 1.8;    // users' polls wait 2 s
constexpr double kHeartbeatTimeout = 2.5;  // the worker itself waits 4 s
constexpr double kOutageGrace = 0.5;       // writes failing for longer: submissions are refused at once
constexpr std::size_t kMostQueued = 3000;  // records waiting for the ledger before submissions are turned away
constexpr double kSlowCommit = 0.1;
constexpr int kRetryAfter = 1;
constexpr double kLedgerWait = 1.0;          // a report waits for so long for the ledger to be read; the worker waits 4 s
constexpr double kPeerHeartbeatFresh = 2.0;  // four beats
constexpr double kLeaderlessGrace = 6.0;
constexpr double kBounceWindow = 12.0;
constexpr double kGreeted = 0.6;         // of a lease
constexpr double kForwardWindow = 30.0;  // then the worker is sent to the leader once more
constexpr double kHeardLately = 2.5;     // report periods
constexpr double kRelayTimeout = 3.0;    // the worker itself waits 4 s
constexpr double kKeepWithin = 3.6;      // seconds after a report came: the leader is taken for silent after 3 s
constexpr double kLookAgain = 0.1;
constexpr double kCommandsLost = 2.0;  // seconds without an answered command, though some were sent
constexpr double kCountPeriod = 1.0;   // seconds: how often the leader counts its own workers
constexpr const char* kUnavailable = "not available now";
}  // namespace

namespace {
HeartbeatCache& heartbeat_cache_of(std::any& session) {
  if (!session.has_value()) session.emplace<HeartbeatCache>();
  return std::any_cast<HeartbeatCache&>(session);
}
}  // namespace

HttpReply Controller::on_http(const HttpCall& call) {
  const UserRoute route = route_of(call.method, call.target);
  using Kind = UserRoute::Kind;
  switch (route.kind) {
    case Kind::unknown: return error_reply(404, "no such path");
    case Kind::wrong_method: return error_reply(405, "wrong method");
    case Kind::health: return health();
    case Kind::metrics: return metrics();
    case Kind::heartbeat: return on_heartbeat(call.body, &heartbeat_cache_of(call.session));
    default: break;
  }
  Lock lock(mutex_);
  if (role_ == Role::follower) return forward(lock, route, call);
  lock.unlock();
  return on_user(route, call.body);
}

Frame Controller::on_frame(const Frame& frame) {
  if (const auto peer_heartbeat = unpack_peer_heartbeat(frame)) {
    Lock lock(mutex_);
    if (peer_heartbeat->fencing_token >= known_token_) {
      last_peer_heartbeat_at_ = steady_now();
      // The same controller, and a later takeover: its process began anew and leads once more.
      const bool anew = peer_heartbeat->label == known_leader_ && known_takeover_token_ != UINT64_MAX &&
                        peer_heartbeat->takeover_token > known_takeover_token_;
      known_takeover_token_ = peer_heartbeat->takeover_token;
      if (anew && role_ == Role::follower) on_leader_change(true);
      if (role_ == Role::follower) partition_lease_.observe_leader(peer_heartbeat->takeover_token);
      if (role_ != Role::follower && peer_heartbeat->fencing_token > term_->fencing_token) {
        observe_leader(peer_heartbeat->fencing_token, peer_heartbeat->label);
        step_down(lock, "another leader has a higher epoch");
      }
      observe_leader(peer_heartbeat->fencing_token, peer_heartbeat->label);
    }
    const double now = steady_now();
    // Its own answer to an earlier beat, given back by the leader: what the leader knew then holds since before it was sent.
    if (role_ == Role::follower && peer_heartbeat->fencing_token == known_token_ && peer_heartbeat->label == known_leader_ &&
        peer_heartbeat->echoed_process == incarnation_) {
      unread_since_ = 0;  // it may decide, so it has read the ledger
      partition_lease_.grant(peer_heartbeat->fencing_token, static_cast<double>(peer_heartbeat->echoed_clock_ms) / 1000,
                             peer_heartbeat->oldest_cancellation_age_ms / 1000.0);
    }
    return pack(PeerHeartbeatAck{known_token_, known_leader_, incarnation_, static_cast<std::uint64_t>(now * 1000),
                                 static_cast<std::uint32_t>(std::max(0.0, now - partition_lease_.last_renewal()) * 1000)});
  }
  if (frame.kind == static_cast<std::uint8_t>(PeerKind::heartbeat_batch)) return on_heartbeat_batch(frame);
  if (const auto call = unpack_call(frame)) {
    // What an answer has left is counted from here, by the one that asked from before it did: so it is never more than it was, and
    // what the ledger took is not taken off it.
    const double received = steady_now();
    if (call->target == kSupportedVersionsTarget) return pack(HttpReply{200, pack(supported_versions_)}, steady_now());
    if (call->target == kRelaySupportTarget) return pack(accepts_batches(), received);
    if (call->target == kTeamQuotasTarget) return pack(HttpReply{200, pack(team_quotas_)}, steady_now());
    const UserRoute route = route_of(call->method, call->target);
    const auto reply = route.kind == UserRoute::Kind::heartbeat ? on_heartbeat(call->body, nullptr) : on_user(route, call->body);
    return pack(reply, received);
  }
  spdlog::error("malformed frame from a peer, kind {}", frame.kind);
  return pack(error_reply(400, "malformed frame"), steady_now());
}

HttpReply Controller::accepts_batches() {
  Lock lock(mutex_);
  if (role_ == Role::follower) return error_reply(503, kUnavailable, kRetryAfter);
  const bool needed = options_.relay_mode == RelayMode::automatic && term_->cluster_state &&
                      is_relay_needed(term_->cluster_state->node_count(), settings_.cpu, budget_.clients);
  if (options_.relay_mode == RelayMode::on || needed) term_->accepts_batches = true;
  if (term_->accepts_batches) return {200, "{}"};
  if (!term_->cluster_state) return error_reply(503, kUnavailable, kRetryAfter);
  return error_reply(404, "batches of reports are not taken");
}

HttpReply Controller::on_user(const UserRoute& route, std::string_view body) {
  Lock lock(mutex_);
  if (role_ != Role::leading) {
    ++counters_.unavailable;
    return error_reply(503, kUnavailable, kRetryAfter);
  }
  Answer answer = error_reply(404, "no such path");
  switch (route.kind) {
    case UserRoute::Kind::submit: answer = submit(lock, body); break;
    case UserRoute::Kind::status: answer = status(route.uid); break;
    case UserRoute::Kind::withdraw: answer = withdraw(lock, route.uid); break;
    default: return answer.reply;
  }
  HttpReply& reply = answer.reply;
  if (reply.status == 503) {
    ++counters_.unavailable;
    spdlog::debug("503: {}", may_decide() ? "the ledger can't take it now" : "leadership is uncertain");
  } else if (!answer.lasting) {
    // Outdated once another controller could lead: frozen on the way out, or held up on its way through a follower, it would come
    // after that one's answers, to a user who asks several nodes at once. No longer than any way to the user takes: whoever
    // leads next waits for that where this lead ends before its hold does.
    reply.valid_until = std::min(term_->valid_until, steady_now() + kAnswerLife);
    answers_valid_until_ = std::max(answers_valid_until_, reply.valid_until);
  }
  return reply;
}

FramePool* Controller::leader_pool() {
  for (auto& link : links_)
    if (link.peer.label == known_leader_) return link.calls.get();
  return nullptr;
}

HttpReply Controller::forward(Lock& lock, const UserRoute& route, const HttpCall& call) {
  const double began = steady_now();
  bool known = false;
  // All that users ask may be asked again: what a leader left unanswered goes to the next one, once, if time remains.
  for (int tries = 0; tries < 2; ++tries) {
    // Cut off from the leader: its users go elsewhere, and are not held until a call times out.
    if (began - last_peer_heartbeat_at_ > kPeerHeartbeatFresh && began - follower_since_ > kPeerHeartbeatFresh) break;
    FramePool* pool = leader_pool();
    const auto lead = leads_known_;
    const double asked = steady_now(), left = began + kForwardTimeout - asked;
    if (!pool || left <= 0) break;
    known = true;
    lock.unlock();
    const auto answer = pool->ask(pack(PeerCall{std::string(call.method), std::string(call.target), std::string(call.body)}), left);
    auto reply = answer ? unpack_reply(*answer, asked) : std::nullopt;
    if (answer && !reply) spdlog::error("malformed answer from the leader");
    if (reply && reply->status != 503) return *reply;
    lock.lock();
    if (role_ == Role::leading) {
      lock.unlock();
      return on_user(route, call.body);
    }
    if (leads_known_ == lead || known_leader_.empty()) {
      if (reply) return *reply;
      break;
    }
  }
  ++counters_.unavailable;
  spdlog::debug("503 after {:.0f} ms: {}", (steady_now() - began) * 1000, known ? "the leader does not answer" : "no leader is known");
  return error_reply(503, kUnavailable, kRetryAfter);
}

bool Controller::is_quota_changing_for(const JobSpec& s) const {
  const QuotaAccounts& quota_accounts = term_->cluster_state->quota_accounts();
  const TeamIndex t = quota_accounts.find(s.owner);
  // In this controller's settings, and not in the ledger yet.
  if (quota_accounts.agreed() && (!t.valid() || !quota_accounts.team(t).record)) return team_quotas_.contains(s.owner);
  if (!t.valid() || !quota_accounts.team(t).record || !quota_accounts.team(t).record->proposed) return false;
  return term_->cluster_state->rejection_reason(s).has_value();
}

Controller::Answer Controller::submit(Lock& lock, std::string_view body) {
  JobSpec s;
  std::string malformed;
  try {
    s = parse_submission(body);
  } catch (const ProtocolError& e) {
    malformed = e.what();
    s.uid = extract_uid(body);
  }
  ClusterState& cluster_state = *term_->cluster_state;
  const JobIndex known = s.uid.empty() ? JobIndex{} : cluster_state.find(s.uid);
  if (known.valid()) return answer_known(cluster_state.job(known), 200, false);
  if (!may_decide()) return error_reply(503, kUnavailable, kRetryAfter);
  std::uint64_t ticket = 0;
  if (auto it = accepting_.find(s.uid); it != accepting_.end()) {
    ticket = it->second;
  } else {
    if (!malformed.empty()) {
      ++counters_.refused;
      return error_reply(400, malformed);
    }
    // A refusal is for good: not while what it rests on is being changed.
    if (is_quota_changing_for(s)) return error_reply(503, "the terms of its team are being changed", kRetryAfter);
    if (cluster_state.machine_types().empty()) return error_reply(503, "machine types not known yet", kRetryAfter);
    if (const auto never = cluster_state.rejection_reason(s)) {
      ++counters_.refused;
      return error_reply(422, *never);
    }
    // A job that waits for others is never taken as if it waited for none: not before all controllers can read of it.
    if (!s.depends_on.empty()) {
      if (!has_dependencies(term_->ledger_writer.format_version()) || !has_dependencies(term_->format_version.writes()))
        return error_reply(503, "waitsOn: not switched on yet", kRetryAfter);
      if (std::any_of(s.depends_on.begin(), s.depends_on.end(), [&](const auto& n) { return accepting_.contains(n); }))
        return error_reply(503, "waitsOn: one of these is being accepted", kRetryAfter);
      if (const auto never = cluster_state.dependency_rejection_reason(s)) {
        ++counters_.refused;
        return error_reply(422, *never);
      }
    }
    // Kinds that no machine has can't be used; they would only make the record long.
    std::erase_if(s.machine_types, [&](const auto& k) { return !cluster_state.machine_type(cluster_state.find_machine_type(k)); });
    std::sort(s.machine_types.begin(), s.machine_types.end());
    s.machine_types.erase(std::unique(s.machine_types.begin(), s.machine_types.end()), s.machine_types.end());
    if (queue_.size() > kMostQueued) return error_reply(429, "overloaded", kRetryAfter);
    if (store_failing_since_ != 0 && steady_now() - store_failing_since_ > kOutageGrace) return error_reply(503, kUnavailable, kRetryAfter);
    const double random_draw = std::uniform_real_distribution<double>(0, 1)(random_);
    const std::string uid = s.uid;
    const JobAcceptedRecord accept{std::move(s), random_draw, cluster_state.next_acceptance_time(wall_now(), settings_.skew_ms / 1000)};
    if (!term_->ledger_writer.fits_in_entry(accept, entry_bytes())) {
      ++counters_.refused;
      return error_reply(422, "its description is too long to be stored");
    }
    std::vector<Record> records;
    records.emplace_back(accept);
    ticket = enqueue(std::move(records), CommitPriority::user_waiting);
    accepting_.emplace(uid, ticket);
    s.uid = uid;
  }
  const auto number = term_number_;
  const double asked = steady_now();
  if (!wait_applied(lock, ticket, kCommitWait) || term_number_ != number || !may_decide())
    return error_reply(503, kUnavailable, kRetryAfter);
  const double took = steady_now() - asked;
  accept_waits_.add(took);
  if (took > kSlowCommit) spdlog::debug("{}: accepted after {:.0f} ms", s.uid, took * 1000);
  ++counters_.accepted;
  const JobIndex j = term_->cluster_state->find(s.uid);
  return j.valid() ? answer_known(term_->cluster_state->job(j), 201, false) : error_reply(503, kUnavailable, kRetryAfter);
}

Controller::Answer Controller::answer_known(const Job& job, unsigned code, bool with_counts) {
  const auto running = job.ended() ? 0 : job.running();
  const JobStatus is = job.ended() ? job.status : running ? JobStatus::running : JobStatus::queued;
  HttpReply reply{code, with_counts ? status_body(job.uid, is, job.done, running) : acknowledgement_body(job.uid, is)};
  // What has ended stays ended, whoever leads by now.
  if (job.ended()) return may_confirm(job) ? Answer::for_good(std::move(reply)) : Answer(unconfirmed_cancellation());
  if (!may_decide()) return error_reply(503, kUnavailable, kRetryAfter);
  return reply;
}

// It is cancelled in the ledger. While too few controllers know of this lead, an earlier leader may keep its tasks alive for
// longer than cancel_s from now, so its user is told later.
HttpReply Controller::unconfirmed_cancellation() {
  ++counters_.unconfirmed_cancellation;
  return error_reply(503, "cancelled, not confirmed yet", kRetryAfter);
}

Controller::Answer Controller::status(const std::string& uid) {
  const ClusterState& cluster_state = *term_->cluster_state;
  if (const JobIndex j = cluster_state.find(uid); j.valid()) return answer_known(cluster_state.job(j), 200, true);
  if (!may_decide()) return error_reply(503, kUnavailable, kRetryAfter);
  return error_reply(404, "no such job");
}

Controller::Answer Controller::withdraw(Lock& lock, const std::string& uid) {
  JobIndex j = term_->cluster_state->find(uid);
  if (j.valid() && term_->cluster_state->job(j).ended()) return answer_known(term_->cluster_state->job(j), 200, false);
  if (!may_decide()) return error_reply(503, kUnavailable, kRetryAfter);
  if (!j.valid()) {
    // Its acceptance may be on its way into the ledger.
    if (accepting_.contains(uid)) return error_reply(503, kUnavailable, kRetryAfter);
    return error_reply(404, "no such job");
  }
  if (store_failing_since_ != 0 && steady_now() - store_failing_since_ > kOutageGrace) return error_reply(503, kUnavailable, kRetryAfter);
  std::vector<Record> records;
  records.emplace_back(JobCancelledRecord{uid});
  const auto ticket = enqueue(std::move(records), CommitPriority::user_waiting);
  if (!wait_applied(lock, ticket, kCommitWait) || !may_decide()) return error_reply(503, kUnavailable, kRetryAfter);
  const Job& job = term_->cluster_state->job(j);
  enqueue_commands_for_job(job);
  return answer_known(job, 200, false);
}

HttpReply Controller::on_heartbeat(std::string_view body, HeartbeatCache* heartbeat_cache) {
  const bool forwarded = heartbeat_cache == nullptr;
  HeartbeatCache unremembered;
  const Heartbeat* read = nullptr;
  try {
    read = &(forwarded ? unremembered : *heartbeat_cache).read(body);
  } catch (const ProtocolError& e) {
    spdlog::error("malformed report: {}", e.what());
    return error_reply(400, e.what());
  }
  const Heartbeat& heartbeat = *read;
  if (heartbeat.repeated_serial) ++counters_.repeated_heartbeats;
  Lock lock(mutex_);
  if (role_ == Role::follower) return handle_heartbeat_as_follower(lock, heartbeat, body, forwarded);
  return handle_heartbeat_as_leader(lock, heartbeat, forwarded ? HeartbeatRoute::forwarded : HeartbeatRoute::direct);
}

HttpReply Controller::handle_heartbeat_as_follower(Lock& lock, const Heartbeat& heartbeat, std::string_view body, bool forwarded) {
  const double now = steady_now();
  if (forwarded || known_leader_.empty() || known_leader_ == settings_.label) return {421, redirect_body("")};
  // Parted from the leader by a cut, as this worker is: all it can do for it is to keep its lease (lienzo fleet, zone: the
  // leases of some 400 machines lapsed in a cut of 47 s).
  const auto keep = [&]() -> std::optional<HttpReply> {
    const double at = steady_now();
    if (!keeps(heartbeat, at)) return std::nullopt;
    partition_lease_.record_renewal(at);
    ++counters_.kept;
    return HttpReply{200, heartbeat_response_body(partition_lease_.fencing_token(), {})};
  };
  const bool by_intake = options_.relay_mode != RelayMode::off && heartbeat_relay_.is_in_use();
  if (by_intake) {
    if (const auto other = heartbeat_relay_.redirect_target()) return {421, redirect_body(*other)};
    if (auto reply = relay_heartbeat(lock, heartbeat)) return *reply;
    if (role_ != Role::follower) return handle_heartbeat_as_leader(lock, heartbeat, HeartbeatRoute::direct);
    // Cut off with its zone, this worker reaches the leader no more than this controller does. Sent there all the same, 120 to 151
    // of some 400 lost their lease in a cut of 47 s (lienzo fleet, zone).
    const bool may_keep = heartbeat.zone == settings_.site && partition_lease_.is_granted(now);
    while (may_keep && heartbeat_relay_.is_cut_off() && role_ == Role::follower && steady_now() < now + kKeepWithin) {
      if (auto reply = keep()) return *reply;
      lock.unlock();
      std::this_thread::sleep_for(std::chrono::duration<double>(kLookAgain));
      lock.lock();
    }
    if (role_ != Role::follower) return handle_heartbeat_as_leader(lock, heartbeat, HeartbeatRoute::direct);
  }
  // A worker that has seen an epoch of the present leader's was with it and left it, or comes back soon after it was
  // sent there: it can't reach the leader. Sent back once more, it would wait there for its time limit again, and
  // its lease could run out on the way.
  auto& redirect = redirects_[heartbeat.node];
  // Shortly after a takeover it was more likely greeted by a command: it has not tried yet.
  // Nor does its epoch tell where workers stay with any controller.
  const bool was_there =
      !by_intake && heartbeat.fencing_token >= known_takeover_token_ && now - leader_since_ > kGreeted * settings_.lease_s;
  const bool left_leader = was_there || now - redirect.redirected_at < kBounceWindow;
  if (now >= redirect.forward_until) {
    if (!left_leader || redirect.forward_until > 0) {
      redirect = {now, 0};
      return {421, redirect_body(known_leader_)};
    }
    redirect = {-1e9, now + kForwardWindow};
  }
  if (auto reply = keep()) return *reply;
  FramePool* pool = leader_pool();
  const std::string redirect_target = known_leader_;
  lock.unlock();
  if (pool) {
    const auto answer = pool->ask(pack(PeerCall{"POST", "/v1/report", std::string(body)}), kHeartbeatTimeout);
    auto reply = answer ? unpack_reply(*answer, now) : std::nullopt;
    lock.lock();
    // Not if a later leader was confirmed meanwhile: nothing is answered under an older epoch from then on.
    if (reply && reply->status == 200 && known_leader_ == redirect_target) return *reply;
  }
  return {421, redirect_body("")};
}

std::optional<HttpReply> Controller::relay_heartbeat(Lock& lock, const Heartbeat& heartbeat) {
  lock.unlock();
  const auto relay_result = heartbeat_relay_.relay(heartbeat, kRelayTimeout);
  lock.lock();
  using Outcome = HeartbeatRelay::RelayResult::Outcome;
  const bool cut_off = relay_result.outcome == Outcome::not_answered && heartbeat_relay_.is_cut_off();
  if (relay_result.outcome == Outcome::not_supported || cut_off) return std::nullopt;
  // Under the lead that made it alone: from when a later one is confirmed nothing is answered under an older epoch.
  const bool stands = relay_result.outcome == Outcome::answered && role_ == Role::follower && relay_result.lead_number == leads_known_;
  if (!stands || relay_result.answer.outcome != HeartbeatAnswer::Outcome::renewed) return HttpReply{421, redirect_body("")};
  ++counters_.relayed;
  HttpReply reply{200, heartbeat_response_body(relay_result.fencing_token, relay_result.answer.commands)};
  reply.evict_last = !heartbeat.tasks.empty();
  return reply;
}

HttpReply Controller::handle_heartbeat_as_leader(Lock& lock, const Heartbeat& heartbeat, HeartbeatRoute way) {
  if (!term_->cluster_state && way == HeartbeatRoute::direct && unread_since_ == 0) await_ledger(lock);
  if (role_ == Role::follower) return {421, redirect_body("")};
  if (term_->accepts_batches && way == HeartbeatRoute::direct && may_decide()) {
    const double now = steady_now();
    if (const auto other = term_->balancer.redirect_from_leader(own_workers(now), now)) return {421, redirect_body(*other)};
  }
  const auto answer = answer_heartbeat(lock, heartbeat, way);
  if (answer.outcome != HeartbeatAnswer::Outcome::renewed) return {421, redirect_body("")};
  HttpReply reply{200, heartbeat_response_body(term_->fencing_token, answer.commands)};
  reply.evict_last = !heartbeat.tasks.empty();
  return reply;
}

std::size_t Controller::own_workers(double now) {
  if (now - term_->own_workers_at < kCountPeriod) return term_->own_workers;
  term_->own_workers_at = now;
  const auto known = measure_reachability(*term_->cluster_state, now, kHeardLately * settings_.heartbeat_interval_s).recent;
  const auto at_intakes = term_->balancer.workers_at_relays(now);
  term_->own_workers = known > at_intakes ? known - at_intakes : 0;
  return term_->own_workers;
}

HeartbeatAnswer Controller::answer_heartbeat(Lock& lock, const Heartbeat& heartbeat, HeartbeatRoute way) {
  const HeartbeatAnswer refused{HeartbeatAnswer::Outcome::refused, {}};
  const bool by_peer = way != HeartbeatRoute::direct;
  if (heartbeat.fencing_token > term_->fencing_token) {
    // The worker has seen a later leader.
    step_down(lock, "a worker knows of a higher epoch");
    known_token_ = heartbeat.fencing_token;
    known_leader_.clear();
    return refused;
  }
  const double now = steady_now();
  // Without the ledger for long, it answers workers without tasks for so long only.
  const double span = max_partition_lease_s(settings_.cancel_s, settings_.lease_s);
  if (!term_->cluster_state && unread_since_ != 0 && now - unread_since_ > span) return refused;
  const LeadershipEvidence stands = leadership_evidence(heartbeat, now);
  const auto answer = decide_lease_renewal(stands, !heartbeat.tasks.empty());
  if (answer == LeaseRenewal::refuse || (by_peer && !stands.lease_valid && !stands.has_quorum)) return refused;
  if (!stands.lease_valid && !stands.has_quorum) {
    partition_lease_.record_renewal(now);
    ++counters_.kept;
  }
  ++counters_.heartbeats;
  HeartbeatAnswer out{HeartbeatAnswer::Outcome::renewed, {}};
  if (!term_->cluster_state) {
    early_answers_[heartbeat.node] = now;
    return out;
  }
  ClusterState& cluster_state = *term_->cluster_state;
  const bool stale = !apply_message(heartbeat, true);
  const NodeIndex h = cluster_state.find_or_add_node(heartbeat.node);
  Node& node = cluster_state.node(h);
  if (has_late_start_of_cancelled_job(cluster_state, node, now, span)) return refused;
  record_lease_renewal(node, stale, now);
  // A worker that stays with a peer has not tried to reach this controller: what is known is whether commands reach it.
  const double failing = term_->commands_failing_since;
  const bool commands_reach = !node.commands.failing && (failing == 0 || now - failing < kCommandsLost);
  const bool reaches = way == HeartbeatRoute::direct || (way == HeartbeatRoute::relayed && commands_reach);
  if (reaches && !stale) node.agent.last_direct_contact_at = now;
  const bool newest = node.agent.incarnation == heartbeat.agent_incarnation && node.agent.serial == heartbeat.serial;
  // Each answer that renews a lease carries the kills of what is cancelled, also one to a report that another overtook.
  out.commands = newest ? due_commands(h) : kills_for_cancelled_jobs(cluster_state, h);
  record_commands_sent(node, heartbeat.serial, out.commands);
  if (!may_decide()) {
    ++counters_.answered_in_doubt;
    counters_.kills_in_doubt += out.commands.size();
  }
  return out;
}

Frame Controller::on_heartbeat_batch(const Frame& frame) {
  const auto batch = unpack_heartbeat_batch(frame);
  if (!batch) {
    spdlog::error("malformed batch of reports from a peer, {} bytes", frame.payload.size());
    return pack(error_reply(400, "malformed batch"), steady_now());
  }
  Lock lock(mutex_);
  HeartbeatBatchAnswer out;
  // Of another lead, or of none: its sender looks again who leads.
  if (role_ == Role::follower || !term_->accepts_batches || batch->takeover_token != term_->takeover_token) return pack(out);
  out.takeover_token = batch->takeover_token;
  out.fencing_token = term_->fencing_token;
  const double now = steady_now();
  term_->balancer.record_worker_count(batch->sender, batch->worker_count, now);
  if (may_decide()) {
    const auto away = term_->balancer.redirect_from_relay(batch->sender, now);
    out.redirect_count = away.count;
    out.redirect_target = away.target;
  }
  const bool reads_ledger = !term_->cluster_state && unread_since_ == 0;
  for (const HeartbeatDelta& delta : batch->heartbeats) {
    if (role_ == Role::follower) {
      out.answers.push_back({HeartbeatAnswer::Outcome::refused, {}});
    } else if (reads_ledger) {
      out.answers.push_back({HeartbeatAnswer::Outcome::retry_later, {}});
    } else if (const Heartbeat* heartbeat = term_->relayed_heartbeats.decode(delta)) {
      out.answers.push_back(answer_heartbeat(lock, *heartbeat, HeartbeatRoute::relayed));
    } else {
      out.answers.push_back({HeartbeatAnswer::Outcome::full_required, {}});
    }
  }
  return pack(out);
}

void Controller::await_ledger(Lock& lock) {
  const auto number = term_number_;
  applied_.wait_for(lock, std::chrono::duration<double>(kLedgerWait),
                    [&] { return term_number_ != number || term_->cluster_state || term_->hand_over; });
}

HttpReply Controller::health() {
  Lock lock(mutex_);
  const double now = steady_now();
  // Able to take requests: leading, or hearing from the leader, or waiting a short while for a new one.
  const bool supported_versions =
      role_ != Role::follower || now - last_peer_heartbeat_at_ < kPeerHeartbeatFresh || now - follower_since_ < kLeaderlessGrace;
  if (supported_versions) return {200, "{}"};
  return error_reply(503, "no leader is reached", kRetryAfter);
}

HttpReply Controller::metrics() {
  Lock lock(mutex_);
  std::string out;
  const auto line = [&](const char* name, auto value) { out += "thistlefront_" + std::string(name) + " " + std::to_string(value) + "\n"; };
  line("leading", role_ == Role::leading ? 1 : 0);
  line("epoch", known_token_);
  line("state_level", term_ ? term_->format_version.format_version : 0);  // on the leader alone
  line("state_level_writes", term_ ? term_->format_version.writes() : 0);
  line("state_level_most", supported_versions_.most);
  if (!version_blocked_by_.empty()) out += "thistlefront_state_level_waits_for{reason=\"" + version_blocked_by_ + "\"} 1\n";
  line("ledger_unread_seconds", unread_since_ != 0 ? steady_now() - unread_since_ : 0.0);
  line("accepted_total", counters_.accepted.load());
  line("refused_total", counters_.refused.load());
  line("unavailable_total", counters_.unavailable.load());
  line("started_total", counters_.started.load());
  line("finished_total", counters_.finished.load());
  line("preempted_total", counters_.preempted.load());
  line("passes_total", counters_.passes.load());
  line("pass_seconds_total", counters_.pass_seconds.load());
  line("pass_processor_seconds_total", counters_.pass_processor_seconds.load());
  line("commits_total", counters_.commits.load());
  line("commit_seconds_total", counters_.commit_seconds.load());
  line("writes_total", counters_.writes.load());
  line("writes_allowed_per_second", write_limiter_.rate());
  line("start_stalled_seconds", start_stall_detector_.stalled_for(steady_now()));
  line("reports_total", counters_.heartbeats.load());
  line("reports_repeated_total", counters_.repeated_heartbeats.load());
  line("reports_passed_on_total", counters_.relayed.load());
  const auto backlog = heartbeat_relay_.backlog();
  line("intake_waiting", backlog.heartbeats);
  line("intake_oldest_seconds", backlog.oldest_s);
  line("suspected_jobs_total", counters_.suspected.load());
  line("machines_set_aside_total", counters_.cordoned.load());
  line("machines_deaf_total", counters_.unresponsive.load());
  line("handed_over_total", counters_.handed_over.load());
  line("kept_in_cuts_total", counters_.kept.load());
  line("answered_in_doubt_total", counters_.answered_in_doubt.load());
  line("kills_in_doubt_total", counters_.kills_in_doubt.load());
  line("cancellations_not_confirmed_total", counters_.unconfirmed_cancellation.load());
  line("ledger_queue", queue_.size());
  if (term_ && term_->cluster_state) {
    const auto p = term_->cluster_state->dependency_graph().counts();
    line("jobs_waiting_for_others", p.blocked);
    line("jobs_made_ready_total", p.eligible);
    line("jobs_cancelled_through_another_total", p.cancelled);
  }
  line("renewals_late_seconds", lag_.load());
  line("threads_budget", budget_.threads);
  line("client_connections", http_server_->connections());
  line("client_connections_most", budget_.clients);
  line("peer_connections", frame_server_->connections());
  line("peer_connections_most", budget_.peers);
  line("senders", senders_.size());
  line("senders_busy", senders_.size() - std::min(senders_.size(), idle_senders_));
  line("senders_most", budget_.senders);
  line("worker_connections", worker_connections_.size());
  line("worker_connections_most", budget_.worker_connections);
  line("workers_due", command_queue_.size());
  if (term_ && term_->cluster_state) {
    std::uint64_t waiting = 0, placed = 0;
    for (JobIndex j : term_->cluster_state->live()) {
      waiting += term_->cluster_state->job(j).pending;
      placed += term_->cluster_state->job(j).placed.size();
    }
    line("live_jobs", term_->cluster_state->live().size());
    line("waiting_tasks", waiting);
    line("placed_tasks", placed);
    for (const auto& w : summarize_pending(*term_->cluster_state, wall_now())) {
      const std::string of = "{team=\"" + w.team + "\",class=\"" + w.job_class + "\",for=\"" + name_of(w.reason) + "\"}";
      line(("waiting_tasks_by" + of).c_str(), w.tasks);
      line(("unstarted_seconds" + of).c_str(), w.unstarted_s);
    }
    for (const auto& t : term_->cluster_state->teams()) {
      const std::string of = "{team=\"" + t.name + "\"}";
      line(("team_cores_used" + of).c_str(), t.used.cores);
      line(("team_cores_unplaced" + of).c_str(), t.unplaced.cores);
      line(("team_cores_limit" + of).c_str(), t.limit.cores);
      line(("team_accelerators_used" + of).c_str(), t.used.accelerators);
      line(("team_accelerators_limit" + of).c_str(), t.limit.accelerators);
    }
    line("accounts_amiss_total", counters_.mismatched_accounts.load());
  }
  for (const auto& [key, f] : service_levels_.counts()) {
    const auto service_level = [&](const std::string& name, const char* what, auto value) {
      line((name + "{team=\"" + key.first + "\",class=\"" + key.second + "\",what=\"" + what + "\"}").c_str(), value);
    };
    service_level("served_jobs_total", "accepted", f.accepted);
    service_level("served_jobs_total", "started", f.started);
    service_level("served_jobs_total", "done", f.done);
    service_level("served_jobs_total", "due", f.due);
    service_level("served_jobs_total", "in_time", f.in_time);
    service_level("served_jobs_total", "largest_started", f.largest);
    service_level("served_jobs_total", "largest_started_within_240s", f.largest_in_time);
    service_level("served_jobs_total", "withdrawn_unstarted", f.withdrawn_unstarted);
    if (f.replica_s == 0) continue;
    service_level("served_replica_seconds_total", "asked", f.replica_s);
    service_level("served_replica_seconds_total", "up", f.replica_up_s);
  }
  accept_waits_.print(out, "thistlefront_accept_seconds", "");
  guarantee_waits_.print(out, "thistlefront_guarantee_wait_seconds", "");
  pass_times_.print(out, "thistlefront_pass_seconds", "");
  for (const auto& [job_class, waits] : start_waits_) waits.print(out, "thistlefront_start_wait_seconds", "class=\"" + job_class + "\"");
  HttpReply reply{200, std::move(out)};
  reply.type = "text/plain; version=0.0.4";
  return reply;
}

}  // namespace thistlefront
