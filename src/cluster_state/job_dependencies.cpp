// Applies the decisions of the dependency graph to jobs: they become eligible, more or less urgent, or cancelled.
#include <algorithm>

#include "cluster_state/cluster_state.hpp"
#include "model/invariant.hpp"

namespace thistlefront {

namespace {
DependencyGraph::DependencyStatus::State dependency_state(JobStatus status) {
  using State = DependencyGraph::DependencyStatus::State;
  switch (status) {
    case JobStatus::done: return State::done;
    case JobStatus::cancelled: return State::cancelled;
    case JobStatus::queued:
    case JobStatus::running: break;
  }
  return State::pending;
}
}  // namespace

Urgency ClusterState::own_urgency(const Job& job) {
  Urgency urgency;
  urgency.priority = job.spec.priority;
  if (job.spec.deadline_s) urgency.deadline_at = job.accepted_at + *job.spec.deadline_s;
  return urgency;
}

DependencyGraph::DependencyStatus ClusterState::dependency_status(JobIndex job_index) const {
  if (!job_index.valid()) return {};
  return {dependency_state(jobs_[job_index.value].status), job_index, 0};
}

void ClusterState::register_dependencies(JobIndex job_index) {
  Job& job = jobs_[job_index.value];
  job.blocked = true;
  std::vector<DependencyGraph::DependencyStatus> statuses;
  statuses.reserve(job.spec.depends_on.size());
  for (const auto& name : job.spec.depends_on) statuses.push_back(dependency_status(find(name)));
  update_dependency_graph([&](DependencyGraph::JobChanges& changes) {
    dependency_graph_.add(job_index, job.urgency, job.spec.estimated_run_s, job.accepted_at, job.spec.depends_on, statuses, changes);
  });
}

void ClusterState::resolve_dependency(JobIndex job_index, double done_at) {
  auto status = dependency_status(job_index);
  status.done_at = done_at;
  update_dependency_graph(
      [&](DependencyGraph::JobChanges& changes) { dependency_graph_.resolve_name(jobs_[job_index.value].uid, status, changes); });
}

void ClusterState::update_dependents(JobIndex job_index, double ended_at) {
  THISTLEFRONT_INVARIANT(jobs_[job_index.value].ended());
  update_dependency_graph([&](DependencyGraph::JobChanges& changes) {
    if (jobs_[job_index.value].status == JobStatus::done) {
      dependency_graph_.mark_done(job_index, ended_at, changes);
    } else {
      dependency_graph_.mark_cancelled(job_index, changes);
    }
  });
}

void ClusterState::unblock(JobIndex job_index, double eligible_since) {
  update_dependency_graph([&](DependencyGraph::JobChanges& changes) {
    dependency_graph_.mark_eligible(job_index);
    changes.eligible.push_back({job_index, eligible_since});
  });
}

void ClusterState::apply_dependency_changes(const DependencyGraph::JobChanges& changes) {
  for (const auto& [job_index, since] : changes.eligible) {
    Job& job = jobs_[job_index.value];
    job.blocked = false;
    job.eligible_since = since;
    // All its dependencies are done, so it can no longer be cancelled because of one.
    job.spec.depends_on.clear();
    job.spec.depends_on.shrink_to_fit();
    if (!job.ended()) activate(job_index);
  }
  for (const JobIndex job_index : changes.cancelled) {
    Job& job = jobs_[job_index.value];
    // Its dependencies were not done, so no task of it ever ran and there is nothing to stop.
    if (!job.ended()) job.status = JobStatus::cancelled;
    release_if_finished(job_index);
  }
}

void ClusterState::update_inherited_urgency() {
  for (const auto& [job_index, required] : dependency_graph_.update_required_urgency()) {
    Job& job = jobs_[job_index.value];
    if (!job.ended()) job.urgency = more_urgent(own_urgency(job), required);
  }
}

bool ClusterState::is_replay_incomplete(JobIndex job_index) const {
  if (dependency_graph_.has_unresolved_names(job_index)) return true;
  const auto dependencies = dependency_graph_.open_dependencies(job_index);
  return std::any_of(dependencies.begin(), dependencies.end(),
                     [&](JobIndex dependency) { return jobs_[dependency.value].partially_replayed; });
}

}  // namespace thistlefront
