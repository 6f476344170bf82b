#include "ledger/ledger_compactor.hpp"

#include <algorithm>

#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "protocol/messages.hpp"

namespace thistlefront {

namespace {
constexpr std::size_t kFewEntries = 8;  // a ledger this short is left as it is
constexpr std::size_t kJobBytes = 400, kTaskBytes = 12, kRangeBytes = 24,
                      kEndedBytes = 24;                   // rough sizes in the ledger
constexpr std::size_t kLeastItems = 4, kMostItems = 100;  // ranges in one record, a placement's head counting as three

std::uint64_t most_entries(const ClusterState& cluster_state, std::size_t entry_bytes, double longer) {
  const auto held = cluster_state.dependency_graph().counts().blocked;
  std::size_t bytes = (cluster_state.job_count() - cluster_state.live().size() - held) * kEndedBytes + held * kJobBytes;
  for (JobIndex j : cluster_state.live()) bytes += kJobBytes + cluster_state.job(j).placed.size() * kTaskBytes;
  const auto of_book = static_cast<double>(bytes / std::max<std::size_t>(entry_bytes, 1));
  return kFewEntries + static_cast<std::uint64_t>(longer * of_book);
}
}  // namespace

namespace {
// Ranges that fit into a record beside the job's description.
std::size_t items_beside(const JobSpec& s, std::size_t record_bytes) {
  const auto description = encoded_most(s);
  const auto room = record_bytes > description ? record_bytes - description : 0;
  return std::clamp(room / kRangeBytes, kLeastItems, kMostItems);
}
constexpr std::uint32_t kTeams = 1u << 31;  // facts of teams: above all jobs
bool is_fact(JobIndex j) {
  return j.value >= kTeams;
}
Record fact(JobIndex j, const ClusterState& cluster_state) {
  if (!j.valid()) return MachineTypesRecord{cluster_state.machine_types()};
  return *cluster_state.quota_accounts().team(TeamIndex{j.value - kTeams}).record;
}
}  // namespace

std::optional<JobIndex> LedgerCompactor::singleton_of(const Record& record, const ClusterState& cluster_state) {
  if (std::holds_alternative<MachineTypesRecord>(record)) return JobIndex{};
  if (const auto* team = std::get_if<TeamQuotaRecord>(&record))
    return JobIndex{kTeams + cluster_state.quota_accounts().find(team->name).value};
  return std::nullopt;
}

void LedgerCompactor::record_first_entry(std::uint64_t entry, JobIndex job) {
  if (is_fact(job)) {
    for (auto& [n, jobs] : begin_there_) std::erase(jobs, job);
    std::erase_if(begin_there_, [](const auto& e) { return e.second.empty(); });
  }
  begin_there_[entry].push_back(job);
}

std::vector<LedgerCompactor::Item> LedgerCompactor::next_rewrites(const ClusterState& cluster_state, std::uint64_t first,
                                                                  std::uint64_t next, std::size_t entry_bytes, double longer) const {
  if (next - first <= most_entries(cluster_state, entry_bytes, longer)) return {};
  return rewrites_of_oldest(cluster_state, next, entry_bytes / 2);
}

std::vector<LedgerCompactor::Item> LedgerCompactor::rewrites_of_oldest(const ClusterState& cluster_state, std::uint64_t next,
                                                                       std::size_t budget) const {
  std::vector<Item> out;
  const auto oldest = begin_there_.begin();
  // Nothing is moved into the entry that it comes from.
  if (oldest == begin_there_.end() || oldest->first + 1 >= next) return out;
  std::size_t bytes = 0;
  for (JobIndex j : oldest->second) {
    if (is_fact(j)) {
      out.push_back({j, fact(j, cluster_state), 0, true, true});
      continue;
    }
    std::uint32_t from = j == partial_ ? partial_covered_ : 0;
    do {
      if (bytes >= budget) return out;
      Item item{j, {}, 0, from == 0, false};
      item.record = cluster_state.snapshot_record(j, from, items_beside(cluster_state.job(j).spec, cluster_state.record_bytes()));
      item.is_snapshot_complete = from;
      item.ends = cluster_state.is_snapshot_complete(j, from);
      if (const auto* job = std::get_if<JobSnapshotRecord>(&item.record)) {
        bytes += kJobBytes + (job->done.size() + job->placed.size()) * kRangeBytes;
      } else {
        bytes += kEndedBytes;
      }
      out.push_back(std::move(item));
    } while (!out.back().ends);
  }
  return out;
}

void LedgerCompactor::record_rewritten(const std::vector<Item>& items, const std::vector<std::uint64_t>& entries) {
  for (std::size_t i = 0; i < std::min(items.size(), entries.size()); ++i) {
    const Item& item = items[i];
    const bool whole = item.begins && item.ends;
    if (item.begins && !item.ends) partial_entry_ = entries[i];
    if (!item.ends) {
      partial_ = item.job;
      partial_covered_ = item.is_snapshot_complete;
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

std::uint64_t LedgerCompactor::oldest_needed(std::uint64_t otherwise) const {
  return begin_there_.empty() ? otherwise : begin_there_.begin()->first;
}

}  // namespace thistlefront
