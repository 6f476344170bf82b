#include "protocol/intake_messages.hpp"

#include <cmath>

#include "protocol/peer_messages.hpp"

namespace thistle {

namespace {

constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kMostInBatch = 4096;     // reports
constexpr std::size_t kMostInReport = 100000;  // tasks
constexpr std::size_t kDeltaBytes = 96, kPieceBytes = 24, kTextBytes = 4;
constexpr std::uint8_t kHasRecall = 1, kLoaner = 2, kKept = 1;
constexpr double kMillis = 1000;

std::uint32_t to_millis(double seconds) {
  return static_cast<std::uint32_t>(std::min(std::max(0.0, std::ceil(seconds * kMillis)), static_cast<double>(UINT32_MAX)));
}
double from_millis(std::uint32_t millis) {
  return millis / kMillis;
}

template <class Enum>
Enum read_enum(Unpacker& in, Enum last, bool& valid, std::uint8_t first = 0) {
  const auto value = in.integer<std::uint8_t>();
  if (value < first || value > static_cast<std::uint8_t>(last)) valid = false;
  return static_cast<Enum>(value);
}

// A count of items that are each at least one byte long; above the bound it is malformed.
std::size_t read_count(Unpacker& in, std::size_t most, bool& valid) {
  const std::size_t count = in.integer<std::uint32_t>();
  if (count <= most && in.ok()) return count;
  valid = false;
  return 0;
}

void write(Packer& out, const PieceId& id, std::uint64_t attempt) {
  out.text(id.uid).integer(id.task).integer(attempt);
}
AttemptKey read_key(Unpacker& in) {
  AttemptKey key;
  key.id.uid = in.text();
  key.id.task = in.integer<std::uint32_t>();
  key.attempt = in.integer<std::uint64_t>();
  return key;
}

void write(Packer& out, const ReportedPiece& piece) {
  write(out, piece.id, piece.attempt);
  out.integer(static_cast<std::uint8_t>(piece.phase)).integer(static_cast<std::uint8_t>(piece.cause));
  out.integer(static_cast<std::uint8_t>(piece.checkpointed ? kKept : 0));
}
ReportedPiece read_piece(Unpacker& in, bool& valid) {
  ReportedPiece piece;
  auto key = read_key(in);
  piece.id = std::move(key.id);
  piece.attempt = key.attempt;
  piece.phase = read_enum(in, Phase::exited, valid);
  piece.cause = read_enum(in, Cause::lost, valid);
  piece.checkpointed = in.integer<std::uint8_t>() == kKept;
  return piece;
}

void write(Packer& out, const ReportDelta& delta) {
  out.integer(static_cast<std::uint8_t>(delta.kind)).text(delta.host);
  out.integer(delta.tenure).integer(delta.serial).integer(delta.epoch);
  const int flags = (delta.recall_s ? kHasRecall : 0) | (delta.loaner ? kLoaner : 0);
  out.integer(static_cast<std::uint8_t>(flags)).integer(to_millis(delta.recall_s.value_or(0)));
  if (delta.kind != ReportDelta::Kind::whole) out.integer(delta.base_serial);
  if (delta.kind == ReportDelta::Kind::unchanged) return;
  if (delta.kind == ReportDelta::Kind::whole) out.text(delta.address).text(delta.machine_type).text(delta.yard);
  out.integer(static_cast<std::uint32_t>(delta.tasks.size()));
  for (const auto& piece : delta.tasks) write(out, piece);
  if (delta.kind == ReportDelta::Kind::whole) return;
  out.integer(static_cast<std::uint32_t>(delta.removed.size()));
  for (const auto& key : delta.removed) write(out, key.id, key.attempt);
}
ReportDelta read_delta(Unpacker& in, bool& valid) {
  ReportDelta delta;
  delta.kind = read_enum(in, ReportDelta::Kind::unchanged, valid, 1);
  delta.host = in.text();
  delta.tenure = in.integer<std::uint64_t>();
  delta.serial = in.integer<std::uint64_t>();
  delta.epoch = in.integer<std::uint64_t>();
  const auto flags = in.integer<std::uint8_t>();
  const double recall_s = from_millis(in.integer<std::uint32_t>());
  if (flags & kHasRecall) delta.recall_s = recall_s;
  delta.loaner = flags & kLoaner;
  if (delta.host.empty()) valid = false;
  if (!valid) return delta;
  if (delta.kind != ReportDelta::Kind::whole) delta.base_serial = in.integer<std::uint64_t>();
  if (delta.kind == ReportDelta::Kind::unchanged) return delta;
  if (delta.kind == ReportDelta::Kind::whole) {
    delta.address = in.text();
    delta.machine_type = in.text();
    delta.yard = in.text();
    if (delta.address.empty() || delta.machine_type.empty() || delta.yard.empty()) valid = false;
  }
  for (auto left = read_count(in, kMostInReport, valid); left > 0 && valid && in.ok(); --left) delta.tasks.push_back(read_piece(in, valid));
  if (delta.kind == ReportDelta::Kind::whole) return delta;
  for (auto left = read_count(in, kMostInReport, valid); left > 0 && valid && in.ok(); --left) delta.removed.push_back(read_key(in));
  return delta;
}

void write(Packer& out, const Order& order) {
  out.integer(static_cast<std::uint8_t>(order.type));
  write(out, order.id, order.attempt);
  out.integer(to_millis(order.wind_down_s));
}
Order read_order(Unpacker& in, bool& valid) {
  Order order;
  order.type = read_enum(in, Verb::reap, valid);
  auto key = read_key(in);
  order.id = std::move(key.id);
  order.attempt = key.attempt;
  order.wind_down_s = from_millis(in.integer<std::uint32_t>());
  return order;
}

Frame frame_of(PeerKind kind, Packer& out) {
  return {static_cast<std::uint8_t>(kind), out.take()};
}
bool begins_as(const Frame& frame, PeerKind kind, Unpacker& in) {
  return frame.kind == static_cast<std::uint8_t>(kind) && in.integer<std::uint8_t>() == kVersion;
}

}  // namespace

std::size_t packed_size(const ReportDelta& delta) {
  std::size_t bytes = kDeltaBytes + delta.host.size() + delta.address.size() + delta.machine_type.size() + delta.yard.size();
  for (const auto& piece : delta.tasks) bytes += kPieceBytes + piece.id.uid.size();
  for (const auto& key : delta.removed) bytes += kPieceBytes + key.id.uid.size();
  return bytes + 4 * kTextBytes;
}

Frame pack(const IntakeBatch& batch) {
  Packer out;
  out.integer(kVersion).text(batch.sender).integer(batch.takeover_epoch).integer(batch.worker_count);
  out.integer(static_cast<std::uint32_t>(batch.reports.size()));
  for (const auto& report : batch.reports) write(out, report);
  return frame_of(PeerKind::intake_batch, out);
}

Frame pack(const IntakeAnswer& answer) {
  Packer out;
  out.integer(kVersion).integer(answer.takeover_epoch).integer(answer.epoch).integer(answer.redirect_count).text(answer.redirect_target);
  out.integer(static_cast<std::uint32_t>(answer.answers.size()));
  for (const auto& worker : answer.answers) {
    out.integer(static_cast<std::uint8_t>(worker.outcome)).integer(static_cast<std::uint32_t>(worker.orders.size()));
    for (const auto& order : worker.orders) write(out, order);
  }
  return frame_of(PeerKind::intake_answer, out);
}

std::optional<IntakeBatch> unpack_intake_batch(const Frame& frame) {
  Unpacker in(frame.payload);
  if (!begins_as(frame, PeerKind::intake_batch, in)) return std::nullopt;
  bool valid = true;
  IntakeBatch batch;
  batch.sender = in.text();
  batch.takeover_epoch = in.integer<std::uint64_t>();
  batch.worker_count = in.integer<std::uint32_t>();
  for (auto left = read_count(in, kMostInBatch, valid); left > 0 && valid && in.ok(); --left)
    batch.reports.push_back(read_delta(in, valid));
  if (!valid || !in.done()) return std::nullopt;
  return batch;
}

std::optional<IntakeAnswer> unpack_intake_answer(const Frame& frame) {
  Unpacker in(frame.payload);
  if (!begins_as(frame, PeerKind::intake_answer, in)) return std::nullopt;
  bool valid = true;
  IntakeAnswer answer;
  answer.takeover_epoch = in.integer<std::uint64_t>();
  answer.epoch = in.integer<std::uint64_t>();
  answer.redirect_count = in.integer<std::uint32_t>();
  answer.redirect_target = in.text();
  for (auto left = read_count(in, kMostInBatch, valid); left > 0 && valid && in.ok(); --left) {
    WorkerAnswer worker;
    worker.outcome = read_enum(in, WorkerAnswer::Outcome::retry_later, valid, 1);
    for (auto orders = read_count(in, kMostInReport, valid); orders > 0 && valid && in.ok(); --orders)
      worker.orders.push_back(read_order(in, valid));
    answer.answers.push_back(std::move(worker));
  }
  if (!valid || !in.done()) return std::nullopt;
  return answer;
}

}  // namespace thistle
