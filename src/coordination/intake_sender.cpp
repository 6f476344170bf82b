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

IntakeSender::RelayResult IntakeSender::relay(const Report& report, double timeout_s) {
  std::unique_lock lock(mutex_);
  const double now = steady_now();
  heard_at_[report.host] = now;
  if (leader_support_ == LeaderSupport::no) return {RelayResult::Outcome::not_supported, {}, 0, 0};
  if (waiting_.size() >= kMostWaiting) return {};
  WaitingHeartbeat mine;
  mine.report = &report;
  mine.since = now;
  mine.until = now + timeout_s;
  waiting_.push_back(&mine);
  queue_filled_.notify_one();
  // One that is in a batch is waited for: the batch's own time limit is short.
  mine.changed.wait_for(lock, std::chrono::duration<double>(timeout_s), [&] { return mine.done; });
  mine.changed.wait(lock, [&] { return mine.done || !mine.in_batch; });
  if (!mine.done) std::erase(waiting_, &mine);
  return mine.passed;
}

void IntakeSender::fail_waiting() {
  std::lock_guard lock(mutex_);
  refuse_waiting();
}

IntakeSender::Backlog IntakeSender::backlog() const {
  std::lock_guard lock(mutex_);
  Backlog out{waiting_.size(), 0};
  for (const WaitingHeartbeat* w : waiting_) out.oldest_s = std::max(out.oldest_s, steady_now() - w->since);
  return out;
}

std::optional<std::string> IntakeSender::redirect_target() {
  std::lock_guard lock(mutex_);
  if (redirect_count_ == 0) return std::nullopt;
  --redirect_count_;
  return redirect_target_;
}

void IntakeSender::run(std::stop_token stop) {
  while (!stop.stop_requested()) {
    {
      std::unique_lock lock(mutex_);
      queue_filled_.wait_for(lock, stop, std::chrono::duration<double>(kAnnounce), [&] { return !waiting_.empty(); });
    }
    if (stop.stop_requested()) break;
    const double began = steady_now();
    find_lead();
    double rest = kBatchPeriod;
    if (!lead_) {
      rest = kNoLead;
    } else if (leader_support_ == LeaderSupport::unknown) {
      query_leader_support(*lead_);
      rest = leader_support_ == LeaderSupport::unknown ? kAfterFailure : 0;
    } else if (leader_support_ == LeaderSupport::yes) {
      send_batch(*lead_);
    }
    if (!pause_for(stop, std::max(0.0, began + rest - steady_now()))) break;
  }
  std::lock_guard lock(mutex_);
  leader_support_ = LeaderSupport::no;
  refuse_waiting();
}

void IntakeSender::find_lead() {
  const auto now_leads = lead_now_();
  std::lock_guard lock(mutex_);
  const bool same = lead_ && now_leads && lead_->number == now_leads->number && lead_->takeover == now_leads->takeover;
  lead_ = now_leads;
  if (!same) {
    reports_.clear();
    leader_support_ = LeaderSupport::unknown;
    failing_since_ = 0;
    cut_off_ = false;
    redirect_count_ = 0;
  }
  if (leader_support_ == LeaderSupport::no && steady_now() - asked_at_ > kAskAgain) leader_support_ = LeaderSupport::unknown;
}

// Older builds, and leaders whose operator has switched it off, do not take batches: workers are then sent to the leader.
void IntakeSender::query_leader_support(const Lead& lead) {
  const double asked = steady_now();
  const auto answer = lead.pool->ask(pack(PeerCall{"GET", kIntakeTarget, ""}), kBatchTimeout);
  const auto reply = answer ? unpack_reply(*answer, asked) : std::nullopt;
  if (!reply || reply->status == 503) {
    record_failure(asked);
    return;
  }
  std::lock_guard lock(mutex_);
  failing_since_ = 0;
  cut_off_ = false;
  asked_at_ = steady_now();
  leader_support_ = reply->status == 200 ? LeaderSupport::yes : LeaderSupport::no;
  in_use_ = leader_support_ == LeaderSupport::yes;
  if (leader_support_ == LeaderSupport::no) refuse_waiting();
}

