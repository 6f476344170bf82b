// Keeps the ledger short: which jobs begin in which entry, which are to be written anew at the end so that
// the oldest entries can go, and which entries may go. Pure; the ledger's writer carries it out.
//
// The jobs that begin in the oldest entry are written anew, a few records with each commit; an entry in which
// no job begins any more is removed, oldest first, so that what is left is always a suffix. Reading it gives
// the same book, since records about a job that is not yet known change nothing.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "model/identifiers.hpp"
#include "model/ledger_records.hpp"

namespace thistlefront {

class LedgerCompactor {
 public:
  struct Item {
    JobIndex job;   // or a fact: the flavors, a team\'s terms
    Record record;  // true of the book as it is; it goes before anything newer
    std::uint32_t is_snapshot_complete = 0;
    bool begins = false, ends = false;  // the first and the last record of this job
  };

  // Facts have no job; of each the newest record is all that is needed. Nothing where the record is none.
  static std::optional<JobIndex> singleton_of(const Record& record, const ClusterState& cluster_state);
  // A job's first record, or a fact, is in this entry.
  void record_first_entry(std::uint64_t entry, JobIndex job);
  // What to write next so that the oldest entry can go; nothing while the ledger is short for what the book
  // holds. `next` is the number of the entry after the newest, `entry_bytes` about what one entry holds; `longer`:
  // entries kept for each that the book itself would take.
  [[nodiscard]] std::vector<Item> next_rewrites(const ClusterState& cluster_state, std::uint64_t first, std::uint64_t next_rewrites,
                                                std::size_t entry_bytes, double longer = kDefaultLengthFactor) const;
  static constexpr double kDefaultLengthFactor = 2;
  // The same for the oldest entry's jobs however short the ledger is, about `budget` bytes at a time: entries
  // of a level that is no longer written go this way.
  [[nodiscard]] std::vector<Item> rewrites_of_oldest(const ClusterState& cluster_state, std::uint64_t next_rewrites,
                                                     std::size_t budget) const;
  // These, in the order of next() or with ended jobs put first, are in the ledger: items[i] in entries[i] or
  // a later one. Fewer entries than items: the rest was not written.
  void record_rewritten(const std::vector<Item>& items, const std::vector<std::uint64_t>& entries);
  // Entries below this one are not needed.
  [[nodiscard]] std::uint64_t oldest_needed(std::uint64_t otherwise) const;

 private:
  std::map<std::uint64_t, std::vector<JobIndex>> begin_there_;
  JobIndex partial_;  // being written anew; the first of the oldest entry's jobs
  std::uint32_t partial_covered_ = 0;
  std::uint64_t partial_entry_ = 0;  // where its first new record is
};

}  // namespace thistlefront
