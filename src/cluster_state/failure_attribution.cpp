#include "cluster_state/failure_attribution.hpp"

#include <algorithm>

namespace thistlefront {

namespace {
// A job becomes suspect when its failures reach any of the next three limits.
constexpr std::size_t kIndependentNodesToSuspect = 2;  // nodes on which the job failed and no other job did
constexpr std::size_t kNodesToSuspect = 3;             // all nodes on which the job failed
constexpr unsigned kBurstsToSuspect = 4;               // consecutive bursts of failures, on any number of nodes
constexpr double kBurstWindowS = 1.0;                  // failures within this time are one burst

constexpr double kFirstRetryDelayS = 2.0;
constexpr double kMaxRetryDelayS = 60.0;
constexpr unsigned kMaxDoublings = 5;

constexpr std::size_t kJobsToCordon = 2;
constexpr double kFirstCordonS = 30.0;
constexpr double kMaxCordonS = 60.0;
constexpr double kAvoidNodeS = 60.0;
constexpr std::size_t kMaxFailedNodes = 8;  // nodes kept for each job, those with the latest failures

double doubled(double delay_s, unsigned times) {
  return delay_s * static_cast<double>(1u << std::min(times, kMaxDoublings));
}
}  // namespace

void FailureAttribution::record_failure(JobIndex job, NodeIndex node, double at, bool job_has_succeeded) {
  JobEvidence& evidence = jobs_[job];
  record_failed_node(evidence, node, at);
  if (job_has_succeeded) {
    attribute_failure_to_node(job, node, at);
    return;
  }
  if (at > evidence.last_failure_at + kBurstWindowS) ++evidence.failure_bursts;
  evidence.last_failure_at = at;
  if (evidence.suspect) {
    delay_next_retry(evidence, at);
  } else if (is_job_at_fault(job, evidence)) {
    suspect_job(job, evidence, at);
  } else {
    attribute_failure_to_node(job, node, at);
  }
}

void FailureAttribution::record_failed_node(JobEvidence& evidence, NodeIndex node, double at) {
  auto& failed_on = evidence.failed_on;
  failed_on[node] = at;
  if (failed_on.size() <= kMaxFailedNodes) return;
  const auto is_earlier = [](const auto& a, const auto& b) { return a.second < b.second; };
  failed_on.erase(std::min_element(failed_on.begin(), failed_on.end(), is_earlier));
}

void FailureAttribution::delay_next_retry(JobEvidence& evidence, double at) {
  // Tasks of one burst fail together, so only a failure after the delay has passed increases the next delay.
  if (at < evidence.not_before) return;
  evidence.failed_retries = std::min(evidence.failed_retries + 1, kMaxDoublings);
  evidence.not_before = at + std::min(kMaxRetryDelayS, doubled(kFirstRetryDelayS, evidence.failed_retries));
}

bool FailureAttribution::is_job_at_fault(JobIndex job, const JobEvidence& evidence) const {
  // A failure on a node where other jobs fail as well is weak evidence against this job.
  const auto is_independent = [&](const auto& failure) {
    const auto it = nodes_.find(failure.first);
    if (it == nodes_.end()) return true;
    const auto& failed_jobs = it->second.failed_jobs;
    return failed_jobs.size() == failed_jobs.count(job);
  };
  const auto independent = std::count_if(evidence.failed_on.begin(), evidence.failed_on.end(), is_independent);
  return static_cast<std::size_t>(independent) >= kIndependentNodesToSuspect || evidence.failed_on.size() >= kNodesToSuspect ||
         evidence.failure_bursts >= kBurstsToSuspect;
}

void FailureAttribution::suspect_job(JobIndex job, JobEvidence& evidence, double at) {
  evidence.suspect = true;
  evidence.not_before = at + kFirstRetryDelayS;
  decisions_.push_back({Decision::Type::suspected, job, {}, evidence.failed_on.size(), evidence.not_before});
  for (const auto& [node, failed_at] : evidence.failed_on) remove_failures_of_job(job, node);
}

void FailureAttribution::record_success(JobIndex job, NodeIndex node) {
  record_node_success(job, node);
  record_job_success(job, node);
}

void FailureAttribution::record_node_success(JobIndex job, NodeIndex node) {
  const auto it = nodes_.find(node);
  if (it == nodes_.end()) return;
  NodeEvidence& evidence = it->second;
  if (!evidence.failed_jobs.empty()) evidence.failed_jobs.erase(evidence.failed_jobs.begin());
  if (evidence.cordoned_until <= 0) return;
  // The node works: cordoning it again takes as many failed jobs as the first time.
  evidence.cordoned_until = 0;
  evidence.failed_jobs.clear();
  decisions_.push_back({Decision::Type::uncordoned, job, node, evidence.times_cordoned, 0});
}

void FailureAttribution::record_job_success(JobIndex job, NodeIndex node) {
  const auto it = jobs_.find(job);
  if (it == jobs_.end()) return;
  JobEvidence& evidence = it->second;
  evidence.failure_bursts = 0;
  if (!evidence.suspect) return;
  evidence.suspect = false;
  evidence.failed_retries = 0;
  evidence.not_before = 0;
  decisions_.push_back({Decision::Type::cleared, job, {}, evidence.failed_on.size(), 0});
  // The job works, so its failures are attributed to the nodes on which it failed.
  for (const auto& [failed_node, failed_at] : evidence.failed_on)
    if (failed_node != node) attribute_failure_to_node(job, failed_node, failed_at);
}

void FailureAttribution::remove_job(JobIndex job, bool job_has_succeeded) {
  const auto it = jobs_.find(job);
  if (it == jobs_.end()) return;
  if (!job_has_succeeded)
    for (const auto& [node, failed_at] : it->second.failed_on) remove_failures_of_job(job, node);
  jobs_.erase(it);
}

void FailureAttribution::attribute_failure_to_node(JobIndex job, NodeIndex node, double at) {
  NodeEvidence& evidence = nodes_[node];
  evidence.failed_jobs.insert(job);
  if (evidence.failed_jobs.size() < kJobsToCordon || evidence.cordoned_until > at) return;
  evidence.cordoned_until = at + std::min(kMaxCordonS, doubled(kFirstCordonS, evidence.times_cordoned));
  // The failed jobs are kept: when the node is used again, the next failure on it cordons it again.
  ++evidence.times_cordoned;
  decisions_.push_back({Decision::Type::cordoned, job, node, evidence.times_cordoned, evidence.cordoned_until});
}

// The job's failures on the node are attributed to the job and no longer count against the node.
void FailureAttribution::remove_failures_of_job(JobIndex job, NodeIndex node) {
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

std::vector<NodeIndex> FailureAttribution::avoided_nodes(JobIndex job, double wall_s) const {
  std::vector<NodeIndex> avoided;
  const auto it = jobs_.find(job);
  if (it == jobs_.end()) return avoided;
  for (const auto& [node, failed_at] : it->second.failed_on)
    if (wall_s - failed_at < kAvoidNodeS) avoided.push_back(node);
  return avoided;
}

bool FailureAttribution::is_cordoned(NodeIndex node, double wall_s) const {
  const auto it = nodes_.find(node);
  return it != nodes_.end() && it->second.cordoned_until > wall_s;
}

bool FailureAttribution::should_replace(NodeIndex node, double wall_s) const {
  return is_cordoned(node, wall_s) && nodes_.at(node).times_cordoned >= 2;
}

}  // namespace thistlefront
