#include "bookkeeping/pipelines.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace thistle {

namespace {
const std::vector<JobIdx> kNone;
}  // namespace

Urgency more_urgent(const Urgency& a, const Urgency& b) {
  return {std::max(a.rank, b.rank), std::min(a.due_at, b.due_at)};
}

const Pipelines::Node* Pipelines::find(JobIdx job) const {
  const auto it = nodes_.find(job);
  return it == nodes_.end() ? nullptr : &it->second;
}

void Pipelines::add(JobIdx job, const Urgency& own, double run_s, double accepted_at, const std::vector<std::string>& names,
                    const std::vector<Named>& as_named, News& news) {
  assert(names.size() == as_named.size() && !nodes_.contains(job));
  Node& n = nodes_[job];
  n.own = own;
  n.run_s = run_s;
  n.since = accepted_at;
  n.waits = true;
  ++waiting_;
  bool cancelled = false;
  for (std::size_t i = 0; i < names.size(); ++i) {
    switch (as_named[i].state) {
      case Named::State::done: break;  // before this one came
      case Named::State::cancelled: cancelled = true; break;
      case Named::State::open: link(job, as_named[i].job, news); break;
      case Named::State::unread:
        unread_[names[i]].push_back(job);
        ++nodes_[job].unread;
        break;
    }
  }
  if (cancelled) {
    news.cancelled.push_back(job);
    ++cancelled_;
    cancel_through(job, news);
  } else {
    look_at(job, news);
  }
}

void Pipelines::link(JobIdx job, JobIdx need, News& news) {
  nodes_[job].needs.push_back(need);
  nodes_[need].dependents.push_back(job);
  weigh({need}, news);
}

void Pipelines::read(const std::string& name, const Named& named, News& news) {
  const auto it = unread_.find(name);
  if (it == unread_.end()) return;
  const auto jobs = std::move(it->second);
  unread_.erase(it);
  for (JobIdx j : jobs) {
    const auto at = nodes_.find(j);
    if (at == nodes_.end() || at->second.ended || at->second.unread == 0) continue;
    --at->second.unread;
    switch (named.state) {
      case Named::State::cancelled:
        news.cancelled.push_back(j);
        ++cancelled_;
        cancel_through(j, news);
        break;
      case Named::State::open: link(j, named.job, news); break;
      default:
        if (named.at > 0) {
          Node& need = nodes_[named.job];
          need.ended = true;
          need.done_at = named.at;
          need.dependents.push_back(j);
          at->second.met.push_back(named.job);
          at->second.since = std::max(at->second.since, named.at);
        }
        look_at(j, news);
    }
  }
}

void Pipelines::done(JobIdx job, double at, News& news) {
  const auto it = nodes_.find(job);
  if (it == nodes_.end() || it->second.ended) return;
  it->second.ended = true;
  it->second.done_at = at;
  if (std::exchange(it->second.waits, false)) --waiting_;  // begun before the names were read: it was ready
  const auto dependents = it->second.dependents;
  for (JobIdx d : dependents) {
    Node& n = nodes_.at(d);
    if (std::erase(n.needs, job) == 0) continue;
    n.met.push_back(job);
    n.since = std::max(n.since, at);
    look_at(d, news);
  }
  leave(job, news);
}

void Pipelines::look_at(JobIdx job, News& news) {
  Node& n = nodes_.at(job);
  if (!n.waits || n.ended || n.unread > 0 || !n.needs.empty()) return;
  n.waits = false;
  --waiting_;
  ++ready_;
  news.ready.push_back({job, n.since});
  drop_if_unused(job);
}

void Pipelines::cancelled(JobIdx job, News& news) {
  if (const Node* n = find(job); n && !n->ended) cancel_through(job, news);
}

