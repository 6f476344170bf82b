// Applies ledger records to the cluster state. Every controller applies the same records in the same order, so the result must
// depend on nothing but the state and the record.
#include <algorithm>

#include "cluster_state/cluster_state.hpp"

namespace thistlefront {

void ClusterState::apply(const Record& record) {
  replay(record);
  update_inherited_urgency();
}

void ClusterState::replay(const Record& record) {
  std::visit([this](const auto& typed_record) { apply_record(typed_record); }, record);
}

void ClusterState::apply_record(const JobAcceptedRecord& record) {
  if (!find(record.job.uid).valid()) add_job(record);
}

void ClusterState::apply_record(const TasksStartedRecord& record) {
  const JobIndex job_index = find(record.uid);
  if (!job_index.valid()) return;
  Job& job = jobs_[job_index.value];
  job.attempts = std::max(job.attempts, record.attempt);
  // A job that was cancelled after the start was planned and before it was committed does not start.
  if (job.ended()) return;
  // A start never places a task of a blocked job, except during replay: there, the records of the job's dependencies may come
  // later in the ledger, as snapshot records. The leader that wrote this start knew that the job was eligible, and ignoring the
  // start would cause its running tasks to be started again.
  if (job.blocked && !is_replay_incomplete(job_index)) return;
  for (const auto& [node, agent_incarnation, tasks] : record.assignments)
    place_all(job_index, tasks, new_placement(node, agent_incarnation, record.attempt, record.decided_at));
}

void ClusterState::apply_record(const TasksCompletedRecord& record) {
  const JobIndex job_index = find(record.uid);
  if (!job_index.valid() || jobs_[job_index.value].tasks.empty()) return;
  mark_done(job_index, record.tasks, record.completed_at);
  release_if_finished(job_index);
}

void ClusterState::apply_record(const TasksRemovedRecord& record) {
  const JobIndex job_index = find(record.uid);
  if (!job_index.valid()) return;
  const Job& job = jobs_[job_index.value];
  for (const TaskRange& range : record.tasks) {
    for (std::uint32_t task = range.first; task < range.end; ++task) {
      const auto it = job.placed.find(task);
      // A late removal of an earlier attempt does not affect the current one.
      if (it == job.placed.end() || it->second.attempt != record.attempt) continue;
      if (record.failed_at > 0) failure_attribution_.record_failure(job_index, it->second.node, record.failed_at, job.done > 0);
      unplace({job_index, task});
    }
  }
  release_if_finished(job_index);
}

void ClusterState::apply_record(const JobCancelledRecord& record) {
  const JobIndex job_index = find(record.uid);
  if (!job_index.valid()) return;
  Job& job = jobs_[job_index.value];
  if (job.ended()) return;
  job.status = JobStatus::cancelled;
  // During replay, the job's start may have been read before its dependencies, so the job may still be blocked. It must become live,
  // or its tasks would never be stopped and stay on their nodes (found by the randomised safety test).
  job.blocked = false;
  if (!job.placed.empty()) activate(job_index);
  for (auto& [task, placement] : job.placed) {
    placement.stopping = true;
    placement.grace_period_s = 0;
  }
  update_dependents(job_index, 0);
  release_if_finished(job_index);
}

void ClusterState::apply_record(const MachineTypesRecord& record) {
  machine_types_.replace_offered(record.machine_types);
}

// If the older records of the job are still in the ledger, the snapshot repeats known state; otherwise the job is created from
// it. The snapshot of a job with many task ranges has several records, and only the last one contains the status.
void ClusterState::apply_record(const JobSnapshotRecord& record) {
  JobIndex job_index = find(record.accepted.job.uid);
  if (!job_index.valid()) {
    // Part of an outdated snapshot whose first parts were removed: a complete snapshot follows later in the ledger.
    if (record.first_task > 0) return;
    job_index = add_job(record.accepted);
    jobs_[job_index.value].partially_replayed = true;
  }
  Job& job = jobs_[job_index.value];
  if (!record.has_more) job.partially_replayed = false;
  if (record.suspect) failure_attribution_.restore_suspicion(job_index);
  job.attempts = std::max(job.attempts, record.attempts);
  if (record.eligible_since > 0) {
    if (job.blocked) unblock(job_index, record.eligible_since);
    job.eligible_since = record.eligible_since;
  }
  if (!record.done.empty()) mark_done(job_index, record.done, 0);
  for (const auto& [node, agent_incarnation, attempt, decided_at, tasks] : record.placed)
    place_all(job_index, tasks, new_placement(node, agent_incarnation, attempt, decided_at));
  if (record.status == JobStatus::cancelled) apply_record(JobCancelledRecord{record.accepted.job.uid});
  if (job.status == JobStatus::cancelled) {
    for (auto& [task, placement] : job.placed) placement.stopping = true;
  }
  release_if_finished(job_index);
}

void ClusterState::apply_record(const JobsEndedRecord& record) {
  for (std::uint32_t position = 0; position < record.uids.size(); ++position) apply_job_end(record, position);
}

// `position`: index of the job in `record.uids`.
void ClusterState::apply_job_end(const JobsEndedRecord& record, std::uint32_t position) {
  const std::string& uid = record.uids[position];
  const bool service = std::find(record.services.begin(), record.services.end(), position) != record.services.end();
  const auto done_entry =
      std::find_if(record.done_at.begin(), record.done_at.end(), [&](const auto& entry) { return entry.first == position; });
  const double done_at = done_entry == record.done_at.end() ? 0 : done_entry->second;
  const JobIndex job_index = find(uid);
  if (!job_index.valid()) {
    add_ended_job(uid, record.status, service, done_at);
    return;
  }
  Job& job = jobs_[job_index.value];
  if (job.ended() && job.placed.empty() && !job.partially_replayed) return;
  unplace_all(job_index);
  const bool ends_now = !job.ended();
  job.status = record.status;
  job.partially_replayed = false;
  job.service = job.service || service;
  if (ends_now) update_dependents(job_index, done_at);
  release_if_finished(job_index);
}

void ClusterState::apply_record(const TeamQuotaRecord& record) {
  quota_accounts_.apply_record(record);
}

}  // namespace thistlefront
