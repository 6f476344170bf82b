// Appends to the ledger: prepares each commit and tracks what is stored once the commit has been applied. Called under its lock by
// the controller's ledger thread, which sends the commits. Pure: no locks, no I/O.
//
// Entries are numbered. If this writer wrote the newest entry, it rewrites that entry with more records until it is full, then
// starts the next one. From format version 2 on, each entry has its version, a checksum of its records and a link to all previous
// entries. From version 4 on, a new entry reuses the key of an entry that is no longer needed, if there is one.
#pragma once
#include <cstdint>
#include <deque>
#include <string>

#include "cluster_state/cluster_state.hpp"
#include "ledger/entry_packer.hpp"
#include "ledger/ledger_compactor.hpp"
#include "ledger/ledger_contents.hpp"
#include "ledger/ledger_keys.hpp"
#include "ledger/pending_commit.hpp"
#include "ledger/record_queue.hpp"
#include "model/identifiers.hpp"
#include "model/ledger_records.hpp"
#include "protocol/messages.hpp"

namespace thistlefront {

// Whether the value stored at the key of `put` is the value that `put` was to write. Comparing the key and the sequence number is
// not enough: if this leader's commit was not applied before the next leader read the ledger, the next leader writes an entry with
// the same key and sequence number.
bool matches_put(const Put& put, const std::string& stored_value);

class LedgerWriter {
 public:
  using Contents = LedgerContents;
  using Limits = CommitLimits;
  using PendingCommit = thistlefront::PendingCommit;

  LedgerWriter() = default;
  // Continues after the ledger contents that a reader found. Entries of versions other than `format_version` will be rewritten.
  LedgerWriter(Contents contents, std::uint32_t format_version);

  // Sets the version in which entries are written from now on.
  void set_format_version(std::uint32_t format_version);
  [[nodiscard]] std::uint32_t format_version() const { return format_version_; }
  // Whether some stored entries have another version than the one being written.
  [[nodiscard]] bool has_old_entries() const;
  [[nodiscard]] std::uint64_t generation() const { return generation_; }

  // Whether the record fits into an entry, now and when compaction rewrites it; `value_bytes` as in Limits. A record that does not
  // fit must not be queued.
  [[nodiscard]] static bool fits_in_entry(const JobAcceptedRecord& accepted, std::size_t value_bytes) {
    return thistlefront::fits_in_entry(accepted, value_bytes);
  }
  [[nodiscard]] static bool fits_in_entry(const MachineTypesRecord& machine_types, std::size_t value_bytes) {
    return thistlefront::fits_in_entry(machine_types, value_bytes);
  }

  // Prepares the next commit: first some rewritten records, then as many queued records as fit, which are removed from the queue.
  // If there is nothing to write, the commit has no changes.
  PendingCommit prepare_commit(const ClusterState& cluster_state, std::deque<QueuedRecord>& queue, const Limits& limits) const;
  // Updates the writer after the commit was applied at this revision. The caller then applies the batch's records to the cluster state.
  void record_committed(const PendingCommit& commit, std::uint64_t mod_revision);
  // Registers that this entry holds the first record of a job, or a singleton; see LedgerCompactor.
  void record_first_entry(std::uint64_t entry, JobIndex job) { compactor_.record_first_entry(entry, job); }

 private:
  // The newest entry, if this writer may append to it.
  struct OpenEntry {
    std::uint64_t mod_revision = 0;  // 0: there is no open entry, the next commit starts one
    std::string records;
    std::uint64_t digest = 0;
    std::uint64_t link = 0;
  };
  [[nodiscard]] bool has_open_entry() const { return open_entry_.mod_revision != 0; }
  [[nodiscard]] PendingCommit begin_commit() const;
  void pack_rewrites(PendingCommit& commit, EntryPacker& packer, const ClusterState& cluster_state, const Limits& limits) const;
  static void pack_queue(PendingCommit& commit, EntryPacker& packer, std::deque<QueuedRecord>& queue);
  void drop_unchanged_entry(PendingCommit& commit) const;
  [[nodiscard]] EntryHead entry_head(const PendingCommit& commit) const;
  void link_entries(PendingCommit& commit) const;
  void add_conditions(PendingCommit& commit) const;
  void add_puts(PendingCommit& commit) const;

  std::uint32_t format_version_ = 1;
  std::uint64_t generation_ = 0;
  std::uint64_t seq_ = 0;
  std::uint64_t current_version_from_ = 0;  // all entries from this number on have format_version_
  StoredEntries stored_;
  OpenEntry open_entry_;
  std::uint64_t previous_link_ = 0;  // link of the last entry before the open one, or of the last entry if none is open
  LedgerCompactor compactor_;
};

}  // namespace thistlefront
