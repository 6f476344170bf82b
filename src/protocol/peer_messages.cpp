#include "protocol/peer_messages.hpp"

#include <algorithm>

namespace thistle {

namespace {
constexpr double kLongestValidity = 1e6;  // seconds; beyond it an answer is valid for good
Frame frame_of(PeerKind kind, Packer& packer) {
  return {static_cast<std::uint8_t>(kind), packer.take()};
}
bool is(const Frame& frame, PeerKind kind) {
  return frame.kind == static_cast<std::uint8_t>(kind);
}
}  // namespace

Frame pack(const Beat& beat) {
  Packer p;
  p.integer(beat.epoch)
      .integer(beat.takeover_epoch)
      .text(beat.label)
      .integer(beat.echoed_process)
      .integer(beat.echoed_clock_ms)
      .integer(beat.owed_ms);
  return frame_of(PeerKind::beat, p);
}
Frame pack(const BeatAck& ack) {
  Packer p;
  p.integer(ack.epoch).text(ack.leader).integer(ack.process).integer(ack.clock_ms).integer(ack.kept_ms_ago);
  return frame_of(PeerKind::beat_ack, p);
}
Frame pack(const PeerCall& call) {
  Packer p;
  p.text(call.method).text(call.target).text(call.body);
  return frame_of(PeerKind::call, p);
}
Frame pack(const HttpReply& reply, double now) {
  const double left = reply.valid_until - now;
  Packer p;
  p.integer(static_cast<std::uint16_t>(reply.status))
      .integer(static_cast<std::uint16_t>(reply.retry_after_s))
      .integer(left < kLongestValidity ? static_cast<std::uint32_t>(std::max(0.0, left) * 1000) : UINT32_MAX)
      .text(reply.body);
  return frame_of(PeerKind::reply, p);
}

std::optional<Beat> unpack_beat(const Frame& frame) {
  Unpacker u(frame.payload);
  Beat beat;
  beat.epoch = u.integer<std::uint64_t>();
  beat.takeover_epoch = u.integer<std::uint64_t>();
  beat.label = u.text();
  beat.echoed_process = u.integer<std::uint64_t>();
  beat.echoed_clock_ms = u.integer<std::uint64_t>();
  beat.owed_ms = u.integer<std::uint32_t>();
  if (!is(frame, PeerKind::beat) || !u.done()) return std::nullopt;
  return beat;
}
std::optional<BeatAck> unpack_ack(const Frame& frame) {
  Unpacker u(frame.payload);
  BeatAck ack;
  ack.epoch = u.integer<std::uint64_t>();
  ack.leader = u.text();
  ack.process = u.integer<std::uint64_t>();
  ack.clock_ms = u.integer<std::uint64_t>();
  ack.kept_ms_ago = u.integer<std::uint32_t>();
  if (!is(frame, PeerKind::beat_ack) || !u.done()) return std::nullopt;
  return ack;
}
std::optional<PeerCall> unpack_call(const Frame& frame) {
  Unpacker u(frame.payload);
  PeerCall call;
  call.method = u.text();
  call.target = u.text();
  call.body = u.text();
  if (!is(frame, PeerKind::call) || !u.done()) return std::nullopt;
  return call;
}
std::optional<HttpReply> unpack_reply(const Frame& frame, double asked) {
  Unpacker u(frame.payload);
  HttpReply reply;
  reply.status = u.integer<std::uint16_t>();
  reply.retry_after_s = u.integer<std::uint16_t>();
  if (const auto left_ms = u.integer<std::uint32_t>(); left_ms != UINT32_MAX) reply.valid_until = asked + left_ms / 1000.0;
  reply.body = u.text();
  if (!is(frame, PeerKind::reply) || !u.done()) return std::nullopt;
  return reply;
}

}  // namespace thistle
