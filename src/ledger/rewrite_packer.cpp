#include "ledger/rewrite_packer.hpp"

#include <algorithm>
#include <variant>

#include "model/job.hpp"
#include "protocol/messages.hpp"

namespace thistlefront {

namespace {
constexpr std::size_t kMaxEndedJobsPerRecord = 100;
constexpr std::size_t kUidOverheadBytes = 3;   // quotes and comma
constexpr std::size_t kEndedExtrasBytes = 30;  // of an ended job that has a completion time or was a service

std::size_t encoded_bytes(const JobsEndedRecord& job) {
  const bool has_extras = !job.done_at.empty() || !job.services.empty();
  return job.uids.front().size() + kUidOverheadBytes + (has_extras ? kEndedExtrasBytes : 0);
}
}  // namespace

RewritePacker::RewritePacker(EntryPacker& packer, PendingCommit& commit, std::uint32_t format_version, std::size_t value_bytes,
                             std::size_t record_bytes)
    : packer_(packer), commit_(commit), format_version_(format_version), value_bytes_(value_bytes), max_ended_bytes_(record_bytes / 2) {}

void RewritePacker::pack() {
  std::stable_partition(commit_.rewrites.begin(), commit_.rewrites.end(),
                        [](const LedgerCompactor::Rewrite& rewrite) { return std::holds_alternative<JobsEndedRecord>(rewrite.record); });
  for (const auto& rewrite : commit_.rewrites) {
    if (const auto* ended = std::get_if<JobsEndedRecord>(&rewrite.record)) {
      add_ended_job(*ended);
    } else if (is_storable(rewrite.record) && !packer_.append(rewrite.record)) {
      break;
    }
    commit_.rewrite_entries.push_back(packer_.current_entry());
  }
  flush(done_);
  flush(cancelled_);
  // It is not known which ended jobs were left out, so none of the rewrites counts, and a later commit repeats all of them.
  if (!all_ended_fit_) commit_.rewrite_entries.clear();
}

void RewritePacker::add_ended_job(const JobsEndedRecord& job) {
  EndedJobs& ended = job.status == JobStatus::cancelled ? cancelled_ : done_;
  const auto bytes = encoded_bytes(job);
  if (ended.record.uids.size() >= kMaxEndedJobsPerRecord || ended.bytes + bytes > max_ended_bytes_) flush(ended);
  ended.bytes += bytes;
  const auto index = static_cast<std::uint32_t>(ended.record.uids.size());
  if (!job.done_at.empty()) ended.record.done_at.emplace_back(index, job.done_at.front().second);
  if (!job.services.empty()) ended.record.services.push_back(index);
  ended.record.uids.push_back(job.uids.front());
}

void RewritePacker::flush(EndedJobs& ended) {
  if (!ended.record.uids.empty()) all_ended_fit_ = packer_.append(ended.record) && all_ended_fit_;
  ended = {{ended.record.status, {}}, 0};
}

// A record that is not storable counts as rewritten, although nothing is written:
// - A team's quota in a format version without quotas. A downgrade to such a version takes place only while all quotas equal those
//   in the settings.
// - A list of machine types that fits into no entry. Each leader requests the list from the cloud then.
bool RewritePacker::is_storable(const Record& record) const {
  if (std::holds_alternative<TeamQuotaRecord>(record)) return has_team_quotas(format_version_);
  if (const auto* machine_types = std::get_if<MachineTypesRecord>(&record)) return fits_in_entry(*machine_types, value_bytes_);
  return true;
}

}  // namespace thistlefront
