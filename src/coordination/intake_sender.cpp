#include "coordination/intake_sender.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>

#include "protocol/peer_messages.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistle {

namespace {
constexpr double kBatchPeriod = 0.05;  // seconds from one batch to the next, at least
constexpr double kBatchTimeout = 1.2;  // seconds for an answer
constexpr double kAskAgain = 2.0;      // seconds: a leader that took no batches may begin to
constexpr double kAnnounce = 1.0;      // seconds: an intake without reports tells the leader that it is there
// Seconds. A leader that ended is succeeded sooner; one that can't be reached from here for longer, and still leads, is perhaps
// reached by the workers themselves (controllers that refuse each other: replicas were missed for half a minute).
constexpr double kLinkPatience = 2.2;
constexpr double kAfterFailure = 0.1;  // seconds
constexpr double kNoLead = 0.05;       // seconds until it is looked again who leads
constexpr std::size_t kMostBytes = 256 * 1024;
constexpr std::size_t kMostReports = 1024;
constexpr std::size_t kMostWaiting = 4096;  // reports; a connection has one at a time
constexpr double kHeardLately = 20.0;       // seconds
constexpr double kCountPeriod = 1.0;        // seconds
}  // namespace

IntakeSender::Passed IntakeSender::pass_on(const Report& report, double timeout_s) {
  std::unique_lock lock(mutex_);
  const double now = steady_now();
  heard_at_[report.host] = now;
  if (taken_ == Taken::no) return {Passed::Outcome::not_taken, {}, 0, 0};
  if (waiting_.size() >= kMostWaiting) return {};
  Waiting mine;
  mine.report = &report;
  mine.since = now;
  mine.until = now + timeout_s;
  waiting_.push_back(&mine);
  filled_.notify_one();
  // One that is in a batch is waited for: the batch's own time limit is short.
  mine.changed.wait_for(lock, std::chrono::duration<double>(timeout_s), [&] { return mine.done; });
  mine.changed.wait(lock, [&] { return mine.done || !mine.in_batch; });
  if (!mine.done) std::erase(waiting_, &mine);
  return mine.passed;
}

void IntakeSender::release_all() {
  std::lock_guard lock(mutex_);
  refuse_all();
}

IntakeSender::Backlog IntakeSender::backlog() const {
  std::lock_guard lock(mutex_);
  Backlog out{waiting_.size(), 0};
  for (const Waiting* w : waiting_) out.oldest_s = std::max(out.oldest_s, steady_now() - w->since);
  return out;
}

std::optional<std::string> IntakeSender::send_away() {
  std::lock_guard lock(mutex_);
  if (send_away_ == 0) return std::nullopt;
  --send_away_;
  return send_to_;
}

void IntakeSender::run(std::stop_token stop) {
  while (!stop.stop_requested()) {
    {
      std::unique_lock lock(mutex_);
      filled_.wait_for(lock, stop, std::chrono::duration<double>(kAnnounce), [&] { return !waiting_.empty(); });
    }
    if (stop.stop_requested()) break;
    const double began = steady_now();
    find_lead();
    double rest = kBatchPeriod;
    if (!lead_) {
      rest = kNoLead;
    } else if (taken_ == Taken::unknown) {
      ask_whether_taken(*lead_);
      rest = taken_ == Taken::unknown ? kAfterFailure : 0;
    } else if (taken_ == Taken::yes) {
      send_batch(*lead_);
    }
    if (!pause_for(stop, std::max(0.0, began + rest - steady_now()))) break;
  }
  std::lock_guard lock(mutex_);
  taken_ = Taken::no;
  refuse_all();
}

void IntakeSender::find_lead() {
  const auto now_leads = lead_now_();
  std::lock_guard lock(mutex_);
  const bool same = lead_ && now_leads && lead_->number == now_leads->number && lead_->takeover == now_leads->takeover;
  lead_ = now_leads;
  if (!same) {
    reports_.clear();
    taken_ = Taken::unknown;
    failing_since_ = 0;
    cut_off_ = false;
    send_away_ = 0;
  }
  if (taken_ == Taken::no && steady_now() - asked_at_ > kAskAgain) taken_ = Taken::unknown;
}

// Older builds, and leaders whose operator has switched it off, do not take batches: workers are then sent to the leader.
void IntakeSender::ask_whether_taken(const Lead& lead) {
  const double asked = steady_now();
  const auto answer = lead.pool->ask(pack(PeerCall{"GET", kIntakeTarget, ""}), kBatchTimeout);
  const auto reply = answer ? unpack_reply(*answer, asked) : std::nullopt;
  if (!reply || reply->status == 503) {
    note_failure(asked);
    return;
  }
  std::lock_guard lock(mutex_);
  failing_since_ = 0;
  cut_off_ = false;
  asked_at_ = steady_now();
  taken_ = reply->status == 200 ? Taken::yes : Taken::no;
  in_use_ = taken_ == Taken::yes;
  if (taken_ == Taken::no) refuse_all();
}

