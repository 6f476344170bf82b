// Keys of the ledger in the key-value store. Called by the ledger's reader and writer, and by the controller, which lists
// the entries by their prefix.
#pragma once
#include <cstdint>
#include <string>

namespace thistlefront {

inline constexpr const char* kLedgerPrefix = "ledger/";

// The key with this number; keys sort by number.
std::string entry_key(std::uint64_t number);
// The number of a key. Throws std::exception if the key isn't that of an entry.
std::uint64_t entry_number(const std::string& key);

// A key of the ledger by its number, with the revision of the value stored there; revision 0: the key is absent.
// Up to format version 3 an entry is stored at the key of its own number; from version 4 on keys are reused.
struct LedgerSlot {
  std::uint64_t number = 0, mod_revision = 0;
};

}  // namespace thistlefront
