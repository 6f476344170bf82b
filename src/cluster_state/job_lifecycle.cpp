// Adds jobs to the cluster state, keeps the list of live jobs, and releases the data of ended jobs.
#include <algorithm>
#include <utility>

#include "cluster_state/cluster_state.hpp"
#include "model/invariant.hpp"

namespace thistlefront {

JobIndex ClusterState::new_job(const std::string& uid) {
  const JobIndex job_index{static_cast<std::uint32_t>(jobs_.size())};
  jobs_.emplace_back().uid = uid;
  const bool inserted = jobs_by_uid_.emplace(uid, job_index).second;
  THISTLEFRONT_INVARIANT(inserted);
  static_cast<void>(inserted);
  return job_index;
}

JobIndex ClusterState::add_job(const JobAcceptedRecord& record) {
  const JobSpec& spec = record.job;
  const JobIndex job_index = new_job(spec.uid);
  Job& job = jobs_[job_index.value];
  job.spec = spec;
  job.team = quota_accounts_.find_or_add(spec.owner);
  job.job_class = classes_.intern(spec.job_class);
  job.image = images_.intern(spec.image);
  if (!spec.zone.empty()) job.zone = zones_.intern(spec.zone);
  for (const auto& name : spec.machine_types) job.machine_types.push_back(machine_types_.intern(name));
  job.service = spec.job_type == JobType::service;
  job.tasks.assign(spec.task_count, TaskState::pending);
  job.pending = spec.task_count;
  job.random_draw = record.random_draw;
  job.accepted_at = record.accepted_at;
  job.eligible_since = record.accepted_at;
  job.urgency = own_urgency(job);

  latest_accepted_at_ = std::max(latest_accepted_at_, record.accepted_at);
  size_ranking_.record(job.job_class, size_of(spec));
  accelerator_demands_.record(job.machine_types, spec.demand, spec.allows_spot, record.accepted_at);
  if (spec.depends_on.empty()) {
    activate(job_index);
  } else {
    register_dependencies(job_index);
  }
  resolve_dependency(job_index);
  return job_index;
}

JobIndex ClusterState::add_ended_job(const std::string& uid, JobStatus status, bool service, double done_at) {
  const JobIndex job_index = new_job(uid);
  Job& job = jobs_[job_index.value];
  job.status = status;
  job.service = service;
  resolve_dependency(job_index, done_at);
  return job_index;
}

void ClusterState::activate(JobIndex job_index) {
  Job& job = jobs_[job_index.value];
  if (job.live_position != kNotLive) return;
  job.live_position = static_cast<std::uint32_t>(live_.size());
  live_.push_back(job_index);
}

void ClusterState::deactivate(JobIndex job_index) {
  const std::uint32_t position = std::exchange(jobs_[job_index.value].live_position, kNotLive);
  if (position == kNotLive) return;
  THISTLEFRONT_INVARIANT(position < live_.size() && live_[position] == job_index);
  // The last live job moves to the free position.
  const JobIndex last = live_.back();
  live_.pop_back();
  if (last == job_index) return;
  live_[position] = last;
  jobs_[last.value].live_position = position;
}

void ClusterState::release_if_finished(JobIndex job_index) {
  Job& job = jobs_[job_index.value];
  if (!job.ended() || !job.placed.empty() || job.partially_replayed) return;
  deactivate(job_index);
  job.blocked = false;
  const bool any_task_succeeded = job.done > 0;
  failure_attribution_.remove_job(job_index, any_task_succeeded);
  // Only the UID and the final status are still needed.
  job.spec = {};
  job.tasks = {};
  job.machine_types = {};
}

}  // namespace thistlefront
