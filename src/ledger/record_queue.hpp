// Records that wait to be committed to the ledger, and the merging of records on completed tasks while they wait.
// Called by the controller, which owns the queue. Pure: no locks, no I/O.
#pragma once
#include <cstdint>
#include <deque>

#include "model/ledger_records.hpp"

namespace thistlefront {

// A record waiting for its commit. Its ticket tells the controller who waits for it.
struct QueuedRecord {
  Record record;
  std::uint64_t ticket = 0;
};

// Merges a record on completed tasks into an earlier one of the same job, provided that no other record of that job is queued
// behind it. Returns whether it did; if not, the queue is unchanged and the caller appends the record.
// On a busy ledger nine records in ten are completions of single tasks, so this saves most of the writes.
bool merge_completions(std::deque<QueuedRecord>& queue, const Record& record);

}  // namespace thistlefront
