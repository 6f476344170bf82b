#include "ledger/ledger_writer.hpp"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

#include "ledger/ledger_trimmer.hpp"
#include "ledger/rewrite_packer.hpp"

namespace thistlefront {

namespace {
constexpr std::size_t kOldEntryShare = 8;  // a commit rewrites old entries' jobs up to this part of an entry
}  // namespace

bool is_as_written(const Put& put, const std::string& value) {
  const auto found = nlohmann::json::parse(value, nullptr, false);
  return !found.is_discarded() && found == nlohmann::json::parse(put.value);
}

LedgerWriter::LedgerWriter(Contents found, std::uint32_t format_version)
    : format_version_(found.format_version == 0 ? format_version : found.format_version),
      generation_(found.generation),
      seq_(found.seq),
      same_version_from_(found.same_version_from),
      stored_(std::move(found.stored)),
      previous_link_(found.link),
      compactor_(std::move(found.compactor)) {
  // The newest entry found stays as it is: this writer's records go into entries of its own.
  set_format_version(format_version);
}

void LedgerWriter::set_format_version(std::uint32_t format_version) {
  if (format_version == format_version_) return;
  if (has_open_entry()) previous_link_ = open_entry_.link;
  open_entry_.mod_revision = 0;
  open_entry_.records.clear();
  open_entry_.digest = 0;
  format_version_ = format_version;
  same_version_from_ = stored_.next;
}

bool LedgerWriter::has_old_entries() const {
  if (stored_.first < same_version_from_) return true;
  // Keys left free by a version that reuses them still have entries of that version.
  return !stored_.free_slots.empty() && !reuses_keys(format_version_);
}

LedgerWriter::PendingCommit LedgerWriter::prepare_commit(const ClusterState& cluster_state, std::deque<QueuedRecord>& queue,
                                                         const Limits& limits) const {
  PendingCommit commit = begin_commit();
  EntryPacker packer(commit, format_version_, limits);
  // What is written anew describes the cluster state as it is, so it goes before the records that follow.
  pack_rewrites(commit, packer, cluster_state, limits);
  pack_queue(commit, packer, queue);

  drop_unchanged_entry(commit);

  const bool writes_entries = !commit.entries.empty();
  if (!writes_entries && !has_old_entries()) return commit;
  // Entries below this one may go. If nothing is written, one stays whatever it holds: an empty ledger would be that of a new
  // cluster.
  const auto kept_from = writes_entries ? commit.entries.front().number : stored_.next - 1;
  const auto first_needed = std::min(compactor_.oldest_needed(stored_.next), kept_from);
  LedgerTrimmer(commit, stored_, format_version_, limits.max_changes).trim(first_needed);
  if (!writes_entries) return commit;

  link_entries(commit);
  add_conditions(commit);
  add_puts(commit);
  return commit;
}

// The commit's first entry is the open one, or a new one.
LedgerWriter::PendingCommit LedgerWriter::begin_commit() const {
  PendingCommit commit;
  commit.first = stored_.first;
  commit.seq = seq_ + 1;
  commit.free_slots = stored_.free_slots;
  PendingEntry entry;
  entry.number = has_open_entry() ? stored_.next - 1 : stored_.next;
  entry.records = open_entry_.records;
  entry.digest = open_entry_.digest;
  entry.previous_link = previous_link_;
  commit.entries.push_back(std::move(entry));
  return commit;
}

void LedgerWriter::pack_rewrites(PendingCommit& commit, EntryPacker& packer, const ClusterState& cluster_state,
                                 const Limits& limits) const {
  commit.rewrites = compactor_.next_rewrites(cluster_state, stored_.first, stored_.next, limits.value_bytes, limits.length_factor);
  // Entries of another version are written anew even where the ledger is short enough.
  if (commit.rewrites.empty() && has_old_entries()) {
    const auto next = has_open_entry() ? stored_.next : stored_.next + 1;
    commit.rewrites = compactor_.rewrites_of_oldest(cluster_state, next, limits.value_bytes / kOldEntryShare);
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

// An entry that took no record isn't written: the open one if it was full, or a new one if there was nothing to write.
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
  head.first_needed = reuses_keys(format_version_) || !commit.free_slots.empty() ? commit.first : 0;
  return head;
}

// Links each entry to the one before it.
void LedgerWriter::link_entries(PendingCommit& commit) const {
  EntryHead head = entry_head(commit);
  std::uint64_t previous_link = commit.entries.front().previous_link;
  for (auto& entry : commit.entries) {
    head.number = entry.number;
    entry.previous_link = previous_link;
    if (has_checksums(format_version_)) entry.link = link_of(previous_link, entry.number, check_of(head, entry.digest));
    previous_link = entry.link;
  }
}

void LedgerWriter::add_conditions(PendingCommit& commit) const {
  const bool writes_open_entry = commit.entries.front().number < stored_.next;
  // A new entry depends on the one before it, too. Suppose the transaction is applied late, after newer ones of the same leader
  // have removed its entry again: the entry's key is as absent as at first, so the entry would come back, and in versions 2 and 3
  // nobody could read the ledger. Entries go oldest first, so the one before is gone by then.
  if (!writes_open_entry && !stored_.slots.empty()) {
    const LedgerSlot& newest = stored_.slots.rbegin()->second;
    commit.conditions.push_back({entry_key(newest.number), newest.mod_revision});
  }
  for (const auto& entry : commit.entries) commit.conditions.push_back({entry_key(entry.slot.number), entry.slot.mod_revision});
}

void LedgerWriter::add_puts(PendingCommit& commit) const {
  EntryHead head = entry_head(commit);
  for (const auto& entry : commit.entries) {
    assert(entry.number >= same_version_from_);
    head.number = entry.number;
    head.previous_link = entry.previous_link;
    commit.puts.push_back({entry_key(entry.slot.number), entry_value(head, entry.records, entry.digest), 0});
  }
}

void LedgerWriter::record_committed(const PendingCommit& commit, std::uint64_t mod_revision) {
  stored_.first = commit.first;
  stored_.free_slots = commit.free_slots;
  stored_.slots.erase(stored_.slots.begin(), stored_.slots.lower_bound(stored_.first));
  if (!commit.puts.empty()) {
    const PendingEntry& newest = commit.entries.back();
    seq_ = commit.seq;
    open_entry_ = {mod_revision, newest.records, newest.digest, newest.link};
    previous_link_ = newest.previous_link;
    stored_.next = newest.number + 1;
    for (const auto& entry : commit.entries) stored_.slots[entry.number] = {entry.slot.number, mod_revision};
  }
  compactor_.record_rewritten(commit.rewrites, commit.rewrite_entries);
}

}  // namespace thistlefront
