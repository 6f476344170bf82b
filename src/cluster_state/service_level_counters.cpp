#include "cluster_state/service_level_counters.hpp"

#include <variant>

#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"

namespace thistlefront {

namespace {
// The job of a record of type RecordType; nullptr if the record has another type or the job is unknown.
template <class RecordType>
const Job* find_job(const Record& record, const ClusterState& cluster_state) {
  const auto* typed_record = std::get_if<RecordType>(&record);
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
  completing_job_.reset();
  if (const Job* job = find_job<TasksCompletedRecord>(record, cluster_state); job && !job->ended()) {
    completing_job_ = CompletingJob{key_of(job->spec), {}};
    if (job->spec.deadline_s) completing_job_->deadline_at = job->accepted_at + *job->spec.deadline_s;
  }
}

void ServiceLevelCounters::after_apply(const Record& record, const ClusterState& cluster_state, double wall_s) {
  const Job* job = find_job<TasksCompletedRecord>(record, cluster_state);
  if (!job || !completing_job_ || job->status != JobStatus::done) return;
  Counts& counts = counts_[completing_job_->key];
  ++counts.done;
  if (!completing_job_->deadline_at) return;
  ++counts.done_with_deadline;
  counts.done_in_time += wall_s <= *completing_job_->deadline_at;
}

void ServiceLevelCounters::add_replica_time(const ClusterState& cluster_state, double elapsed_s) {
  for (const JobIndex job_index : cluster_state.live()) {
    const Job& job = cluster_state.job(job_index);
    if (job.ended() || job.spec.job_type != JobType::service) continue;
    Counts& counts = counts_of(job.spec);
    counts.replica_requested_s += elapsed_s * static_cast<double>(job.tasks.size());
    counts.replica_running_s += elapsed_s * job.running();
  }
}

}  // namespace thistlefront
