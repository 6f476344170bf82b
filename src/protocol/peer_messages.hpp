// What controllers say to each other, as packed structs in frames.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "transport/frames.hpp"
#include "transport/http.hpp"

namespace thistlefront {

enum class PeerKind : std::uint8_t {
  peer_heartbeat = 1,  // leader -> peer: who leads, at which epoch
  peer_heartbeat_ack,  // peer -> leader: the highest epoch it knows; it answers no worker under a lower one
  call,                // a user's request or a worker's report, forwarded to the leader
  reply,
  heartbeat_batch,  // intake -> leader: workers' reports (protocol/intake_messages)
  heartbeat_batch_answer,
};

// Asked of a leader: whether it takes batches of reports. Older builds answer 404.
inline constexpr const char* kRelaySupportTarget = "/intake";

struct PeerHeartbeat {
  std::string label;
  std::uint64_t fencing_token = 0, takeover_token = 0;  // now, and when it took over
  // The mark of the peer's latest answer, given back: a leader that may decide answers it, others leave it out.
  std::uint64_t echoed_process = 0, echoed_clock_ms = 0;  // 0: none
  std::uint32_t oldest_cancellation_age_ms = 0;           // age of the oldest cancellation not yet carried out in the peer's zone
};
struct PeerHeartbeatAck {
  std::uint64_t fencing_token = 0;
  std::string leader;
  std::uint64_t process = 0, clock_ms = 0;  // the process, and its steady milliseconds
  std::uint32_t last_renewal_age_ms = 0;    // since it last answered a worker on its own
};
struct PeerCall {
  std::string method, target, body;
};

Frame pack(const PeerHeartbeat& peer_heartbeat);
Frame pack(const PeerHeartbeatAck& ack);
Frame pack(const PeerCall& call);
// What is left of its validity goes along, from the moment of packing (steady seconds).
Frame pack(const HttpReply& reply, double now);
std::optional<PeerHeartbeat> unpack_peer_heartbeat(const Frame& frame);
std::optional<PeerHeartbeatAck> unpack_peer_heartbeat_ack(const Frame& frame);
std::optional<PeerCall> unpack_call(const Frame& frame);
// `asked`: steady seconds before the question was sent, from which its validity counts here.
std::optional<HttpReply> unpack_reply(const Frame& frame, double asked);

}  // namespace thistlefront
