// Relays heartbeats of the agents that report to this follower to the leader, in batches, and gives each waiting connection its
// answer. One batch is on its way at a time, so a busy leader gets fewer and larger ones. Thread-safe; its mutex is never held
// while SharedState::mutex is taken, nor across I/O.
#pragma once
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <stop_token>
#include <string>
#include <unordered_map>

#include "heartbeat_relay/heartbeat_delta.hpp"
#include "model/heartbeat.hpp"
#include "model/identifiers.hpp"
#include "protocol/relay_messages.hpp"
#include "transport/frames.hpp"

namespace thistlefront {

class HeartbeatRelay {
 public:
  // The leader that heartbeats go to. `number` grows with each lead that this controller learns of.
  struct Lead {
    FrameConnectionPool* pool = nullptr;
    std::uint64_t number = 0, takeover_token = 0;
  };
  // Asked without the relay's lock; nothing where no other controller is known to lead.
  using CurrentLeader = std::function<std::optional<Lead>()>;

  // What became of a heartbeat.
  struct RelayResult {
    enum class Outcome {
      answered,       // by the leader: see `answer`
      not_answered,   // in time
      not_supported,  // the leader takes no batches, or can't be reached from here
    };
    Outcome outcome = Outcome::not_answered;
    HeartbeatAnswer answer;
    std::uint64_t fencing_token = 0;  // of the answer
    std::uint64_t lead_number = 0;    // of the lead that made it
  };

  // Whether this controller reaches the key-value store; asked by the relay's thread alone, while the leader does not answer.
  using ReachesStore = std::function<bool()>;

  HeartbeatRelay(std::string label, CurrentLeader current_leader, ReachesStore reaches_store)
      : label_(std::move(label)), current_leader_(std::move(current_leader)), reaches_store_(std::move(reaches_store)) {}

  // Waits until the leader has answered, at most this long. `heartbeat` must outlive the call.
  RelayResult relay(const Heartbeat& heartbeat, double timeout_s);
  // Neither the leader nor the key-value store is reached: a partition, with this controller inside. Where the store is reached,
  // the agents may well reach the leader themselves.
  [[nodiscard]] bool is_cut_off() const;
  // The latest leader that answered accepts batches: heartbeats wait for the next one to say so too.
  [[nodiscard]] bool is_in_use() const;
  // This controller leads now: what waits is ended as not supported, and answered here.
  void fail_waiting();
  // Sends batches until asked to stop.
  void run(std::stop_token stop);

  // Heartbeats that wait now, and for how many seconds the one that has waited longest.
  struct Backlog {
    std::size_t heartbeats = 0;
    double oldest_s = 0;
  };
  [[nodiscard]] Backlog backlog() const;
  // The controller that one of the agents is to be redirected to: this relay serves more than its share. Each call counts as one.
  std::optional<std::string> redirect_target();

 private:
  struct WaitingHeartbeat {
    const Heartbeat* heartbeat = nullptr;  // of the connection that waits
    double since = 0, until = 0;           // steady seconds
    bool in_batch = false, done = false;
    RelayResult relay_result;
    std::condition_variable changed;  // done, or no longer in a batch
  };
  enum class LeaderSupport { unknown, yes, no };  // whether the leader accepts batches

  void find_leader();
  void query_leader_support(const Lead& lead);
  void send_batch(const Lead& lead);
  std::vector<WaitingHeartbeat*> collect_batch(HeartbeatBatch& batch, const Lead& lead);
  void apply_answer(const std::vector<WaitingHeartbeat*>& sent, const HeartbeatBatchAnswer& answer, const Lead& lead);
  void record_contact();  // the leader answered
  // The leader did not answer. Where that lasts though it still leads, agents are better redirected to it.
  void record_failure(double since);
  void finish(WaitingHeartbeat& waiting, RelayResult::Outcome outcome);
  // Puts it into a later batch, if its time is not over.
  void requeue(WaitingHeartbeat& waiting);
  void refuse_waiting();
  std::uint32_t count_workers(double now);

  const std::string label_;
  const CurrentLeader current_leader_;
  const ReachesStore reaches_store_;
  mutable std::mutex mutex_;
  std::condition_variable_any queue_filled_;
  std::deque<WaitingHeartbeat*> waiting_;
  std::optional<Lead> lead_;
  LeaderSupport leader_support_ = LeaderSupport::unknown;
  double asked_at_ = 0;       // steady seconds: whether the leader accepts batches
  double failing_since_ = 0;  // steady seconds: the leader does not answer this controller; 0: it does
  HeartbeatDeltaEncoder heartbeats_;
  NameMap<double> heard_at_;  // by worker, steady seconds
  double counted_at_ = 0;
  std::uint32_t workers_ = 0;  // heard of recently
  std::uint32_t redirect_count_ = 0;
  std::string redirect_target_;
  bool cut_off_ = false;
  bool in_use_ = false;
};

}  // namespace thistlefront
