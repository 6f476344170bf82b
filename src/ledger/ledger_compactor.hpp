// Keeps the ledger short. Knows in which entry each job's records begin, and decides which jobs are to be written anew at the
// end, so that the oldest entries can go. Called by LedgerWriter, which carries it out. Pure: no locks, no I/O.
//
// The jobs that begin in the oldest entry are written anew as snapshots, a few records with each commit. An entry in which no job
// begins any more isn't needed. Entries go oldest first, so that what is left is always a suffix of the ledger. Reading it gives
// the same cluster state, since records about a job that isn't known yet change nothing.
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
  // Entries kept for each that the cluster state itself would take.
  static constexpr double kDefaultLengthFactor = 2;

  // A record to be written anew. A job with many tasks takes several.
  struct Rewrite {
    JobIndex job;                     // or the key of a singleton, see singleton_of()
    Record record;                    // of the cluster state as it is, so it goes before anything newer
    std::uint32_t covered_tasks = 0;  // tasks of the job that are written with this record and those before it
    bool is_first = false;            // of this job's records
    bool is_last = false;
  };

  // Singletons are records of which only the newest is needed: the list of machine types, and a team's quota. They are kept in
  // the compactor like jobs, each under a key outside the jobs' indexes. Nothing if the record isn't a singleton.
  static std::optional<JobIndex> singleton_of(const Record& record, const ClusterState& cluster_state);
  // A job's first record, or a singleton, is in this entry.
  void record_first_entry(std::uint64_t entry, JobIndex job);
  // What to write next so that the oldest entry can go; empty while the ledger, with entries `first` to `next` - 1, is short
  // enough for the cluster state. `entry_bytes`: about what one entry holds.
  [[nodiscard]] std::vector<Rewrite> next_rewrites(const ClusterState& cluster_state, std::uint64_t first, std::uint64_t next,
                                                   std::size_t entry_bytes, double length_factor = kDefaultLengthFactor) const;
  // The same however short the ledger is, about `budget_bytes` at a time. Entries of a format version that is no longer written
  // are replaced by this.
  [[nodiscard]] std::vector<Rewrite> rewrites_of_oldest(const ClusterState& cluster_state, std::uint64_t next,
                                                        std::size_t budget_bytes) const;
  // These are in the ledger: rewrites[i] in entries[i] or a later one. Their order is that of next_rewrites(), or with ended jobs
  // put first. Fewer entries than rewrites: the rest was not written.
  void record_rewritten(const std::vector<Rewrite>& rewrites, const std::vector<std::uint64_t>& entries);
  // The oldest entry that is needed; `otherwise` if none is.
  [[nodiscard]] std::uint64_t oldest_needed(std::uint64_t otherwise) const;

 private:
  // Of a job that is written anew in several commits.
  struct PartialRewrite {
    JobIndex job;  // not valid: none; else the first of the oldest entry's jobs
    std::uint32_t covered_tasks = 0;
    std::uint64_t first_entry = 0;  // where its first new record is
  };
  void move_to_entry(JobIndex job, std::uint64_t entry);

  std::map<std::uint64_t, std::vector<JobIndex>> jobs_by_first_entry_;
  PartialRewrite partial_;
};

}  // namespace thistlefront
