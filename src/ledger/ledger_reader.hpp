// Reads the ledger's entries into a book, and checks that they are whole. Pure.
#pragma once
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "ledger/ledger_writer.hpp"

namespace thistlefront {

class LedgerReader {
 public:
  // `least` to `most`: the levels that this build reads.
  LedgerReader(ClusterState& cluster_state, std::uint32_t least, std::uint32_t most)
      : cluster_state_(cluster_state), least_(least), most_(most) {}
  // One more entry, in the order of keys, which need not be theirs. False: it can't be read, and why() tells entry, place
  // and reason; a part of the ledger must not be led on, for an accepted job could be in the rest.
  bool add_entry(EntryPage::Row row);
  // All are there: they are read in their order, but for those that are not needed any more. False as above.
  bool finish();
  [[nodiscard]] const std::string& error() const { return error_; }
  [[nodiscard]] std::size_t entries() const { return entries_; }
  [[nodiscard]] LedgerWriter::Contents contents() && { return std::move(contents_); }

 private:
  struct PendingEntry {
    std::uint64_t number = 0;
    LedgerSlot slot;
    LedgerEntry entry;
  };
  bool fail(const std::string& key, const std::string& reason);
  bool replay(const PendingEntry& taken);

  ClusterState& cluster_state_;
  std::uint32_t least_, most_;
  std::vector<PendingEntry> pending_;
  std::size_t entries_ = 0, jobs_ = 0;
  LedgerWriter::Contents contents_;
  std::string error_;
};

// The ledger as it was read while nobody led, when nothing in it changes.
struct ReadLedger {
  std::unique_ptr<ClusterState> cluster_state;
  LedgerWriter::Contents contents;
  std::size_t entries = 0;
  std::uint64_t revision = 0;  // of the state service when its reading began
};

}  // namespace thistlefront
