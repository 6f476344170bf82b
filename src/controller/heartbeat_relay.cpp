#include "controller/heartbeat_relay.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>

#include "model/heartbeat.hpp"
#include "protocol/peer_messages.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistlefront {

namespace {
constexpr double kBatchPeriodS = 0.05;    // from one batch to the next, at least
constexpr double kBatchTimeoutS = 1.2;    // for an answer
constexpr double kAskAgainS = 2.0;        // a leader that accepted no batches may begin to
constexpr double kAnnouncePeriodS = 1.0;  // a relay without heartbeats tells the leader that it is there
// A leader that ended is succeeded sooner; one that can't be reached from here for longer, and still leads, is perhaps reached by
// the agents themselves.
constexpr double kLinkPatienceS = 2.2;
constexpr double kFailurePauseS = 0.1;
constexpr double kNoLeaderPauseS = 0.05;  // until it is looked again who leads
constexpr std::size_t kMaxBatchBytes = std::size_t{256} * 1024;
constexpr std::size_t kMaxHeartbeatsInBatch = 1024;
constexpr std::size_t kMaxWaiting = 4096;  // heartbeats; a connection has one at a time
constexpr double kAgentMemoryS = 20.0;     // an agent that was heard of within this time counts
constexpr double kCountPeriodS = 1.0;
}  // namespace

HeartbeatRelay::RelayResult HeartbeatRelay::relay(const Heartbeat& heartbeat, double timeout_s) {
  std::unique_lock lock(mutex_);
  const double now = steady_now();
  heard_at_[heartbeat.node] = now;
  if (leader_support_ == LeaderSupport::no) return {RelayResult::Outcome::not_supported, {}, 0, 0};
  if (waiting_.size() >= kMaxWaiting) return {};
  WaitingHeartbeat mine;
  mine.heartbeat = &heartbeat;
  mine.since = now;
  mine.until = now + timeout_s;
  waiting_.push_back(&mine);
  queue_filled_.notify_one();
  // A heartbeat that is in a batch is waited for: the batch's own time limit is short.
  mine.changed.wait_for(lock, std::chrono::duration<double>(timeout_s), [&] { return mine.done; });
  mine.changed.wait(lock, [&] { return mine.done || !mine.in_batch; });
  if (!mine.done) std::erase(waiting_, &mine);
  return mine.relay_result;
}

void HeartbeatRelay::fail_waiting() {
  std::lock_guard lock(mutex_);
  refuse_waiting();
}

HeartbeatRelay::Backlog HeartbeatRelay::backlog() const {
  std::lock_guard lock(mutex_);
  Backlog out{waiting_.size(), 0};
  for (const WaitingHeartbeat* w : waiting_) out.oldest_s = std::max(out.oldest_s, steady_now() - w->since);
  return out;
}

std::optional<std::string> HeartbeatRelay::redirect_target() {
  std::lock_guard lock(mutex_);
  if (redirect_count_ == 0) return std::nullopt;
  --redirect_count_;
  return redirect_target_;
}

void HeartbeatRelay::run(std::stop_token stop) {
  while (!stop.stop_requested()) {
    {
      std::unique_lock lock(mutex_);
      queue_filled_.wait_for(lock, stop, std::chrono::duration<double>(kAnnouncePeriodS), [&] { return !waiting_.empty(); });
    }
    if (stop.stop_requested()) break;
    const double began = steady_now();
    find_leader();
    double rest = kBatchPeriodS;
    if (!lead_) {
      rest = kNoLeaderPauseS;
    } else if (leader_support_ == LeaderSupport::unknown) {
      query_leader_support(*lead_);
      rest = leader_support_ == LeaderSupport::unknown ? kFailurePauseS : 0;
    } else if (leader_support_ == LeaderSupport::yes) {
      send_batch(*lead_);
    }
    if (!pause_for(stop, std::max(0.0, began + rest - steady_now()))) break;
  }
  std::lock_guard lock(mutex_);
  leader_support_ = LeaderSupport::no;
  refuse_waiting();
}

void HeartbeatRelay::find_leader() {
  const auto now_leads = current_leader_();
  std::lock_guard lock(mutex_);
  const bool same = lead_ && now_leads && lead_->number == now_leads->number && lead_->takeover_token == now_leads->takeover_token;
  lead_ = now_leads;
  if (!same) {
    heartbeats_.clear();
    leader_support_ = LeaderSupport::unknown;
    record_contact();
    redirect_count_ = 0;
  }
  if (leader_support_ == LeaderSupport::no && steady_now() - asked_at_ > kAskAgainS) leader_support_ = LeaderSupport::unknown;
}

// Older builds, and leaders whose operator has switched it off, accept no batches: agents are then redirected to the leader.
void HeartbeatRelay::query_leader_support(const Lead& lead) {
  const double asked = steady_now();
  const auto answer = lead.pool->call(pack(PeerCall{"GET", kRelaySupportTarget, ""}), kBatchTimeoutS);
  const auto reply = answer ? unpack_reply(*answer, asked) : std::nullopt;
  if (!reply || reply->status == 503) {
    record_failure(asked);
    return;
  }
  std::lock_guard lock(mutex_);
  record_contact();
  asked_at_ = steady_now();
  leader_support_ = reply->status == 200 ? LeaderSupport::yes : LeaderSupport::no;
  in_use_ = leader_support_ == LeaderSupport::yes;
  if (leader_support_ == LeaderSupport::no) refuse_waiting();
}

