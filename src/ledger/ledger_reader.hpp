// Reads the ledger's entries into a cluster state and checks that they are complete and undamaged. Called by the controller at a
// takeover, or in advance to shorten the next takeover. Pure: no locks, no I/O.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "ledger/ledger_contents.hpp"
#include "ledger/ledger_keys.hpp"
#include "protocol/messages.hpp"

namespace thistlefront {

class LedgerReader {
 public:
  // Reads entries of format versions `min_version` to `max_version`.
  LedgerReader(ClusterState& cluster_state, std::uint32_t min_version, std::uint32_t max_version)
      : cluster_state_(cluster_state), min_version_(min_version), max_version_(max_version) {}
  // Adds an entry. Entries are added in key order, which may differ from the order of their numbers. Returns false if the entry
  // cannot be read; error() has its key and the reason. The caller must not lead with the other entries then, because an accepted
  // job may be in the missing one.
  bool add_entry(EntryPage::Row row);
  // Applies the added entries in the order of their numbers, except those that are no longer needed. Returns false as
  // add_entry() does. Call it after the last entry was added.
  bool finish();
  [[nodiscard]] const std::string& error() const { return error_; }
  [[nodiscard]] std::size_t applied_entries() const { return applied_entries_; }
  [[nodiscard]] LedgerContents contents() && { return std::move(contents_); }

 private:
  // An entry that has been parsed and not yet applied.
  struct ParsedEntry {
    std::uint64_t number = 0;
    LedgerSlot slot;
    LedgerEntry entry;
  };
  bool fail(const std::string& key, const std::string& reason);
  bool apply(const ParsedEntry& parsed);
  [[nodiscard]] std::optional<std::string> find_sequence_error(const ParsedEntry& parsed) const;
  void apply_records(const ParsedEntry& parsed);
  void update_contents(const ParsedEntry& parsed);

  ClusterState& cluster_state_;
  std::uint32_t min_version_, max_version_;
  std::vector<ParsedEntry> parsed_;
  std::size_t applied_entries_ = 0;
  std::size_t tracked_jobs_ = 0;  // jobs of the cluster state whose first entry the compactor knows
  LedgerContents contents_;
  std::string error_;
};

// The whole ledger as read by a controller before it writes, while no leader changes it.
struct LedgerSnapshot {
  std::unique_ptr<ClusterState> cluster_state;
  LedgerContents contents;
  std::size_t entries = 0;     // number of entries that were applied
  std::uint64_t revision = 0;  // of the key-value store when reading began
};

}  // namespace thistlefront
