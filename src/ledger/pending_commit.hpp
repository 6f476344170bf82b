// One commit of the ledger: what a transaction writes and removes, and what its writer must remember once it has been applied.
// Made by LedgerWriter::prepare_commit, sent by the controller.
#pragma once
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "ledger/ledger_compactor.hpp"
#include "ledger/ledger_keys.hpp"
#include "ledger/record_queue.hpp"
#include "protocol/messages.hpp"

namespace thistlefront {

// Bounds on one commit.
struct CommitLimits {
  std::size_t value_bytes = 0;                                   // an entry stays below this size
  std::size_t max_puts = 0;                                      // entries written in one transaction
  std::size_t max_changes = 0;                                   // puts and removes in one transaction
  double length_factor = LedgerCompactor::kDefaultLengthFactor;  // entries kept per entry that the cluster state itself would take
};

// An entry being filled with records.
struct PendingEntry {
  std::uint64_t number = 0;
  LedgerSlot slot;                  // where it is stored, and what the transaction expects there
  std::string records;              // encoded, joined by commas
  std::uint64_t digest = 0;         // of the records
  std::uint64_t previous_link = 0;  // link to all entries before it
  std::uint64_t link = 0;           // to this entry and all before it; 0 in format version 1
};

// A commit that has been prepared and not yet applied.
struct PendingCommit {
  std::vector<PendingEntry> entries;               // those that the transaction writes
  std::vector<LedgerCompactor::Rewrite> rewrites;  // what the compactor wanted written anew
  std::vector<std::uint64_t> rewrite_entries;      // by rewrite: the entry it is in, or an earlier one; fewer: the rest isn't written
  std::vector<QueuedRecord> batch;                 // records taken off the queue
  std::vector<std::uint64_t> batch_entries;        // by record of the batch: the entry it is in
  std::vector<std::string> too_large;              // sizes and beginnings of records that fit into no entry
  std::uint64_t seq = 0;                           // sequence number of the commit
  std::uint64_t first = 0;                         // the oldest entry that is kept afterwards
  std::vector<Condition> conditions;               // on the entries' keys; the caller adds the one on the leader's key
  std::vector<Put> puts;
  std::vector<std::string> removes;
  std::deque<LedgerSlot> free_slots;  // keys whose entries aren't needed afterwards
  [[nodiscard]] std::size_t changes() const { return puts.size() + removes.size(); }
};

}  // namespace thistlefront
