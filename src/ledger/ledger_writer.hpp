// The ledger's end: what the next commit writes, and what is known of it afterwards. Pure; the ledger's
// writer sends it.
//
// Entries have a number each. The newest is written anew with more records until it is full; then the next
// one begins. From level 2 on, each tells its level and carries a check of its records and a link to all
// entries before it. From level 4 on a new entry goes where one stood that is not needed any more, if there is such a key.
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "ledger/ledger_compactor.hpp"
#include "model/identifiers.hpp"
#include "model/ledger_records.hpp"
#include "protocol/messages.hpp"

namespace thistlefront {

// What one record may take where entries stay below this.
std::size_t max_record_bytes(std::size_t value_bytes);

inline constexpr const char* kLedgerPrefix = "ledger/";
std::string entry_key(std::uint64_t n);
// Throws std::exception where the key is none of an entry.
std::uint64_t entry_number(const std::string& key);

// A key of the ledger, by its number, with the revision of what stands there.
struct LedgerSlot {
  std::uint64_t number = 0, mod_revision = 0;
};

// A record on its way into the ledger.
struct QueuedRecord {
  Record record;
  std::uint64_t ticket = 0;
};

// Whether an entry that is there is the one that was to be written. Its key and sequence number do not tell: the next leader
// writes one with the same, where this one's was not carried out before it read the ledger.
bool is_as_written(const Put& put, const std::string& value);

// Takes ends of tasks into an earlier record of the queue on ends of the same job, where nothing else about that job stands
// behind it: nine in ten of the records that a busy ledger takes are ends of single tasks. Whether it did.
bool merge_completions(std::deque<QueuedRecord>& queue, const Record& record);

class LedgerWriter {
 public:
  // What a reader found; entries of a level other than `level` are to be written anew.
  struct Contents {
    std::uint64_t first = 0, next = 0, seq = 0;
    std::uint64_t same_version_from = 0;  // all entries from this one on are of the newest one's level
    std::uint32_t format_version = 0;     // of the newest; 0: there is none
    std::uint64_t generation = 0;
    std::uint64_t link = 0;  // to all of them; 0 where the newest has none
    LedgerCompactor compactor;
    std::map<std::uint64_t, LedgerSlot> kept;  // by number of the entry
    std::deque<LedgerSlot> free;               // of entries that are not needed any more
  };
  LedgerWriter() = default;
  LedgerWriter(Contents found, std::uint32_t format_version);

  // Entries are written at this level from now on.
  void set_format_version(std::uint32_t format_version);
  [[nodiscard]] std::uint32_t format_version() const { return format_version_; }
  // Some entries are of another level than the one that is written.
  [[nodiscard]] bool has_old_entries() const { return first_ < same_version_from_ || (!free_.empty() && !reuses_keys(format_version_)); }
  [[nodiscard]] std::uint64_t generation() const { return generation_; }

  struct Limits {
    std::size_t value_bytes = 0;                                   // an entry stays below
    std::size_t max_puts = 0;                                      // entries in one transaction
    std::size_t max_changes = 0;                                   // puts and removes in one transaction
    double length_factor = LedgerCompactor::kDefaultLengthFactor;  // entries kept for each that the book would take
  };
  struct PendingCommit {
    struct Entry {
      std::uint64_t n = 0;
      LedgerSlot slot;
      std::string records;       // encoded, joined by commas
      std::uint64_t digest = 0;  // of the records
      std::uint64_t before = 0, link = 0;
    };
    std::vector<Entry> entries;
    std::vector<LedgerCompactor::Item> rewrites;
    std::vector<std::uint64_t> rewritten_in;
    std::vector<QueuedRecord> batch;
    std::vector<std::uint64_t> batch_entries;  // entries
    std::vector<std::string> too_large;        // beginnings of records that fit into no entry
    std::uint64_t seq = 0, first = 0;
    std::vector<Condition> conditions;  // of the entries; the leader's own comes on top
    std::vector<Put> puts;
    std::vector<std::string> removes;
    std::deque<LedgerSlot> free;  // afterwards
    [[nodiscard]] std::size_t changes() const { return puts.size() + removes.size(); }
  };
  // Whether a job's description, and this list, fit into an entry now and when they are written anew; `value_bytes` as in
  // Limits. What does not fit must not come into the ledger's queue.
  [[nodiscard]] static bool fits_in_entry(const JobAcceptedRecord& accept, std::size_t value_bytes);
  [[nodiscard]] static bool fits_in_entry(const MachineTypesRecord& machine_types, std::size_t value_bytes);
  // What goes next: some of what is to be written anew, then as much of the queue as fits, which is taken off
  // it. No puts: there is nothing to write.
  PendingCommit prepare_commit(const ClusterState& cluster_state, std::deque<QueuedRecord>& queue, const Limits& limits) const;
  // It is in the ledger; `stamp` is its revision. The batch's records are still to be applied to the book.
  void record_committed(const PendingCommit& prepare_commit, std::uint64_t mod_revision);
  // A record of the batch made a job known, or is a fact.
  void record_first_entry(std::uint64_t entry, JobIndex job) { compactor_.record_first_entry(entry, job); }

 private:
  // Which of the oldest entries go, and where the new ones stand; `puts`: entries that are written.
  void shorten(PendingCommit& out, std::uint64_t below, std::size_t puts, const Limits& limits) const;

  std::uint32_t format_version_ = 1;
  std::uint64_t generation_ = 0;
  std::uint64_t first_ = 0, next_ = 0;  // the oldest entry kept, and the number after the newest
  std::uint64_t seq_ = 0;
  std::uint64_t same_version_from_ = 0;
  std::uint64_t newest_mod_revision_ = 0;  // of the newest entry, where it is this writer's and may be written anew
  std::string newest_records_;             // its records
  std::uint64_t newest_digest_ = 0;
  std::uint64_t before_ = 0;  // link to what stands before the newest, or before the next where that is closed
  std::uint64_t newest_link_ = 0;
  LedgerCompactor compactor_;
  std::map<std::uint64_t, LedgerSlot> kept_;
  std::deque<LedgerSlot> free_;
};

}  // namespace thistlefront
