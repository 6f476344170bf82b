// One commit to the ledger: what its transaction writes and removes, and what LedgerWriter needs once it has been applied.
// Created by LedgerWriter::prepare_commit, sent by the controller.
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
  double length_factor = LedgerCompactor::kDefaultLengthFactor;  // see LedgerCompactor::kDefaultLengthFactor
};

// An entry being filled with records.
struct PendingEntry {
  std::uint64_t number = 0;
  LedgerSlot slot;                  // where it is stored, and what the transaction expects there
  std::string records;              // encoded, joined by commas
  std::uint64_t digest = 0;         // of the records
  std::uint64_t previous_link = 0;  // link of the previous entry
  std::uint64_t link = 0;           // covers this entry and all previous ones, see link_of(); 0 in format version 1
};

// A commit that has been prepared and not yet applied.
struct PendingCommit {
  std::vector<PendingEntry> entries;               // those that the transaction writes
  std::vector<LedgerCompactor::Rewrite> rewrites;  // records that the compactor wants to rewrite
  std::vector<std::uint64_t> rewrite_entries;      // for each rewrite: its entry or an earlier one; shorter if not all were written
  std::vector<QueuedRecord> batch;                 // records taken from the queue
  std::vector<std::uint64_t> batch_entries;        // for each record of the batch: the entry that holds it
  std::vector<std::string> too_large;              // sizes and beginnings of records that fit into no entry
  std::uint64_t seq = 0;                           // sequence number of the commit
  std::uint64_t first_number = 0;                  // number of the oldest entry that is kept after the commit
  std::vector<Condition> conditions;               // on the entries' keys; the caller adds the condition on the leader's key
  std::vector<Put> puts;
  std::vector<std::string> removes;
  std::deque<LedgerSlot> free_slots;  // keys whose entries are not needed after the commit
  [[nodiscard]] std::size_t changes() const { return puts.size() + removes.size(); }
};

}  // namespace thistlefront
