// Reads the ledger's entries into a cluster state, and checks that they are complete and undamaged. Called by the controller
// when it takes the lead, or before that to be ready. Pure: no locks, no I/O.
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
  // Reads entries of the format versions `least` to `most`.
  LedgerReader(ClusterState& cluster_state, std::uint32_t least, std::uint32_t most)
      : cluster_state_(cluster_state), least_version_(least), most_version_(most) {}
  // Takes one more entry. Entries come in the order of their keys, which need not be that of their numbers. False: it can't be
  // read, and error() tells which and why. The rest must not be led on then: an accepted job could be in what is missing.
  bool add_entry(EntryPage::Row row);
  // All entries have been added: applies them in the order of their numbers, without those that aren't needed any more.
  // False as above.
  bool finish();
  [[nodiscard]] const std::string& error() const { return error_; }
  // Entries that were applied.
  [[nodiscard]] std::size_t entries() const { return applied_entries_; }
  [[nodiscard]] LedgerContents contents() && { return std::move(contents_); }

 private:
  // An entry that was parsed and not yet applied.
  struct ParsedEntry {
    std::uint64_t number = 0;
    LedgerSlot slot;
    LedgerEntry entry;
  };
  bool fail(const std::string& key, const std::string& reason);
  bool apply(const ParsedEntry& parsed);
  [[nodiscard]] std::optional<std::string> misplacement(const ParsedEntry& parsed) const;
  void apply_records(const ParsedEntry& parsed);
  void update_contents(const ParsedEntry& parsed);

  ClusterState& cluster_state_;
  std::uint32_t least_version_, most_version_;
  std::vector<ParsedEntry> parsed_;
  std::size_t applied_entries_ = 0;
  std::size_t known_jobs_ = 0;  // jobs of the cluster state whose first entry is known
  LedgerContents contents_;
  std::string error_;
};

// The ledger as a controller read it while nobody led, when nothing in it changes.
struct ReadLedger {
  std::unique_ptr<ClusterState> cluster_state;
  LedgerContents contents;
  std::size_t entries = 0;
  std::uint64_t revision = 0;  // of the key-value store when the reading began
};

}  // namespace thistlefront
