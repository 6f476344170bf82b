#include "cluster_state/dependency_graph.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace thistlefront {

namespace {
const std::vector<JobIndex> kNone;
}  // namespace

Urgency more_urgent(const Urgency& a, const Urgency& b) {
  return {std::max(a.priority, b.priority), std::min(a.deadline_at, b.deadline_at)};
}

const DependencyGraph::Vertex* DependencyGraph::find(JobIndex job) const {
  const auto it = vertices_.find(job);
  return it == vertices_.end() ? nullptr : &it->second;
}

void DependencyGraph::add(JobIndex job, const Urgency& own, double run_s, double accepted_at, const std::vector<std::string>& names,
                          const std::vector<DependencyStatus>& as_named, Changes& news) {
  assert(names.size() == as_named.size() && !vertices_.contains(job));
  Vertex& n = vertices_[job];
  n.own = own;
  n.estimated_run_s = run_s;
  n.eligible_since = accepted_at;
  n.blocked = true;
  ++blocked_;
  bool cancelled = false;
  for (std::size_t i = 0; i < names.size(); ++i) {
    switch (as_named[i].state) {
      case DependencyStatus::State::done: break;  // before this one came
      case DependencyStatus::State::cancelled: cancelled = true; break;
      case DependencyStatus::State::pending: add_edge(job, as_named[i].job, news); break;
      case DependencyStatus::State::unresolved:
        unresolved_[names[i]].push_back(job);
        ++vertices_[job].unresolved;
        break;
    }
  }
  if (cancelled) {
    news.cancelled.push_back(job);
    ++cancelled_;
    cancel_dependents(job, news);
  } else {
    update_eligibility(job, news);
  }
}

void DependencyGraph::add_edge(JobIndex job, JobIndex need, Changes& news) {
  vertices_[job].dependencies.push_back(need);
  vertices_[need].dependents.push_back(job);
  propagate_urgency({need}, news);
}

void DependencyGraph::resolve_name(const std::string& name, const DependencyStatus& named, Changes& news) {
  const auto it = unresolved_.find(name);
  if (it == unresolved_.end()) return;
  const auto jobs = std::move(it->second);
  unresolved_.erase(it);
  for (JobIndex j : jobs) {
    const auto at = vertices_.find(j);
    if (at == vertices_.end() || at->second.ended || at->second.unresolved == 0) continue;
    --at->second.unresolved;
    switch (named.state) {
      case DependencyStatus::State::cancelled:
        news.cancelled.push_back(j);
        ++cancelled_;
        cancel_dependents(j, news);
        break;
      case DependencyStatus::State::pending: add_edge(j, named.job, news); break;
      default:
        if (named.at > 0) {
          Vertex& need = vertices_[named.job];
          need.ended = true;
          need.done_at = named.at;
          need.dependents.push_back(j);
          at->second.completed_dependencies.push_back(named.job);
          at->second.eligible_since = std::max(at->second.eligible_since, named.at);
        }
        update_eligibility(j, news);
    }
  }
}

void DependencyGraph::mark_done(JobIndex job, double at, Changes& news) {
  const auto it = vertices_.find(job);
  if (it == vertices_.end() || it->second.ended) return;
  it->second.ended = true;
  it->second.done_at = at;
  if (std::exchange(it->second.blocked, false)) --blocked_;  // begun before the names were read: it was ready
  const auto dependents = it->second.dependents;
  for (JobIndex d : dependents) {
    Vertex& n = vertices_.at(d);
    if (std::erase(n.dependencies, job) == 0) continue;
    n.completed_dependencies.push_back(job);
    n.eligible_since = std::max(n.eligible_since, at);
    update_eligibility(d, news);
  }
  detach(job, news);
}

void DependencyGraph::update_eligibility(JobIndex job, Changes& news) {
  Vertex& n = vertices_.at(job);
  if (!n.blocked || n.ended || n.unresolved > 0 || !n.dependencies.empty()) return;
  n.blocked = false;
  --blocked_;
  ++eligible_;
  news.eligible.push_back({job, n.eligible_since});
  erase_if_unused(job);
}

void DependencyGraph::mark_cancelled(JobIndex job, Changes& news) {
  if (const Vertex* n = find(job); n && !n->ended) cancel_dependents(job, news);
}

