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
constexpr double kMinBatchPeriodS = 0.05;       // from the start of one batch to the next
constexpr double kBatchTimeoutS = 1.2;          // for the leader's reply
constexpr double kSupportRecheckPeriodS = 2.0;  // a leader that accepted no batches may accept them later
constexpr double kAnnouncePeriodS = 1.0;        // without heartbeats, empty batches tell the leader that this relay is available
// Longer than a takeover takes. A leader that still leads, but has not replied to this controller for longer, may be reachable for the
// agents themselves.
constexpr double kMaxLeaderFailureS = 2.2;
constexpr double kFailurePauseS = 0.1;
constexpr double kNoLeaderPauseS = 0.05;  // until the next leader lookup
constexpr std::size_t kMaxBatchBytes = std::size_t{256} * 1024;
constexpr std::size_t kMaxHeartbeatsInBatch = 1024;
constexpr std::size_t kMaxWaitingHeartbeats = 4096;  // one per connection
constexpr double kAgentRetentionS = 20.0;            // an agent is forgotten this long after its last heartbeat
constexpr double kCountPeriodS = 1.0;                // between counts of the agents
}  // namespace

HeartbeatRelay::RelayResult HeartbeatRelay::relay(const Heartbeat& heartbeat, double timeout_s) {
  std::unique_lock lock(mutex_);
  const double now = steady_now();
  last_heartbeat_at_[heartbeat.node] = now;
  if (leader_support_ == LeaderSupport::no) return {RelayResult::Outcome::not_supported, {}, 0, 0};
  if (waiting_.size() >= kMaxWaitingHeartbeats) return {};
  WaitingHeartbeat waiting;
  waiting.heartbeat = &heartbeat;
  waiting.received_at = now;
  waiting.expires_at = now + timeout_s;
  waiting_.push_back(&waiting);
  queue_filled_.notify_one();
  // A heartbeat that is in a batch is waited for beyond the time-out; kBatchTimeoutS bounds that.
  waiting.changed.wait_for(lock, std::chrono::duration<double>(timeout_s), [&] { return waiting.done; });
  waiting.changed.wait(lock, [&] { return waiting.done || !waiting.in_batch; });
  if (!waiting.done) std::erase(waiting_, &waiting);
  return waiting.relay_result;
}

void HeartbeatRelay::fail_waiting() {
  std::lock_guard lock(mutex_);
  refuse_waiting();
}

HeartbeatRelay::Backlog HeartbeatRelay::backlog() const {
  std::lock_guard lock(mutex_);
  Backlog out{waiting_.size(), 0};
  for (const WaitingHeartbeat* w : waiting_) out.oldest_s = std::max(out.oldest_s, steady_now() - w->received_at);
  return out;
}

std::optional<std::string> HeartbeatRelay::take_redirect_target() {
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
    refresh_leader();
    double period_s = kMinBatchPeriodS;
    if (!leader_) {
      period_s = kNoLeaderPauseS;
    } else if (leader_support_ == LeaderSupport::unknown) {
      query_leader_support(*leader_);
      period_s = leader_support_ == LeaderSupport::unknown ? kFailurePauseS : 0;
    } else if (leader_support_ == LeaderSupport::yes) {
      send_batch(*leader_);
    }
    if (!pause_for(stop, std::max(0.0, began + period_s - steady_now()))) break;
  }
  std::lock_guard lock(mutex_);
  leader_support_ = LeaderSupport::no;
  refuse_waiting();
}

void HeartbeatRelay::refresh_leader() {
  const auto current = find_leader_();
  std::lock_guard lock(mutex_);
  const bool unchanged =
      leader_ && current && leader_->change_count == current->change_count && leader_->takeover_token == current->takeover_token;
  leader_ = current;
  if (!unchanged) {
    encoder_.clear();
    leader_support_ = LeaderSupport::unknown;
    record_contact();
    redirect_count_ = 0;
  }
  if (leader_support_ == LeaderSupport::no && steady_now() - support_determined_at_ > kSupportRecheckPeriodS)
    leader_support_ = LeaderSupport::unknown;
}

// Older builds, and leaders whose operator has switched the relay off, accept no batches; agents are then redirected to the leader.
void HeartbeatRelay::query_leader_support(const Leader& leader) {
  const double sent_at = steady_now();
  const auto reply_frame = leader.pool->call(pack(PeerCall{"GET", kRelaySupportTarget, ""}), kBatchTimeoutS);
  const auto reply = reply_frame ? unpack_reply(*reply_frame, sent_at) : std::nullopt;
  if (!reply || reply->status == 503) {
    record_failure(sent_at);
    return;
  }
  std::lock_guard lock(mutex_);
  record_contact();
  support_determined_at_ = steady_now();
  leader_support_ = reply->status == 200 ? LeaderSupport::yes : LeaderSupport::no;
  in_use_ = leader_support_ == LeaderSupport::yes;
  if (leader_support_ == LeaderSupport::no) refuse_waiting();
}

