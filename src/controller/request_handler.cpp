#include "controller/request_handler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/leadership_conditions.hpp"
#include "protocol/peer_messages.hpp"
#include "transport/clock.hpp"

namespace thistlefront {

namespace {
constexpr double kCommitWaitS = 2.0;      // a submission not in the ledger by then is given up on
constexpr double kForwardTimeoutS = 1.8;  // users' polls wait 2 s
constexpr int kForwardTries = 2;
constexpr double kOutageGraceS = 0.5;      // commits failing for longer: submissions are refused at once
constexpr std::size_t kMaxQueued = 3000;   // records waiting for the ledger before submissions are turned away
constexpr double kSlowCommitS = 0.1;       // worth a debug line
constexpr double kLeaderFreshS = 2.0;      // four heartbeats of the leader
constexpr double kLeaderlessGraceS = 6.0;  // for which a controller without a leader counts as healthy
}  // namespace

RequestHandler::RequestHandler(SharedState& shared, CommitQueue& commit_queue, CommandSender& commands, ControllerMetrics& metrics)
    : shared_(shared), commit_queue_(commit_queue), commands_(commands), metrics_(metrics) {}

HttpReply RequestHandler::handle(const UserRoute& route, const HttpCall& call) {
  Lock lock(shared_.mutex);
  if (shared_.role == Role::follower) return forward(lock, route, call);
  lock.unlock();
  return answer(route, call.body);
}

HttpReply RequestHandler::answer(const UserRoute& route, std::string_view body) {
  Lock lock(shared_.mutex);
  if (shared_.role != Role::leading) {
    ++metrics_.counters.unavailable;
    return unavailable_reply();
  }
  UserAnswer answer = error_reply(404, "no such path");
  switch (route.kind) {
    case UserRoute::Kind::submit: answer = submit(lock, body); break;
    case UserRoute::Kind::status: answer = poll(route.uid); break;
    case UserRoute::Kind::withdraw: answer = cancel(lock, route.uid); break;
    default: return answer.reply;
  }
  HttpReply& reply = answer.reply;
  if (reply.status == 503) {
    ++metrics_.counters.unavailable;
    spdlog::debug("request: answered 503, {}", shared_.may_decide() ? "ledger not writable" : "leadership uncertain");
  } else if (!answer.is_final) {
    // Outdated once another controller could lead: held up on its way, it would come after that one's answers, to a user who asks
    // several controllers at once. No longer than any way to the user takes: whoever leads next waits for that where this
    // lead ends before its lease does.
    reply.valid_until = std::min(shared_.term->lease_valid_until, steady_now() + kReplyLifetimeS);
    shared_.replies_valid_until = std::max(shared_.replies_valid_until, reply.valid_until);
  }
  return reply;
}

HttpReply RequestHandler::health() const {
  Lock lock(shared_.mutex);
  const double now = steady_now();
  // Leading, or hearing from the leader, or waiting a short while for a new one.
  const bool able = shared_.role != Role::follower || now - shared_.known_leader.last_heartbeat_at < kLeaderFreshS ||
                    now - shared_.follower_since < kLeaderlessGraceS;
  if (able) return {200, "{}"};
  return unavailable_reply("no leader is reached");
}

HttpReply RequestHandler::forward(Lock& lock, const UserRoute& route, const HttpCall& call) {
  const double began = steady_now();
  bool asked = false;
  // All that users ask may be asked again: what a leader left unanswered goes to the next one, once, if time remains.
  for (int tries = 0; tries < kForwardTries; ++tries) {
    // Cut off from the leader: its users go elsewhere, and are not held until a call times out.
    if (began - shared_.known_leader.last_heartbeat_at > kLeaderFreshS && began - shared_.follower_since > kLeaderFreshS) break;
    const auto lead = shared_.known_leader.change_count;
    const auto result = ask_leader(lock, call, began);
    if (!result.asked) break;
    asked = true;
    if (result.reply && result.reply->status != 503) return *result.reply;
    if (shared_.role == Role::leading) {
      lock.unlock();
      return answer(route, call.body);
    }
    if (shared_.known_leader.change_count == lead || shared_.known_leader.label.empty()) {
      if (result.reply) return *result.reply;
      break;
    }
  }
  ++metrics_.counters.unavailable;
  spdlog::debug("request: answered 503 after {:.0f} ms, {}", (steady_now() - began) * 1000,
                asked ? "leader does not answer" : "no known leader");
  return unavailable_reply();
}

RequestHandler::ForwardResult RequestHandler::ask_leader(Lock& lock, const HttpCall& call, double began) {
  FrameConnectionPool* pool = shared_.leader_pool();
  const double asked_at = steady_now();
  const double left = began + kForwardTimeoutS - asked_at;
  if (!pool || left <= 0) return {};
  lock.unlock();
  const PeerCall forwarded{std::string(call.method), std::string(call.target), std::string(call.body)};
  const auto answer = pool->call(pack(forwarded), left);
  auto reply = answer ? unpack_reply(*answer, asked_at) : std::nullopt;
  if (answer && !reply) spdlog::error("forwarding: malformed answer from the leader");
  lock.lock();
  return {std::move(reply), true};
}

bool RequestHandler::is_quota_changing_for(const JobSpec& spec) const {
  const ClusterState& cluster_state = *shared_.term->cluster_state;
  const QuotaAccounts& accounts = cluster_state.quota_accounts();
  const TeamIndex team = accounts.find(spec.owner);
  const bool recorded = team.valid() && accounts.team(team).record;
  // In this controller's settings, and not in the ledger yet.
  if (accounts.has_agreed_quotas() && !recorded) return shared_.config.team_quotas.contains(spec.owner);
  if (!recorded || !accounts.team(team).record->proposed) return false;
  return cluster_state.rejection_reason(spec).has_value();
}

bool RequestHandler::is_ledger_failing() const {
  return commit_queue_.failing_duration_s(steady_now()) > kOutageGraceS;
}

HttpReply RequestHandler::refuse(unsigned status, std::string_view reason) {
  ++metrics_.counters.refused;
  return error_reply(status, reason);
}

UserAnswer RequestHandler::submit(Lock& lock, std::string_view body) {
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
  if (!malformed.empty()) return refuse(400, malformed);
  if (auto reply = reason_not_to_accept(spec)) return *reply;
  std::uint64_t ticket = 0;
  if (auto reply = queue_acceptance(std::move(spec), ticket)) return *reply;
  return await_acceptance(lock, uid, ticket);
}

std::optional<HttpReply> RequestHandler::reason_not_to_accept(const JobSpec& spec) {
  const ClusterState& cluster_state = *shared_.term->cluster_state;
  // A refusal is final: not while what it rests on is being changed.
  if (is_quota_changing_for(spec)) return unavailable_reply("the terms of its team are being changed");
  if (cluster_state.machine_types().empty()) return unavailable_reply("machine types not known yet");
  if (const auto reason = cluster_state.rejection_reason(spec)) return refuse(422, *reason);
  if (!spec.depends_on.empty()) return reason_not_to_accept_dependencies(spec);
  return std::nullopt;
}

// A job that depends on others is never accepted as if it did not: not before all controllers can read of it.
std::optional<HttpReply> RequestHandler::reason_not_to_accept_dependencies(const JobSpec& spec) {
  const Term& term = *shared_.term;
  if (!has_dependencies(term.ledger_writer.format_version()) || !has_dependencies(term.active_version.written_version()))
    return unavailable_reply("waitsOn: not switched on yet");
  const auto is_being_accepted = [&](const std::string& name) { return commit_queue_.has_submission(name); };
  if (std::any_of(spec.depends_on.begin(), spec.depends_on.end(), is_being_accepted))
    return unavailable_reply("waitsOn: one of these is being accepted");
  if (const auto reason = term.cluster_state->dependency_rejection_reason(spec)) return refuse(422, *reason);
  return std::nullopt;
}

std::optional<HttpReply> RequestHandler::queue_acceptance(JobSpec spec, std::uint64_t& ticket) {
  const ClusterState& cluster_state = *shared_.term->cluster_state;
  // Machine types that the cloud does not offer can't be used; they would only make the record long.
  auto& types = spec.machine_types;
  std::erase_if(types, [&](const auto& name) { return !cluster_state.machine_type(cluster_state.find_machine_type(name)); });
  std::sort(types.begin(), types.end());
  types.erase(std::unique(types.begin(), types.end()), types.end());
  if (commit_queue_.size() > kMaxQueued) return error_reply(429, "overloaded", kRetryAfterS);
  if (is_ledger_failing()) return unavailable_reply();
  const double random_draw = std::uniform_real_distribution<double>(0, 1)(random_);
  const std::string uid = spec.uid;
  const double accepted_at = cluster_state.next_acceptance_time(wall_now(), shared_.config.settings.skew_ms / 1000);
  JobAcceptedRecord record{std::move(spec), random_draw, accepted_at};
  if (!LedgerWriter::fits_in_entry(record, commit_queue_.max_entry_bytes())) return refuse(422, "its description is too long to be stored");
  std::vector<Record> records;
  records.emplace_back(std::move(record));
  ticket = commit_queue_.enqueue(std::move(records), CommitPriority::user_waiting);
  commit_queue_.add_submission(uid, ticket);
  return std::nullopt;
}

UserAnswer RequestHandler::await_acceptance(Lock& lock, const std::string& uid, std::uint64_t ticket) {
  const auto term = shared_.term_number;
  const double asked_at = steady_now();
  if (!commit_queue_.wait_applied(lock, ticket, kCommitWaitS) || !shared_.is_term(term) || !shared_.may_decide())
    return unavailable_reply();
  const double took = steady_now() - asked_at;
  metrics_.accept_waits.add(took);
  if (took > kSlowCommitS) spdlog::debug("job {}: accepted after {:.0f} ms", uid, took * 1000);
  ++metrics_.counters.accepted;
  const ClusterState& cluster_state = *shared_.term->cluster_state;
  const JobIndex job = cluster_state.find(uid);
  return job.valid() ? describe(cluster_state.job(job), 201, false) : UserAnswer(unavailable_reply());
}

UserAnswer RequestHandler::describe(const Job& job, unsigned status, bool with_counts) {
  const auto running = job.ended() ? 0 : job.running();
  const JobStatus shown = job.ended() ? job.status : running ? JobStatus::running : JobStatus::queued;
  HttpReply reply{status, with_counts ? status_body(job.uid, shown, job.done, running) : acknowledgement_body(job.uid, shown)};
  // What has ended stays ended, whoever leads by now.
  if (job.ended())
    return may_confirm_status(shared_, job) ? UserAnswer::final_answer(std::move(reply)) : UserAnswer(unconfirmed_cancellation_reply());
  if (!shared_.may_decide()) return unavailable_reply();
  return reply;
}

// It is cancelled in the ledger. While too few controllers know of this lead, an earlier leader may keep its tasks alive for
// longer than cancel_s from now, so its user is told later.
HttpReply RequestHandler::unconfirmed_cancellation_reply() {
  ++metrics_.counters.unconfirmed_cancellation;
  return unavailable_reply("cancelled, not confirmed yet");
}

UserAnswer RequestHandler::poll(const std::string& uid) {
  const ClusterState& cluster_state = *shared_.term->cluster_state;
  if (const JobIndex job = cluster_state.find(uid); job.valid()) return describe(cluster_state.job(job), 200, true);
  if (!shared_.may_decide()) return unavailable_reply();
  return error_reply(404, "no such job");
}

UserAnswer RequestHandler::cancel(Lock& lock, const std::string& uid) {
  const JobIndex index = shared_.term->cluster_state->find(uid);
  if (index.valid() && shared_.term->cluster_state->job(index).ended())
    return describe(shared_.term->cluster_state->job(index), 200, false);
  if (!shared_.may_decide()) return unavailable_reply();
  if (!index.valid()) {
    // Its acceptance may be on its way into the ledger.
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