void DependencyGraph::cancel_dependents(JobIndex job, Changes& news) {
  // No recursion: a chain may be as long as there are jobs.
  std::vector<JobIndex> work{job};
  while (!work.empty()) {
    const JobIndex j = work.back();
    work.pop_back();
    Vertex& n = vertices_.at(j);
    n.ended = true;
    if (std::exchange(n.blocked, false)) --blocked_;
    const auto dependents = std::exchange(n.dependents, {});
    for (JobIndex d : dependents) {
      Vertex& dependent = vertices_.at(d);
      std::erase(dependent.dependencies, j);
      if (dependent.ended) continue;
      dependent.ended = true;  // once, by whichever way it is reached first
      news.cancelled.push_back(d);
      ++cancelled_;
      work.push_back(d);
    }
    detach(j, news);
  }
}

void DependencyGraph::mark_eligible(JobIndex job, Changes& news) {
  const auto it = vertices_.find(job);
  if (it == vertices_.end() || !it->second.blocked) return;
  Vertex& n = it->second;
  n.unresolved = 0;
  const auto needs = std::exchange(n.dependencies, {});
  for (JobIndex f : needs) std::erase(vertices_.at(f).dependents, job);
  propagate_urgency(needs, news);
  n.blocked = false;
  --blocked_;
  ++eligible_;
  for (JobIndex f : needs) erase_if_unused(f);
  erase_if_unused(job);
}

void DependencyGraph::detach(JobIndex job, Changes& news) {
  Vertex& n = vertices_.at(job);
  const auto needs = std::exchange(n.dependencies, {});
  const auto met = std::exchange(n.completed_dependencies, {});
  for (const auto* list : {&needs, &met})
    for (JobIndex f : *list)
      if (const auto it = vertices_.find(f); it != vertices_.end()) std::erase(it->second.dependents, job);
  propagate_urgency(needs, news);
  for (const auto* list : {&needs, &met})
    for (JobIndex f : *list) erase_if_unused(f);
  erase_if_unused(job);
}

// A job counts as the most urgent of itself and of those that need it; what follows it takes its time first.
void DependencyGraph::propagate_urgency(std::vector<JobIndex> work, Changes& news) {
  while (!work.empty()) {
    const JobIndex j = work.back();
    work.pop_back();
    const auto it = vertices_.find(j);
    if (it == vertices_.end() || it->second.ended) continue;
    Vertex& n = it->second;
    Urgency wanted;
    for (JobIndex d : n.dependents) {
      const Vertex& dependent = vertices_.at(d);
      auto total = more_urgent(dependent.own, dependent.required);
      total.deadline_at -= dependent.estimated_run_s;
      wanted = more_urgent(wanted, total);
    }
    if (wanted == n.required) continue;
    n.required = wanted;
    if (std::find(news.urgency_changed.begin(), news.urgency_changed.end(), j) == news.urgency_changed.end())
      news.urgency_changed.push_back(j);
    work.insert(work.end(), n.dependencies.begin(), n.dependencies.end());
  }
}

void DependencyGraph::erase_if_unused(JobIndex job) {
  const auto it = vertices_.find(job);
  if (it == vertices_.end()) return;
  const Vertex& n = it->second;
  if (!n.blocked && n.dependents.empty() && (n.ended || (n.dependencies.empty() && n.completed_dependencies.empty()))) vertices_.erase(it);
}

bool DependencyGraph::is_blocked(JobIndex job) const {
  const Vertex* n = find(job);
  return n && n->blocked;
}
const std::vector<JobIndex>& DependencyGraph::dependencies(JobIndex job) const {
  const Vertex* n = find(job);
  return n ? n->dependencies : kNone;
}
bool DependencyGraph::has_unresolved_names(JobIndex job) const {
  const Vertex* n = find(job);
  return n && n->unresolved > 0;
}
bool DependencyGraph::has_dependents(JobIndex job) const {
  const Vertex* n = find(job);
  return n && !n->dependents.empty();
}
double DependencyGraph::done_at(JobIndex job) const {
  const Vertex* n = find(job);
  return n ? n->done_at : 0;
}
Urgency DependencyGraph::required_urgency(JobIndex job) const {
  const Vertex* n = find(job);
  return n ? n->required : Urgency{};
}
DependencyGraph::Counts DependencyGraph::counts() const {
  return {blocked_, unresolved_.size(), eligible_, cancelled_};
}

}  // namespace thistlefront