void HeartbeatRelay::send_batch(const Leader& leader) {
  HeartbeatBatch batch;
  const auto sent = collect_batch(batch, leader);
  const double sent_at = steady_now();
  const auto frame = leader.pool->call(pack(batch), kBatchTimeoutS);
  const auto reply = frame ? unpack_heartbeat_batch_reply(*frame) : std::nullopt;
  if (frame && !reply) spdlog::error("heartbeat relay: malformed answer to a batch");
  const bool accepted = reply && reply->replies.size() == sent.size() && reply->takeover_token == leader.takeover_token;
  if (accepted) {
    apply_reply(sent, *reply, leader);
    return;
  }
  // Outcome unknown: the heartbeats are sent again, in full, to the leader known then.
  if (!frame) record_failure(sent_at);
  std::lock_guard lock(mutex_);
  encoder_.clear();
  if (leader_support_ == LeaderSupport::yes) leader_support_ = LeaderSupport::unknown;
  for (WaitingHeartbeat* waiting : sent) requeue(*waiting);
}

std::vector<HeartbeatRelay::WaitingHeartbeat*> HeartbeatRelay::collect_batch(HeartbeatBatch& batch, const Leader& leader) {
  std::lock_guard lock(mutex_);
  batch.sender = label_;
  batch.takeover_token = leader.takeover_token;
  batch.agent_count = count_agents(steady_now());
  std::vector<WaitingHeartbeat*> out;
  std::size_t bytes = 0;
  while (!waiting_.empty() && out.size() < kMaxHeartbeatsInBatch && bytes < kMaxBatchBytes) {
    WaitingHeartbeat* next = waiting_.front();
    waiting_.pop_front();
    if (steady_now() >= next->expires_at) {
      finish(*next, RelayResult::Outcome::no_reply);
      continue;
    }
    next->in_batch = true;
    batch.heartbeats.push_back(encoder_.encode(*next->heartbeat));
    bytes += packed_size(batch.heartbeats.back());
    out.push_back(next);
  }
  return out;
}

void HeartbeatRelay::apply_reply(const std::vector<WaitingHeartbeat*>& sent, const HeartbeatBatchReply& reply, const Leader& leader) {
  std::lock_guard lock(mutex_);
  record_contact();
  redirect_count_ = reply.redirect_count;
  redirect_target_ = reply.redirect_target;
  for (std::size_t i = 0; i < sent.size(); ++i) {
    WaitingHeartbeat& w = *sent[i];
    const auto outcome = reply.replies[i].outcome;
    if (outcome == HeartbeatReply::Outcome::full_required) {
      encoder_.forget_node(w.heartbeat->node);
      requeue(w);
    } else if (outcome == HeartbeatReply::Outcome::retry_later) {
      requeue(w);
    } else {
      encoder_.record_acknowledged(*w.heartbeat);
      w.relay_result = {RelayResult::Outcome::replied, reply.replies[i], reply.fencing_token, leader.change_count};
      finish(w, RelayResult::Outcome::replied);
    }
  }
}

void HeartbeatRelay::requeue(WaitingHeartbeat& waiting) {
  waiting.in_batch = false;
  if (steady_now() >= waiting.expires_at)
    finish(waiting, RelayResult::Outcome::no_reply);
  else
    waiting_.push_back(&waiting);
}

void HeartbeatRelay::record_contact() {
  failing_since_ = 0;
  partitioned_ = false;
}

void HeartbeatRelay::record_failure(double sent_at) {
  const bool reaches_store = !is_in_use() || reaches_store_();
  std::lock_guard lock(mutex_);
  partitioned_ = !reaches_store;
  if (failing_since_ == 0) failing_since_ = sent_at;
  if (steady_now() - failing_since_ < kMaxLeaderFailureS) return;
  leader_support_ = LeaderSupport::no;
  support_determined_at_ = steady_now();
  refuse_waiting();
}

bool HeartbeatRelay::is_in_use() const {
  std::lock_guard lock(mutex_);
  return in_use_;
}

bool HeartbeatRelay::is_partitioned() const {
  std::lock_guard lock(mutex_);
  return partitioned_;
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

std::uint32_t HeartbeatRelay::count_agents(double now) {
  if (now - agents_counted_at_ < kCountPeriodS) return recent_agent_count_;
  agents_counted_at_ = now;
  std::erase_if(last_heartbeat_at_, [&](const auto& entry) {
    if (now - entry.second <= kAgentRetentionS) return false;
    encoder_.forget_node(entry.first);
    return true;
  });
  recent_agent_count_ = static_cast<std::uint32_t>(last_heartbeat_at_.size());
  return recent_agent_count_;
}

}  // namespace thistlefront
