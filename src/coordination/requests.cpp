// Requests of users and workers, on the leader and on the controllers that forward to it.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "bookkeeping/waiting.hpp"
#include "coordination/controller.hpp"
#include "fleet/hearing.hpp"
#include "transport/clock.hpp"

namespace thistle {

namespace {
constexpr double kCommitWait = 2.0;        // a submission not in the ledger by then is given up on
constexpr double kForwardTimeout = 1.8;    // users' polls wait 2 s
constexpr double kReportTimeout = 2.5;     // the worker itself waits 4 s
constexpr double kOutageGrace = 0.5;       // writes failing for longer: submissions are refused at once
constexpr std::size_t kMostQueued = 3000;  // records waiting for the ledger before submissions are turned away
constexpr double kSlowCommit = 0.1;
constexpr int kRetryAfter = 1;
constexpr double kLedgerWait = 1.0;  // a report waits for so long for the ledger to be read; the worker waits 4 s
constexpr double kBeatFresh = 2.0;   // four beats
constexpr double kLeaderlessGrace = 6.0;
constexpr double kBounceWindow = 12.0;
constexpr double kGreeted = 0.6;         // of a lease
constexpr double kForwardWindow = 30.0;  // then the worker is sent to the leader once more
constexpr double kHeardLately = 2.5;     // report periods
constexpr double kIntakeTimeout = 3.0;   // the worker itself waits 4 s
constexpr double kKeepWithin = 3.6;      // seconds after a report came: the leader is taken for silent after 3 s
constexpr double kLookAgain = 0.1;
constexpr double kCommandsLost = 2.0;  // seconds without an answered command, though some were sent
constexpr double kCountPeriod = 1.0;   // seconds: how often the leader counts its own workers
constexpr const char* kUnavailable = "not available now";
}  // namespace

namespace {
ReportMemo& memo_of(std::any& session) {
  if (!session.has_value()) session.emplace<ReportMemo>();
  return std::any_cast<ReportMemo&>(session);
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
    case Kind::report: return on_report(call.body, &memo_of(call.session));
    default: break;
  }
  Lock lock(mutex_);
  if (role_ == Role::follower) return forward(lock, route, call);
  lock.unlock();
  return on_user(route, call.body);
}

Frame Controller::on_frame(const Frame& frame) {
  if (const auto beat = unpack_beat(frame)) {
    Lock lock(mutex_);
    if (beat->epoch >= known_epoch_) {
      last_beat_ = steady_now();
      // The same controller, and a later takeover: its process began anew and leads once more.
      const bool anew = beat->label == known_leader_ && known_takeover_ != UINT64_MAX && beat->takeover_epoch > known_takeover_;
      known_takeover_ = beat->takeover_epoch;
      if (anew && role_ == Role::follower) new_lead(true);
      if (role_ == Role::follower) custody_.observe_leader(beat->takeover_epoch);
      if (role_ != Role::follower && beat->epoch > term_->epoch) {
        learn(beat->epoch, beat->label);
        step_down(lock, "another leader has a higher epoch");
      }
      learn(beat->epoch, beat->label);
    }
    const double now = steady_now();
    // Its own answer to an earlier beat, given back by the leader: what the leader knew then holds since before it was sent.
    if (role_ == Role::follower && beat->epoch == known_epoch_ && beat->label == known_leader_ && beat->echoed_process == incarnation_) {
      unread_since_ = 0;  // it may decide, so it has read the ledger
      custody_.grant(beat->epoch, static_cast<double>(beat->echoed_clock_ms) / 1000, beat->owed_ms / 1000.0);
    }
    return pack(BeatAck{known_epoch_, known_leader_, incarnation_, static_cast<std::uint64_t>(now * 1000),
                        static_cast<std::uint32_t>(std::max(0.0, now - custody_.last_renewal()) * 1000)});
  }
  if (frame.kind == static_cast<std::uint8_t>(PeerKind::intake_batch)) return on_intake_batch(frame);
  if (const auto call = unpack_call(frame)) {
    // What an answer has left is counted from here, by the one that asked from before it did: so it is never more than it was, and
    // what the ledger took is not taken off it.
    const double received = steady_now();
    if (call->target == kAbleTarget) return pack(HttpReply{200, pack(able_)}, steady_now());
    if (call->target == kIntakeTarget) return pack(takes_batches(), received);
    if (call->target == kTeamsTarget) return pack(HttpReply{200, pack(teams_file_)}, steady_now());
    const UserRoute route = route_of(call->method, call->target);
    const auto reply = route.kind == UserRoute::Kind::report ? on_report(call->body, nullptr) : on_user(route, call->body);
    return pack(reply, received);
  }
  spdlog::error("malformed frame from a peer, kind {}", frame.kind);
  return pack(error_reply(400, "malformed frame"), steady_now());
}

HttpReply Controller::takes_batches() {
  Lock lock(mutex_);
  if (role_ == Role::follower) return error_reply(503, kUnavailable, kRetryAfter);
  const bool needed = tuning_.relay_mode == IntakeMode::automatic && term_->book &&
                      intake_needed(term_->book->host_count(), settings_.cpu, budget_.clients);
  if (tuning_.relay_mode == IntakeMode::on || needed) term_->takes_batches = true;
  if (term_->takes_batches) return {200, "{}"};
  if (!term_->book) return error_reply(503, kUnavailable, kRetryAfter);
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
    spdlog::debug("503: {}", decisive() ? "the ledger can't take it now" : "leadership is uncertain");
  } else if (!answer.lasting) {
    // Outdated once another controller could lead: frozen on the way out, or held up on its way through a follower, it would come
    // after that one's answers, to a user who asks several nodes at once. No longer than any way to the user takes: whoever
    // leads next waits for that where this lead ends before its hold does.
    reply.valid_until = std::min(term_->valid_until, steady_now() + kAnswerLife);
    answers_until_ = std::max(answers_until_, reply.valid_until);
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
    if (began - last_beat_ > kBeatFresh && began - follower_since_ > kBeatFresh) break;
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

bool Controller::terms_change_for(const Submission& s) const {
  const Accounts& accounts = term_->book->accounts();
  const TeamIdx t = accounts.find(s.owner);
  // In this controller's settings, and not in the ledger yet.
  if (accounts.agreed() && (!t.valid() || !accounts.team(t).record)) return teams_file_.contains(s.owner);
  if (!t.valid() || !accounts.team(t).record || !accounts.team(t).record->proposed) return false;
  return term_->book->why_never(s).has_value();
}

Controller::Answer Controller::submit(Lock& lock, std::string_view body) {
  Submission s;
  std::string malformed;
  try {
    s = parse_submission(body);
  } catch (const Malformed& e) {
    malformed = e.what();
    s.uid = peek_uid(body);
  }
  Book& book = *term_->book;
  const JobIdx known = s.uid.empty() ? JobIdx{} : book.find(s.uid);
  if (known.valid()) return answer_known(book.job(known), 200, false);
  if (!decisive()) return error_reply(503, kUnavailable, kRetryAfter);
  std::uint64_t ticket = 0;
  if (auto it = accepting_.find(s.uid); it != accepting_.end()) {
    ticket = it->second;
  } else {
    if (!malformed.empty()) {
      ++counters_.refused;
      return error_reply(400, malformed);
    }
    // A refusal is for good: not while what it rests on is being changed.
    if (terms_change_for(s)) return error_reply(503, "the terms of its team are being changed", kRetryAfter);
    if (book.flavors().empty()) return error_reply(503, "machine types not known yet", kRetryAfter);
    if (const auto never = book.why_never(s)) {
      ++counters_.refused;
      return error_reply(422, *never);
    }
    // A job that waits for others is never taken as if it waited for none: not before all controllers can read of it.
    if (!s.waits_on.empty()) {
      if (!pipelines_at(term_->tail.level()) || !pipelines_at(term_->level.writes()))
        return error_reply(503, "waitsOn: not switched on yet", kRetryAfter);
      if (std::any_of(s.waits_on.begin(), s.waits_on.end(), [&](const auto& n) { return accepting_.contains(n); }))
        return error_reply(503, "waitsOn: one of these is being accepted", kRetryAfter);
      if (const auto never = book.why_not_after(s)) {
        ++counters_.refused;
        return error_reply(422, *never);
      }
    }
    // Kinds that no machine has can't be used; they would only make the record long.
    std::erase_if(s.host_kinds, [&](const auto& k) { return !book.flavor(book.kind_of(k)); });
    std::sort(s.host_kinds.begin(), s.host_kinds.end());
    s.host_kinds.erase(std::unique(s.host_kinds.begin(), s.host_kinds.end()), s.host_kinds.end());
    if (queue_.size() > kMostQueued) return error_reply(429, "overloaded", kRetryAfter);
    if (store_failing_since_ != 0 && steady_now() - store_failing_since_ > kOutageGrace) return error_reply(503, kUnavailable, kRetryAfter);
    const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    const std::string uid = s.uid;
    const AcceptRecord accept{std::move(s), draw, book.accepted_next(wall_now(), settings_.skew_ms / 1000)};
    if (!term_->tail.fits_in_entry(accept, entry_bytes())) {
      ++counters_.refused;
      return error_reply(422, "its description is too long to be stored");
    }
    std::vector<Record> records;
    records.emplace_back(accept);
    ticket = enqueue(std::move(records), Haste::user);
    accepting_.emplace(uid, ticket);
    s.uid = uid;
  }
  const auto number = term_number_;
  const double asked = steady_now();
  if (!wait_applied(lock, ticket, kCommitWait) || term_number_ != number || !decisive()) return error_reply(503, kUnavailable, kRetryAfter);
  const double took = steady_now() - asked;
  accept_waits_.add(took);
  if (took > kSlowCommit) spdlog::debug("{}: accepted after {:.0f} ms", s.uid, took * 1000);
  ++counters_.accepted;
  const JobIdx j = term_->book->find(s.uid);
  return j.valid() ? answer_known(term_->book->job(j), 201, false) : error_reply(503, kUnavailable, kRetryAfter);
}

Controller::Answer Controller::answer_known(const Job& job, unsigned code, bool with_counts) {
  const auto running = job.ended() ? 0 : job.running();
  const JobStatus is = job.ended() ? job.status : running ? JobStatus::running : JobStatus::queued;
  HttpReply reply{code, with_counts ? status_body(job.uid, is, job.done, running) : brief_body(job.uid, is)};
  // What has ended stays ended, whoever leads by now.
  if (job.ended()) return may_tell(job) ? Answer::for_good(std::move(reply)) : Answer(untold());
  if (!decisive()) return error_reply(503, kUnavailable, kRetryAfter);
  return reply;
}

// It is cancelled in the ledger. While too few controllers know of this lead, an earlier leader may keep its tasks alive for
// longer than cancel_s from now, so its user is told later.
HttpReply Controller::untold() {
  ++counters_.untold;
  return error_reply(503, "cancelled, not confirmed yet", kRetryAfter);
}

Controller::Answer Controller::status(const std::string& uid) {
  const Book& book = *term_->book;
  if (const JobIdx j = book.find(uid); j.valid()) return answer_known(book.job(j), 200, true);
  if (!decisive()) return error_reply(503, kUnavailable, kRetryAfter);
  return error_reply(404, "no such job");
}

Controller::Answer Controller::withdraw(Lock& lock, const std::string& uid) {
  JobIdx j = term_->book->find(uid);
  if (j.valid() && term_->book->job(j).ended()) return answer_known(term_->book->job(j), 200, false);
  if (!decisive()) return error_reply(503, kUnavailable, kRetryAfter);
  if (!j.valid()) {
    // Its acceptance may be on its way into the ledger.
    if (accepting_.contains(uid)) return error_reply(503, kUnavailable, kRetryAfter);
    return error_reply(404, "no such job");
  }
  if (store_failing_since_ != 0 && steady_now() - store_failing_since_ > kOutageGrace) return error_reply(503, kUnavailable, kRetryAfter);
  std::vector<Record> records;
  records.emplace_back(CancelRecord{uid});
  const auto ticket = enqueue(std::move(records), Haste::user);
  if (!wait_applied(lock, ticket, kCommitWait) || !decisive()) return error_reply(503, kUnavailable, kRetryAfter);
  const Job& job = term_->book->job(j);
  poke_placed(job);
  return answer_known(job, 200, false);
}

HttpReply Controller::on_report(std::string_view body, ReportMemo* memo) {
  const bool forwarded = memo == nullptr;
  ReportMemo unremembered;
  const Report* read = nullptr;
  try {
    read = &(forwarded ? unremembered : *memo).read(body);
  } catch (const Malformed& e) {
    spdlog::error("malformed report: {}", e.what());
    return error_reply(400, e.what());
  }
  const Report& report = *read;
  if (report.repeated_serial) ++counters_.repeated_reports;
  Lock lock(mutex_);
  if (role_ == Role::follower) return report_to_follower(lock, report, body, forwarded);
  return report_to_leader(lock, report, forwarded ? ReportWay::forwarded : ReportWay::direct);
}

HttpReply Controller::report_to_follower(Lock& lock, const Report& report, std::string_view body, bool forwarded) {
  const double now = steady_now();
  if (forwarded || known_leader_.empty() || known_leader_ == settings_.label) return {421, steward_body("")};
  // Parted from the leader by a cut, as this worker is: all it can do for it is to keep its lease (lienzo fleet, zone: the
  // leases of some 400 machines lapsed in a cut of 47 s).
  const auto keep = [&]() -> std::optional<HttpReply> {
    const double at = steady_now();
    if (!keeps(report, at)) return std::nullopt;
    custody_.record_renewal(at);
    ++counters_.kept;
    return HttpReply{200, orders_body(custody_.epoch(), {})};
  };
  const bool by_intake = tuning_.relay_mode != IntakeMode::off && intake_.is_in_use();
  if (by_intake) {
    if (const auto other = intake_.redirect_target()) return {421, steward_body(*other)};
    if (auto reply = report_by_intake(lock, report)) return *reply;
    if (role_ != Role::follower) return report_to_leader(lock, report, ReportWay::direct);
    // Cut off with its zone, this worker reaches the leader no more than this controller does. Sent there all the same, 120 to 151
    // of some 400 lost their lease in a cut of 47 s (lienzo fleet, zone).
    const bool may_keep = report.yard == settings_.site && custody_.is_granted(now);
    while (may_keep && intake_.is_cut_off() && role_ == Role::follower && steady_now() < now + kKeepWithin) {
      if (auto reply = keep()) return *reply;
      lock.unlock();
      std::this_thread::sleep_for(std::chrono::duration<double>(kLookAgain));
      lock.lock();
    }
    if (role_ != Role::follower) return report_to_leader(lock, report, ReportWay::direct);
  }
  // A worker that has seen an epoch of the present leader's was with it and left it, or comes back soon after it was
  // sent there: it can't reach the leader. Sent back once more, it would wait there for its time limit again, and
  // its lease could run out on the way.
  auto& bounce = bounces_[report.host];
  // Shortly after a takeover it was more likely greeted by a command: it has not tried yet.
  // Nor does its epoch tell where workers stay with any controller.
  const bool was_there = !by_intake && report.epoch >= known_takeover_ && now - leader_since_ > kGreeted * settings_.lease_s;
  const bool left_leader = was_there || now - bounce.redirected_at < kBounceWindow;
  if (now >= bounce.forward_until) {
    if (!left_leader || bounce.forward_until > 0) {
      bounce = {now, 0};
      return {421, steward_body(known_leader_)};
    }
    bounce = {-1e9, now + kForwardWindow};
  }
  if (auto reply = keep()) return *reply;
  FramePool* pool = leader_pool();
  const std::string steward = known_leader_;
  lock.unlock();
  if (pool) {
    const auto answer = pool->ask(pack(PeerCall{"POST", "/v1/report", std::string(body)}), kReportTimeout);
    auto reply = answer ? unpack_reply(*answer, now) : std::nullopt;
    lock.lock();
    // Not if a later leader was confirmed meanwhile: nothing is answered under an older epoch from then on.
    if (reply && reply->status == 200 && known_leader_ == steward) return *reply;
  }
  return {421, steward_body("")};
}

std::optional<HttpReply> Controller::report_by_intake(Lock& lock, const Report& report) {
  lock.unlock();
  const auto passed = intake_.relay(report, kIntakeTimeout);
  lock.lock();
  using Outcome = IntakeSender::RelayResult::Outcome;
  const bool cut_off = passed.outcome == Outcome::not_answered && intake_.is_cut_off();
  if (passed.outcome == Outcome::not_supported || cut_off) return std::nullopt;
  // Under the lead that made it alone: from when a later one is confirmed nothing is answered under an older epoch.
  const bool stands = passed.outcome == Outcome::answered && role_ == Role::follower && passed.lead_number == leads_known_;
  if (!stands || passed.answer.outcome != WorkerAnswer::Outcome::renewed) return HttpReply{421, steward_body("")};
  ++counters_.passed_on;
  HttpReply reply{200, orders_body(passed.epoch, passed.answer.orders)};
  reply.dear = !report.tasks.empty();
  return reply;
}

HttpReply Controller::report_to_leader(Lock& lock, const Report& report, ReportWay way) {
  if (!term_->book && way == ReportWay::direct && unread_since_ == 0) await_ledger(lock);
  if (role_ == Role::follower) return {421, steward_body("")};
  if (term_->takes_batches && way == ReportWay::direct && decisive()) {
    const double now = steady_now();
    if (const auto other = term_->balance.redirect_from_leader(own_workers(now), now)) return {421, steward_body(*other)};
  }
  const auto answer = answer_report(lock, report, way);
  if (answer.outcome != WorkerAnswer::Outcome::renewed) return {421, steward_body("")};
  HttpReply reply{200, orders_body(term_->epoch, answer.orders)};
  reply.dear = !report.tasks.empty();
  return reply;
}

std::size_t Controller::own_workers(double now) {
  if (now - term_->own_workers_at < kCountPeriod) return term_->own_workers;
  term_->own_workers_at = now;
  const auto known = hearing(*term_->book, now, kHeardLately * settings_.report_s).recent;
  const auto at_intakes = term_->balance.workers_at_relays(now);
  term_->own_workers = known > at_intakes ? known - at_intakes : 0;
  return term_->own_workers;
}

WorkerAnswer Controller::answer_report(Lock& lock, const Report& report, ReportWay way) {
  const WorkerAnswer refused{WorkerAnswer::Outcome::refused, {}};
  const bool by_peer = way != ReportWay::direct;
  if (report.epoch > term_->epoch) {
    // The worker has seen a later leader.
    step_down(lock, "a worker knows of a higher epoch");
    known_epoch_ = report.epoch;
    known_leader_.clear();
    return refused;
  }
  const double now = steady_now();
  // Without the ledger for long, it answers workers without tasks for so long only.
  const double span = custody_span(settings_.cancel_s, settings_.lease_s);
  if (!term_->book && unread_since_ != 0 && now - unread_since_ > span) return refused;
  const Standing stands = standing(report, now);
  const auto answer = renewal(stands, !report.tasks.empty());
  if (answer == Renewal::refuse || (by_peer && !stands.lease_valid && !stands.has_quorum)) return refused;
  if (!stands.lease_valid && !stands.has_quorum) {
    custody_.record_renewal(now);
    ++counters_.kept;
  }
  ++counters_.reports;
  WorkerAnswer out{WorkerAnswer::Outcome::renewed, {}};
  if (!term_->book) {
    early_answers_[report.host] = now;
    return out;
  }
  Book& book = *term_->book;
  const bool stale = !absorb(report, true);
  const HostIdx h = book.host_named(report.host);
  Host& host = book.host(h);
  if (late_start_of_cancelled(book, host, now, span)) return refused;
  note_answer(host, stale, now);
  // A worker that stays with a peer has not tried to reach this controller: what is known is whether commands reach it.
  const double failing = term_->commands_failing_since;
  const bool commands_reach = !host.commands.failing && (failing == 0 || now - failing < kCommandsLost);
  const bool reaches = way == ReportWay::direct || (way == ReportWay::intake && commands_reach);
  if (reaches && !stale) host.agent.last_direct_contact_at = now;
  const bool newest = host.agent.incarnation == report.tenure && host.agent.serial == report.serial;
  // Each answer that renews a lease carries the kills of what is cancelled, also one to a report that another overtook.
  out.orders = newest ? due_orders(h) : kills_of_cancelled(book, h);
  note_orders(host, report.serial, out.orders);
  if (!decisive()) {
    ++counters_.answered_in_doubt;
    counters_.kills_in_doubt += out.orders.size();
  }
  return out;
}

Frame Controller::on_intake_batch(const Frame& frame) {
  const auto batch = unpack_intake_batch(frame);
  if (!batch) {
    spdlog::error("malformed batch of reports from a peer, {} bytes", frame.payload.size());
    return pack(error_reply(400, "malformed batch"), steady_now());
  }
  Lock lock(mutex_);
  IntakeAnswer out;
  // Of another lead, or of none: its sender looks again who leads.
  if (role_ == Role::follower || !term_->takes_batches || batch->takeover_epoch != term_->takeover_epoch) return pack(out);
  out.takeover_epoch = batch->takeover_epoch;
  out.epoch = term_->epoch;
  const double now = steady_now();
  term_->balance.record_worker_count(batch->sender, batch->worker_count, now);
  if (decisive()) {
    const auto away = term_->balance.redirect_from_relay(batch->sender, now);
    out.redirect_count = away.count;
    out.redirect_target = away.target;
  }
  const bool reads_ledger = !term_->book && unread_since_ == 0;
  for (const ReportDelta& delta : batch->reports) {
    if (role_ == Role::follower) {
      out.answers.push_back({WorkerAnswer::Outcome::refused, {}});
    } else if (reads_ledger) {
      out.answers.push_back({WorkerAnswer::Outcome::retry_later, {}});
    } else if (const Report* report = term_->intake_reports.decode(delta)) {
      out.answers.push_back(answer_report(lock, *report, ReportWay::intake));
    } else {
      out.answers.push_back({WorkerAnswer::Outcome::full_required, {}});
    }
  }
  return pack(out);
}

void Controller::await_ledger(Lock& lock) {
  const auto number = term_number_;
  applied_.wait_for(lock, std::chrono::duration<double>(kLedgerWait),
                    [&] { return term_number_ != number || term_->book || term_->hand_over; });
}

HttpReply Controller::health() {
  Lock lock(mutex_);
  const double now = steady_now();
  // Able to take requests: leading, or hearing from the leader, or waiting a short while for a new one.
  const bool able = role_ != Role::follower || now - last_beat_ < kBeatFresh || now - follower_since_ < kLeaderlessGrace;
  if (able) return {200, "{}"};
  return error_reply(503, "no leader is reached", kRetryAfter);
}

HttpReply Controller::metrics() {
  Lock lock(mutex_);
  std::string out;
  const auto line = [&](const char* name, auto value) { out += "thistlefront_" + std::string(name) + " " + std::to_string(value) + "\n"; };
  line("leading", role_ == Role::leading ? 1 : 0);
  line("epoch", known_epoch_);
  line("state_level", term_ ? term_->level.level : 0);  // on the leader alone
  line("state_level_writes", term_ ? term_->level.writes() : 0);
  line("state_level_most", able_.most);
  if (!level_waits_for_.empty()) out += "thistlefront_state_level_waits_for{reason=\"" + level_waits_for_ + "\"} 1\n";
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
  line("writes_allowed_per_second", writes_.rate());
  line("start_stalled_seconds", start_watch_.stalled_for(steady_now()));
  line("reports_total", counters_.reports.load());
  line("reports_repeated_total", counters_.repeated_reports.load());
  line("reports_passed_on_total", counters_.passed_on.load());
  const auto backlog = intake_.backlog();
  line("intake_waiting", backlog.reports);
  line("intake_oldest_seconds", backlog.oldest_s);
  line("suspected_jobs_total", counters_.suspected.load());
  line("machines_set_aside_total", counters_.set_aside.load());
  line("machines_deaf_total", counters_.deaf.load());
  line("handed_over_total", counters_.handed_over.load());
  line("kept_in_cuts_total", counters_.kept.load());
  line("answered_in_doubt_total", counters_.answered_in_doubt.load());
  line("kills_in_doubt_total", counters_.kills_in_doubt.load());
  line("cancellations_not_confirmed_total", counters_.untold.load());
  line("ledger_queue", queue_.size());
  if (term_ && term_->book) {
    const auto p = term_->book->pipelines().counts();
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
  line("senders_busy", senders_.size() - std::min(senders_.size(), senders_resting_));
  line("senders_most", budget_.senders);
  line("worker_connections", lines_.size());
  line("worker_connections_most", budget_.worker_connections);
  line("workers_due", due_.size());
  if (term_ && term_->book) {
    std::uint64_t waiting = 0, placed = 0;
    for (JobIdx j : term_->book->live()) {
      waiting += term_->book->job(j).pending;
      placed += term_->book->job(j).placed.size();
    }
    line("live_jobs", term_->book->live().size());
    line("waiting_tasks", waiting);
    line("placed_tasks", placed);
    for (const auto& w : what_waits(*term_->book, wall_now())) {
      const std::string of = "{team=\"" + w.team + "\",class=\"" + w.job_class + "\",for=\"" + name_of(w.reason) + "\"}";
      line(("waiting_tasks_by" + of).c_str(), w.tasks);
      line(("unstarted_seconds" + of).c_str(), w.unstarted_s);
    }
    for (const auto& t : term_->book->teams()) {
      const std::string of = "{team=\"" + t.name + "\"}";
      line(("team_cores_used" + of).c_str(), t.used.cores);
      line(("team_cores_unplaced" + of).c_str(), t.unplaced.cores);
      line(("team_cores_limit" + of).c_str(), t.limit.cores);
      line(("team_accelerators_used" + of).c_str(), t.used.accelerators);
      line(("team_accelerators_limit" + of).c_str(), t.limit.accelerators);
    }
    line("accounts_amiss_total", counters_.amiss.load());
  }
  for (const auto& [key, f] : served_.counts()) {
    const auto served = [&](const std::string& name, const char* what, auto value) {
      line((name + "{team=\"" + key.first + "\",class=\"" + key.second + "\",what=\"" + what + "\"}").c_str(), value);
    };
    served("served_jobs_total", "accepted", f.accepted);
    served("served_jobs_total", "started", f.started);
    served("served_jobs_total", "done", f.done);
    served("served_jobs_total", "due", f.due);
    served("served_jobs_total", "in_time", f.in_time);
    served("served_jobs_total", "largest_started", f.largest);
    served("served_jobs_total", "largest_started_within_240s", f.largest_in_time);
    served("served_jobs_total", "withdrawn_unstarted", f.withdrawn_unstarted);
    if (f.replica_s == 0) continue;
    served("served_replica_seconds_total", "asked", f.replica_s);
    served("served_replica_seconds_total", "up", f.replica_up_s);
  }
  accept_waits_.print(out, "thistlefront_accept_seconds", "");
  guarantee_waits_.print(out, "thistlefront_guarantee_wait_seconds", "");
  pass_times_.print(out, "thistlefront_pass_seconds", "");
  for (const auto& [job_class, waits] : start_waits_) waits.print(out, "thistlefront_start_wait_seconds", "class=\"" + job_class + "\"");
  HttpReply reply{200, std::move(out)};
  reply.type = "text/plain; version=0.0.4";
  return reply;
}

}  // namespace thistle
