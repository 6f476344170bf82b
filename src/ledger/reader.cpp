#include "ledger/reader.hpp"

#include <algorithm>
#include <exception>
#include <utility>

namespace thistle {

bool Reader::fail(const std::string& key, const std::string& reason) {
  why_ = "ledger entry " + key + " can't be read: " + reason;
  return false;
}

bool Reader::take(EntryPage::Row row) {
  std::uint64_t number = 0;
  try {
    number = entry_number(row.key);
  } catch (const std::exception&) {
    return fail(row.key, "not an entry's key");
  }
  // First the level: what is written at one that this build does not have need not look right to it.
  if (row.entry.level < least_ || row.entry.level > most_)
    return fail(row.key, "it is of state level " + std::to_string(row.entry.level) + ", and this build reads " + std::to_string(least_) +
                             " to " + std::to_string(most_));
  if (!row.unreadable.empty()) return fail(row.key, row.unreadable);
  const auto n = slots_at(row.entry.level) ? row.entry.n : number;
  taken_.push_back({n, {number, row.stamp}, std::move(row.entry)});
  return true;
}

bool Reader::finish() {
  std::sort(taken_.begin(), taken_.end(), [](const Taken& a, const Taken& b) { return a.n < b.n; });
  // What the newest entry does not need is an earlier time's: read, it would bring back what is over.
  const auto first = taken_.empty() ? 0 : taken_.back().entry.first;
  for (const auto& taken : taken_) {
    if (taken.n < first) {
      found_.free.push_back(taken.slot);
    } else if (!read(taken)) {
      return false;
    }
  }
  taken_.clear();
  return true;
}

bool Reader::read(const Taken& taken) {
  const auto& [n, slot, entry] = taken;
  const auto key = entry_key(slot.number);
  if (found_.kept.contains(n)) return fail(key, "its number is another entry's");
  if (checked_at(entry.level) && entries_ > 0) {
    // The first entry kept is linked to ones that are gone, and one behind an entry of level 1 to none.
    if (entry.before != found_.link)
      return fail(
          key, "it does not follow entry " + std::to_string(found_.next - 1) + ": one between them is missing, or one before it is older");
  }
  for (const auto& record : entry.records) {
    book_.apply(record);
    if (const auto fact = Rewriter::fact_of(record, book_)) found_.rewriter.begins(n, *fact);
  }
  for (; jobs_ < book_.job_count(); ++jobs_) found_.rewriter.begins(n, JobIdx{static_cast<std::uint32_t>(jobs_)});
  if (entries_ == 0) found_.first = n;
  if (entry.level != found_.level) found_.same_level_from = n;
  found_.level = entry.level;
  found_.generation = entry.generation;
  found_.link = checked_at(entry.level) ? link_of(entry.before, n, entry.check) : 0;
  found_.seq = std::max(found_.seq, entry.seq);
  found_.next = n + 1;
  found_.kept[n] = slot;
  ++entries_;
  return true;
}

}  // namespace thistle
