#include "ledger/ledger_writer.hpp"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

#include "ledger/ledger_trimmer.hpp"
#include "ledger/rewrite_packer.hpp"

namespace thistlefront {

namespace {
// While entries of another format version are replaced, a commit rewrites at most the capacity of an entry divided by this.
constexpr std::size_t kOldEntryRewriteDivisor = 8;
}  // namespace

bool matches_put(const Put& put, const std::string& stored_value) {
  const auto stored = nlohmann::json::parse(stored_value, nullptr, false);
  return !stored.is_discarded() && stored == nlohmann::json::parse(put.value);
}

LedgerWriter::LedgerWriter(Contents contents, std::uint32_t format_version)
    : format_version_(contents.format_version == 0 ? format_version : contents.format_version),
      generation_(contents.generation),
      seq_(contents.seq),
      current_version_from_(contents.current_version_from),
      stored_(std::move(contents.stored)),
      previous_link_(contents.newest_link),
      compactor_(std::move(contents.compactor)) {
  // The newest stored entry is not changed: this writer puts its records into new entries.
  set_format_version(format_version);
}

void LedgerWriter::set_format_version(std::uint32_t format_version) {
  if (format_version == format_version_) return;
  if (has_open_entry()) previous_link_ = open_entry_.link;
  open_entry_.mod_revision = 0;
  open_entry_.records.clear();
  open_entry_.digest = 0;
  format_version_ = format_version;
  current_version_from_ = stored_.next_number;
}

bool LedgerWriter::has_old_entries() const {
  if (stored_.first_number < current_version_from_) return true;
  // Keys freed under a version that reuses keys still hold entries of that version.
  return !stored_.free_slots.empty() && !reuses_keys(format_version_);
}

LedgerWriter::PendingCommit LedgerWriter::prepare_commit(const ClusterState& cluster_state, std::deque<QueuedRecord>& queue,
                                                         const Limits& limits) const {
  PendingCommit commit = begin_commit();
  EntryPacker packer(commit, format_version_, limits);
  // Rewritten records describe the current cluster state, so they must precede the queued records.
  pack_rewrites(commit, packer, cluster_state, limits);
  pack_queue(commit, packer, queue);

  drop_unchanged_entry(commit);

  const bool writes_entries = !commit.entries.empty();
  if (!writes_entries && !has_old_entries()) return commit;
  // Entries below `max_first_needed` may be removed. If the commit writes no entry, the newest stored entry stays even if it is not
  // needed, since an empty ledger would be taken for that of a new cluster.
  const auto max_first_needed = writes_entries ? commit.entries.front().number : stored_.next_number - 1;
  const auto first_needed = std::min(compactor_.first_needed_entry(stored_.next_number), max_first_needed);
  LedgerTrimmer(commit, stored_, format_version_, limits.max_changes).trim(first_needed);
  if (!writes_entries) return commit;

  link_entries(commit);
  add_conditions(commit);
  add_puts(commit);
  return commit;
}

// The commit's first entry is the open entry, or a new one if there is none.
LedgerWriter::PendingCommit LedgerWriter::begin_commit() const {
  PendingCommit commit;
  commit.first_number = stored_.first_number;
  commit.seq = seq_ + 1;
  commit.free_slots = stored_.free_slots;
  PendingEntry entry;
  entry.number = has_open_entry() ? stored_.next_number - 1 : stored_.next_number;
  entry.records = open_entry_.records;
  entry.digest = open_entry_.digest;
  entry.previous_link = previous_link_;
  commit.entries.push_back(std::move(entry));
  return commit;
}

void LedgerWriter::pack_rewrites(PendingCommit& commit, EntryPacker& packer, const ClusterState& cluster_state,
                                 const Limits& limits) const {
  commit.rewrites =
      compactor_.next_rewrites(cluster_state, stored_.first_number, stored_.next_number, limits.value_bytes, limits.length_factor);
  // Entries of another version are rewritten even if the ledger is short enough.
  if (commit.rewrites.empty() && has_old_entries()) {
    const auto next_number = has_open_entry() ? stored_.next_number : stored_.next_number + 1;
    commit.rewrites = compactor_.rewrites_of_oldest(cluster_state, next_number, limits.value_bytes / kOldEntryRewriteDivisor);
  }
  RewritePacker(packer, commit, format_version_, limits.value_bytes, cluster_state.record_bytes()).pack();
}

void LedgerWriter::pack_queue(PendingCommit& commit, EntryPacker& packer, std::deque<QueuedRecord>& queue) {
  while (!queue.empty() && packer.append(queue.front().record)) {
    commit.batch.push_back(std::move(queue.front()));
    commit.batch_entries.push_back(packer.current_entry());
    queue.pop_front();
  }
}

// Drops the first entry if no record was appended to it: an open entry that was full, or a new one if there was nothing to write.
void LedgerWriter::drop_unchanged_entry(PendingCommit& commit) const {
  auto& entries = commit.entries;
  if (entries.front().records.size() != open_entry_.records.size()) return;
  entries.erase(entries.begin());
  if (!entries.empty()) entries.front().previous_link = open_entry_.link;
}

EntryHead LedgerWriter::entry_head(const PendingCommit& commit) const {
  EntryHead head;
  head.format_version = format_version_;
  head.generation = generation_;
  head.seq = commit.seq;
  head.first_needed = reuses_keys(format_version_) || !commit.free_slots.empty() ? commit.first_number : 0;
  return head;
}

// Sets each entry's link to the previous entry and its own link.
void LedgerWriter::link_entries(PendingCommit& commit) const {
  EntryHead head = entry_head(commit);
  std::uint64_t previous_link = commit.entries.front().previous_link;
  for (auto& entry : commit.entries) {
    head.number = entry.number;
    entry.previous_link = previous_link;
    if (has_checksums(format_version_)) entry.link = link_of(previous_link, entry.number, checksum_of(head, entry.digest));
    previous_link = entry.link;
  }
}

void LedgerWriter::add_conditions(PendingCommit& commit) const {
  const bool writes_open_entry = commit.entries.front().number < stored_.next_number;
  // A new entry is conditional on the previous entry as well. The transaction may be applied late, after newer transactions of the
  // same leader wrote the same entry and removed it again. The entry's key then does not exist, as expected, so the entry would
  // reappear, and in versions 2 and 3 nobody could read the ledger. Entries are removed oldest first, so the previous entry no longer
  // exists by then.
  if (!writes_open_entry && !stored_.slots.empty()) {
    const LedgerSlot& newest = stored_.slots.rbegin()->second;
    commit.conditions.push_back({entry_key(newest.key_number), newest.mod_revision});
  }
  for (const auto& entry : commit.entries) commit.conditions.push_back({entry_key(entry.slot.key_number), entry.slot.mod_revision});
}

void LedgerWriter::add_puts(PendingCommit& commit) const {
  EntryHead head = entry_head(commit);
  for (const auto& entry : commit.entries) {
    assert(entry.number >= current_version_from_);
    head.number = entry.number;
    head.previous_link = entry.previous_link;
    commit.puts.push_back({entry_key(entry.slot.key_number), entry_value(head, entry.records, entry.digest), 0});
  }
}

void LedgerWriter::record_committed(const PendingCommit& commit, std::uint64_t mod_revision) {
  stored_.first_number = commit.first_number;
  stored_.free_slots = commit.free_slots;
  stored_.slots.erase(stored_.slots.begin(), stored_.slots.lower_bound(stored_.first_number));
  if (!commit.puts.empty()) {
    const PendingEntry& newest = commit.entries.back();
    seq_ = commit.seq;
    open_entry_ = {mod_revision, newest.records, newest.digest, newest.link};
    previous_link_ = newest.previous_link;
    stored_.next_number = newest.number + 1;
    for (const auto& entry : commit.entries) stored_.slots[entry.number] = {entry.slot.key_number, mod_revision};
  }
  compactor_.record_rewritten(commit.rewrites, commit.rewrite_entries);
}

}  // namespace thistlefront
