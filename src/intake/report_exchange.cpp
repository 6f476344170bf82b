#include "intake/report_exchange.hpp"

#include <algorithm>
#include <tuple>

namespace thistle {

namespace {

auto key_of(const PieceId& id, const std::uint64_t& attempt) {
  return std::tie(id.uid, id.task, attempt);
}

bool same_attempt(const ReportedPiece& a, const ReportedPiece& b) {
  return a.attempt == b.attempt && a.id.task == b.id.task && a.id.uid == b.id.uid;
}
bool same_state(const ReportedPiece& a, const ReportedPiece& b) {
  return a.phase == b.phase && a.cause == b.cause && a.checkpointed == b.checkpointed;
}
bool same_piece(const ReportedPiece& a, const ReportedPiece& b) {
  return same_attempt(a, b) && same_state(a, b);
}

// Everything that a difference does not carry.
bool same_machine(const Report& a, const Report& b) {
  return a.address == b.address && a.machine_type == b.machine_type && a.yard == b.yard && a.loaner == b.loaner;
}

std::vector<const ReportedPiece*> sorted(const std::vector<ReportedPiece>& pieces) {
  std::vector<const ReportedPiece*> out;
  out.reserve(pieces.size());
  for (const auto& piece : pieces) out.push_back(&piece);
  std::sort(out.begin(), out.end(), [](const auto* a, const auto* b) { return key_of(a->id, a->attempt) < key_of(b->id, b->attempt); });
  return out;
}

bool names_one_twice(const std::vector<const ReportedPiece*>& pieces) {
  return std::adjacent_find(pieces.begin(), pieces.end(), [](const auto* a, const auto* b) { return same_attempt(*a, *b); }) !=
         pieces.end();
}

// Fills in what has changed between two lists of tasks; false where a difference can't tell.
bool note_difference(const Report& base, const Report& report, ReportDelta& delta) {
  const auto before = sorted(base.tasks), after = sorted(report.tasks);
  if (names_one_twice(before) || names_one_twice(after)) return false;
  auto old = before.begin();
  const auto is_before = [](const ReportedPiece& a, const ReportedPiece& b) { return key_of(a.id, a.attempt) < key_of(b.id, b.attempt); };
  for (const auto* piece : after) {
    for (; old != before.end() && is_before(**old, *piece); ++old) delta.removed.push_back({(*old)->id, (*old)->attempt});
    const bool known = old != before.end() && same_attempt(**old, *piece);
    if (!known || !same_state(**old, *piece)) delta.tasks.push_back(*piece);
    if (known) ++old;
  }
  for (; old != before.end(); ++old) delta.removed.push_back({(*old)->id, (*old)->attempt});
  return true;
}

ReportDelta whole(const Report& report) {
  ReportDelta delta;
  delta.kind = ReportDelta::Kind::whole;
  delta.host = report.host;
  delta.tenure = report.tenure;
  delta.serial = report.serial;
  delta.epoch = report.epoch;
  delta.recall_s = report.recall_s;
  delta.address = report.address;
  delta.machine_type = report.machine_type;
  delta.yard = report.yard;
  delta.loaner = report.loaner;
  delta.tasks = report.tasks;
  return delta;
}

Report from_whole(const ReportDelta& delta) {
  return {delta.host,   delta.address, delta.machine_type, delta.yard,     delta.loaner,
          delta.tenure, delta.serial,  delta.epoch,        delta.recall_s, delta.tasks};
}

void apply_difference(const ReportDelta& delta, std::vector<ReportedPiece>& pieces) {
  std::erase_if(pieces, [&](const ReportedPiece& p) {
    return std::any_of(delta.removed.begin(), delta.removed.end(),
                       [&](const AttemptKey& key) { return key_of(key.id, key.attempt) == key_of(p.id, p.attempt); });
  });
  for (const auto& changed : delta.tasks) {
    const auto known = std::find_if(pieces.begin(), pieces.end(), [&](const ReportedPiece& p) { return same_attempt(p, changed); });
    if (known != pieces.end())
      *known = changed;
    else
      pieces.push_back(changed);
  }
}

}  // namespace

ReportDelta ReportSender::encode(const Report& report) const {
  const auto it = acknowledged_.find(report.host);
  if (it == acknowledged_.end()) return whole(report);
  const Report& base = it->second;
  if (base.tenure != report.tenure || base.serial >= report.serial || !same_machine(base, report)) return whole(report);
  ReportDelta delta;
  delta.kind = ReportDelta::Kind::unchanged;
  delta.host = report.host;
  delta.tenure = report.tenure;
  delta.serial = report.serial;
  delta.epoch = report.epoch;
  delta.recall_s = report.recall_s;
  delta.base_serial = base.serial;
  if (report.repeated_serial == base.serial) return delta;
  if (std::equal(base.tasks.begin(), base.tasks.end(), report.tasks.begin(), report.tasks.end(), same_piece)) return delta;
  if (!note_difference(base, report, delta)) return whole(report);
  const bool changed = !delta.tasks.empty() || !delta.removed.empty();
  delta.kind = changed ? ReportDelta::Kind::difference : ReportDelta::Kind::unchanged;
  return packed_size(delta) < packed_size(whole(report)) ? delta : whole(report);
}

void ReportSender::record_acknowledged(const Report& report) {
  Report& known = acknowledged_[report.host];
  if (std::tie(report.tenure, report.serial) < std::tie(known.tenure, known.serial)) return;
  // The tasks are those that stand here already.
  if (report.repeated_serial == known.serial && report.tenure == known.tenure) {
    known.serial = report.serial;
    return;
  }
  known = report;
}

void ReportSender::forget(const std::string& host) {
  if (const auto it = acknowledged_.find(host); it != acknowledged_.end()) acknowledged_.erase(it);
}

const Report* ReportReceiver::decode(const ReportDelta& delta) {
  if (delta.kind == ReportDelta::Kind::whole) return &(received_[delta.host] = from_whole(delta));
  const auto it = received_.find(delta.host);
  if (it == received_.end()) return nullptr;
  Report& report = it->second;
  if (report.tenure != delta.tenure || report.serial != delta.base_serial) return nullptr;
  report.repeated_serial.reset();
  if (delta.kind == ReportDelta::Kind::unchanged)
    report.repeated_serial = report.serial;
  else
    apply_difference(delta, report.tasks);
  report.serial = delta.serial;
  report.epoch = delta.epoch;
  report.recall_s = delta.recall_s;
  return &report;
}

}  // namespace thistle
