#include "protocol/peer_messages.hpp"

#include <algorithm>

namespace thistlefront {

namespace {
constexpr double kMaxValiditySeconds = 1e6;               // a longer validity is sent as unlimited
constexpr std::uint32_t kUnlimitedValidity = UINT32_MAX;  // on the wire, instead of milliseconds
constexpr double kMillisPerSecond = 1000;

Frame make_frame(PeerFrameKind kind, Packer& packer) {
  return {static_cast<std::uint8_t>(kind), packer.take_bytes()};
}
bool has_kind(const Frame& frame, PeerFrameKind kind) {
  return frame.kind == static_cast<std::uint8_t>(kind);
}
}  // namespace

Frame pack(const PeerHeartbeat& peer_heartbeat) {
  Packer p;
  p.integer(peer_heartbeat.fencing_token)
      .integer(peer_heartbeat.takeover_token)
      .text(peer_heartbeat.label)
      .integer(peer_heartbeat.echoed_process)
      .integer(peer_heartbeat.echoed_clock_ms)
      .integer(peer_heartbeat.oldest_cancellation_age_ms);
  return make_frame(PeerFrameKind::peer_heartbeat, p);
}
Frame pack(const PeerHeartbeatAck& ack) {
  Packer p;
  p.integer(ack.fencing_token).text(ack.leader).integer(ack.process).integer(ack.clock_ms).integer(ack.last_renewal_age_ms);
  return make_frame(PeerFrameKind::peer_heartbeat_ack, p);
}
Frame pack(const PeerCall& call) {
  Packer p;
  p.text(call.method).text(call.target).text(call.body);
  return make_frame(PeerFrameKind::call, p);
}
Frame pack(const HttpReply& reply, double now) {
  const double remaining_s = reply.valid_until - now;
  Packer p;
  p.integer(static_cast<std::uint16_t>(reply.status))
      .integer(static_cast<std::uint16_t>(reply.retry_after_s))
      .integer(remaining_s < kMaxValiditySeconds ? static_cast<std::uint32_t>(std::max(0.0, remaining_s) * kMillisPerSecond)
                                                 : kUnlimitedValidity)
      .text(reply.body);
  return make_frame(PeerFrameKind::reply, p);
}

std::optional<PeerHeartbeat> unpack_peer_heartbeat(const Frame& frame) {
  Unpacker u(frame.payload);
  PeerHeartbeat peer_heartbeat;
  peer_heartbeat.fencing_token = u.integer<std::uint64_t>();
  peer_heartbeat.takeover_token = u.integer<std::uint64_t>();
  peer_heartbeat.label = u.text();
  peer_heartbeat.echoed_process = u.integer<std::uint64_t>();
  peer_heartbeat.echoed_clock_ms = u.integer<std::uint64_t>();
  peer_heartbeat.oldest_cancellation_age_ms = u.integer<std::uint32_t>();
  if (!has_kind(frame, PeerFrameKind::peer_heartbeat) || !u.is_fully_read()) return std::nullopt;
  return peer_heartbeat;
}
std::optional<PeerHeartbeatAck> unpack_peer_heartbeat_ack(const Frame& frame) {
  Unpacker u(frame.payload);
  PeerHeartbeatAck ack;
  ack.fencing_token = u.integer<std::uint64_t>();
  ack.leader = u.text();
  ack.process = u.integer<std::uint64_t>();
  ack.clock_ms = u.integer<std::uint64_t>();
  ack.last_renewal_age_ms = u.integer<std::uint32_t>();
  if (!has_kind(frame, PeerFrameKind::peer_heartbeat_ack) || !u.is_fully_read()) return std::nullopt;
  return ack;
}
std::optional<PeerCall> unpack_call(const Frame& frame) {
  Unpacker u(frame.payload);
  PeerCall call;
  call.method = u.text();
  call.target = u.text();
  call.body = u.text();
  if (!has_kind(frame, PeerFrameKind::call) || !u.is_fully_read()) return std::nullopt;
  return call;
}
std::optional<HttpReply> unpack_reply(const Frame& frame, double call_sent_at) {
  Unpacker u(frame.payload);
  HttpReply reply;
  reply.status = u.integer<std::uint16_t>();
  reply.retry_after_s = u.integer<std::uint16_t>();
  if (const auto remaining_ms = u.integer<std::uint32_t>(); remaining_ms != kUnlimitedValidity)
    reply.valid_until = call_sent_at + remaining_ms / kMillisPerSecond;
  reply.body = u.text();
  if (!has_kind(frame, PeerFrameKind::reply) || !u.is_fully_read()) return std::nullopt;
  return reply;
}

}  // namespace thistlefront
