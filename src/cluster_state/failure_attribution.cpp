#include "cluster_state/failure_attribution.hpp"

#include <algorithm>

namespace thistlefront {

namespace {
constexpr std::size_t kIndependent = 2;  // machines with nothing else against them that convict a job
constexpr std::size_t kAnyMachines = 3;  // machines of any kind that do
constexpr unsigned kFailuresInARow = 4;  // waves of failures on however few machines that do
constexpr double kWave = 1.0;            // tasks that fail within this many seconds are one wave
constexpr std::size_t kJobsAgainstHost = 2;
constexpr double kFirstPause = 2.0, kLongestPause = 60.0;
constexpr unsigned kMostDoublings = 5;
constexpr double kAsideAtFirst = 30.0;
constexpr double kAvoidFor = 60.0;
constexpr std::size_t kMostRemembered = 8;  // machines remembered of a job
}  // namespace

void FailureAttribution::record_failure(JobIndex j, NodeIndex h, double at, bool sound) {
  auto& job = jobs_[j];
  job.failed_on[h] = at;
  if (job.failed_on.size() > kMostRemembered) {
    const auto oldest =
        std::min_element(job.failed_on.begin(), job.failed_on.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    job.failed_on.erase(oldest);
  }
  if (sound) {
    blame_node(j, h, at);
    return;
  }
  if (at > job.last_at + kWave) ++job.failures;
  job.last_at = at;
  if (job.suspect) {
    // Tasks of one wave fail together: only a try made after the pause makes the next one longer.
    if (at < job.not_before) return;
    job.probes = std::min(job.probes + 1, kMostDoublings);
    job.not_before = at + std::min(kLongestPause, kFirstPause * static_cast<double>(1u << job.probes));
    return;
  }
  // A machine on which others fail as well says little about this job.
  const auto independent = std::count_if(job.failed_on.begin(), job.failed_on.end(), [&](const auto& f) {
    const auto it = nodes_.find(f.first);
    return it == nodes_.end() || it->second.failed.size() - it->second.failed.count(j) == 0;
  });
  if (static_cast<std::size_t>(independent) >= kIndependent || job.failed_on.size() >= kAnyMachines || job.failures >= kFailuresInARow) {
    job.suspect = true;
    job.not_before = at + kFirstPause;
    news_.push_back({Verdict::Kind::suspected, j, {}, job.failed_on.size(), job.not_before});
    for (const auto& f : job.failed_on) clear_node(j, f.first);
    return;
  }
  blame_node(j, h, at);
}

void FailureAttribution::record_success(JobIndex j, NodeIndex h) {
  if (auto it = nodes_.find(h); it != nodes_.end()) {
    auto& node = it->second;
    if (!node.failed.empty()) node.failed.erase(node.failed.begin());
    if (node.cordoned_until > 0) {
      // It does work: one more such judgement is needed before it is set aside again.
      node.cordoned_until = 0;
      node.failed.clear();
      news_.push_back({Verdict::Kind::uncordoned, j, h, node.times_cordoned, 0});
    }
  }
  auto it = jobs_.find(j);
  if (it == jobs_.end()) return;
  auto& job = it->second;
  job.failures = 0;
  if (!job.suspect) return;
  job.suspect = false;
  job.probes = 0;
  job.not_before = 0;
  news_.push_back({Verdict::Kind::cleared, j, {}, job.failed_on.size(), 0});
  // So it was the machines.
  for (const auto& [failed_on, at] : job.failed_on)
    if (failed_on != h) blame_node(j, failed_on, at);
}

void FailureAttribution::forget_job(JobIndex j, bool sound) {
  const auto it = jobs_.find(j);
  if (it == jobs_.end()) return;
  if (!sound)
    for (const auto& f : it->second.failed_on) clear_node(j, f.first);
  jobs_.erase(it);
}

void FailureAttribution::blame_node(JobIndex j, NodeIndex h, double at) {
  auto& node = nodes_[h];
  node.failed.insert(j);
  if (node.failed.size() < kJobsAgainstHost || node.cordoned_until > at) return;
  node.cordoned_until = at + kAsideAtFirst * static_cast<double>(1u << std::min(node.times_cordoned, kMostDoublings));
  ++node.times_cordoned;  // what counted against it still does: tried again, its next failure tells
  news_.push_back({Verdict::Kind::cordoned, j, h, node.times_cordoned, node.cordoned_until});
}

void FailureAttribution::clear_node(JobIndex j, NodeIndex h) {
  const auto it = nodes_.find(h);
  if (it == nodes_.end() || it->second.failed.erase(j) == 0) return;
  if (it->second.cordoned_until == 0 || it->second.failed.size() >= kJobsAgainstHost) return;
  // What it was set aside for was the job's fault.
  it->second.cordoned_until = 0;
  if (it->second.times_cordoned > 0) --it->second.times_cordoned;
  news_.push_back({Verdict::Kind::uncordoned, j, h, it->second.times_cordoned, 0});
}

bool FailureAttribution::is_suspect(JobIndex j) const {
  const auto it = jobs_.find(j);
  return it != jobs_.end() && it->second.suspect;
}

double FailureAttribution::next_try_at(JobIndex j) const {
  const auto it = jobs_.find(j);
  return it == jobs_.end() ? 0 : it->second.not_before;
}

std::vector<NodeIndex> FailureAttribution::avoided_nodes(JobIndex j, double wall) const {
  std::vector<NodeIndex> out;
  if (const auto it = jobs_.find(j); it != jobs_.end())
    for (const auto& [h, at] : it->second.failed_on)
      if (wall - at < kAvoidFor) out.push_back(h);
  return out;
}

bool FailureAttribution::is_cordoned(NodeIndex h, double wall) const {
  const auto it = nodes_.find(h);
  return it != nodes_.end() && it->second.cordoned_until > wall;
}

bool FailureAttribution::should_replace(NodeIndex h, double wall) const {
  return is_cordoned(h, wall) && nodes_.at(h).times_cordoned >= 2;
}

}  // namespace thistlefront
