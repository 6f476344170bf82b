#include "cluster_state/dependency_graph.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

#include "model/invariant.hpp"

namespace thistlefront {

namespace {
template <class Edges>
std::uint32_t next_position(const Edges& edges) {
  return static_cast<std::uint32_t>(edges.size());
}
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
  const EdgeEnd to_dependent{job, next_position(vertex.dependencies)};
  vertex.dependencies.push_back({dependency, next_position(dependency_vertex.dependents)});
  dependency_vertex.dependents.push_back(to_dependent);
  ++vertex.open_dependencies;
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
  if (it == vertices_.end()) return;
  Vertex& vertex = it->second;  // stays valid if vertices are added, unlike the iterator
  if (vertex.ended || vertex.unresolved == 0) return;
  --vertex.unresolved;
  switch (status.state) {
    case DependencyStatus::State::cancelled: cancel_with_dependents(job, changes); break;
    case DependencyStatus::State::pending: add_edge(job, status.job); break;
    case DependencyStatus::State::unresolved:
    case DependencyStatus::State::done:
      if (status.done_at > 0) {
        Vertex& dependency = vertices_[status.job];
        dependency.ended = true;
        dependency.done_at = status.done_at;
        vertex.dependencies.push_back({status.job});
        record_completed_dependency(vertex, dependency);
      }
      update_eligibility(job, changes);
      break;
  }
}

void DependencyGraph::record_completed_dependency(Vertex& dependent, Vertex& dependency) {
  ++dependency.dependents_after_end;
  dependent.eligible_since = std::max(dependent.eligible_since, dependency.done_at);
}

void DependencyGraph::mark_done(JobIndex job, double done_at, JobChanges& changes) {
  const auto it = vertices_.find(job);
  if (it == vertices_.end() || it->second.ended) return;
  Vertex& vertex = it->second;
  vertex.ended = true;
  vertex.done_at = done_at;
  // A job that is done while marked as blocked had been eligible: its start was replayed before all its dependencies were read.
  if (vertex.blocked) mark_unblocked(vertex);
  const auto dependents = std::exchange(vertex.dependents, {});
  steps_ += dependents.size();
  for (const EdgeEnd& edge : dependents) {
    Vertex& dependent = vertices_.at(edge.job);
    THISTLEFRONT_INVARIANT(dependent.open_dependencies > 0);
    --dependent.open_dependencies;
    record_completed_dependency(dependent, vertex);
    update_eligibility(edge.job, changes);
  }
  detach(job);
}

void DependencyGraph::update_eligibility(JobIndex job, JobChanges& changes) {
  Vertex& vertex = vertices_.at(job);
  if (!vertex.blocked || vertex.ended || vertex.unresolved > 0 || vertex.open_dependencies > 0) return;
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
  // Iterative, because a chain of dependencies may contain all jobs. Jobs are added to the list while it is read.
  std::vector<JobIndex> cancelled{job};
  vertices_.at(job).ended = true;
  for (std::size_t next = 0; next < cancelled.size(); ++next) {
    Vertex& vertex = vertices_.at(cancelled[next]);
    if (vertex.blocked) mark_unblocked(vertex);
    const auto dependents = std::exchange(vertex.dependents, {});
    steps_ += 1 + dependents.size();
    for (const EdgeEnd& edge : dependents) {
      Vertex& dependent = vertices_.at(edge.job);
      if (dependent.ended) continue;
      dependent.ended = true;  // so that it is cancelled only once if several paths lead to it
      changes.cancelled.push_back(edge.job);
      ++cancelled_;
      cancelled.push_back(edge.job);
    }
  }
  for (const JobIndex cancelled_job : cancelled) detach(cancelled_job);
}

void DependencyGraph::mark_eligible(JobIndex job) {
  const auto it = vertices_.find(job);
  if (it == vertices_.end() || !it->second.blocked) return;
  Vertex& vertex = it->second;
  vertex.unresolved = 0;
  vertex.open_dependencies = 0;
  for (const EdgeEnd& edge : vertex.dependencies)
    if (!vertices_.at(edge.job).ended) remove_dependent(edge.job, edge.position);
  // The vertices of open dependencies without other dependents have been erased.
  std::erase_if(vertex.dependencies, [&](const EdgeEnd& edge) {
    const Vertex* dependency = find(edge.job);
    return !dependency || !dependency->ended;
  });
  mark_unblocked(vertex);
  ++eligible_;
  erase_if_unused(job);
}

void DependencyGraph::detach(JobIndex job) {
  Vertex& vertex = vertices_.at(job);
  vertex.open_dependencies = 0;
  const auto dependencies = std::exchange(vertex.dependencies, {});
  steps_ += dependencies.size();
  for (const EdgeEnd& edge : dependencies) {
    const auto it = vertices_.find(edge.job);
    if (it == vertices_.end()) continue;  // cancelled together with this job
    Vertex& dependency = it->second;
    if (!dependency.ended) {
      remove_dependent(edge.job, edge.position);
    } else if (dependency.dependents_after_end > 0) {
      --dependency.dependents_after_end;
      erase_if_unused(edge.job);
    }
  }
  erase_if_unused(job);
}

void DependencyGraph::remove_dependent(JobIndex job, std::uint32_t position) {
  Vertex& vertex = vertices_.at(job);
  auto& dependents = vertex.dependents;
  ++steps_;
  // The last dependent moves to the free position.
  if (position + 1 < dependents.size()) {
    dependents[position] = dependents.back();
    vertices_.at(dependents[position].job).dependencies[dependents[position].position].position = position;
  }
  dependents.pop_back();
  recompute_required_later(job, vertex);
  erase_if_unused(job);
}

void DependencyGraph::erase_if_unused(JobIndex job) {
  const auto it = vertices_.find(job);
  if (it == vertices_.end()) return;
  const Vertex& vertex = it->second;
  const bool has_dependents = !vertex.dependents.empty() || vertex.dependents_after_end > 0;
  const bool needed = vertex.blocked || vertex.queued || has_dependents || (!vertex.ended && !vertex.dependencies.empty());
  if (!needed) vertices_.erase(it);
}

bool DependencyGraph::is_blocked(JobIndex job) const {
  const Vertex* vertex = find(job);
  return vertex && vertex->blocked;
}

std::vector<JobIndex> DependencyGraph::open_dependencies(JobIndex job) const {
  std::vector<JobIndex> open;
  if (const Vertex* vertex = find(job))
    for (const EdgeEnd& edge : vertex->dependencies)
      if (!vertices_.at(edge.job).ended) open.push_back(edge.job);
  return open;
}

bool DependencyGraph::has_unresolved_names(JobIndex job) const {
  const Vertex* vertex = find(job);
  return vertex && vertex->unresolved > 0;
}

bool DependencyGraph::has_dependents(JobIndex job) const {
  const Vertex* vertex = find(job);
  return vertex && (!vertex->dependents.empty() || vertex->dependents_after_end > 0);
}

double DependencyGraph::done_at(JobIndex job) const {
  const Vertex* vertex = find(job);
  return vertex ? vertex->done_at : 0;
}

DependencyGraph::Counts DependencyGraph::counts() const {
  return {blocked_, unresolved_.size(), eligible_, cancelled_, steps_};
}

}  // namespace thistlefront
