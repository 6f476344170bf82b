// The end of the ledger: prepares each commit, and keeps track of what is stored once it has been applied. Called by the
// controller's ledger thread, under its lock, which sends the commits. Pure: no locks, no I/O.
//
// Entries are numbered. The newest one, while it is this writer's, is written again with more records until it is full; then the
// next one begins. From format version 2 on each entry carries its version, a checksum of its records and a link to all entries
// before it. From version 4 on a new entry reuses the key of one that isn't needed any more, if there is one.
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

// Whether the value found at a key is the one that `put` was to write. The key and the sequence number don't tell: if this
// leader's commit wasn't applied before the next one read the ledger, that one writes an entry with the same.
bool is_as_written(const Put& put, const std::string& value);

class LedgerWriter {
 public:
  using Contents = LedgerContents;
  using Limits = CommitLimits;
  using PendingCommit = thistlefront::PendingCommit;

  LedgerWriter() = default;
  // Goes on after what a reader found. Entries of a version other than `format_version` are to be written anew.
  LedgerWriter(Contents found, std::uint32_t format_version);

  // Entries are written in this version from now on.
  void set_format_version(std::uint32_t format_version);
  [[nodiscard]] std::uint32_t format_version() const { return format_version_; }
  // Whether some stored entries are of another version than the one being written.
  [[nodiscard]] bool has_old_entries() const;
  [[nodiscard]] std::uint64_t generation() const { return generation_; }

  // Whether the record fits into an entry, now and when it is written anew; `value_bytes` as in Limits. What doesn't fit must not
  // come into the queue.
  [[nodiscard]] static bool fits_in_entry(const JobAcceptedRecord& accept, std::size_t value_bytes) {
    return thistlefront::fits_in_entry(accept, value_bytes);
  }
  [[nodiscard]] static bool fits_in_entry(const MachineTypesRecord& machine_types, std::size_t value_bytes) {
    return thistlefront::fits_in_entry(machine_types, value_bytes);
  }

  // Prepares the next commit: first some of what is to be written anew, then as much of the queue as fits, which is taken off it.
  // Nothing to write: the commit has no changes.
  PendingCommit prepare_commit(const ClusterState& cluster_state, std::deque<QueuedRecord>& queue, const Limits& limits) const;
  // The commit is in the ledger, at this revision. The batch's records are still to be applied to the cluster state.
  void record_committed(const PendingCommit& commit, std::uint64_t mod_revision);
  // A record of the batch made a job known, or is a singleton; see LedgerCompactor.
  void record_first_entry(std::uint64_t entry, JobIndex job) { compactor_.record_first_entry(entry, job); }

 private:
  // The newest entry, if this writer may write it again.
  struct OpenEntry {
    std::uint64_t mod_revision = 0;  // 0: there is none, the next commit begins an entry
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
  std::uint64_t same_version_from_ = 0;  // all entries from this one on are of format_version_
  StoredEntries stored_;
  OpenEntry open_entry_;
  std::uint64_t previous_link_ = 0;  // to all entries before the open one, or to all if there is none
  LedgerCompactor compactor_;
};

}  // namespace thistlefront
