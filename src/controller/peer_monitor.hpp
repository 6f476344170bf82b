// Heartbeats between controllers. The leader sends one to each peer twice a second, which announces the leader and grants the peer a
// partition lease. The acknowledgements feed the leader's quorum tracker. If a peer knows of a higher fencing token, the leader steps
// down.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <stop_token>

#include "controller/shared_state.hpp"
#include "protocol/peer_messages.hpp"

namespace thistlefront {

class PeerMonitor {
 public:
  explicit PeerMonitor(SharedState& shared) : shared_(shared) {}

  // Sends heartbeats to one peer while this controller leads, until a stop is requested. Runs in one thread for each peer.
  void run(std::stop_token stop, std::size_t peer);
  // Handles a heartbeat received from a peer.
  PeerHeartbeatAck receive_heartbeat(const PeerHeartbeat& heartbeat);

 private:
  // A heartbeat, and what is needed to process its acknowledgement.
  struct OutgoingHeartbeat {
    PeerHeartbeat heartbeat;
    std::uint64_t term = 0;
    double echoed_sent_at = 0;  // steady seconds at which the heartbeat with the echoed acknowledgement was sent; 0: none is echoed
  };

  // Waits until this controller has taken over. Returns nullopt if the thread has to stop.
  std::optional<OutgoingHeartbeat> next_heartbeat(std::stop_token stop, PeerLink& link);
  PeerHeartbeat make_heartbeat(PeerLink& link) const;
  void apply_ack(std::size_t peer, const OutgoingHeartbeat& outgoing, double sent_at, const PeerHeartbeatAck& ack);
  // Whether the higher token reported by a peer is this term's own, raised by a change that is not acknowledged yet.
  [[nodiscard]] bool is_own_raised_token(const PeerHeartbeatAck& ack) const;
  void observe_heartbeat(const Lock& lock, const PeerHeartbeat& heartbeat);

  SharedState& shared_;
};

}  // namespace thistlefront
