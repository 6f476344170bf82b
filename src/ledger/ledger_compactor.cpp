#include "ledger/ledger_compactor.hpp"

#include <algorithm>
#include <variant>

#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "protocol/messages.hpp"

namespace thistlefront {

namespace {
constexpr std::size_t kMinCompactedEntries = 8;  // a ledger of this length or less is not compacted
// Approximate sizes in the ledger.
constexpr std::size_t kJobBytes = 400;
constexpr std::size_t kTaskBytes = 12;
constexpr std::size_t kRangeBytes = 24;
constexpr std::size_t kEndedJobBytes = 24;
// Task ranges in one record. The fixed fields of a placement count as three ranges.
constexpr std::size_t kMinRangesPerRecord = 4;
constexpr std::size_t kMaxRangesPerRecord = 100;
// Singleton keys: a team's key is above all job indexes, the key of the machine types is the invalid index.
constexpr std::uint32_t kFirstTeamKey = 1u << 31;

std::uint64_t max_ledger_entries(const ClusterState& cluster_state, std::size_t entry_bytes, double length_factor) {
  const auto blocked = cluster_state.dependency_graph().counts().blocked;
  const auto ended = cluster_state.job_count() - cluster_state.live().size() - blocked;
  std::size_t bytes = ended * kEndedJobBytes + blocked * kJobBytes;
  for (JobIndex job : cluster_state.live()) bytes += kJobBytes + cluster_state.job(job).placed.size() * kTaskBytes;
  const std::size_t min_entries = bytes / std::max<std::size_t>(entry_bytes, 1);
  return kMinCompactedEntries + static_cast<std::uint64_t>(length_factor * static_cast<double>(min_entries));
}

// Number of task ranges that fit into a record together with the job's description.
std::size_t max_ranges_in_record(const JobSpec& spec, std::size_t record_bytes) {
  const auto spec_bytes = max_job_spec_bytes(spec);
  const auto remaining_bytes = record_bytes > spec_bytes ? record_bytes - spec_bytes : 0;
  return std::clamp(remaining_bytes / kRangeBytes, kMinRangesPerRecord, kMaxRangesPerRecord);
}

bool is_singleton(JobIndex key) {
  return key.value >= kFirstTeamKey;
}

Record singleton_record(JobIndex key, const ClusterState& cluster_state) {
  if (!key.valid()) return MachineTypesRecord{cluster_state.machine_types()};
  return *cluster_state.quota_accounts().team(TeamIndex{key.value - kFirstTeamKey}).record;
}

std::size_t estimated_bytes(const Record& record) {
  const auto* job = std::get_if<JobSnapshotRecord>(&record);
  if (!job) return kEndedJobBytes;
  return kJobBytes + (job->done.size() + job->placed.size()) * kRangeBytes;
}

// The next snapshot record of a job whose first `covered_tasks` tasks have already been rewritten.
LedgerCompactor::Rewrite next_job_rewrite(const ClusterState& cluster_state, JobIndex job, std::uint32_t covered_tasks) {
  LedgerCompactor::Rewrite rewrite;
  rewrite.job = job;
  rewrite.is_first = covered_tasks == 0;
  const auto max_ranges = max_ranges_in_record(cluster_state.job(job).spec, cluster_state.record_bytes());
  rewrite.record = cluster_state.snapshot_record(job, covered_tasks, max_ranges);
  rewrite.covered_tasks = covered_tasks;
  rewrite.is_last = cluster_state.is_snapshot_complete(job, covered_tasks);
  return rewrite;
}
}  // namespace

std::optional<JobIndex> LedgerCompactor::singleton_key_of(const Record& record, const ClusterState& cluster_state) {
  if (std::holds_alternative<MachineTypesRecord>(record)) return JobIndex{};
  if (const auto* team = std::get_if<TeamQuotaRecord>(&record))
    return JobIndex{kFirstTeamKey + cluster_state.quota_accounts().find(team->name).value};
  return std::nullopt;
}

void LedgerCompactor::record_first_entry(std::uint64_t entry, JobIndex job) {
  if (is_singleton(job)) {
    for (auto& [number, jobs] : jobs_by_first_entry_) std::erase(jobs, job);
    std::erase_if(jobs_by_first_entry_, [](const auto& jobs_of_entry) { return jobs_of_entry.second.empty(); });
  }
  jobs_by_first_entry_[entry].push_back(job);
}

std::vector<LedgerCompactor::Rewrite> LedgerCompactor::next_rewrites(const ClusterState& cluster_state, std::uint64_t first,
                                                                     std::uint64_t next, std::size_t entry_bytes,
                                                                     double length_factor) const {
  if (next - first <= max_ledger_entries(cluster_state, entry_bytes, length_factor)) return {};
  return rewrites_of_oldest(cluster_state, next, entry_bytes / 2);
}

std::vector<LedgerCompactor::Rewrite> LedgerCompactor::rewrites_of_oldest(const ClusterState& cluster_state, std::uint64_t next,
                                                                          std::size_t budget_bytes) const {
  std::vector<Rewrite> rewrites;
  const auto oldest = jobs_by_first_entry_.begin();
  // A record must not be rewritten into the entry that it is in.
  if (oldest == jobs_by_first_entry_.end() || oldest->first + 1 >= next) return rewrites;
  std::size_t bytes = 0;
  for (JobIndex job : oldest->second) {
    if (is_singleton(job)) {
      rewrites.push_back({job, singleton_record(job, cluster_state), 0, true, true});
      continue;
    }
    std::uint32_t covered_tasks = job == partial_.job ? partial_.covered_tasks : 0;
    do {
      if (bytes >= budget_bytes) return rewrites;
      rewrites.push_back(next_job_rewrite(cluster_state, job, covered_tasks));
      covered_tasks = rewrites.back().covered_tasks;
      bytes += estimated_bytes(rewrites.back().record);
    } while (!rewrites.back().is_last);
  }
  return rewrites;
}

void LedgerCompactor::record_rewritten(const std::vector<Rewrite>& rewrites, const std::vector<std::uint64_t>& entries) {
  for (std::size_t i = 0; i < std::min(rewrites.size(), entries.size()); ++i) {
    const Rewrite& rewrite = rewrites[i];
    if (!rewrite.is_last) {
      if (rewrite.is_first) partial_.first_entry = entries[i];
      partial_.job = rewrite.job;
      partial_.covered_tasks = rewrite.covered_tasks;
      continue;
    }
    // A job that takes several records begins in the entry of the first one. If the entry of a later record counted, the entry
    // with the job's first tasks could be removed too early.
    const std::uint64_t entry = rewrite.is_first ? entries[i] : partial_.first_entry;
    if (rewrite.job == partial_.job) partial_.job = {};
    move_to_entry(rewrite.job, entry);
  }
}

void LedgerCompactor::move_to_entry(JobIndex job, std::uint64_t entry) {
  for (auto it = jobs_by_first_entry_.begin(); it != jobs_by_first_entry_.end(); ++it) {
    if (std::erase(it->second, job) == 0) continue;
    if (it->second.empty()) jobs_by_first_entry_.erase(it);
    break;
  }
  jobs_by_first_entry_[entry].push_back(job);
}

std::uint64_t LedgerCompactor::first_needed_entry(std::uint64_t fallback) const {
  return jobs_by_first_entry_.empty() ? fallback : jobs_by_first_entry_.begin()->first;
}

}  // namespace thistlefront
