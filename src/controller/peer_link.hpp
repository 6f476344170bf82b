// A controller's state about one peer, and its connections to it. Guarded by SharedState::mutex, except for the pools, which have
// locks of their own.
#pragma once
#include <cstdint>
#include <memory>

#include "leadership/partition_lease.hpp"
#include "protocol/settings.hpp"
#include "transport/frames.hpp"

namespace thistlefront {

struct PeerLink {
  Settings::Peer peer;
  // For requests and agents' heartbeats that are forwarded or relayed to the peer while it leads, and for RolloutManager's queries.
  std::unique_ptr<FrameConnectionPool> calls;
  std::unique_ptr<FrameConnectionPool> heartbeats;  // for heartbeats between controllers

  // Used on the leader, for the current term:
  PartitionLeaseGrant partition_lease;  // granted to the peer
  std::uint64_t last_ack_process = 0;   // incarnation of the process that sent the latest acknowledgement; 0: none
  std::uint64_t last_ack_clock_ms = 0;  // steady clock of that process when it sent the acknowledgement
  double last_acked_sent_at = 0;        // steady seconds at which the acknowledged heartbeat was sent
};

}  // namespace thistlefront
