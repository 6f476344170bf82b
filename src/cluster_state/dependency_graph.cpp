#include "cluster_state/dependency_graph.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

#include "model/invariant.hpp"

namespace thistlefront {

namespace {
const std::vector<JobIndex> kNoJobs;
}  // namespace

const DependencyGraph::Vertex* DependencyGraph::find(JobIndex job) const {
  const auto it = vertices_.find(job);
  return it == vertices_.end() ? nullptr : &it->second;
}

void DependencyGraph::add(JobIndex job, const Urgency& own, double run_s, double accepted_at, const std::vector<std::string>& names,
                          const std::vector<DependencyStatus>& statuses, JobChanges& changes) {
  assert(names.size() == statuses.size() && !vertices_.contains(job));
  Vertex& vertex = vertices_[job];
  vertex.own = own;
  vertex.estimated_run_s = run_s;
  vertex.eligible_since = accepted_at;
  vertex.rank = ++last_rank_;
  vertex.blocked = true;
  ++blocked_;
  bool cancelled = false;
  for (std::size_t i = 0; i < names.size(); ++i) {
    switch (statuses[i].state) {
      case DependencyStatus::State::done: break;  // done before this job was accepted
      case DependencyStatus::State::cancelled: cancelled = true; break;
      case DependencyStatus::State::pending: add_edge(job, statuses[i].job); break;
      case DependencyStatus::State::unresolved:
        unresolved_[names[i]].push_back(job);
        ++vertices_[job].unresolved;
        break;
    }
  }
  if (cancelled) {
    cancel_with_dependents(job, changes);
  } else {
    update_eligibility(job, changes);
  }
}

void DependencyGraph::add_edge(JobIndex job, JobIndex dependency) {
  Vertex& dependency_vertex = vertices_[dependency];
  Vertex& vertex = vertices_.at(job);
  vertex.dependencies.push_back(dependency);
  dependency_vertex.dependents.push_back(job);
  ++steps_;
  // While the ledger is read, a job may be read before its dependency.
  if (dependency_vertex.rank >= vertex.rank) ranks_outdated_ = true;
  raise_required(dependency, dependency_vertex, urgency_required_by(vertex));
}

void DependencyGraph::resolve_name(const std::string& name, const DependencyStatus& status, JobChanges& changes) {
  const auto it = unresolved_.find(name);
  if (it == unresolved_.end()) return;
  const auto jobs = std::move(it->second);
  unresolved_.erase(it);
  for (const JobIndex job : jobs) resolve_dependency(job, status, changes);
}

void DependencyGraph::resolve_dependency(JobIndex job, const DependencyStatus& status, JobChanges& changes) {
  const auto it = vertices_.find(job);
  if (it == vertices_.end() || it->second.ended || it->second.unresolved == 0) return;
  --it->second.unresolved;
  switch (status.state) {
    case DependencyStatus::State::cancelled: cancel_with_dependents(job, changes); break;
    case DependencyStatus::State::pending: add_edge(job, status.job); break;
    case DependencyStatus::State::unresolved:
    case DependencyStatus::State::done:
      if (status.done_at > 0) {
        Vertex& dependency = vertices_[status.job];
        dependency.ended = true;
        dependency.done_at = status.done_at;
        dependency.dependents.push_back(job);
        record_completed_dependency(job, status.job, status.done_at);
      }
      update_eligibility(job, changes);
      break;
  }
}

void DependencyGraph::record_completed_dependency(JobIndex job, JobIndex dependency, double done_at) {
  Vertex& vertex = vertices_.at(job);
  vertex.completed_dependencies.push_back(dependency);
  vertex.eligible_since = std::max(vertex.eligible_since, done_at);
}

void DependencyGraph::mark_done(JobIndex job, double done_at, JobChanges& changes) {
  const auto it = vertices_.find(job);
  if (it == vertices_.end() || it->second.ended) return;
  it->second.ended = true;
  it->second.done_at = done_at;
  // A job that is done while marked as blocked had been eligible: its start was replayed before all its dependencies were read.
  if (it->second.blocked) mark_unblocked(it->second);
  const auto dependents = it->second.dependents;
  for (const JobIndex dependent : dependents) {
    auto& dependencies = vertices_.at(dependent).dependencies;
    steps_ += 1 + dependencies.size();
    if (std::erase(dependencies, job) == 0) continue;
    record_completed_dependency(dependent, job, done_at);
    update_eligibility(dependent, changes);
  }
  detach(job);
}

void DependencyGraph::update_eligibility(JobIndex job, JobChanges& changes) {
  Vertex& vertex = vertices_.at(job);
  if (!vertex.blocked || vertex.ended || vertex.unresolved > 0 || !vertex.dependencies.empty()) return;
  mark_unblocked(vertex);
  ++eligible_;
  changes.eligible.push_back({job, vertex.eligible_since});
  erase_if_unused(job);
}

void DependencyGraph::mark_unblocked(Vertex& vertex) {
  THISTLEFRONT_INVARIANT(vertex.blocked && blocked_ > 0);
  vertex.blocked = false;
  --blocked_;
}

void DependencyGraph::mark_cancelled(JobIndex job, JobChanges& changes) {
  if (const Vertex* vertex = find(job); vertex && !vertex->ended) cancel_dependents(job, changes);
}

void DependencyGraph::cancel_with_dependents(JobIndex job, JobChanges& changes) {
  changes.cancelled.push_back(job);
  ++cancelled_;
  cancel_dependents(job, changes);
}

void DependencyGraph::cancel_dependents(JobIndex job, JobChanges& changes) {
  // Iterative, because a chain of dependencies may contain all jobs.
  std::vector<JobIndex> remaining{job};
  while (!remaining.empty()) {
    const JobIndex cancelled = remaining.back();
    remaining.pop_back();
    Vertex& vertex = vertices_.at(cancelled);
    vertex.ended = true;
    if (vertex.blocked) mark_unblocked(vertex);
    const auto dependents = std::exchange(vertex.dependents, {});
    for (const JobIndex dependent_job : dependents) {
      Vertex& dependent = vertices_.at(dependent_job);
      steps_ += 1 + dependent.dependencies.size();
      std::erase(dependent.dependencies, cancelled);
      if (dependent.ended) continue;
      dependent.ended = true;  // so that it is cancelled only once if several paths lead to it
      changes.cancelled.push_back(dependent_job);
      ++cancelled_;
      remaining.push_back(dependent_job);
    }
    detach(cancelled);
  }
}

void DependencyGraph::mark_eligible(JobIndex job) {
  const auto it = vertices_.find(job);
  if (it == vertices_.end() || !it->second.blocked) return;
  Vertex& vertex = it->second;
  vertex.unresolved = 0;
  const auto dependencies = std::exchange(vertex.dependencies, {});
  for (const JobIndex dependency : dependencies) std::erase(vertices_.at(dependency).dependents, job);
  recompute_required_later(dependencies);
  mark_unblocked(vertex);
  ++eligible_;
  for (const JobIndex dependency : dependencies) erase_if_unused(dependency);
  erase_if_unused(job);
}

void DependencyGraph::detach(JobIndex job) {
  Vertex& vertex = vertices_.at(job);
  const auto dependencies = std::exchange(vertex.dependencies, {});
  auto all_dependencies = std::exchange(vertex.completed_dependencies, {});
  all_dependencies.insert(all_dependencies.begin(), dependencies.begin(), dependencies.end());
  for (const JobIndex dependency : all_dependencies) {
    const auto it = vertices_.find(dependency);
    if (it == vertices_.end()) continue;
    steps_ += 1 + it->second.dependents.size();
    std::erase(it->second.dependents, job);
  }
  recompute_required_later(dependencies);
  for (const JobIndex dependency : all_dependencies) erase_if_unused(dependency);
  erase_if_unused(job);
}

void DependencyGraph::recompute_required_later(const std::vector<JobIndex>& jobs) {
  for (const JobIndex job : jobs)
    if (const auto it = vertices_.find(job); it != vertices_.end()) recompute_required_later(job, it->second);
}

void DependencyGraph::erase_if_unused(JobIndex job) {
  const auto it = vertices_.find(job);
  if (it == vertices_.end()) return;
  const Vertex& vertex = it->second;
  const bool has_dependencies = !vertex.dependencies.empty() || !vertex.completed_dependencies.empty();
  const bool needed = vertex.blocked || vertex.queued || !vertex.dependents.empty() || (!vertex.ended && has_dependencies);
  if (!needed) vertices_.erase(it);
}

bool DependencyGraph::is_blocked(JobIndex job) const {
  const Vertex* vertex = find(job);
  return vertex && vertex->blocked;
}

const std::vector<JobIndex>& DependencyGraph::dependencies(JobIndex job) const {
  const Vertex* vertex = find(job);
  return vertex ? vertex->dependencies : kNoJobs;
}

bool DependencyGraph::has_unresolved_names(JobIndex job) const {
  const Vertex* vertex = find(job);
  return vertex && vertex->unresolved > 0;
}

bool DependencyGraph::has_dependents(JobIndex job) const {
  const Vertex* vertex = find(job);
  return vertex && !vertex->dependents.empty();
}

double DependencyGraph::done_at(JobIndex job) const {
  const Vertex* vertex = find(job);
  return vertex ? vertex->done_at : 0;
}

DependencyGraph::Counts DependencyGraph::counts() const {
  return {blocked_, unresolved_.size(), eligible_, cancelled_, steps_};
}

}  // namespace thistlefront
