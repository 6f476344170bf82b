// Heartbeats of agents. The leader applies them to the cluster state and answers with commands, which renews the agent's lease; a
// follower redirects the agent to the leader, relays or forwards the heartbeat, or, parted from the leader by a partition, renews
// the lease itself for a while under its partition lease.
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

  // On the agent's own connection; `cache` belongs to it.
  HttpReply handle(std::string_view body, HeartbeatCache& cache);
  // Forwarded by a peer, for an agent that can't reach the leader.
  HttpReply handle_forwarded(std::string_view body);
  // A batch that another controller relays.
  Frame handle_batch(const Frame& frame);
  // What a peer is told that asks whether this leader accepts batches.
  HttpReply accepts_batches();

 private:
  // By which way a heartbeat came to the leader.
  enum class Route {
    direct,     // on the agent's own connection
    forwarded,  // by a peer, for an agent that can't reach the leader
    relayed,    // in a batch, of an agent that stays with a peer
  };

  HttpReply handle_as_leader(Lock& lock, const Heartbeat& heartbeat, Route route);
  // It may step down by what the heartbeat says; then the agent is refused.
  HeartbeatAnswer answer(const Lock& lock, const Heartbeat& heartbeat, Route route);
  HeartbeatAnswer answer_with_commands(const Heartbeat& heartbeat, Route route, double now);
  void record_direct_contact(Node& node, Route route, bool stale, double now) const;
  HeartbeatAnswer answer_batched(const Lock& lock, const HeartbeatDelta& delta, bool is_reading_ledger);
  // Heartbeats that come while the ledger is read wait for that, for a short while.
  void await_ledger(Lock& lock);
  // Agents that report to this leader itself.
  std::size_t count_direct_agents(double now);

  HttpReply handle_as_follower(Lock& lock, const Heartbeat& heartbeat, std::string_view body);
  // The reply where relaying settles it; nothing where the agent is better redirected.
  std::optional<HttpReply> try_relay(Lock& lock, const Heartbeat& heartbeat, double now);
  std::optional<HttpReply> relay(Lock& lock, const Heartbeat& heartbeat);
  // Cut off with its zone: renews as soon as the partition lease becomes active.
  std::optional<HttpReply> await_partition_lease(Lock& lock, const Heartbeat& heartbeat, double now);
  std::optional<HttpReply> renew_in_partition(const Heartbeat& heartbeat);
  // Whether the agent is redirected to the leader (true), or can't reach it and is served here.
  bool should_redirect(const Heartbeat& heartbeat, bool relaying, double now);
  HttpReply forward(Lock& lock, std::string_view body, double asked_at);

  SharedState& shared_;
  CommitQueue& commit_queue_;
  AgentMessages& agent_messages_;
  HeartbeatRelay& relay_;
  ControllerMetrics& metrics_;
};

}  // namespace thistlefront
