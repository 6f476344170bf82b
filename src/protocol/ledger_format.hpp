// Entries of the ledger as they are stored, a value of the store each. Called by the ledger's writer, reader and compactor.
// Stored bytes never change for a format version that exists: an earlier build must be able to read them.
//
// Format version 1: {"seq":N,"records":[...]}
// From 2 on:        {"level":2,"generation":G,"check":"...","before":"...","seq":N,"records":[...]}
// From 4 on:        "n" and "first" too, see EntryHead.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "model/ledger_records.hpp"
#include "protocol/format_version.hpp"
#include "protocol/ledger_record_json.hpp"
#include "protocol/protocol_error.hpp"

namespace thistlefront {

/// Of an entry, all but its records.
struct EntryHead {
  std::uint32_t format_version = 1;
  std::uint64_t generation = 0;
  std::uint64_t seq = 0;            ///< the commit that wrote this version of the entry
  std::uint64_t previous_link = 0;  ///< link to the entries before it; 0: it follows none
  std::uint64_t number = 0;         ///< the entry's number, where its key does not tell it
  std::uint64_t first_needed = 0;   ///< number of the oldest entry that is still needed; 0: all that exist
};

/// An entry with its records.
struct LedgerEntry : EntryHead {
  std::uint64_t check = 0;  ///< its checksum, which was found to be right
  std::vector<Record> records;
};

/// Digest of an entry's records after one more was added.
std::uint64_t digest_with_record(std::uint64_t digest, const EncodedRecord& record);
/// Checksum of an entry.
std::uint64_t check_of(const EntryHead& head, std::uint64_t records_digest);
/// Link to entry number `n` and, through `before`, to all entries before it.
std::uint64_t link_of(std::uint64_t before, std::uint64_t n, std::uint64_t check);
/// Encodes an entry. `records`: encoded records joined by commas.
std::string entry_value(const EntryHead& head, std::string_view records, std::uint64_t records_digest);

/// Reads an entry and verifies its checksum; throws ProtocolError.
LedgerEntry parse_entry(std::string_view value);

/// A page of entries. It is parsed once, since reading the ledger is most of what a failover costs.
struct EntryPage {
  /// One entry.
  struct Row {
    std::string key;
    std::string error;  ///< why the entry cannot be read; empty if it can
    std::uint64_t mod_revision = 0;
    LedgerEntry entry;
  };
  std::vector<Row> rows;
  bool truncated = false;      ///< there are further pages
  std::uint64_t revision = 0;  ///< of the store when it was read; 0: not told
};
/// Reads a page; throws ProtocolError where the page itself is malformed, and not for an entry in it.
EntryPage parse_entries(std::string_view body);

}  // namespace thistlefront
