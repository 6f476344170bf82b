// Messages between controllers, as packed structs in frames: heartbeats of the leader, and requests that are forwarded to it.
// The relay of nodes' heartbeats is in relay_messages.hpp. Packed bytes never change for a kind that exists.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "transport/frames.hpp"
#include "transport/http.hpp"

namespace thistlefront {

/// Kind of a frame.
enum class PeerKind : std::uint8_t {
  peer_heartbeat = 1,  ///< leader to peer: who leads, under which fencing token
  peer_heartbeat_ack,  ///< peer to leader: the highest fencing token it knows; it answers no agent under a lower one
  call,                ///< a user's request or a node's heartbeat, forwarded to the leader
  reply,
  heartbeat_batch,  ///< relay to leader: nodes' heartbeats, see relay_messages.hpp
  heartbeat_batch_answer,
};

/// Target of a call that asks the leader whether it takes batches of heartbeats. Older builds answer 404.
inline constexpr const char* kRelaySupportTarget = "/intake";

/// The leader's heartbeat to another controller.
struct PeerHeartbeat {
  std::string label;
  std::uint64_t fencing_token = 0, takeover_token = 0;  ///< now, and at its failover
  /// `process` and `clock_ms` of the peer's latest acknowledgement, returned only by a leader that may act.
  std::uint64_t echoed_process = 0, echoed_clock_ms = 0;  ///< 0: none
  std::uint32_t oldest_cancellation_age_ms = 0;           ///< of the oldest cancellation not yet carried out in the peer's zone
};
/// The answer to one.
struct PeerHeartbeatAck {
  std::uint64_t fencing_token = 0;
  std::string leader;
  std::uint64_t process = 0, clock_ms = 0;  ///< the process, and its steady clock
  std::uint32_t last_renewal_age_ms = 0;    ///< since it last renewed a node's lease on its own
};
/// An HTTP request that is forwarded.
struct PeerCall {
  std::string method, target, body;
};

/// Packs a message into a frame.
Frame pack(const PeerHeartbeat& peer_heartbeat);
Frame pack(const PeerHeartbeatAck& ack);
Frame pack(const PeerCall& call);
/// The remaining time of the reply's validity goes with it, counted from `now` (steady seconds).
Frame pack(const HttpReply& reply, double now);
/// Unpacks a frame; nothing if it is of another kind or malformed.
std::optional<PeerHeartbeat> unpack_peer_heartbeat(const Frame& frame);
std::optional<PeerHeartbeatAck> unpack_peer_heartbeat_ack(const Frame& frame);
std::optional<PeerCall> unpack_call(const Frame& frame);
/// `asked`: steady seconds when the call was sent; the validity counts from then, which errs towards too short.
std::optional<HttpReply> unpack_reply(const Frame& frame, double asked);

}  // namespace thistlefront
