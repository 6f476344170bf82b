// Packs the compactor's rewrites into a commit. Ended jobs, which are the majority, share records.
// Called by LedgerWriter for each commit. Pure: no locks, no I/O.
#pragma once
#include <cstdint>

#include "ledger/entry_packer.hpp"
#include "ledger/pending_commit.hpp"
#include "model/ledger_records.hpp"

namespace thistlefront {

class RewritePacker {
 public:
  // `record_bytes`: approximate maximum size of a record. `packer` and `commit` must outlive this object.
  RewritePacker(EntryPacker& packer, PendingCommit& commit, std::uint32_t format_version, std::size_t value_bytes,
                std::size_t record_bytes);
  // Packs `commit.rewrites`, ended jobs first, until the commit is full, and fills `commit.rewrite_entries`.
  void pack();

 private:
  // Ended jobs of one status, collected in one record.
  struct EndedJobs {
    JobsEndedRecord record;
    std::size_t bytes = 0;  // estimated size of the record
  };
  void add_ended_job(const JobsEndedRecord& job);
  void flush(EndedJobs& ended);
  [[nodiscard]] bool is_storable(const Record& record) const;

  EntryPacker& packer_;
  PendingCommit& commit_;
  std::uint32_t format_version_;
  std::size_t value_bytes_;
  std::size_t max_ended_bytes_;
  EndedJobs done_{{JobStatus::done, {}}};
  EndedJobs cancelled_{{JobStatus::cancelled, {}}};
  bool all_ended_fit_ = true;
};

}  // namespace thistlefront
