#include "cluster_state/service_level_counters.hpp"

#include <variant>

#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"

namespace thistlefront {

namespace {
// The job of a record of this kind; nullptr for records of other kinds, and for an unknown job.
template <class RecordKind>
const Job* find_job(const Record& record, const ClusterState& cluster_state) {
  const auto* typed_record = std::get_if<RecordKind>(&record);
  if (!typed_record) return nullptr;
  const JobIndex job_index = cluster_state.find(typed_record->uid);
  return job_index.valid() ? &cluster_state.job(job_index) : nullptr;
}

bool is_unstarted(const Job& job) {
  return job.attempts == 0 && !job.ended();
}
}  // namespace

void ServiceLevelCounters::before_apply(const Record& record, const ClusterState& cluster_state) {
  if (const auto* accepted = std::get_if<JobAcceptedRecord>(&record)) {
    if (!cluster_state.find(accepted->job.uid).valid()) ++counts_of(accepted->job).accepted;
    return;
  }
  if (const Job* job = find_job<TasksStartedRecord>(record, cluster_state); job && is_unstarted(*job)) {
    Counts& counts = counts_of(job->spec);
    ++counts.started;
    if (cluster_state.is_large(*job)) {
      ++counts.largest_started;
      counts.largest_started_in_time += std::get<TasksStartedRecord>(record).decided_at - job->eligible_since <= kLargestJobStartTargetS;
    }
  }
  if (const Job* job = find_job<JobCancelledRecord>(record, cluster_state); job && is_unstarted(*job))
    ++counts_of(job->spec).withdrawn_unstarted;
  ending_.reset();
  if (const Job* job = find_job<TasksCompletedRecord>(record, cluster_state); job && !job->ended()) {
    ending_ = Ending{key_of(job->spec), {}};
    if (job->spec.deadline_s) ending_->deadline_at = job->accepted_at + *job->spec.deadline_s;
  }
}

void ServiceLevelCounters::after_apply(const Record& record, const ClusterState& cluster_state, double wall) {
  const Job* job = find_job<TasksCompletedRecord>(record, cluster_state);
  if (!job || !ending_ || job->status != JobStatus::done) return;
  Counts& counts = counts_[ending_->key];
  ++counts.done;
  if (!ending_->deadline_at) return;
  ++counts.done_with_deadline;
  counts.done_in_time += wall <= *ending_->deadline_at;
}

void ServiceLevelCounters::add_replica_time(const ClusterState& cluster_state, double seconds) {
  for (const JobIndex job_index : cluster_state.live()) {
    const Job& job = cluster_state.job(job_index);
    if (job.ended() || job.spec.job_type != JobType::service) continue;
    Counts& counts = counts_of(job.spec);
    counts.replica_requested_s += seconds * static_cast<double>(job.tasks.size());
    counts.replica_running_s += seconds * job.running();
  }
}

}  // namespace thistlefront
