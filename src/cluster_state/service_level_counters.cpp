#include "cluster_state/service_level_counters.hpp"

#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"

namespace thistlefront {

namespace {
// The job that a record is about; not valid for records of other kinds, and for a job that is not in the book.
template <class Kind>
JobIndex job_of(const Record& record, const ClusterState& cluster_state) {
  const auto* r = std::get_if<Kind>(&record);
  return r ? cluster_state.find(r->uid) : JobIndex{};
}
}  // namespace

void ServiceLevelCounters::before_apply(const Record& record, const ClusterState& cluster_state) {
  if (const auto* accept = std::get_if<JobAcceptedRecord>(&record)) {
    if (!cluster_state.find(accept->job.uid).valid()) ++counts_of(accept->job).accepted;
    return;
  }
  if (const JobIndex j = job_of<TasksStartedRecord>(record, cluster_state); j.valid()) {
    const Job& job = cluster_state.job(j);
    if (job.attempts == 0 && !job.ended()) {
      auto& f = counts_of(job.spec);
      ++f.started;
      if (cluster_state.is_large(job)) {
        ++f.largest;
        f.largest_in_time += std::get<TasksStartedRecord>(record).at - job.eligible_since <= kLargestStartTarget;
      }
    }
  }
  if (const JobIndex j = job_of<JobCancelledRecord>(record, cluster_state); j.valid()) {
    const Job& job = cluster_state.job(j);
    if (job.attempts == 0 && !job.ended()) ++counts_of(job.spec).withdrawn_unstarted;
  }
  ending_.reset();
  if (const JobIndex j = job_of<TasksCompletedRecord>(record, cluster_state); j.valid() && !cluster_state.job(j).ended()) {
    const Job& job = cluster_state.job(j);
    ending_ = Ending{key_of(job.spec), {}};
    if (job.spec.deadline_s) ending_->deadline_at = job.accepted_at + *job.spec.deadline_s;
  }
}

void ServiceLevelCounters::after_apply(const Record& record, const ClusterState& cluster_state, double wall) {
  const JobIndex j = job_of<TasksCompletedRecord>(record, cluster_state);
  if (!j.valid() || !ending_ || cluster_state.job(j).status != JobStatus::done) return;
  auto& f = counts_[ending_->key];
  ++f.done;
  if (!ending_->deadline_at) return;
  ++f.due;
  f.in_time += wall <= *ending_->deadline_at;
}

void ServiceLevelCounters::add_replica_time(const ClusterState& cluster_state, double seconds) {
  for (JobIndex j : cluster_state.live()) {
    const Job& job = cluster_state.job(j);
    if (job.ended() || job.spec.job_type != JobType::service) continue;
    auto& f = counts_of(job.spec);
    f.replica_s += seconds * static_cast<double>(job.tasks.size());
    f.replica_up_s += seconds * job.running();
  }
}

}  // namespace thistlefront