void IntakeSender::send_batch(const Lead& lead) {
  IntakeBatch batch;
  const auto sent = take_batch(batch, lead);
  const double asked = steady_now();
  const auto frame = lead.pool->ask(pack(batch), kBatchTimeout);
  const auto answer = frame ? unpack_intake_answer(*frame) : std::nullopt;
  if (frame && !answer) spdlog::error("malformed answer to a batch of reports");
  const bool taken = answer && answer->answers.size() == sent.size() && answer->takeover == lead.takeover;
  if (taken) {
    take_answer(sent, *answer, lead);
    return;
  }
  // Not known what came of it: asked once more, of whoever leads then, with whole reports.
  if (!frame) note_failure(asked);
  std::lock_guard lock(mutex_);
  reports_.clear();
  if (taken_ == Taken::yes) taken_ = Taken::unknown;
  for (Waiting* w : sent) {
    put_back(*w);
  }
}

std::vector<IntakeSender::Waiting*> IntakeSender::take_batch(IntakeBatch& batch, const Lead& lead) {
  std::lock_guard lock(mutex_);
  batch.sender = label_;
  batch.takeover = lead.takeover;
  batch.workers = count_workers(steady_now());
  std::vector<Waiting*> out;
  std::size_t bytes = 0;
  while (!waiting_.empty() && out.size() < kMostReports && bytes < kMostBytes) {
    Waiting* next = waiting_.front();
    waiting_.pop_front();
    if (steady_now() >= next->until) {
      finish(*next, Passed::Outcome::not_answered);
      continue;
    }
    next->in_batch = true;
    batch.reports.push_back(reports_.delta(*next->report));
    bytes += packed_size(batch.reports.back());
    out.push_back(next);
  }
  return out;
}

void IntakeSender::take_answer(const std::vector<Waiting*>& sent, const IntakeAnswer& answer, const Lead& lead) {
  std::lock_guard lock(mutex_);
  failing_since_ = 0;
  cut_off_ = false;
  send_away_ = answer.send_away;
  send_to_ = answer.send_to;
  for (std::size_t i = 0; i < sent.size(); ++i) {
    Waiting& w = *sent[i];
    const auto outcome = answer.answers[i].outcome;
    if (outcome == WorkerAnswer::Outcome::whole_wanted) {
      reports_.forget(w.report->host);
      put_back(w);
    } else if (outcome == WorkerAnswer::Outcome::not_now) {
      put_back(w);
    } else {
      reports_.acknowledged(*w.report);
      w.passed = {Passed::Outcome::answered, answer.answers[i], answer.epoch, lead.number};
      finish(w, Passed::Outcome::answered);
    }
  }
}

void IntakeSender::put_back(Waiting& waiting) {
  waiting.in_batch = false;
  if (steady_now() >= waiting.until)
    finish(waiting, Passed::Outcome::not_answered);
  else
    waiting_.push_back(&waiting);
}

void IntakeSender::note_failure(double since) {
  const bool reaches_state = !in_use() || reaches_state_();
  std::lock_guard lock(mutex_);
  cut_off_ = !reaches_state;
  if (failing_since_ == 0) failing_since_ = since;
  if (steady_now() - failing_since_ < kLinkPatience) return;
  taken_ = Taken::no;
  asked_at_ = steady_now();
  refuse_all();
}

bool IntakeSender::in_use() const {
  std::lock_guard lock(mutex_);
  return in_use_;
}

bool IntakeSender::cut_off() const {
  std::lock_guard lock(mutex_);
  return cut_off_;
}

void IntakeSender::finish(Waiting& waiting, Passed::Outcome outcome) {
  waiting.passed.outcome = outcome;
  waiting.done = true;
  waiting.changed.notify_one();
}

void IntakeSender::refuse_all() {
  for (Waiting* w : waiting_) finish(*w, Passed::Outcome::not_taken);
  waiting_.clear();
}

std::uint32_t IntakeSender::count_workers(double now) {
  if (now - counted_at_ < kCountPeriod) return workers_;
  counted_at_ = now;
  std::erase_if(heard_at_, [&](const auto& heard) {
    if (now - heard.second <= kHeardLately) return false;
    reports_.forget(heard.first);
    return true;
  });
  workers_ = static_cast<std::uint32_t>(heard_at_.size());
  return workers_;
}

}  // namespace thistle