void IntakeSender::send_batch(const Lead& lead) {
  IntakeBatch batch;
  const auto sent = collect_batch(batch, lead);
  const double asked = steady_now();
  const auto frame = lead.pool->ask(pack(batch), kBatchTimeout);
  const auto answer = frame ? unpack_intake_answer(*frame) : std::nullopt;
  if (frame && !answer) spdlog::error("malformed answer to a batch of reports");
  const bool taken = answer && answer->answers.size() == sent.size() && answer->takeover_epoch == lead.takeover;
  if (taken) {
    apply_answer(sent, *answer, lead);
    return;
  }
  // Not known what came of it: asked once more, of whoever leads then, with whole reports.
  if (!frame) record_failure(asked);
  std::lock_guard lock(mutex_);
  reports_.clear();
  if (leader_support_ == LeaderSupport::yes) leader_support_ = LeaderSupport::unknown;
  for (WaitingHeartbeat* w : sent) {
    requeue(*w);
  }
}

std::vector<IntakeSender::WaitingHeartbeat*> IntakeSender::collect_batch(IntakeBatch& batch, const Lead& lead) {
  std::lock_guard lock(mutex_);
  batch.sender = label_;
  batch.takeover_epoch = lead.takeover;
  batch.worker_count = count_workers(steady_now());
  std::vector<WaitingHeartbeat*> out;
  std::size_t bytes = 0;
  while (!waiting_.empty() && out.size() < kMostReports && bytes < kMostBytes) {
    WaitingHeartbeat* next = waiting_.front();
    waiting_.pop_front();
    if (steady_now() >= next->until) {
      finish(*next, RelayResult::Outcome::not_answered);
      continue;
    }
    next->in_batch = true;
    batch.reports.push_back(reports_.encode(*next->report));
    bytes += packed_size(batch.reports.back());
    out.push_back(next);
  }
  return out;
}

void IntakeSender::apply_answer(const std::vector<WaitingHeartbeat*>& sent, const IntakeAnswer& answer, const Lead& lead) {
  std::lock_guard lock(mutex_);
  failing_since_ = 0;
  cut_off_ = false;
  redirect_count_ = answer.redirect_count;
  redirect_target_ = answer.redirect_target;
  for (std::size_t i = 0; i < sent.size(); ++i) {
    WaitingHeartbeat& w = *sent[i];
    const auto outcome = answer.answers[i].outcome;
    if (outcome == WorkerAnswer::Outcome::full_required) {
      reports_.forget(w.report->host);
      requeue(w);
    } else if (outcome == WorkerAnswer::Outcome::retry_later) {
      requeue(w);
    } else {
      reports_.record_acknowledged(*w.report);
      w.passed = {RelayResult::Outcome::answered, answer.answers[i], answer.epoch, lead.number};
      finish(w, RelayResult::Outcome::answered);
    }
  }
}

void IntakeSender::requeue(WaitingHeartbeat& waiting) {
  waiting.in_batch = false;
  if (steady_now() >= waiting.until)
    finish(waiting, RelayResult::Outcome::not_answered);
  else
    waiting_.push_back(&waiting);
}

void IntakeSender::record_failure(double since) {
  const bool reaches_state = !is_in_use() || reaches_state_();
  std::lock_guard lock(mutex_);
  cut_off_ = !reaches_state;
  if (failing_since_ == 0) failing_since_ = since;
  if (steady_now() - failing_since_ < kLinkPatience) return;
  leader_support_ = LeaderSupport::no;
  asked_at_ = steady_now();
  refuse_waiting();
}

bool IntakeSender::is_in_use() const {
  std::lock_guard lock(mutex_);
  return in_use_;
}

bool IntakeSender::is_cut_off() const {
  std::lock_guard lock(mutex_);
  return cut_off_;
}

void IntakeSender::finish(WaitingHeartbeat& waiting, RelayResult::Outcome outcome) {
  waiting.passed.outcome = outcome;
  waiting.done = true;
  waiting.changed.notify_one();
}

void IntakeSender::refuse_waiting() {
  for (WaitingHeartbeat* w : waiting_) finish(*w, RelayResult::Outcome::not_supported);
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
