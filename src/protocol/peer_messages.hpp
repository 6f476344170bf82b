// Messages between controllers, packed into frames: heartbeats of the leader to its peers, and calls such as forwarded requests.
// For messages of the heartbeat relay see relay_messages.hpp. The packed bytes of an existing kind never change.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "transport/frames.hpp"
#include "transport/http.hpp"

namespace thistlefront {

/// Kind of a frame between controllers.
enum class PeerFrameKind : std::uint8_t {
  peer_heartbeat = 1,     ///< leader to peer: PeerHeartbeat
  peer_heartbeat_ack,     ///< peer to leader: PeerHeartbeatAck
  call,                   ///< PeerCall: a forwarded request of a user or heartbeat of an agent, or a query such as kRelaySupportTarget
  reply,                  ///< the HttpReply to a call
  heartbeat_batch,        ///< relay to leader: HeartbeatBatch, see relay_messages.hpp
  heartbeat_batch_reply,  ///< leader to relay: HeartbeatBatchReply
};

/// Target of a call that asks the leader whether it accepts batches of heartbeats. Older builds reply 404.
inline constexpr const char* kRelaySupportTarget = "/intake";

/// The leader's heartbeat to another controller.
struct PeerHeartbeat {
  std::string label;
  std::uint64_t fencing_token = 0, takeover_token = 0;  ///< of the leader: now, and at its takeover
  /// `process` and `clock_ms` of the peer's latest acknowledgement; 0: none. They grant the peer a partition lease, so they are set only
  /// while the leader is certain to lead and no cancellation in the peer's zone has reached its time limit.
  std::uint64_t echoed_process = 0, echoed_clock_ms = 0;
  std::uint32_t oldest_cancellation_age_ms = 0;  ///< of the oldest cancellation that is not yet complete in the peer's zone
};
/// The peer's acknowledgement of a PeerHeartbeat.
struct PeerHeartbeatAck {
  std::uint64_t fencing_token = 0;          ///< highest token that the peer knows; it replies to no agent under a lower one
  std::string leader;                       ///< label of the leader that the peer knows
  std::uint64_t process = 0, clock_ms = 0;  ///< incarnation of the peer's process, and its steady clock
  std::uint32_t last_renewal_age_ms = 0;    ///< time since the peer last renewed a node's lease under its partition lease
};
/// A request to another controller in the form of an HTTP request.
struct PeerCall {
  std::string method, target, body;
};

/// Packs a message into a frame.
Frame pack(const PeerHeartbeat& peer_heartbeat);
Frame pack(const PeerHeartbeatAck& ack);
Frame pack(const PeerCall& call);
/// Packs a reply with the remaining time of its validity. `now`: steady seconds.
Frame pack(const HttpReply& reply, double now);
/// Unpacks a frame; nothing if it has another kind or is malformed.
std::optional<PeerHeartbeat> unpack_peer_heartbeat(const Frame& frame);
std::optional<PeerHeartbeatAck> unpack_peer_heartbeat_ack(const Frame& frame);
std::optional<PeerCall> unpack_call(const Frame& frame);
/// `call_sent_at`: steady seconds at which the call was sent. The validity is counted from this time, so that it is never too long.
std::optional<HttpReply> unpack_reply(const Frame& frame, double call_sent_at);

}  // namespace thistlefront
