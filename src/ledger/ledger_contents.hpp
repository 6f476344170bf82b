// State of the stored ledger: determined by LedgerReader, then kept up to date by LedgerWriter.
#pragma once
#include <cstdint>
#include <deque>
#include <map>

#include "ledger/ledger_compactor.hpp"
#include "ledger/ledger_keys.hpp"

namespace thistlefront {

// The entries in the key-value store. Entries are numbered without gaps.
struct StoredEntries {
  std::uint64_t first_number = 0;             // of the oldest entry that is kept
  std::uint64_t next_number = 0;              // one above the newest entry
  std::map<std::uint64_t, LedgerSlot> slots;  // by entry number
  std::deque<LedgerSlot> free_slots;          // keys of entries that are no longer needed
};

// What a new leader needs to continue writing.
struct LedgerContents {
  StoredEntries stored;
  std::uint64_t seq = 0;                   // sequence number of the newest commit
  std::uint64_t current_version_from = 0;  // all entries from this number on have `format_version`
  std::uint32_t format_version = 0;        // of the newest entry; 0: the ledger is empty
  std::uint64_t generation = 0;            // of the newest entry, see EntryHead
  std::uint64_t newest_link = 0;           // of the newest entry, see link_of(); 0: it has none
  LedgerCompactor compactor;
};

}  // namespace thistlefront
