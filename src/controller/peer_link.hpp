// What a controller knows of another one, and its connections to it. Guarded by SharedState::mutex, but for the pools, which
// have locks of their own.
#pragma once
#include <cstdint>
#include <memory>

#include "leadership/partition_lease.hpp"
#include "protocol/settings.hpp"
#include "transport/frames.hpp"

namespace thistlefront {

struct PeerLink {
  Settings::Peer peer;
  std::unique_ptr<FramePool> calls;       // forwarded requests and heartbeats, while the peer leads
  std::unique_ptr<FramePool> heartbeats;  // between controllers

  // On the leader, of the present term:
  PartitionLeaseGrant partition_lease;  // what this leader granted to the peer
  std::uint64_t last_ack_process = 0;   // incarnation of the process that sent the latest acknowledgement; 0: none
  std::uint64_t last_ack_clock_ms = 0;  // that process's steady clock at that moment
  double last_acked_sent_at = 0;        // steady seconds: when the heartbeat was sent that it acknowledged
};

}  // namespace thistlefront
