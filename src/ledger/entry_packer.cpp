#include "ledger/entry_packer.hpp"

#include <algorithm>
#include <string>

#include "protocol/messages.hpp"

namespace thistlefront {

namespace {
constexpr std::uint32_t kWidestFormatVersion = UINT32_MAX;  // the one whose records have the most fields
constexpr std::size_t kPlainEntryBytes = 64;                // of an entry without checksums, beside its records
constexpr std::size_t kCheckedEntryBytes = 200;             // of an entry with checksums, beside its records
constexpr std::size_t kTaskRangesBytes = 250;               // kept for a job's tasks beside its description
constexpr double kMaxRecordShare = 0.9;                     // of an entry's room, for one record
constexpr std::size_t kShownBytes = 60;                     // of a record that is too large

std::size_t widest_size(const Record& record) {
  return encode_record(record, kWidestFormatVersion).text.size();
}
}  // namespace

std::size_t max_record_bytes(std::size_t value_bytes) {
  const auto room = value_bytes > 2 * kCheckedEntryBytes ? value_bytes - kCheckedEntryBytes : kCheckedEntryBytes;
  return std::min(kDefaultRecordBytes, static_cast<std::size_t>(static_cast<double>(room) * kMaxRecordShare));
}

bool fits_in_entry(const JobAcceptedRecord& accept, std::size_t value_bytes) {
  JobSnapshotRecord snapshot;
  snapshot.accepted = accept;
  return widest_size(snapshot) + kTaskRangesBytes + kCheckedEntryBytes <= value_bytes;
}

bool fits_in_entry(const MachineTypesRecord& machine_types, std::size_t value_bytes) {
  return widest_size(machine_types) + kCheckedEntryBytes <= value_bytes;
}

EntryPacker::EntryPacker(PendingCommit& commit, std::uint32_t format_version, const CommitLimits& limits)
    : commit_(commit),
      format_version_(format_version),
      value_bytes_(limits.value_bytes),
      max_entries_(limits.max_puts),
      overhead_bytes_(has_checksums(format_version) ? kCheckedEntryBytes : kPlainEntryBytes) {}

bool EntryPacker::append(const Record& record) {
  const auto encoded = encode_record(record, format_version_);
  const auto& text = encoded.text;
  if (text.size() + overhead_bytes_ > value_bytes_)
    commit_.too_large.push_back(std::to_string(text.size()) + " bytes: " + text.substr(0, kShownBytes));
  auto& entries = commit_.entries;
  const auto& last = entries.back();
  if (!last.records.empty() && last.records.size() + text.size() + overhead_bytes_ > value_bytes_) {
    if (entries.size() >= max_entries_) return false;
    PendingEntry next;
    next.number = last.number + 1;
    entries.push_back(std::move(next));
  }
  auto& target = entries.back();
  if (!target.records.empty()) target.records += ',';
  target.records += text;
  target.digest = digest_with_record(target.digest, encoded);
  return true;
}

}  // namespace thistlefront
