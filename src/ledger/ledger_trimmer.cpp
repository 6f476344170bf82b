#include "ledger/ledger_trimmer.hpp"

#include "protocol/messages.hpp"

namespace thistlefront {

namespace {
constexpr std::size_t kMaxRemovesPerCommit = 2;
constexpr std::size_t kMaxSpareSlots = 4;  // free keys kept for new entries
}  // namespace

LedgerTrimmer::LedgerTrimmer(PendingCommit& commit, const StoredEntries& stored, std::uint32_t format_version, std::size_t max_changes)
    : commit_(commit),
      stored_(stored),
      // Whether older entries are still needed is stored in the newest entry, so a commit without entries cannot change it.
      reuses_slots_(reuses_keys(format_version) && !commit.entries.empty()),
      max_changes_(max_changes) {}

void LedgerTrimmer::trim(std::uint64_t first_needed) {
  if (reuses_slots_) {
    free_unneeded(first_needed);
  } else {
    remove_unneeded(first_needed);
  }
  assign_slots();
  if (reuses_slots_) remove_spare_slots();
}

bool LedgerTrimmer::may_remove() const {
  const auto removes = commit_.removes.size();
  return removes < kMaxRemovesPerCommit && commit_.entries.size() + removes < max_changes_;
}

// Readers skip entries that the newest entry marks as no longer needed, so these may stay in the store.
void LedgerTrimmer::free_unneeded(std::uint64_t first_needed) {
  for (; commit_.first_number < first_needed; ++commit_.first_number) commit_.free_slots.push_back(stored_.slots.at(commit_.first_number));
}

void LedgerTrimmer::remove_unneeded(std::uint64_t first_needed) {
  // Free keys may remain from a higher format version. An older build would read their values as entries, so they are removed first.
  for (; !commit_.free_slots.empty() && may_remove(); commit_.free_slots.pop_front()) remove_key(commit_.free_slots.front());
  if (!commit_.free_slots.empty()) return;
  for (; commit_.first_number < first_needed && may_remove(); ++commit_.first_number) remove_key(stored_.slots.at(commit_.first_number));
}

void LedgerTrimmer::assign_slots() {
  for (auto& entry : commit_.entries) {
    if (entry.number < stored_.next_number) {
      entry.slot = stored_.slots.at(entry.number);
    } else if (reuses_slots_ && !commit_.free_slots.empty()) {
      entry.slot = commit_.free_slots.front();
      commit_.free_slots.pop_front();
    } else {
      entry.slot = {entry.number, 0};  // higher than all earlier keys, so it does not exist
    }
  }
}

void LedgerTrimmer::remove_spare_slots() {
  for (; commit_.free_slots.size() > kMaxSpareSlots && may_remove(); commit_.free_slots.pop_back()) remove_key(commit_.free_slots.back());
}

}  // namespace thistlefront
