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
  std::uint64_t number = 0;
  try {
    number = entry_number(row.key);
  } catch (const std::exception&) {
    return fail(row.key, "not an entry's key");
  }
  // First the level: what is written at one that this build does not have need not look right to it.
  if (row.entry.format_version < least_ || row.entry.format_version > most_)
    return fail(row.key, "it is of state level " + std::to_string(row.entry.format_version) + ", and this build reads " +
                             std::to_string(least_) + " to " + std::to_string(most_));
  if (!row.error.empty()) return fail(row.key, row.error);
  const auto n = reuses_keys(row.entry.format_version) ? row.entry.number : number;
  pending_.push_back({n, {number, row.mod_revision}, std::move(row.entry)});
  return true;
}

bool LedgerReader::finish() {
  std::sort(pending_.begin(), pending_.end(), [](const PendingEntry& a, const PendingEntry& b) { return a.number < b.number; });
  // What the newest entry does not need is an earlier time's: read, it would bring back what is over.
  const auto first = pending_.empty() ? 0 : pending_.back().entry.first_needed;
  for (const auto& taken : pending_) {
    if (taken.number < first) {
      contents_.free.push_back(taken.slot);
    } else if (!replay(taken)) {
      return false;
    }
  }
  pending_.clear();
  return true;
}

bool LedgerReader::replay(const PendingEntry& taken) {
  const auto& [n, slot, entry] = taken;
  const auto key = entry_key(slot.number);
  if (contents_.kept.contains(n)) return fail(key, "its number is another entry's");
  if (has_checksums(entry.format_version) && entries_ > 0) {
    // The first entry kept is linked to ones that are gone, and one behind an entry of level 1 to none.
    if (entry.previous_link != contents_.link)
      return fail(key, "it does not follow entry " + std::to_string(contents_.next - 1) +
                           ": one between them is missing, or one before it is older");
  }
  for (const auto& record : entry.records) {
    cluster_state_.apply(record);
    if (const auto fact = LedgerCompactor::singleton_of(record, cluster_state_)) contents_.compactor.record_first_entry(n, *fact);
  }
  for (; jobs_ < cluster_state_.job_count(); ++jobs_)
    contents_.compactor.record_first_entry(n, JobIndex{static_cast<std::uint32_t>(jobs_)});
  if (entries_ == 0) contents_.first = n;
  if (entry.format_version != contents_.format_version) contents_.same_version_from = n;
  contents_.format_version = entry.format_version;
  contents_.generation = entry.generation;
  contents_.link = has_checksums(entry.format_version) ? link_of(entry.previous_link, n, entry.check) : 0;
  contents_.seq = std::max(contents_.seq, entry.seq);
  contents_.next = n + 1;
  contents_.kept[n] = slot;
  ++entries_;
  return true;
}

}  // namespace thistlefront
