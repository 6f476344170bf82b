#include "ledger/ledger_reader.hpp"

#include <algorithm>
#include <exception>
#include <utility>

#include "model/identifiers.hpp"

namespace thistlefront {

bool LedgerReader::fail(const std::string& key, const std::string& reason) {
  error_ = "ledger entry " + key + " can't be read: " + reason;
  return false;
}

bool LedgerReader::add_entry(EntryPage::Row row) {
  std::uint64_t key_number = 0;
  try {
    key_number = parse_key_number(row.key);
  } catch (const std::exception&) {
    return fail(row.key, "not an entry's key");
  }
  // The version is checked first: an entry of an unknown version may not be parsable.
  const auto version = row.entry.format_version;
  if (version < min_version_ || version > max_version_)
    return fail(row.key, "it is of state level " + std::to_string(version) + ", and this build reads " + std::to_string(min_version_) +
                             " to " + std::to_string(max_version_));
  if (!row.error.empty()) return fail(row.key, row.error);
  const auto number = reuses_keys(version) ? row.entry.number : key_number;
  parsed_.push_back({number, {key_number, row.mod_revision}, std::move(row.entry)});
  return true;
}

bool LedgerReader::finish() {
  std::sort(parsed_.begin(), parsed_.end(), [](const ParsedEntry& a, const ParsedEntry& b) { return a.number < b.number; });
  // Entries before the first needed one are outdated. Applying them would restore state that no longer holds.
  const auto first_needed = parsed_.empty() ? 0 : parsed_.back().entry.first_needed;
  for (const auto& parsed : parsed_) {
    if (parsed.number < first_needed) {
      contents_.stored.free_slots.push_back(parsed.slot);
    } else if (!apply(parsed)) {
      return false;
    }
  }
  parsed_.clear();
  cluster_state_.finish_replay();
  return true;
}

bool LedgerReader::apply(const ParsedEntry& parsed) {
  if (const auto reason = find_sequence_error(parsed)) return fail(entry_key(parsed.slot.key_number), *reason);
  apply_records(parsed);
  update_contents(parsed);
  ++applied_entries_;
  return true;
}

// Why the entry cannot follow those applied so far; nothing if it can.
std::optional<std::string> LedgerReader::find_sequence_error(const ParsedEntry& parsed) const {
  if (contents_.stored.slots.contains(parsed.number)) return "another entry has the same number";
  // The first applied entry links to entries that have been removed. Entries of version 1 have no link: after such an entry, both
  // previous_link and newest_link are 0.
  if (!has_checksums(parsed.entry.format_version) || applied_entries_ == 0) return std::nullopt;
  if (parsed.entry.previous_link == contents_.newest_link) return std::nullopt;
  return "it does not follow entry " + std::to_string(contents_.stored.next_number - 1) +
         ": an entry between them is missing, or an earlier entry is outdated";
}

void LedgerReader::apply_records(const ParsedEntry& parsed) {
  auto& compactor = contents_.compactor;
  for (const auto& record : parsed.entry.records) {
    cluster_state_.replay(record);
    if (const auto singleton_key = LedgerCompactor::singleton_key_of(record, cluster_state_))
      compactor.record_first_entry(parsed.number, *singleton_key);
  }
  for (; tracked_jobs_ < cluster_state_.job_count(); ++tracked_jobs_)
    compactor.record_first_entry(parsed.number, JobIndex{static_cast<std::uint32_t>(tracked_jobs_)});
}

void LedgerReader::update_contents(const ParsedEntry& parsed) {
  const auto& entry = parsed.entry;
  auto& stored = contents_.stored;
  if (applied_entries_ == 0) stored.first_number = parsed.number;
  stored.next_number = parsed.number + 1;
  stored.slots[parsed.number] = parsed.slot;
  if (entry.format_version != contents_.format_version) contents_.current_version_from = parsed.number;
  contents_.format_version = entry.format_version;
  contents_.generation = entry.generation;
  contents_.newest_link = has_checksums(entry.format_version) ? link_of(entry.previous_link, parsed.number, entry.checksum) : 0;
  contents_.seq = std::max(contents_.seq, entry.seq);
}

}  // namespace thistlefront
