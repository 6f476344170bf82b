#include "ledger/entry_packer.hpp"

#include <algorithm>
#include <string>

#include "protocol/messages.hpp"

namespace thistlefront {

namespace {
// Each format version only adds fields to records, so the highest version gives the largest encoding.
constexpr std::uint32_t kLargestEncodingVersion = UINT32_MAX;
constexpr std::size_t kPlainOverheadBytes = 64;         // of an entry without checksums, excluding its records
constexpr std::size_t kChecksummedOverheadBytes = 200;  // of an entry with checksums, excluding its records
constexpr std::size_t kReservedTaskRangesBytes = 250;   // for the task ranges in a job snapshot
constexpr double kMaxRecordFraction = 0.9;              // of an entry's capacity, for one record
constexpr std::size_t kMaxLoggedRecordBytes = 60;       // of a record that is too large

std::size_t max_encoded_bytes(const Record& record) {
  return encode_record(record, kLargestEncodingVersion).text.size();
}
}  // namespace

std::size_t max_record_bytes(std::size_t value_bytes) {
  const auto capacity_bytes =
      value_bytes > 2 * kChecksummedOverheadBytes ? value_bytes - kChecksummedOverheadBytes : kChecksummedOverheadBytes;
  return std::min(kDefaultRecordBytes, static_cast<std::size_t>(static_cast<double>(capacity_bytes) * kMaxRecordFraction));
}

bool fits_in_entry(const JobAcceptedRecord& accepted, std::size_t value_bytes) {
  JobSnapshotRecord snapshot;
  snapshot.accepted = accepted;
  return max_encoded_bytes(snapshot) + kReservedTaskRangesBytes + kChecksummedOverheadBytes <= value_bytes;
}

bool fits_in_entry(const MachineTypesRecord& machine_types, std::size_t value_bytes) {
  return max_encoded_bytes(machine_types) + kChecksummedOverheadBytes <= value_bytes;
}

EntryPacker::EntryPacker(PendingCommit& commit, std::uint32_t format_version, const CommitLimits& limits)
    : commit_(commit),
      format_version_(format_version),
      value_bytes_(limits.value_bytes),
      max_entries_(limits.max_puts),
      overhead_bytes_(has_checksums(format_version) ? kChecksummedOverheadBytes : kPlainOverheadBytes) {}

bool EntryPacker::append(const Record& record) {
  const auto encoded = encode_record(record, format_version_);
  const auto& text = encoded.text;
  if (text.size() + overhead_bytes_ > value_bytes_)
    commit_.too_large.push_back(std::to_string(text.size()) + " bytes: " + text.substr(0, kMaxLoggedRecordBytes));
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
  target.digest = extend_digest_with_record(target.digest, encoded);
  return true;
}

}  // namespace thistlefront
