// What a controller knows of another one, and its connections to it.
#pragma once
#include <cstdint>
#include <memory>

#include "leadership/partition_lease.hpp"
#include "protocol/settings.hpp"
#include "transport/frames.hpp"

namespace thistlefront {

struct PeerLink {
  Settings::Peer peer;
  std::unique_ptr<FramePool> calls;  // users' requests and reports, when the peer leads
  std::unique_ptr<FramePool> heartbeats;
  PartitionLeaseGrant partition_lease;
  std::uint64_t last_ack_process = 0, last_ack_clock_ms = 0;  // of its latest answer in this term
  double last_acked_sent_at = 0;                              // steady seconds: when the beat was sent that it answered so
};

}  // namespace thistlefront