void HeartbeatRelay::send_batch(const Lead& lead) {
  HeartbeatBatch batch;
  const auto sent = collect_batch(batch, lead);
  const double asked = steady_now();
  const auto frame = lead.pool->call(pack(batch), kBatchTimeoutS);
  const auto answer = frame ? unpack_heartbeat_batch_answer(*frame) : std::nullopt;
  if (frame && !answer) spdlog::error("heartbeat relay: malformed answer to a batch");
  const bool taken = answer && answer->answers.size() == sent.size() && answer->takeover_token == lead.takeover_token;
  if (taken) {
    apply_answer(sent, *answer, lead);
    return;
  }
  // What became of it is not known: it is sent once more, to whoever leads then, with whole heartbeats.
  if (!frame) record_failure(asked);
  std::lock_guard lock(mutex_);
  heartbeats_.clear();
  if (leader_support_ == LeaderSupport::yes) leader_support_ = LeaderSupport::unknown;
  for (WaitingHeartbeat* waiting : sent) requeue(*waiting);
}

std::vector<HeartbeatRelay::WaitingHeartbeat*> HeartbeatRelay::collect_batch(HeartbeatBatch& batch, const Lead& lead) {
  std::lock_guard lock(mutex_);
  batch.sender = label_;
  batch.takeover_token = lead.takeover_token;
  batch.worker_count = count_workers(steady_now());
  std::vector<WaitingHeartbeat*> out;
  std::size_t bytes = 0;
  while (!waiting_.empty() && out.size() < kMaxHeartbeatsInBatch && bytes < kMaxBatchBytes) {
    WaitingHeartbeat* next = waiting_.front();
    waiting_.pop_front();
    if (steady_now() >= next->until) {
      finish(*next, RelayResult::Outcome::not_answered);
      continue;
    }
    next->in_batch = true;
    batch.heartbeats.push_back(heartbeats_.encode(*next->heartbeat));
    bytes += packed_size(batch.heartbeats.back());
    out.push_back(next);
  }
  return out;
}

void HeartbeatRelay::apply_answer(const std::vector<WaitingHeartbeat*>& sent, const HeartbeatBatchAnswer& answer, const Lead& lead) {
  std::lock_guard lock(mutex_);
  record_contact();
  redirect_count_ = answer.redirect_count;
  redirect_target_ = answer.redirect_target;
  for (std::size_t i = 0; i < sent.size(); ++i) {
    WaitingHeartbeat& w = *sent[i];
    const auto outcome = answer.answers[i].outcome;
    if (outcome == HeartbeatAnswer::Outcome::full_required) {
      heartbeats_.forget_node(w.heartbeat->node);
      requeue(w);
    } else if (outcome == HeartbeatAnswer::Outcome::retry_later) {
      requeue(w);
    } else {
      heartbeats_.record_acknowledged(*w.heartbeat);
      w.relay_result = {RelayResult::Outcome::answered, answer.answers[i], answer.fencing_token, lead.number};
      finish(w, RelayResult::Outcome::answered);
    }
  }
}

void HeartbeatRelay::requeue(WaitingHeartbeat& waiting) {
  waiting.in_batch = false;
  if (steady_now() >= waiting.until)
    finish(waiting, RelayResult::Outcome::not_answered);
  else
    waiting_.push_back(&waiting);
}

void HeartbeatRelay::record_contact() {
  failing_since_ = 0;
  cut_off_ = false;
}

void HeartbeatRelay::record_failure(double since) {
  const bool reaches_store = !is_in_use() || reaches_store_();
  std::lock_guard lock(mutex_);
  cut_off_ = !reaches_store;
  if (failing_since_ == 0) failing_since_ = since;
  if (steady_now() - failing_since_ < kLinkPatienceS) return;
  leader_support_ = LeaderSupport::no;
  asked_at_ = steady_now();
  refuse_waiting();
}

bool HeartbeatRelay::is_in_use() const {
  std::lock_guard lock(mutex_);
  return in_use_;
}

bool HeartbeatRelay::is_cut_off() const {
  std::lock_guard lock(mutex_);
  return cut_off_;
}

void HeartbeatRelay::finish(WaitingHeartbeat& waiting, RelayResult::Outcome outcome) {
  waiting.relay_result.outcome = outcome;
  waiting.done = true;
  waiting.changed.notify_one();
}

void HeartbeatRelay::refuse_waiting() {
  for (WaitingHeartbeat* w : waiting_) finish(*w, RelayResult::Outcome::not_supported);
  waiting_.clear();
}

std::uint32_t HeartbeatRelay::count_workers(double now) {
  if (now - counted_at_ < kCountPeriodS) return workers_;
  counted_at_ = now;
  std::erase_if(heard_at_, [&](const auto& heard) {
    if (now - heard.second <= kAgentMemoryS) return false;
    heartbeats_.forget_node(heard.first);
    return true;
  });
  workers_ = static_cast<std::uint32_t>(heard_at_.size());
  return workers_;
}

}  // namespace thistlefront
