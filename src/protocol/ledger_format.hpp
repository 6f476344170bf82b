// Stored form of ledger entries, each of which is one value of the store. Called by the ledger's writer, reader and compactor.
// The stored bytes of an existing format version never change, because earlier builds must be able to read them.
//
// Format version 1: {"seq":N,"records":[...]}
// From 2 on:        {"level":2,"generation":G,"check":"...","before":"...","seq":N,"records":[...]}
// From 4 on:        also "n" (number) and "first" (first_needed).
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

/// The fields of an entry other than its records.
struct EntryHead {
  std::uint32_t format_version = 1;
  /// Counter that this build only preserves: it is stored, covered by the checksum and copied from the previous entry, and never raised.
  /// While it is not 0, the format version is not lowered.
  std::uint64_t generation = 0;
  std::uint64_t seq = 0;            ///< sequence number of the commit that last wrote the entry
  std::uint64_t previous_link = 0;  ///< link of the previous entry; 0: there is none, or it has no link
  std::uint64_t number = 0;         ///< the entry's number, in format versions that reuse keys
  std::uint64_t first_needed = 0;   ///< number of the oldest entry that is still needed; 0: all entries are needed
};

/// An entry with its records.
struct LedgerEntry : EntryHead {
  std::uint64_t checksum = 0;  ///< verified by parse_entry(); 0 in format version 1
  std::vector<Record> records;
};

/// Digest of an entry's records after one more record was added.
std::uint64_t extend_digest_with_record(std::uint64_t digest, const EncodedRecord& record);
/// Checksum of an entry: covers its records, sequence number and generation, from version 4 on also `number` and `first_needed`.
std::uint64_t checksum_of(const EntryHead& head, std::uint64_t records_digest);
/// Link of an entry: a digest that covers the entry and, through `previous_link`, all previous entries (a hash chain).
std::uint64_t link_of(std::uint64_t previous_link, std::uint64_t number, std::uint64_t checksum);
/// Encodes an entry. `records`: encoded records joined by commas.
std::string entry_value(const EntryHead& head, std::string_view records, std::uint64_t records_digest);

/// Reads an entry and verifies its checksum; throws ProtocolError.
LedgerEntry parse_entry(std::string_view value);

/// A page of entries. It is parsed only once, because reading the ledger takes most of the time of a takeover.
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
  std::uint64_t revision = 0;  ///< of the store when the page was read; 0: unknown
};
/// Reads a page. Throws ProtocolError if the page itself is malformed; an entry that cannot be read only gets Row::error.
EntryPage parse_entries(std::string_view body);

}  // namespace thistlefront
