// Packs encoded records into the entries of a commit and checks their sizes. Called by LedgerWriter and RewritePacker.
// Pure: no locks, no I/O.
#pragma once
#include <cstdint>

#include "ledger/pending_commit.hpp"
#include "model/ledger_records.hpp"

namespace thistlefront {

// Maximum size of one record if entries stay below `value_bytes`.
std::size_t max_record_bytes(std::size_t value_bytes);
// Whether a job's description fits into an entry, both in this record and in a later snapshot that also holds task ranges.
bool fits_in_entry(const JobAcceptedRecord& accepted, std::size_t value_bytes);
// Whether the list of machine types fits into an entry.
bool fits_in_entry(const MachineTypesRecord& machine_types, std::size_t value_bytes);

// Appends records to the last entry of a commit and starts another entry when the last one is full.
class EntryPacker {
 public:
  // `commit` must already have its first entry and must outlive the packer.
  EntryPacker(PendingCommit& commit, std::uint32_t format_version, const CommitLimits& limits);
  // Returns false, without appending the record, if the commit is full. A record that is too large for any entry is appended
  // nevertheless and listed in `commit.too_large`.
  bool append(const Record& record);
  // Number of the entry that holds the last appended record.
  [[nodiscard]] std::uint64_t current_entry() const { return commit_.entries.back().number; }

 private:
  PendingCommit& commit_;
  std::uint32_t format_version_;
  std::size_t value_bytes_;
  std::size_t max_entries_;
  std::size_t overhead_bytes_;  // of an entry, excluding its records
};

}  // namespace thistlefront
