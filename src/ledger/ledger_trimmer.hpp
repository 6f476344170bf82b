// The shortening of the ledger: which of the oldest entries go with a commit, and at which keys the new entries are stored.
// Called by LedgerWriter for each commit. Pure: no locks, no I/O.
//
// Up to format version 3 an entry is stored at the key of its own number, and entries that aren't needed are removed, oldest
// first. From version 4 on the newest entry tells which one is the first needed; the keys of those before it are free, and new
// entries go there. A few free keys are kept for that, the rest are removed.
#pragma once
#include <cstdint>
#include <string>

#include "ledger/ledger_contents.hpp"
#include "ledger/pending_commit.hpp"

namespace thistlefront {

class LedgerTrimmer {
 public:
  // `commit` has all entries that it writes, `stored` is the ledger before it; both outlive this. `max_changes`: puts and removes
  // in one commit.
  LedgerTrimmer(PendingCommit& commit, const StoredEntries& stored, std::uint32_t format_version, std::size_t max_changes);
  // Entries below `first_needed` may go. Fills the commit's `first`, `free_slots` and `removes`, and the slots of its entries.
  void trim(std::uint64_t first_needed);

 private:
  void free_unneeded(std::uint64_t first_needed);
  void remove_unneeded(std::uint64_t first_needed);
  void assign_slots();
  void remove_spare_slots();
  void remove_key(const LedgerSlot& slot) { commit_.removes.push_back(entry_key(slot.number)); }
  [[nodiscard]] bool may_remove() const;

  PendingCommit& commit_;
  const StoredEntries& stored_;
  bool reuses_slots_;
  std::size_t max_changes_;
};

}  // namespace thistlefront
