// What the ledger holds, as its reader found it and as its writer keeps track of it.
#pragma once
#include <cstdint>
#include <deque>
#include <map>

#include "ledger/ledger_compactor.hpp"
#include "ledger/ledger_keys.hpp"

namespace thistlefront {

// The entries in the key-value store. Entries are numbered without gaps.
struct StoredEntries {
  std::uint64_t first = 0, next = 0;          // the oldest entry kept, and the number after the newest
  std::map<std::uint64_t, LedgerSlot> slots;  // by number of the entry
  std::deque<LedgerSlot> free_slots;          // of entries that are no longer needed
};

// All that a new leader needs to go on writing.
struct LedgerContents {
  StoredEntries stored;
  std::uint64_t seq = 0;                // of the newest commit
  std::uint64_t same_version_from = 0;  // all entries from this one on are of the newest one's format version
  std::uint32_t format_version = 0;     // of the newest entry; 0: the ledger is empty
  std::uint64_t generation = 0;
  std::uint64_t link = 0;  // to all entries; 0 if the newest has none
  LedgerCompactor compactor;
};

}  // namespace thistlefront