void Pipelines::cancel_through(JobIdx job, News& news) {
  // No recursion: a chain may be as long as there are jobs.
  std::vector<JobIdx> work{job};
  while (!work.empty()) {
    const JobIdx j = work.back();
    work.pop_back();
    Node& n = nodes_.at(j);
    n.ended = true;
    if (std::exchange(n.waits, false)) --waiting_;
    const auto dependents = std::exchange(n.dependents, {});
    for (JobIdx d : dependents) {
      Node& dependent = nodes_.at(d);
      std::erase(dependent.needs, j);
      if (dependent.ended) continue;
      dependent.ended = true;  // once, by whichever way it is reached first
      news.cancelled.push_back(d);
      ++cancelled_;
      work.push_back(d);
    }
    leave(j, news);
  }
}

void Pipelines::ready_as_read(JobIdx job, News& news) {
  const auto it = nodes_.find(job);
  if (it == nodes_.end() || !it->second.waits) return;
  Node& n = it->second;
  n.unread = 0;
  const auto needs = std::exchange(n.needs, {});
  for (JobIdx f : needs) std::erase(nodes_.at(f).dependents, job);
  weigh(needs, news);
  n.waits = false;
  --waiting_;
  ++ready_;
  for (JobIdx f : needs) drop_if_unused(f);
  drop_if_unused(job);
}

void Pipelines::leave(JobIdx job, News& news) {
  Node& n = nodes_.at(job);
  const auto needs = std::exchange(n.needs, {});
  const auto met = std::exchange(n.met, {});
  for (const auto* list : {&needs, &met})
    for (JobIdx f : *list)
      if (const auto it = nodes_.find(f); it != nodes_.end()) std::erase(it->second.dependents, job);
  weigh(needs, news);
  for (const auto* list : {&needs, &met})
    for (JobIdx f : *list) drop_if_unused(f);
  drop_if_unused(job);
}

// A job counts as the most urgent of itself and of those that need it; what follows it takes its time first.
void Pipelines::weigh(std::vector<JobIdx> work, News& news) {
  while (!work.empty()) {
    const JobIdx j = work.back();
    work.pop_back();
    const auto it = nodes_.find(j);
    if (it == nodes_.end() || it->second.ended) continue;
    Node& n = it->second;
    Urgency wanted;
    for (JobIdx d : n.dependents) {
      const Node& dependent = nodes_.at(d);
      auto total = more_urgent(dependent.own, dependent.wanted);
      total.due_at -= dependent.run_s;
      wanted = more_urgent(wanted, total);
    }
    if (wanted == n.wanted) continue;
    n.wanted = wanted;
    if (std::find(news.urgency.begin(), news.urgency.end(), j) == news.urgency.end()) news.urgency.push_back(j);
    work.insert(work.end(), n.needs.begin(), n.needs.end());
  }
}

void Pipelines::drop_if_unused(JobIdx job) {
  const auto it = nodes_.find(job);
  if (it == nodes_.end()) return;
  const Node& n = it->second;
  if (!n.waits && n.dependents.empty() && (n.ended || (n.needs.empty() && n.met.empty()))) nodes_.erase(it);
}

bool Pipelines::waits(JobIdx job) const {
  const Node* n = find(job);
  return n && n->waits;
}
const std::vector<JobIdx>& Pipelines::needs(JobIdx job) const {
  const Node* n = find(job);
  return n ? n->needs : kNone;
}
bool Pipelines::names_unread(JobIdx job) const {
  const Node* n = find(job);
  return n && n->unread > 0;
}
bool Pipelines::needed(JobIdx job) const {
  const Node* n = find(job);
  return n && !n->dependents.empty();
}
double Pipelines::done_at(JobIdx job) const {
  const Node* n = find(job);
  return n ? n->done_at : 0;
}
Urgency Pipelines::wanted(JobIdx job) const {
  const Node* n = find(job);
  return n ? n->wanted : Urgency{};
}
Pipelines::Counts Pipelines::counts() const {
  return {waiting_, unread_.size(), ready_, cancelled_};
}

}  // namespace thistle
