// Keys of ledger entries in the key-value store. Called by the ledger's reader and writer, and by the controller, which lists
// the entries by their prefix.
#pragma once
#include <cstdint>
#include <string>

namespace thistlefront {

inline constexpr const char* kLedgerPrefix = "ledger/";

// The key with this number. Keys sort by number.
std::string entry_key(std::uint64_t key_number);
// The number of a key. Throws std::exception if it is not the key of an entry.
std::uint64_t parse_key_number(const std::string& key);

// A key of the ledger, given by its number, and the revision of its value.
// Up to format version 3 the key number is the entry number. From version 4 on, keys are reused for later entries.
struct LedgerSlot {
  std::uint64_t key_number = 0;
  std::uint64_t mod_revision = 0;  // 0: the key does not exist
};

}  // namespace thistlefront
