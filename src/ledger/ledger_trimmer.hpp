// Trimming of the ledger: chooses which of the oldest entries a commit removes, and the keys at which it stores new entries.
// Called by LedgerWriter for each commit. Pure: no locks, no I/O.
//
// Up to format version 3 an entry is stored at the key of its own number, and entries that are no longer needed are removed,
// oldest first. From version 4 on, the newest entry holds the number of the first needed entry; the keys of earlier entries are
// free and are reused for new entries. A few free keys are kept for this purpose, the others are removed.
#pragma once
#include <cstdint>
#include <string>

#include "ledger/ledger_contents.hpp"
#include "ledger/pending_commit.hpp"

namespace thistlefront {

class LedgerTrimmer {
 public:
  // `commit` has all entries that it writes, `stored` is the ledger before the commit; both must outlive the trimmer.
  // `max_changes`: maximum number of puts and removes in one commit.
  LedgerTrimmer(PendingCommit& commit, const StoredEntries& stored, std::uint32_t format_version, std::size_t max_changes);
  // Trims entries below `first_needed`. Fills the commit's `first_number`, `free_slots` and `removes`, and the slots of its entries.
  void trim(std::uint64_t first_needed);

 private:
  void free_unneeded(std::uint64_t first_needed);
  void remove_unneeded(std::uint64_t first_needed);
  void assign_slots();
  void remove_spare_slots();
  void remove_key(const LedgerSlot& slot) { commit_.removes.push_back(entry_key(slot.key_number)); }
  [[nodiscard]] bool may_remove() const;

  PendingCommit& commit_;
  const StoredEntries& stored_;
  bool reuses_slots_;
  std::size_t max_changes_;
};

}  // namespace thistlefront
