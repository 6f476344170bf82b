// Urgency that a job inherits from its dependents. A job whose urgency changed is visited after all its dependents and before all its
// dependencies (in topological order, as in A. B. Kahn, "Topological sorting of large networks", CACM 5(11), 1962), so a single visit
// suffices. A traversal that follows each path instead visits a job once for each path that leads to it, and the number of paths
// grows exponentially with the number of stages of a pipeline.
#include <algorithm>
#include <queue>
#include <utility>

#include "cluster_state/dependency_graph.hpp"

namespace thistlefront {

namespace {
// Ordered by rank.
struct RankedJob {
  std::uint64_t rank = 0;
  JobIndex job;
  friend auto operator<=>(const RankedJob&, const RankedJob&) = default;
};
}  // namespace

Urgency more_urgent(const Urgency& a, const Urgency& b) {
  return {std::max(a.priority, b.priority), std::min(a.deadline_at, b.deadline_at)};
}

// A dependency must be done early enough for this job to be done by its deadline.
Urgency DependencyGraph::urgency_required_by(const Vertex& dependent) {
  Urgency urgency = more_urgent(dependent.own, dependent.propagated_required);
  urgency.deadline_at -= dependent.estimated_run_s;
  return urgency;
}

Urgency DependencyGraph::required_by_dependents(const Vertex& vertex) {
  Urgency required;
  for (const EdgeEnd& edge : vertex.dependents) required = more_urgent(required, urgency_required_by(vertices_.at(edge.job)));
  steps_ += vertex.dependents.size();
  return required;
}

void DependencyGraph::raise_required(JobIndex job, Vertex& vertex, const Urgency& urgency) {
  const Urgency required = more_urgent(vertex.required, urgency);
  if (vertex.ended || required == vertex.required) return;
  vertex.required = required;
  queue_for_update(job, vertex);
}

void DependencyGraph::recompute_required_later(JobIndex job, Vertex& vertex) {
  const bool nothing_required = vertex.required == Urgency{};
  if (vertex.ended || nothing_required) return;
  vertex.must_recompute = true;
  queue_for_update(job, vertex);
}

void DependencyGraph::queue_for_update(JobIndex job, Vertex& vertex) {
  if (!std::exchange(vertex.queued, true)) urgency_queue_.push_back(job);
}

std::vector<DependencyGraph::RequiredUrgency> DependencyGraph::update_required_urgency() {
  std::vector<RequiredUrgency> changes;
  if (urgency_queue_.empty()) return changes;
  if (std::exchange(ranks_outdated_, false)) assign_ranks();
  std::priority_queue<RankedJob> queue;
  while (!urgency_queue_.empty() || !queue.empty()) {
    for (const JobIndex job : std::exchange(urgency_queue_, {})) queue.push({vertices_.at(job).rank, job});
    const JobIndex job = queue.top().job;
    queue.pop();
    propagate_required(job, changes);
    erase_if_unused(job);
  }
  return changes;
}

// All dependents of the job have been visited, so what they require of it is final. Queues those dependencies of which the job now
// requires something else.
void DependencyGraph::propagate_required(JobIndex job, std::vector<RequiredUrgency>& changes) {
  Vertex& vertex = vertices_.at(job);
  ++steps_;
  vertex.queued = false;
  const bool recompute = std::exchange(vertex.must_recompute, false);
  if (vertex.ended) return;
  if (recompute) vertex.required = required_by_dependents(vertex);
  const Urgency before = std::exchange(vertex.propagated_required, vertex.required);
  if (vertex.required == before) return;
  changes.push_back({job, vertex.required});
  const bool is_raised = more_urgent(vertex.required, before) == vertex.required;
  for (const EdgeEnd& edge : vertex.dependencies) {
    Vertex& dependency = vertices_.at(edge.job);
    if (is_raised) {
      raise_required(edge.job, dependency, urgency_required_by(vertex));
    } else {
      recompute_required_later(edge.job, dependency);
    }
  }
  steps_ += vertex.dependencies.size();
}

// Jobs with unknown dependencies count as if they had none: the ranks become outdated when these are read.
void DependencyGraph::assign_ranks() {
  std::unordered_map<JobIndex, std::size_t> unranked_dependencies;
  std::vector<JobIndex> ranked;
  for (const auto& [job, vertex] : vertices_) {
    if (vertex.ended) continue;
    if (vertex.open_dependencies == 0) {
      ranked.push_back(job);
    } else {
      unranked_dependencies[job] = vertex.open_dependencies;
    }
  }
  last_rank_ = 0;
  for (std::size_t next = 0; next < ranked.size(); ++next) {
    Vertex& vertex = vertices_.at(ranked[next]);
    vertex.rank = ++last_rank_;
    steps_ += 1 + vertex.dependents.size();
    for (const EdgeEnd& edge : vertex.dependents)
      if (--unranked_dependencies.at(edge.job) == 0) ranked.push_back(edge.job);
  }
}

}  // namespace thistlefront
