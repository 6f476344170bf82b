#include "protocol/relay_messages.hpp"

#include <algorithm>
#include <cmath>

#include "protocol/peer_messages.hpp"

namespace thistlefront {

namespace {

constexpr std::uint8_t kRelayMessageVersion = 1;
constexpr std::size_t kMaxHeartbeatsInBatch = 4096;
constexpr std::size_t kMaxTasksInHeartbeat = 100000;
// Upper bounds in bytes for packed_size(), without the characters of texts.
constexpr std::size_t kMaxDeltaBytes = 96, kMaxTaskReportBytes = 24;
constexpr std::size_t kTextLengthBytes = 4;                      // length field before each text
constexpr std::uint8_t kHasInterruptionFlag = 1, kSpotFlag = 2;  // of a delta
constexpr std::uint8_t kCheckpointedFlag = 1;                    // of a task report
constexpr double kMillisPerSecond = 1000;

std::uint32_t to_millis(double seconds) {
  return static_cast<std::uint32_t>(std::min(std::max(0.0, std::ceil(seconds * kMillisPerSecond)), static_cast<double>(UINT32_MAX)));
}
double from_millis(std::uint32_t millis) {
  return millis / kMillisPerSecond;
}

template <class Enum>
Enum read_enum(Unpacker& in, Enum last, bool& valid, std::uint8_t first = 0) {
  const auto value = in.integer<std::uint8_t>();
  if (value < first || value > static_cast<std::uint8_t>(last)) valid = false;
  return static_cast<Enum>(value);
}

// Reads the length of a list; clears `valid` if it exceeds `max_count`.
std::size_t read_count(Unpacker& in, std::size_t max_count, bool& valid) {
  const std::size_t count = in.integer<std::uint32_t>();
  if (count <= max_count && in.ok()) return count;
  valid = false;
  return 0;
}

void write(Packer& out, const TaskId& id, std::uint64_t attempt) {
  out.text(id.uid).integer(id.task).integer(attempt);
}
AttemptKey read_attempt_key(Unpacker& in) {
  AttemptKey key;
  key.id.uid = in.text();
  key.id.task = in.integer<std::uint32_t>();
  key.attempt = in.integer<std::uint64_t>();
  return key;
}

void write(Packer& out, const TaskReport& task_report) {
  write(out, task_report.id, task_report.attempt);
  out.integer(static_cast<std::uint8_t>(task_report.phase)).integer(static_cast<std::uint8_t>(task_report.exit_reason));
  out.integer(static_cast<std::uint8_t>(task_report.checkpointed ? kCheckpointedFlag : 0));
}
TaskReport read_task_report(Unpacker& in, bool& valid) {
  TaskReport task_report;
  auto key = read_attempt_key(in);
  task_report.id = std::move(key.id);
  task_report.attempt = key.attempt;
  task_report.phase = read_enum(in, TaskPhase::exited, valid);
  task_report.exit_reason = read_enum(in, ExitReason::node_lost, valid);
  task_report.checkpointed = in.integer<std::uint8_t>() == kCheckpointedFlag;
  return task_report;
}

void write(Packer& out, const HeartbeatDelta& delta) {
  out.integer(static_cast<std::uint8_t>(delta.kind)).text(delta.node);
  out.integer(delta.agent_incarnation).integer(delta.serial).integer(delta.fencing_token);
  const int flags = (delta.interruption_in_s ? kHasInterruptionFlag : 0) | (delta.spot ? kSpotFlag : 0);
  out.integer(static_cast<std::uint8_t>(flags)).integer(to_millis(delta.interruption_in_s.value_or(0)));
  if (delta.kind != HeartbeatDelta::Kind::full) out.integer(delta.base_serial);
  if (delta.kind == HeartbeatDelta::Kind::unchanged) return;
  if (delta.kind == HeartbeatDelta::Kind::full) out.text(delta.address).text(delta.machine_type).text(delta.zone);
  out.integer(static_cast<std::uint32_t>(delta.tasks.size()));
  for (const auto& task_report : delta.tasks) write(out, task_report);
  if (delta.kind == HeartbeatDelta::Kind::full) return;
  out.integer(static_cast<std::uint32_t>(delta.removed.size()));
  for (const auto& key : delta.removed) write(out, key.id, key.attempt);
}
HeartbeatDelta read_delta(Unpacker& in, bool& valid) {
  HeartbeatDelta delta;
  delta.kind = read_enum(in, HeartbeatDelta::Kind::unchanged, valid, 1);
  delta.node = in.text();
  delta.agent_incarnation = in.integer<std::uint64_t>();
  delta.serial = in.integer<std::uint64_t>();
  delta.fencing_token = in.integer<std::uint64_t>();
  const auto flags = in.integer<std::uint8_t>();
  const double interruption_in_s = from_millis(in.integer<std::uint32_t>());
  if (flags & kHasInterruptionFlag) delta.interruption_in_s = interruption_in_s;
  delta.spot = flags & kSpotFlag;
  if (delta.node.empty()) valid = false;
  if (!valid) return delta;
  if (delta.kind != HeartbeatDelta::Kind::full) delta.base_serial = in.integer<std::uint64_t>();
  if (delta.kind == HeartbeatDelta::Kind::unchanged) return delta;
  if (delta.kind == HeartbeatDelta::Kind::full) {
    delta.address = in.text();
    delta.machine_type = in.text();
    delta.zone = in.text();
    if (delta.address.empty() || delta.machine_type.empty() || delta.zone.empty()) valid = false;
  }
  for (auto remaining = read_count(in, kMaxTasksInHeartbeat, valid); remaining > 0 && valid && in.ok(); --remaining)
    delta.tasks.push_back(read_task_report(in, valid));
  if (delta.kind == HeartbeatDelta::Kind::full) return delta;
  for (auto remaining = read_count(in, kMaxTasksInHeartbeat, valid); remaining > 0 && valid && in.ok(); --remaining)
    delta.removed.push_back(read_attempt_key(in));
  return delta;
}

void write(Packer& out, const Command& command) {
  out.integer(static_cast<std::uint8_t>(command.type));
  write(out, command.id, command.attempt);
  out.integer(to_millis(command.grace_period_s));
}
Command read_command(Unpacker& in, bool& valid) {
  Command command;
  command.type = read_enum(in, CommandType::acknowledge_exit, valid);
  auto key = read_attempt_key(in);
  command.id = std::move(key.id);
  command.attempt = key.attempt;
  command.grace_period_s = from_millis(in.integer<std::uint32_t>());
  return command;
}

Frame make_frame(PeerFrameKind kind, Packer& out) {
  return {static_cast<std::uint8_t>(kind), out.take_bytes()};
}
// Whether the frame has this kind and the version of this build. Reads the version from `in`.
bool read_header(const Frame& frame, PeerFrameKind kind, Unpacker& in) {
  return frame.kind == static_cast<std::uint8_t>(kind) && in.integer<std::uint8_t>() == kRelayMessageVersion;
}

}  // namespace

std::size_t packed_size(const HeartbeatDelta& delta) {
  std::size_t bytes = kMaxDeltaBytes + delta.node.size() + delta.address.size() + delta.machine_type.size() + delta.zone.size();
  for (const auto& task_report : delta.tasks) bytes += kMaxTaskReportBytes + task_report.id.uid.size();
  for (const auto& key : delta.removed) bytes += kMaxTaskReportBytes + key.id.uid.size();
  return bytes + 4 * kTextLengthBytes;
}

Frame pack(const HeartbeatBatch& batch) {
  Packer out;
  out.integer(kRelayMessageVersion).text(batch.sender).integer(batch.takeover_token).integer(batch.agent_count);
  out.integer(static_cast<std::uint32_t>(batch.heartbeats.size()));
  for (const auto& heartbeat : batch.heartbeats) write(out, heartbeat);
  return make_frame(PeerFrameKind::heartbeat_batch, out);
}

Frame pack(const HeartbeatBatchReply& reply) {
  Packer out;
  out.integer(kRelayMessageVersion)
      .integer(reply.takeover_token)
      .integer(reply.fencing_token)
      .integer(reply.redirect_count)
      .text(reply.redirect_target);
  out.integer(static_cast<std::uint32_t>(reply.replies.size()));
  for (const auto& heartbeat_reply : reply.replies) {
    out.integer(static_cast<std::uint8_t>(heartbeat_reply.outcome)).integer(static_cast<std::uint32_t>(heartbeat_reply.commands.size()));
    for (const auto& command : heartbeat_reply.commands) write(out, command);
  }
  return make_frame(PeerFrameKind::heartbeat_batch_reply, out);
}

std::optional<HeartbeatBatch> unpack_heartbeat_batch(const Frame& frame) {
  Unpacker in(frame.payload);
  if (!read_header(frame, PeerFrameKind::heartbeat_batch, in)) return std::nullopt;
  bool valid = true;
  HeartbeatBatch batch;
  batch.sender = in.text();
  batch.takeover_token = in.integer<std::uint64_t>();
  batch.agent_count = in.integer<std::uint32_t>();
  for (auto remaining = read_count(in, kMaxHeartbeatsInBatch, valid); remaining > 0 && valid && in.ok(); --remaining)
    batch.heartbeats.push_back(read_delta(in, valid));
  if (!valid || !in.is_fully_read()) return std::nullopt;
  return batch;
}

std::optional<HeartbeatBatchReply> unpack_heartbeat_batch_reply(const Frame& frame) {
  Unpacker in(frame.payload);
  if (!read_header(frame, PeerFrameKind::heartbeat_batch_reply, in)) return std::nullopt;
  bool valid = true;
  HeartbeatBatchReply reply;
  reply.takeover_token = in.integer<std::uint64_t>();
  reply.fencing_token = in.integer<std::uint64_t>();
  reply.redirect_count = in.integer<std::uint32_t>();
  reply.redirect_target = in.text();
  for (auto remaining = read_count(in, kMaxHeartbeatsInBatch, valid); remaining > 0 && valid && in.ok(); --remaining) {
    HeartbeatReply heartbeat_reply;
    heartbeat_reply.outcome = read_enum(in, HeartbeatReply::Outcome::retry_later, valid, 1);
    for (auto remaining_commands = read_count(in, kMaxTasksInHeartbeat, valid); remaining_commands > 0 && valid && in.ok();
         --remaining_commands)
      heartbeat_reply.commands.push_back(read_command(in, valid));
    reply.replies.push_back(std::move(heartbeat_reply));
  }
  if (!valid || !in.is_fully_read()) return std::nullopt;
  return reply;
}

}  // namespace thistlefront
