// The duty of an intake: passes its workers' reports to the leader in batches, and gives each connection's routine its answer.
// One batch is on its way at a time, so a busy leader gets fewer and larger ones.
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
  // The lead that reports go to. `number` grows with each lead that this controller learns of.
  struct Lead {
    FramePool* pool = nullptr;
    std::uint64_t number = 0, takeover_token = 0;
  };
  // Asked without any lock of the sender's; nothing where no other controller is known to lead.
  using LeadNow = std::function<std::optional<Lead>()>;

  // What became of a report.
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

  // Whether this controller reaches the state service; asked by the duty alone, while the leader does not answer.
  using ReachesState = std::function<bool()>;

  HeartbeatRelay(std::string label, LeadNow lead_now, ReachesState reaches_state)
      : label_(std::move(label)), lead_now_(std::move(lead_now)), reaches_state_(std::move(reaches_state)) {}

  // Waits until the leader has answered, at most this long.
  RelayResult relay(const Heartbeat& heartbeat, double timeout_s);
  // Neither the leader nor the state service is reached: a cut, with this controller inside. Where the state service is reached, the
  // workers may well reach the leader themselves.
  [[nodiscard]] bool is_cut_off() const;
  // The latest lead that answered takes batches: reports wait for the next one to say so too.
  [[nodiscard]] bool is_in_use() const;
  // This controller leads now: what waits is answered here.
  void fail_waiting();
  // Sends batches until asked to stop.
  void run(std::stop_token stop);

  // Reports that wait now, and for how many seconds the one that has waited longest.
  struct Backlog {
    std::size_t heartbeats = 0;
    double oldest_s = 0;
  };
  [[nodiscard]] Backlog backlog() const;
  // Where one of the workers should be told to report instead: this intake holds more than its share. Each call counts as one.
  std::optional<std::string> redirect_target();

 private:
  struct WaitingHeartbeat {
    const Heartbeat* heartbeat = nullptr;  // of the routine that waits
    double since = 0, until = 0;           // steady seconds
    bool in_batch = false, done = false;
    RelayResult relay_result;
    std::condition_variable changed;  // done, or no longer in a batch
  };
  enum class LeaderSupport { unknown, yes, no };  // whether the leader takes batches

  void find_lead();
  void query_leader_support(const Lead& lead);
  void send_batch(const Lead& lead);
  std::vector<WaitingHeartbeat*> collect_batch(HeartbeatBatch& batch, const Lead& lead);
  void apply_answer(const std::vector<WaitingHeartbeat*>& sent, const HeartbeatBatchAnswer& answer, const Lead& lead);
  // The leader did not answer. Where that lasts though it still leads, workers are better sent to it.
  void record_failure(double since);
  void finish(WaitingHeartbeat& waiting, RelayResult::Outcome outcome);
  // It goes into a later batch, if its time is not over.
  void requeue(WaitingHeartbeat& waiting);
  void refuse_waiting();
  std::uint32_t count_workers(double now);

  const std::string label_;
  const LeadNow lead_now_;
  const ReachesState reaches_state_;
  mutable std::mutex mutex_;
  std::condition_variable_any queue_filled_;
  std::deque<WaitingHeartbeat*> waiting_;
  std::optional<Lead> lead_;
  LeaderSupport leader_support_ = LeaderSupport::unknown;
  double asked_at_ = 0;       // steady seconds: whether the leader takes batches
  double failing_since_ = 0;  // steady seconds: the leader does not answer this controller; 0: it does
  HeartbeatDeltaEncoder heartbeats_;
  NameMap<double> heard_at_;  // by worker, steady seconds
  double counted_at_ = 0;
  std::uint32_t workers_ = 0;  // heard of lately
  std::uint32_t redirect_count_ = 0;
  std::string redirect_target_;
  bool cut_off_ = false;
  bool in_use_ = false;
};

}  // namespace thistlefront
