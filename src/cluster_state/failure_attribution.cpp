#include "cluster_state/failure_attribution.hpp"

#include <algorithm>

namespace thistlefront {

namespace {
// A job is suspect once it failed on this many nodes on which no other job failed,
constexpr std::size_t kIndependentNodesToSuspect = 2;
// or on this many nodes of any kind,
constexpr std::size_t kNodesToSuspect = 3;
// or in this many waves in a row, on however few nodes.
constexpr unsigned kWavesToSuspect = 4;
constexpr double kWaveS = 1.0;  // failures within this time are one wave

constexpr double kFirstRetryDelayS = 2.0;
constexpr double kMaxRetryDelayS = 60.0;
constexpr unsigned kMaxDoublings = 5;

constexpr std::size_t kJobsToCordon = 2;
constexpr double kFirstCordonS = 30.0;
constexpr double kAvoidNodeS = 60.0;
constexpr std::size_t kMaxRememberedNodes = 8;  // per job

double doubled(double delay_s, unsigned times) {
  return delay_s * static_cast<double>(1u << std::min(times, kMaxDoublings));
}
}  // namespace

void FailureAttribution::record_failure(JobIndex job, NodeIndex node, double at, bool job_has_succeeded) {
  JobEvidence& evidence = jobs_[job];
  remember_failure(evidence, node, at);
  if (job_has_succeeded) {
    blame_node(job, node, at);
    return;
  }
  if (at > evidence.last_failure_at + kWaveS) ++evidence.failure_waves;
  evidence.last_failure_at = at;
  if (evidence.suspect) {
    delay_next_retry(evidence, at);
  } else if (is_job_at_fault(job, evidence)) {
    suspect_job(job, evidence, at);
  } else {
    blame_node(job, node, at);
  }
}

void FailureAttribution::remember_failure(JobEvidence& evidence, NodeIndex node, double at) {
  auto& failed_on = evidence.failed_on;
  failed_on[node] = at;
  if (failed_on.size() <= kMaxRememberedNodes) return;
  const auto is_earlier = [](const auto& a, const auto& b) { return a.second < b.second; };
  failed_on.erase(std::min_element(failed_on.begin(), failed_on.end(), is_earlier));
}

void FailureAttribution::delay_next_retry(JobEvidence& evidence, double at) {
  // Tasks of one wave fail together: only a retry made after the delay makes the next delay longer.
  if (at < evidence.not_before) return;
  evidence.failed_retries = std::min(evidence.failed_retries + 1, kMaxDoublings);
  evidence.not_before = at + std::min(kMaxRetryDelayS, doubled(kFirstRetryDelayS, evidence.failed_retries));
}

bool FailureAttribution::is_job_at_fault(JobIndex job, const JobEvidence& evidence) const {
  // A node on which other jobs fail as well says little about this one.
  const auto is_independent = [&](const auto& failure) {
    const auto it = nodes_.find(failure.first);
    if (it == nodes_.end()) return true;
    const auto& failed_jobs = it->second.failed_jobs;
    return failed_jobs.size() == failed_jobs.count(job);
  };
  const auto independent = std::count_if(evidence.failed_on.begin(), evidence.failed_on.end(), is_independent);
  return static_cast<std::size_t>(independent) >= kIndependentNodesToSuspect || evidence.failed_on.size() >= kNodesToSuspect ||
         evidence.failure_waves >= kWavesToSuspect;
}

void FailureAttribution::suspect_job(JobIndex job, JobEvidence& evidence, double at) {
  evidence.suspect = true;
  evidence.not_before = at + kFirstRetryDelayS;
  decisions_.push_back({Decision::Type::suspected, job, {}, evidence.failed_on.size(), evidence.not_before});
  for (const auto& [node, failed_at] : evidence.failed_on) clear_node(job, node);
}

void FailureAttribution::record_success(JobIndex job, NodeIndex node) {
  credit_node(job, node);
  credit_job(job, node);
}

void FailureAttribution::credit_node(JobIndex job, NodeIndex node) {
  const auto it = nodes_.find(node);
  if (it == nodes_.end()) return;
  NodeEvidence& evidence = it->second;
  if (!evidence.failed_jobs.empty()) evidence.failed_jobs.erase(evidence.failed_jobs.begin());
  if (evidence.cordoned_until <= 0) return;
  // The node works: it takes as many failed jobs as at first to cordon it again.
  evidence.cordoned_until = 0;
  evidence.failed_jobs.clear();
  decisions_.push_back({Decision::Type::uncordoned, job, node, evidence.times_cordoned, 0});
}

void FailureAttribution::credit_job(JobIndex job, NodeIndex node) {
  const auto it = jobs_.find(job);
  if (it == jobs_.end()) return;
  JobEvidence& evidence = it->second;
  evidence.failure_waves = 0;
  if (!evidence.suspect) return;
  evidence.suspect = false;
  evidence.failed_retries = 0;
  evidence.not_before = 0;
  decisions_.push_back({Decision::Type::cleared, job, {}, evidence.failed_on.size(), 0});
  // The job is sound, so its failures were the fault of the other nodes.
  for (const auto& [failed_node, failed_at] : evidence.failed_on)
    if (failed_node != node) blame_node(job, failed_node, failed_at);
}

void FailureAttribution::forget_job(JobIndex job, bool job_has_succeeded) {
  const auto it = jobs_.find(job);
  if (it == jobs_.end()) return;
  if (!job_has_succeeded)
    for (const auto& [node, failed_at] : it->second.failed_on) clear_node(job, node);
  jobs_.erase(it);
}

void FailureAttribution::blame_node(JobIndex job, NodeIndex node, double at) {
  NodeEvidence& evidence = nodes_[node];
  evidence.failed_jobs.insert(job);
  if (evidence.failed_jobs.size() < kJobsToCordon || evidence.cordoned_until > at) return;
  evidence.cordoned_until = at + doubled(kFirstCordonS, evidence.times_cordoned);
  // The failed jobs keep counting: once the node is used again, its next failure cordons it.
  ++evidence.times_cordoned;
  decisions_.push_back({Decision::Type::cordoned, job, node, evidence.times_cordoned, evidence.cordoned_until});
}

// The job's failures on the node were the fault of the job.
void FailureAttribution::clear_node(JobIndex job, NodeIndex node) {
  const auto it = nodes_.find(node);
  if (it == nodes_.end()) return;
  NodeEvidence& evidence = it->second;
  if (evidence.failed_jobs.erase(job) == 0) return;
  if (evidence.cordoned_until == 0 || evidence.failed_jobs.size() >= kJobsToCordon) return;
  evidence.cordoned_until = 0;
  if (evidence.times_cordoned > 0) --evidence.times_cordoned;
  decisions_.push_back({Decision::Type::uncordoned, job, node, evidence.times_cordoned, 0});
}

bool FailureAttribution::is_suspect(JobIndex job) const {
  const auto it = jobs_.find(job);
  return it != jobs_.end() && it->second.suspect;
}

double FailureAttribution::next_retry_at(JobIndex job) const {
  const auto it = jobs_.find(job);
  return it == jobs_.end() ? 0 : it->second.not_before;
}

std::vector<NodeIndex> FailureAttribution::avoided_nodes(JobIndex job, double wall) const {
  std::vector<NodeIndex> avoided;
  const auto it = jobs_.find(job);
  if (it == jobs_.end()) return avoided;
  for (const auto& [node, failed_at] : it->second.failed_on)
    if (wall - failed_at < kAvoidNodeS) avoided.push_back(node);
  return avoided;
}

bool FailureAttribution::is_cordoned(NodeIndex node, double wall) const {
  const auto it = nodes_.find(node);
  return it != nodes_.end() && it->second.cordoned_until > wall;
}

bool FailureAttribution::should_replace(NodeIndex node, double wall) const {
  return is_cordoned(node, wall) && nodes_.at(node).times_cordoned >= 2;
}

}  // namespace thistlefront
