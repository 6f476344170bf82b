// What controllers say to each other, as packed structs in frames.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "transport/frames.hpp"
#include "transport/http.hpp"

namespace thistle {

enum class PeerKind : std::uint8_t {
  beat = 1,  // leader -> peer: who leads, at which epoch
  beat_ack,  // peer -> leader: the highest epoch it knows; it answers no worker under a lower one
  call,      // a user's request or a worker's report, forwarded to the leader
  reply,
  intake_batch,  // intake -> leader: workers' reports (protocol/intake_messages)
  intake_answer,
};

// Asked of a leader: whether it takes batches of reports. Older builds answer 404.
inline constexpr const char* kIntakeTarget = "/intake";

struct Beat {
  std::string label;
  std::uint64_t epoch = 0, takeover_epoch = 0;  // now, and when it took over
  // The mark of the peer's latest answer, given back: a leader that may decide answers it, others leave it out.
  std::uint64_t echoed_process = 0, echoed_clock_ms = 0;  // 0: none
  std::uint32_t owed_ms = 0;                              // age of the oldest cancellation not yet carried out in the peer's zone
};
struct BeatAck {
  std::uint64_t epoch = 0;
  std::string leader;
  std::uint64_t process = 0, clock_ms = 0;  // the process, and its steady milliseconds
  std::uint32_t kept_ms_ago = 0;            // since it last answered a worker on its own
};
struct PeerCall {
  std::string method, target, body;
};

Frame pack(const Beat& beat);
Frame pack(const BeatAck& ack);
Frame pack(const PeerCall& call);
// What is left of its validity goes along, from the moment of packing (steady seconds).
Frame pack(const HttpReply& reply, double now);
std::optional<Beat> unpack_beat(const Frame& frame);
std::optional<BeatAck> unpack_ack(const Frame& frame);
std::optional<PeerCall> unpack_call(const Frame& frame);
// `asked`: steady seconds before the question was sent, from which its validity counts here.
std::optional<HttpReply> unpack_reply(const Frame& frame, double asked);

}  // namespace thistle
