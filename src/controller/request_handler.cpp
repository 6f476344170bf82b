#include "controller/request_handler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/leadership_conditions.hpp"
#include "protocol/peer_messages.hpp"
#include "transport/clock.hpp"

namespace thistlefront {

namespace {
constexpr double kCommitWaitS = 2.0;      // a change not in the ledger by then is replied to with 503
constexpr double kForwardTimeoutS = 1.8;  // below the 2 s after which users' polls time out
constexpr int kMaxForwardAttempts = 2;
constexpr double kMaxCommitFailureS = 0.5;         // if commits fail for longer, changes are rejected with 503 at once
constexpr std::size_t kMaxQueuedRecords = 3000;    // with more records waiting for the ledger, submissions are rejected with 429
constexpr double kSlowCommitS = 0.1;               // slower commits are logged at debug level
constexpr double kMaxLeaderSilenceS = 2.0;         // four heartbeat intervals of the leader
constexpr double kMaxHealthyWithoutLeaderS = 6.0;  // a controller without a leader counts as healthy this long
}  // namespace

RequestHandler::RequestHandler(SharedState& shared, CommitQueue& commit_queue, CommandSender& commands, ControllerMetrics& metrics)
    : shared_(shared), commit_queue_(commit_queue), commands_(commands), metrics_(metrics) {}

HttpReply RequestHandler::handle(const UserRoute& route, const HttpCall& call) {
  Lock lock(shared_.mutex);
  if (shared_.role == Role::follower) return forward(lock, route, call);
  lock.unlock();
  return reply_locally(route, call.body);
}

HttpReply RequestHandler::reply_locally(const UserRoute& route, std::string_view body) {
  Lock lock(shared_.mutex);
  if (shared_.role != Role::leading) {
    ++metrics_.counters.unavailable;
    return unavailable_reply();
  }
  UserReply user_reply = error_reply(404, "no such path");
  switch (route.kind) {
    case UserRoute::Kind::submit: user_reply = submit(lock, body); break;
    case UserRoute::Kind::status: user_reply = poll(route.uid); break;
    case UserRoute::Kind::cancel: user_reply = cancel(lock, route.uid); break;
    default: return user_reply.reply;
  }
  HttpReply& reply = user_reply.reply;
  if (reply.status == 503) {
    ++metrics_.counters.unavailable;
    spdlog::debug("request: answered 503, {}", shared_.may_decide() ? "ledger not writable" : "leadership uncertain");
  } else if (!user_reply.is_final) {
    // The reply is valid only until another controller could lead. If it were delivered later, a user who asks several controllers could
    // receive it after a newer reply of that controller. kReplyLifetimeS is a second bound, because a leader that gives up its lease early
    // first waits until all its replies have expired.
    reply.valid_until = std::min(shared_.term->session_lease_valid_until, steady_now() + kReplyLifetimeS);
    shared_.replies_valid_until = std::max(shared_.replies_valid_until, reply.valid_until);
  }
  return reply;
}

HttpReply RequestHandler::health() const {
  Lock lock(shared_.mutex);
  const double now = steady_now();
  const bool can_serve = shared_.role != Role::follower || now - shared_.known_leader.last_heartbeat_at < kMaxLeaderSilenceS ||
                         now - shared_.follower_since < kMaxHealthyWithoutLeaderS;
  if (can_serve) return {200, "{}"};
  return unavailable_reply("no leader is reached");
}

HttpReply RequestHandler::forward(Lock& lock, const UserRoute& route, const HttpCall& call) {
  const double began = steady_now();
  bool sent = false;
  // All users' requests are safe to repeat: one that a leader did not reply to is sent once more, to the next leader, if time remains.
  for (int attempts = 0; attempts < kMaxForwardAttempts; ++attempts) {
    // Partitioned from the leader: fails at once instead of after a time-out, so that the user asks another controller.
    if (began - shared_.known_leader.last_heartbeat_at > kMaxLeaderSilenceS && began - shared_.follower_since > kMaxLeaderSilenceS) break;
    const auto change_count = shared_.known_leader.change_count;
    const auto result = forward_once(lock, call, began);
    if (!result.sent) break;
    sent = true;
    if (result.reply && result.reply->status != 503) return *result.reply;
    if (shared_.role == Role::leading) {
      lock.unlock();
      return reply_locally(route, call.body);
    }
    if (shared_.known_leader.change_count == change_count || shared_.known_leader.label.empty()) {
      if (result.reply) return *result.reply;
      break;
    }
  }
  ++metrics_.counters.unavailable;
  spdlog::debug("request: answered 503 after {:.0f} ms, {}", (steady_now() - began) * 1000,
                sent ? "leader does not answer" : "no known leader");
  return unavailable_reply();
}

RequestHandler::ForwardResult RequestHandler::forward_once(Lock& lock, const HttpCall& call, double began) {
  FrameConnectionPool* pool = shared_.leader_pool();
  const double sent_at = steady_now();
  const double timeout_s = began + kForwardTimeoutS - sent_at;
  if (!pool || timeout_s <= 0) return {};
  lock.unlock();
  const PeerCall forwarded{std::string(call.method), std::string(call.target), std::string(call.body)};
  const auto reply_frame = pool->call(pack(forwarded), timeout_s);
  auto reply = reply_frame ? unpack_reply(*reply_frame, sent_at) : std::nullopt;
  if (reply_frame && !reply) spdlog::error("forwarding: malformed answer from the leader");
  lock.lock();
  return {std::move(reply), true};
}

bool RequestHandler::is_quota_changing_for(const JobSpec& spec) const {
  const ClusterState& cluster_state = *shared_.term->cluster_state;
  const QuotaAccounts& accounts = cluster_state.quota_accounts();
  const TeamIndex team = accounts.find(spec.owner);
  const bool recorded = team.valid() && accounts.team(team).record;
  // The team is in this controller's settings and not in the ledger yet.
  if (accounts.has_agreed_quotas() && !recorded) return shared_.config.team_quotas.contains(spec.owner);
  if (!recorded || !accounts.team(team).record->proposed) return false;
  return cluster_state.rejection_reason(spec).has_value();
}

bool RequestHandler::is_ledger_failing() const {
  return commit_queue_.failing_duration_s(steady_now()) > kMaxCommitFailureS;
}

HttpReply RequestHandler::reject(unsigned status, std::string_view reason) {
  ++metrics_.counters.refused;
  spdlog::debug("submission: refused with {}: {}", status, reason);
  return error_reply(status, reason);
}

UserReply RequestHandler::submit(Lock& lock, std::string_view body) {
  JobSpec spec;
  std::string malformed;
  try {
    spec = parse_submission(body);
  } catch (const ProtocolError& e) {
    malformed = e.what();
    spec.uid = extract_uid(body);
  }
  ClusterState& cluster_state = *shared_.term->cluster_state;
  const JobIndex known = spec.uid.empty() ? JobIndex{} : cluster_state.find(spec.uid);
  if (known.valid()) return describe(cluster_state.job(known), 200, false);
  if (!shared_.may_decide()) return unavailable_reply();
  const std::string uid = spec.uid;
  if (const auto ticket = commit_queue_.ticket_of_submission(uid)) return await_acceptance(lock, uid, *ticket);
  if (!malformed.empty()) return reject(400, malformed);
  if (auto reply = rejection_reply(spec)) return *reply;
  std::uint64_t ticket = 0;
  if (auto reply = queue_acceptance(std::move(spec), ticket)) return *reply;
  return await_acceptance(lock, uid, ticket);
}

std::optional<HttpReply> RequestHandler::rejection_reply(const JobSpec& spec) {
  const ClusterState& cluster_state = *shared_.term->cluster_state;
  // A rejection is final, so none is given while the team's quota is being changed.
  if (is_quota_changing_for(spec)) return unavailable_reply("the terms of its team are being changed");
  if (cluster_state.machine_types().empty()) return unavailable_reply("machine types not known yet");
  if (const auto reason = cluster_state.rejection_reason(spec)) return reject(422, *reason);
  if (!spec.depends_on.empty()) return dependency_rejection_reply(spec);
  return std::nullopt;
}

// A job with dependencies is accepted only once all controllers can read them from the ledger; none may treat it as independent.
std::optional<HttpReply> RequestHandler::dependency_rejection_reply(const JobSpec& spec) {
  const Term& term = *shared_.term;
  if (!has_dependencies(term.ledger_writer.format_version()) || !has_dependencies(term.active_version.written_version()))
    return unavailable_reply("waitsOn: not switched on yet");
  const auto is_being_accepted = [&](const std::string& name) { return commit_queue_.has_submission(name); };
  if (std::any_of(spec.depends_on.begin(), spec.depends_on.end(), is_being_accepted))
    return unavailable_reply("waitsOn: one of these is being accepted");
  if (const auto reason = term.cluster_state->dependency_rejection_reason(spec)) return reject(422, *reason);
  return std::nullopt;
}

std::optional<HttpReply> RequestHandler::queue_acceptance(JobSpec spec, std::uint64_t& ticket) {
  const ClusterState& cluster_state = *shared_.term->cluster_state;
  // Removes machine types that the cloud does not offer: they can't be used and would lengthen the record.
  auto& types = spec.machine_types;
  std::erase_if(types, [&](const auto& name) { return !cluster_state.machine_type(cluster_state.find_machine_type(name)); });
  std::sort(types.begin(), types.end());
  types.erase(std::unique(types.begin(), types.end()), types.end());
  if (commit_queue_.size() > kMaxQueuedRecords) return error_reply(429, "overloaded", kRetryAfterS);
  if (is_ledger_failing()) return unavailable_reply();
  const double random_draw = std::uniform_real_distribution<double>(0, 1)(random_);
  const std::string uid = spec.uid;
  const double accepted_at = cluster_state.next_acceptance_time(wall_now(), shared_.config.settings.max_clock_skew_ms / 1000);
  JobAcceptedRecord record{std::move(spec), random_draw, accepted_at};
  if (!LedgerWriter::fits_in_entry(record, commit_queue_.max_entry_bytes())) return reject(422, "its description is too long to be stored");
  std::vector<Record> records;
  records.emplace_back(std::move(record));
  ticket = commit_queue_.enqueue(std::move(records), CommitPriority::user_waiting);
  commit_queue_.add_submission(uid, ticket);
  return std::nullopt;
}

UserReply RequestHandler::await_acceptance(Lock& lock, const std::string& uid, std::uint64_t ticket) {
  const auto term = shared_.term_number;
  const double wait_started_at = steady_now();
  if (!commit_queue_.wait_applied(lock, ticket, kCommitWaitS) || !shared_.is_term(term) || !shared_.may_decide())
    return unavailable_reply();
  const double waited_s = steady_now() - wait_started_at;
  metrics_.accept_waits.add(waited_s);
  if (waited_s > kSlowCommitS) spdlog::debug("job {}: accepted after {:.0f} ms", uid, waited_s * 1000);
  ++metrics_.counters.accepted;
  const ClusterState& cluster_state = *shared_.term->cluster_state;
  const JobIndex job = cluster_state.find(uid);
  return job.valid() ? describe(cluster_state.job(job), 201, false) : UserReply(unavailable_reply());
}

UserReply RequestHandler::describe(const Job& job, unsigned status, bool with_counts) {
  const auto running = job.ended() ? 0 : job.running();
  const JobStatus status_shown = job.ended() ? job.status : running ? JobStatus::running : JobStatus::queued;
  HttpReply reply{status,
                  with_counts ? status_body(job.uid, status_shown, job.done, running) : acknowledgement_body(job.uid, status_shown)};
  // An ended job stays ended under any leader, so this needs no certain leadership.
  if (job.ended())
    return may_confirm_status(shared_, job) ? UserReply::final_reply(std::move(reply)) : UserReply(unconfirmed_cancellation_reply());
  if (!shared_.may_decide()) return unavailable_reply();
  return reply;
}

// The job is cancelled in the ledger. Until a majority of the controllers knows of this takeover, an earlier leader may keep the job's
// tasks alive for longer than cancel_s from now, so the cancellation is not confirmed to the user yet.
HttpReply RequestHandler::unconfirmed_cancellation_reply() {
  ++metrics_.counters.unconfirmed_cancellations;
  return unavailable_reply("cancelled, not confirmed yet");
}

UserReply RequestHandler::poll(const std::string& uid) {
  const ClusterState& cluster_state = *shared_.term->cluster_state;
  if (const JobIndex job = cluster_state.find(uid); job.valid()) return describe(cluster_state.job(job), 200, true);
  if (!shared_.may_decide()) return unavailable_reply();
  return error_reply(404, "no such job");
}

UserReply RequestHandler::cancel(Lock& lock, const std::string& uid) {
  const JobIndex index = shared_.term->cluster_state->find(uid);
  if (index.valid() && shared_.term->cluster_state->job(index).ended())
    return describe(shared_.term->cluster_state->job(index), 200, false);
  if (!shared_.may_decide()) return unavailable_reply();
  if (!index.valid()) {
    // The job's acceptance may still be queued for the ledger.
    if (commit_queue_.has_submission(uid)) return unavailable_reply();
    return error_reply(404, "no such job");
  }
  if (is_ledger_failing()) return unavailable_reply();
  std::vector<Record> records;
  records.emplace_back(JobCancelledRecord{uid});
  const auto ticket = commit_queue_.enqueue(std::move(records), CommitPriority::user_waiting);
  if (!commit_queue_.wait_applied(lock, ticket, kCommitWaitS) || !shared_.may_decide()) return unavailable_reply();
  const Job& job = shared_.term->cluster_state->job(index);
  commands_.enqueue_nodes_of(job);
  return describe(job, 200, false);
}

}  // namespace thistlefront
