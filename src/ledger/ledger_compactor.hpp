// Compaction of the ledger. Tracks the entry in which each job's records begin and decides which jobs to rewrite at the end of
// the ledger, so that the oldest entries can be removed. Called by LedgerWriter, which writes and removes. Pure: no locks, no I/O.
//
// Jobs that begin in the oldest entry are rewritten as snapshots, a few records with each commit. An entry in which no job begins
// is no longer needed. Entries are removed oldest first, so the remaining entries are always a suffix of the ledger. Reading that
// suffix gives the same cluster state, because records of an unknown job are ignored.
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
  // Maximum length of the ledger, as a multiple of the entries that a snapshot of the cluster state would take.
  static constexpr double kDefaultLengthFactor = 2;

  // A record to write at the end of the ledger in place of older ones. A job with many tasks takes several.
  struct Rewrite {
    JobIndex job;                     // or the key of a singleton; see singleton_key_of()
    Record record;                    // describes the current cluster state, so it must precede newer records
    std::uint32_t covered_tasks = 0;  // tasks of the job covered by this record and the previous ones
    bool is_first = false;            // first record of this job
    bool is_last = false;             // last record of this job
  };

  // A singleton is a record of which only the newest version is needed: the list of machine types, or the quota of a team. The
  // compactor tracks singletons like jobs, under keys outside the range of job indexes. Returns nothing for other records.
  static std::optional<JobIndex> singleton_key_of(const Record& record, const ClusterState& cluster_state);
  // Registers that this entry holds a job's first record, or a singleton.
  void record_first_entry(std::uint64_t entry, JobIndex job);
  // Records to write next so that the oldest entry can be removed. Empty while the ledger, which has the entries `first` to
  // `next` - 1, is short enough for the size of the cluster state. `entry_bytes`: approximate capacity of an entry.
  [[nodiscard]] std::vector<Rewrite> next_rewrites(const ClusterState& cluster_state, std::uint64_t first, std::uint64_t next,
                                                   std::size_t entry_bytes, double length_factor = kDefaultLengthFactor) const;
  // Records to write so that the oldest entry can be removed, whatever the ledger's length; about `budget_bytes` per call. Used
  // to replace entries of a format version that is no longer written.
  [[nodiscard]] std::vector<Rewrite> rewrites_of_oldest(const ClusterState& cluster_state, std::uint64_t next,
                                                        std::size_t budget_bytes) const;
  // Registers that the rewrites are in the ledger: rewrites[i] in entries[i] or a later entry. The rewrites are in the order of
  // next_rewrites(), except that ended jobs may come first. If there are fewer entries than rewrites, the rest was not written.
  void record_rewritten(const std::vector<Rewrite>& rewrites, const std::vector<std::uint64_t>& entries);
  // Number of the oldest entry that is needed; `fallback` if none is.
  [[nodiscard]] std::uint64_t first_needed_entry(std::uint64_t fallback) const;

 private:
  // Progress of a job that is rewritten in several commits.
  struct PartialRewrite {
    JobIndex job;  // the first job of the oldest entry; not valid: no job is partly rewritten
    std::uint32_t covered_tasks = 0;
    std::uint64_t first_entry = 0;  // entry of the first rewritten record
  };
  void move_to_entry(JobIndex job, std::uint64_t entry);

  std::map<std::uint64_t, std::vector<JobIndex>> jobs_by_first_entry_;
  PartialRewrite partial_;
};

}  // namespace thistlefront
