#include "ledger/ledger_compactor.hpp"

#include <algorithm>
#include <variant>

#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "protocol/messages.hpp"

namespace thistlefront {

namespace {
constexpr std::size_t kMinEntries = 8;  // a ledger this short is left as it is
// Rough sizes in the ledger.
constexpr std::size_t kJobBytes = 400;
constexpr std::size_t kTaskBytes = 12;
constexpr std::size_t kRangeBytes = 24;
constexpr std::size_t kEndedJobBytes = 24;
// Ranges of tasks in one record; the head of a placement counts as three.
constexpr std::size_t kMinRanges = 4;
constexpr std::size_t kMaxRanges = 100;
// Keys of singletons: those of teams are above all jobs, the one of the machine types is the index that isn't valid.
constexpr std::uint32_t kFirstTeamKey = 1u << 31;

std::uint64_t max_entries(const ClusterState& cluster_state, std::size_t entry_bytes, double length_factor) {
  const auto blocked = cluster_state.dependency_graph().counts().blocked;
  const auto ended = cluster_state.job_count() - cluster_state.live().size() - blocked;
  std::size_t bytes = ended * kEndedJobBytes + blocked * kJobBytes;
  for (JobIndex job : cluster_state.live()) bytes += kJobBytes + cluster_state.job(job).placed.size() * kTaskBytes;
  const std::size_t entries_of_state = bytes / std::max<std::size_t>(entry_bytes, 1);
  return kMinEntries + static_cast<std::uint64_t>(length_factor * static_cast<double>(entries_of_state));
}

// Ranges that fit into a record beside the job's description.
std::size_t ranges_beside(const JobSpec& spec, std::size_t record_bytes) {
  const auto description = encoded_most(spec);
  const auto room = record_bytes > description ? record_bytes - description : 0;
  return std::clamp(room / kRangeBytes, kMinRanges, kMaxRanges);
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

// The next record of a job of whose tasks `covered_tasks` are written already.
LedgerCompactor::Rewrite job_rewrite(const ClusterState& cluster_state, JobIndex job, std::uint32_t covered_tasks) {
  LedgerCompactor::Rewrite rewrite;
  rewrite.job = job;
  rewrite.is_first = covered_tasks == 0;
  const auto max_ranges = ranges_beside(cluster_state.job(job).spec, cluster_state.record_bytes());
  rewrite.record = cluster_state.snapshot_record(job, covered_tasks, max_ranges);
  rewrite.covered_tasks = covered_tasks;
  rewrite.is_last = cluster_state.is_snapshot_complete(job, covered_tasks);
  return rewrite;
}
}  // namespace

std::optional<JobIndex> LedgerCompactor::singleton_of(const Record& record, const ClusterState& cluster_state) {
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
  if (next - first <= max_entries(cluster_state, entry_bytes, length_factor)) return {};
  return rewrites_of_oldest(cluster_state, next, entry_bytes / 2);
}

std::vector<LedgerCompactor::Rewrite> LedgerCompactor::rewrites_of_oldest(const ClusterState& cluster_state, std::uint64_t next,
                                                                          std::size_t budget_bytes) const {
  std::vector<Rewrite> rewrites;
  const auto oldest = jobs_by_first_entry_.begin();
  // Nothing is moved into the entry that it comes from.
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
      rewrites.push_back(job_rewrite(cluster_state, job, covered_tasks));
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
    // A job in several records begins where the first of them is. Were a later one counted, the entry with the job's first
    // tasks could go too early.
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

std::uint64_t LedgerCompactor::oldest_needed(std::uint64_t otherwise) const {
  return jobs_by_first_entry_.empty() ? otherwise : jobs_by_first_entry_.begin()->first;
}

}  // namespace thistlefront
