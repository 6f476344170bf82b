#include "ledger/rewriter.hpp"

#include <algorithm>

#include "protocol/messages.hpp"

namespace thistle {

namespace {
constexpr std::size_t kFewEntries = 8;  // a ledger this short is left as it is
constexpr std::size_t kJobBytes = 400, kTaskBytes = 12, kRangeBytes = 24,
                      kEndedBytes = 24;                   // rough sizes in the ledger
constexpr std::size_t kLeastItems = 4, kMostItems = 100;  // ranges in one record, a placement's head counting as three

std::uint64_t most_entries(const Book& book, std::size_t entry_bytes, double longer) {
  const auto held = book.pipelines().counts().blocked;
  std::size_t bytes = (book.job_count() - book.live().size() - held) * kEndedBytes + held * kJobBytes;
  for (JobIdx j : book.live()) bytes += kJobBytes + book.job(j).placed.size() * kTaskBytes;
  const auto of_book = static_cast<double>(bytes / std::max<std::size_t>(entry_bytes, 1));
  return kFewEntries + static_cast<std::uint64_t>(longer * of_book);
}
}  // namespace

namespace {
// Ranges that fit into a record beside the job's description.
std::size_t items_beside(const Submission& s, std::size_t record_bytes) {
  const auto description = encoded_most(s);
  const auto room = record_bytes > description ? record_bytes - description : 0;
  return std::clamp(room / kRangeBytes, kLeastItems, kMostItems);
}
constexpr std::uint32_t kTeams = 1u << 31;  // facts of teams: above all jobs
bool is_fact(JobIdx j) {
  return j.v >= kTeams;
}
Record fact(JobIdx j, const Book& book) {
  if (!j.valid()) return FlavorsRecord{book.flavors()};
  return *book.accounts().team(TeamIdx{j.v - kTeams}).record;
}
}  // namespace

std::optional<JobIdx> Rewriter::singleton_of(const Record& record, const Book& book) {
  if (std::holds_alternative<FlavorsRecord>(record)) return JobIdx{};
  if (const auto* team = std::get_if<TeamRecord>(&record)) return JobIdx{kTeams + book.accounts().find(team->name).v};
  return std::nullopt;
}

void Rewriter::record_first_entry(std::uint64_t entry, JobIdx job) {
  if (is_fact(job)) {
    for (auto& [n, jobs] : begin_there_) std::erase(jobs, job);
    std::erase_if(begin_there_, [](const auto& e) { return e.second.empty(); });
  }
  begin_there_[entry].push_back(job);
}

std::vector<Rewriter::Item> Rewriter::next_rewrites(const Book& book, std::uint64_t first, std::uint64_t next, std::size_t entry_bytes,
                                                    double longer) const {
  if (next - first <= most_entries(book, entry_bytes, longer)) return {};
  return rewrites_of_oldest(book, next, entry_bytes / 2);
}

std::vector<Rewriter::Item> Rewriter::rewrites_of_oldest(const Book& book, std::uint64_t next, std::size_t budget) const {
  std::vector<Item> out;
  const auto oldest = begin_there_.begin();
  // Nothing is moved into the entry that it comes from.
  if (oldest == begin_there_.end() || oldest->first + 1 >= next) return out;
  std::size_t bytes = 0;
  for (JobIdx j : oldest->second) {
    if (is_fact(j)) {
      out.push_back({j, fact(j, book), 0, true, true});
      continue;
    }
    std::uint32_t from = j == partial_ ? partial_covered_ : 0;
    do {
      if (bytes >= budget) return out;
      Item item{j, {}, 0, from == 0, false};
      item.record = book.job_record(j, from, items_beside(book.job(j).spec, book.record_bytes()));
      item.covered = from;
      item.ends = book.covered(j, from);
      if (const auto* job = std::get_if<JobRecord>(&item.record)) {
        bytes += kJobBytes + (job->done.size() + job->placed.size()) * kRangeBytes;
      } else {
        bytes += kEndedBytes;
      }
      out.push_back(std::move(item));
    } while (!out.back().ends);
  }
  return out;
}

void Rewriter::record_rewritten(const std::vector<Item>& items, const std::vector<std::uint64_t>& entries) {
  for (std::size_t i = 0; i < std::min(items.size(), entries.size()); ++i) {
    const Item& item = items[i];
    const bool whole = item.begins && item.ends;
    if (item.begins && !item.ends) partial_entry_ = entries[i];
    if (!item.ends) {
      partial_ = item.job;
      partial_covered_ = item.covered;
      continue;
    }
    // A job in several records begins where the first of them is (went_back: with a later one, its first
    // tasks went).
    const std::uint64_t entry = whole ? entries[i] : partial_entry_;
    if (item.job == partial_) partial_ = {};
    for (auto it = begin_there_.begin(); it != begin_there_.end(); ++it) {
      if (std::erase(it->second, item.job) == 0) continue;
      if (it->second.empty()) begin_there_.erase(it);
      break;
    }
    begin_there_[entry].push_back(item.job);
  }
}

std::uint64_t Rewriter::oldest_needed(std::uint64_t otherwise) const {
  return begin_there_.empty() ? otherwise : begin_there_.begin()->first;
}

}  // namespace thistle
