// What each kind of ledger record does to the cluster state. Every controller applies the same records in the same order, so
// nothing here may depend on anything but the state and the record.
#include <algorithm>

#include "cluster_state/cluster_state.hpp"

namespace thistlefront {

void ClusterState::apply(const Record& record) {
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
  // Cancelled between the plan and the ledger: it does not start.
  if (job.ended()) return;
  // No start, however it came here, places a task of a blocked job. Except during the replay: what the job depends on may
  // stand further on in the ledger, in snapshot records. The writer of this start knew that the job was eligible, and
  // ignoring the start would let its running tasks be started once more.
  if (job.blocked && !is_replay_incomplete(job_index)) return;
  for (const auto& assignment : record.assignments) {
    Placement placement;
    placement.node = find_or_add_node(assignment.node);
    placement.agent_incarnation = assignment.agent_incarnation;
    placement.attempt = record.attempt;
    placement.decided_at = record.decided_at;
    place_all(job_index, assignment.tasks, placement);
  }
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
      // A late removal of an earlier attempt says nothing about the present one.
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
  // During the replay its start may have been read before the jobs that it depends on. It must be live, so that its tasks are
  // stopped: the randomised safety test found them left on their nodes for good.
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

// In a ledger read from its beginning this repeats what is known; where older entries were removed, the job begins with it.
// A job with many task ranges comes in several records, of which only the last one carries its status.
void ClusterState::apply_record(const JobSnapshotRecord& record) {
  JobIndex job_index = find(record.accepted.job.uid);
  if (!job_index.valid()) {
    // A later part of an outdated snapshot, whose earlier parts were removed: the whole job stands further on in the ledger.
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
  for (const auto& placed : record.placed) {
    Placement placement;
    placement.node = find_or_add_node(placed.node);
    placement.agent_incarnation = placed.agent_incarnation;
    placement.attempt = placed.attempt;
    placement.decided_at = placed.decided_at;
    place_all(job_index, placed.tasks, placement);
  }
  if (record.status == JobStatus::cancelled) apply_record(JobCancelledRecord{record.accepted.job.uid});
  if (job.status == JobStatus::cancelled) {
    for (auto& [task, placement] : job.placed) placement.stopping = true;
  }
  release_if_finished(job_index);
}

void ClusterState::apply_record(const JobsEndedRecord& record) {
  for (std::uint32_t position = 0; position < record.uids.size(); ++position) apply_end(record, position);
}

// `position`: of the job in the record's list of names.
void ClusterState::apply_end(const JobsEndedRecord& record, std::uint32_t position) {
  const std::string& uid = record.uids[position];
  const bool service = std::find(record.services.begin(), record.services.end(), position) != record.services.end();
  const auto time = std::find_if(record.done_at.begin(), record.done_at.end(), [&](const auto& entry) { return entry.first == position; });
  const double done_at = time == record.done_at.end() ? 0 : time->second;
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
