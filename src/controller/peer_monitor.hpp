// Heartbeats between controllers. The leader sends one to each peer twice a second: it tells who leads, and grants the peer a
// partition lease. The acknowledgements feed the leader's quorum tracker. A peer that knows of a higher fencing token ends the
// term.
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

  // Sends heartbeats to one peer while this controller leads, until asked to stop. One thread a peer.
  void run(std::stop_token stop, std::size_t peer);
  // A peer's heartbeat came.
  PeerHeartbeatAck receive(const PeerHeartbeat& heartbeat);

 private:
  // A heartbeat, and what must be known when its answer comes.
  struct Outgoing {
    PeerHeartbeat heartbeat;
    std::uint64_t term = 0;
    double echoed_sent_at = 0;  // steady seconds: when the heartbeat was sent whose acknowledgement is echoed; 0: none is
  };

  // Waits until this controller has taken the lead; nothing when the thread is to stop.
  std::optional<Outgoing> next_heartbeat(std::stop_token stop, PeerLink& link);
  PeerHeartbeat make_heartbeat(PeerLink& link) const;
  void apply_ack(std::size_t peer, const Outgoing& sent, double sent_at, const PeerHeartbeatAck& ack);
  // Whether the higher token that a peer tells of is this term's own, raised by a change that has no answer yet.
  [[nodiscard]] bool is_own_raised_token(const PeerHeartbeatAck& ack) const;
  void observe_heartbeat(const Lock& lock, const PeerHeartbeat& heartbeat);

  SharedState& shared_;
};

}  // namespace thistlefront
