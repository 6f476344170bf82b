// Handles heartbeats of agents. The leader applies them to the cluster state and replies with commands; each reply renews the agent's
// lease. A follower redirects the agent to the leader, or relays or forwards the heartbeat. While partitioned from the leader, it may
// renew the agent's lease itself under its partition lease.
#pragma once
#include <cstddef>
#include <optional>
#include <string_view>

#include "controller/agent_messages.hpp"
#include "controller/commit_queue.hpp"
#include "controller/controller_metrics.hpp"
#include "controller/heartbeat_relay.hpp"
#include "controller/shared_state.hpp"
#include "model/heartbeat.hpp"
#include "protocol/heartbeat_cache.hpp"
#include "protocol/relay_messages.hpp"
#include "transport/frames.hpp"
#include "transport/http.hpp"

namespace thistlefront {

class HeartbeatHandler {
 public:
  HeartbeatHandler(SharedState& shared, CommitQueue& commit_queue, AgentMessages& agent_messages, HeartbeatRelay& relay,
                   ControllerMetrics& metrics);

  // Handles a heartbeat received on the agent's own connection; `cache` belongs to that connection.
  HttpReply handle(std::string_view body, HeartbeatCache& cache);
  // Handles a heartbeat that a peer forwards for an agent that can't reach the leader.
  HttpReply handle_forwarded(std::string_view body);
  // Handles a batch of heartbeats relayed by a peer.
  Frame handle_batch(const Frame& frame);
  // Replies to a peer that asks whether this leader accepts batches.
  HttpReply reply_to_batch_support_query();

 private:
  // How a heartbeat reached the leader.
  enum class Route {
    direct,     // on the agent's own connection
    forwarded,  // by a peer, for an agent that can't reach the leader
    relayed,    // by a peer, in a batch, for an agent that stays connected to the peer
  };

  HttpReply handle_as_leader(Lock& lock, const Heartbeat& heartbeat, Route route);
  // Steps down and refuses the agent if the heartbeat has a higher fencing token.
  HeartbeatReply reply_to_heartbeat(const Lock& lock, const Heartbeat& heartbeat, Route route);
  HeartbeatReply reply_with_commands(const Heartbeat& heartbeat, Route route, double now);
  void record_direct_contact(Node& node, Route route, bool stale, double now) const;
  HeartbeatReply reply_to_batched(const Lock& lock, const HeartbeatDelta& delta, bool is_reading_ledger);
  // Waits up to kLedgerWaitS until the ledger has been read.
  void await_ledger(Lock& lock);
  // The number of agents that send heartbeats directly to this leader.
  std::size_t count_direct_agents(double now);

  HttpReply handle_as_follower(Lock& lock, const Heartbeat& heartbeat, std::string_view body);
  // Returns nullopt if the heartbeat was not relayed and the agent should rather be redirected.
  std::optional<HttpReply> try_relay(Lock& lock, const Heartbeat& heartbeat, double now);
  std::optional<HttpReply> relay(Lock& lock, const Heartbeat& heartbeat);
  // If the agent is in this controller's partitioned zone, waits until the partition lease becomes active, then renews.
  std::optional<HttpReply> await_partition_lease(Lock& lock, const Heartbeat& heartbeat, double now);
  std::optional<HttpReply> renew_in_partition(const Heartbeat& heartbeat);
  // Whether to redirect the agent to the leader; false if the agent can't reach the leader and is to be served here.
  bool should_redirect(const Heartbeat& heartbeat, bool relaying, double now);
  HttpReply forward(Lock& lock, std::string_view body, double received_at);

  SharedState& shared_;
  CommitQueue& commit_queue_;
  AgentMessages& agent_messages_;
  HeartbeatRelay& relay_;
  ControllerMetrics& metrics_;
};

}  // namespace thistlefront
