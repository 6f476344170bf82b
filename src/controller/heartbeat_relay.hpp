// Runs on a follower: relays the heartbeats of agents connected to it to the leader, in batches, and returns the leader's reply to
// each waiting connection. Only one batch is outstanding at a time, so a busy leader receives fewer and larger batches. Thread-safe;
// its mutex is never held while SharedState::mutex is acquired, nor across I/O.
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
  // The leader that heartbeats are relayed to.
  struct Leader {
    FrameConnectionPool* pool = nullptr;
    std::uint64_t change_count = 0;  // KnownLeader::change_count
    std::uint64_t takeover_token = 0;
  };
  // Returns nullopt if no other controller is known to lead. Called without the relay's mutex.
  using FindLeader = std::function<std::optional<Leader>()>;

  // The result for one heartbeat.
  struct RelayResult {
    enum class Outcome {
      replied,        // `reply` is the leader's reply
      no_reply,       // no reply arrived in time
      not_supported,  // the leader accepts no batches, or can't be reached from here
    };
    Outcome outcome = Outcome::no_reply;
    HeartbeatReply reply;
    std::uint64_t fencing_token = 0;        // of the reply
    std::uint64_t leader_change_count = 0;  // of the leader that replied
  };

  // Whether this controller reaches the key-value store. Called only on the relay's thread, while the leader does not reply.
  using ReachesStore = std::function<bool()>;

  HeartbeatRelay(std::string label, FindLeader find_leader, ReachesStore reaches_store)
      : label_(std::move(label)), find_leader_(std::move(find_leader)), reaches_store_(std::move(reaches_store)) {}

  // Relays the heartbeat and waits for the leader's reply. `heartbeat` must outlive the call.
  RelayResult relay(const Heartbeat& heartbeat, double timeout_s);
  // Whether this controller reaches neither the leader nor the key-value store. If it reaches the store, the agents may still reach the
  // leader themselves.
  [[nodiscard]] bool is_partitioned() const;
  // Whether the latest leader that replied accepts batches. If so, heartbeats wait until its successor has reported whether it does.
  [[nodiscard]] bool is_in_use() const;
  // Called when this controller becomes the leader: ends all waiting relay() calls with not_supported, so that their heartbeats are
  // replied to here.
  void fail_waiting();
  // Sends batches until a stop is requested.
  void run(std::stop_token stop);

  struct Backlog {
    std::size_t heartbeats = 0;  // waiting now
    double oldest_s = 0;         // waiting time of the oldest
  };
  [[nodiscard]] Backlog backlog() const;
  // The controller that the calling agent is to be redirected to, while this relay serves more than its fair share of the agents. Each call
  // consumes one of the redirections that the leader asked for.
  std::optional<std::string> take_redirect_target();

 private:
  struct WaitingHeartbeat {
    const Heartbeat* heartbeat = nullptr;    // owned by the waiting connection
    double received_at = 0, expires_at = 0;  // steady seconds
    bool in_batch = false, done = false;
    RelayResult relay_result;
    std::condition_variable changed;  // notified when done
  };
  enum class LeaderSupport { unknown, yes, no };  // whether the leader accepts batches

  void refresh_leader();
  void query_leader_support(const Leader& leader);
  void send_batch(const Leader& leader);
  std::vector<WaitingHeartbeat*> collect_batch(HeartbeatBatch& batch, const Leader& leader);
  void apply_reply(const std::vector<WaitingHeartbeat*>& sent, const HeartbeatBatchReply& reply, const Leader& leader);
  // Called when the leader replies.
  void record_contact();
  // Called when the leader does not reply to a call sent at `sent_at`. If no call is replied to for kMaxLeaderFailureS although the leader
  // still leads, agents are redirected to it.
  void record_failure(double sent_at);
  void finish(WaitingHeartbeat& waiting, RelayResult::Outcome outcome);
  // Queues the heartbeat for a later batch, unless it has expired.
  void requeue(WaitingHeartbeat& waiting);
  // Ends all waiting heartbeats as not supported. Called with the mutex held.
  void refuse_waiting();
  std::uint32_t count_agents(double now);

  const std::string label_;
  const FindLeader find_leader_;
  const ReachesStore reaches_store_;
  mutable std::mutex mutex_;
  std::condition_variable_any queue_filled_;
  std::deque<WaitingHeartbeat*> waiting_;
  std::optional<Leader> leader_;
  LeaderSupport leader_support_ = LeaderSupport::unknown;
  double support_determined_at_ = 0;  // steady seconds of the latest change of leader_support_ to yes or no
  double failing_since_ = 0;          // steady seconds since which the leader does not reply to this controller; 0: it does
  HeartbeatDeltaEncoder encoder_;
  NameMap<double> last_heartbeat_at_;     // by node name, steady seconds
  double agents_counted_at_ = 0;          // steady seconds
  std::uint32_t recent_agent_count_ = 0;  // agents with a recent heartbeat, as of the latest count
  std::uint32_t redirect_count_ = 0;
  std::string redirect_target_;
  bool partitioned_ = false;
  bool in_use_ = false;
};

}  // namespace thistlefront
