// Packs encoded records into the entries of a commit, and knows how much fits. Called by LedgerWriter and RewritePacker.
// Pure: no locks, no I/O.
#pragma once
#include <cstdint>

#include "ledger/pending_commit.hpp"
#include "model/ledger_records.hpp"

namespace thistlefront {

// The size that one record may take if entries stay below `value_bytes`.
std::size_t max_record_bytes(std::size_t value_bytes);
// Whether a job's description fits into an entry, now and when the job is written anew together with its tasks.
bool fits_in_entry(const JobAcceptedRecord& accept, std::size_t value_bytes);
// Whether the list of machine types fits into an entry.
bool fits_in_entry(const MachineTypesRecord& machine_types, std::size_t value_bytes);

// Appends records to the last entry of a commit and begins another entry when that is full.
class EntryPacker {
 public:
  // `commit` has its first entry already, and outlives the packer.
  EntryPacker(PendingCommit& commit, std::uint32_t format_version, const CommitLimits& limits);
  // False: no entry of this commit has room, and nothing was appended. A record that fits into no entry at all is appended all
  // the same, and noted in `commit.too_large`.
  bool append(const Record& record);
  // Number of the entry that the last record went into.
  [[nodiscard]] std::uint64_t current_entry() const { return commit_.entries.back().number; }

 private:
  PendingCommit& commit_;
  std::uint32_t format_version_;
  std::size_t value_bytes_;
  std::size_t max_entries_;
  std::size_t overhead_bytes_;  // of an entry, beside its records
};

}  // namespace thistlefront
