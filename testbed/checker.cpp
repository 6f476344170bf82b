#include "testbed/checker.hpp"

#include <algorithm>

namespace thistlefront::testbed {

namespace {
// How long all polls of a job may fail while polls of other jobs succeed, or after all faults have ended.
constexpr double kMaxFailingPollsS = 75.0;
constexpr double kCoresTolerance = 1e-6;  // rounding errors of summed cores
constexpr const char* kUnknown = "unknown";
constexpr const char* kRefused = "refused";
constexpr const char* kDone = "done";
constexpr const char* kAborted = "aborted";

// Whether this status says that the job exists.
bool is_known(const std::string& status) {
  return status != kUnknown && status != kRefused;
}

// Whether a job never leaves this status.
bool is_final(const std::string& status) {
  return status == kDone || status == kAborted;
}
}  // namespace

void Checker::add_violation(const std::string& rule, const std::string& details, double now) {
  violations_.push_back(rule + ": " + details + " at " + std::to_string(now - started_at_) + " s");
}

void Checker::set_limit(const std::string& team, double cores) {
  std::lock_guard lock(mutex_);
  limits_[team] = cores;
}

void Checker::record_submission(const SubmittedJob& job, double now) {
  std::lock_guard lock(mutex_);
  if (started_at_ == 0) started_at_ = now;
  jobs_[job.uid].spec = job;
}

void Checker::record_withdrawal(const std::string& uid) {
  std::lock_guard lock(mutex_);
  jobs_[uid].withdrawal_requested = true;
}

void Checker::record_reply(const std::string& uid, const std::string& status, double sent_at, double now) {
  std::lock_guard lock(mutex_);
  const auto it = jobs_.find(uid);
  if (it == jobs_.end()) {
    if (status != kUnknown) add_violation("invented", uid + " is " + status, now);
    return;
  }
  Job& job = it->second;
  if (is_final(status) && !job.final_status.empty() && status != job.final_status)
    add_violation("went_back", uid + " was " + job.final_status + " and is " + status, now);
  update_job(job, status, sent_at, now);
  check_order_of_replies(uid, job, now);
  check_cancellation(uid, job, status, sent_at, now);
  if (status == kDone && job.completed_tasks.size() < job.spec.task_count) add_violation("not_done", uid, now);
  if (status == kAborted && (job.cancelled_at == 0 || now < job.cancelled_at)) job.cancelled_at = now;
}

void Checker::update_job(Job& job, const std::string& status, double sent_at, double now) {
  if (!is_known(status)) {
    job.unknown_sent_at = std::max(job.unknown_sent_at, sent_at);
    return;
  }
  last_known_status_at_ = now;
  job.polls_fail_since = 0;
  if (!job.accepted) {
    job.accepted_at = now;
    acceptance_times_.push_back(now);
  }
  job.accepted = true;
  job.accepted_at = std::min(job.accepted_at, now);
  if (!is_final(status)) {
    job.unfinished_sent_at = std::max(job.unfinished_sent_at, sent_at);
    return;
  }
  if (job.final_status.empty() || now < job.ended_at) job.ended_at = now;
  job.final_status = status;
}

void Checker::check_order_of_replies(const std::string& uid, Job& job, double now) {
  if (job.accepted && job.unknown_sent_at > job.accepted_at) {
    const auto delay_s = std::to_string(job.unknown_sent_at - job.accepted_at);
    add_violation("forgotten", uid + " was unknown or refused in the reply to a request sent " + delay_s + " s after its acceptance", now);
    job.unknown_sent_at = 0;
  }
  if (job.ended_at > 0 && job.unfinished_sent_at > job.ended_at) {
    const auto delay_s = std::to_string(job.unfinished_sent_at - job.ended_at);
    add_violation("went_back", uid + " was " + job.final_status + ", but not in the reply to a request sent " + delay_s + " s later", now);
    job.unfinished_sent_at = 0;
  }
}

void Checker::check_cancellation(const std::string& uid, const Job& job, const std::string& status, double sent_at, double now) {
  if ((status == "queued" || status == "running") && job.final_status.empty()) {
    const double cancelled_at = earliest_cancellation(uid);
    if (cancelled_at > 0 && sent_at > cancelled_at + cancel_s_) add_violation("orphaned", uid + " is " + status, now);
  }
  if (status == kAborted && !is_cancellation_requested(uid))
    add_violation("went_back", uid + " is aborted, but no user requested its cancellation", now);
}

void Checker::record_failed_poll(const std::string& uid, double now) {
  std::lock_guard lock(mutex_);
  Job& job = jobs_[uid];
  if (job.polls_fail_since == 0) job.polls_fail_since = now;
  if (job.accepted && now - job.polls_fail_since > kMaxFailingPollsS &&
      (now - last_known_status_at_ < 1 || (faults_ended_at_ > 0 && now - faults_ended_at_ > kMaxFailingPollsS))) {
    add_violation("forgotten", uid + ": polls fail", now);
    job.polls_fail_since = now;
  }
}

void Checker::record_attempt(const std::string& uid, std::uint32_t task, std::uint64_t attempt, const std::string& node, double now) {
  std::lock_guard lock(mutex_);
  if (jobs_[uid].started_attempts.insert({task, attempt}).second) return;
  add_violation("ran_again", uid + "/" + std::to_string(task) + " attempt " + std::to_string(attempt) + " on " + node, now);
}

void Checker::record_task_start(const std::string& uid, std::uint32_t task, const std::string& node, const std::string& zone, double now) {
  std::lock_guard lock(mutex_);
  Job& job = jobs_[uid];
  auto& nodes = job.nodes_by_task[task];
  const auto name = uid + "/" + std::to_string(task);
  if (std::any_of(nodes.begin(), nodes.end(), [&](const auto& other_node) { return other_node != node; }))
    add_violation("ran_twice", name + " on " + node + " and on " + *nodes.begin(), now);
  for (const auto& dependency : job.spec.depends_on) {
    const auto& other = jobs_.at(dependency);
    if (other.completed_tasks.size() >= other.spec.task_count) continue;
    std::string details = name;
    details += " before ";
    details += dependency;
    add_violation("too_early", details, now);
  }
  if (!job.spec.zone.empty() && job.spec.zone != zone) add_violation("wrong_place", name + " in " + zone, now);
  if (job.cancelled_at > 0 && now > job.cancelled_at + cancel_s_) add_violation("ran_cancelled", name + " starts", now);
  nodes.insert(node);
  auto& used = used_[job.spec.owner];
  used += job.spec.cores;
  const auto limit = limits_.find(job.spec.owner);
  if (limit != limits_.end() && used > limit->second + kCoresTolerance)
    add_violation("quota", job.spec.owner + " uses " + std::to_string(used), now);
}

void Checker::record_task_end(const std::string& uid, std::uint32_t task, const std::string& node, bool completed, double) {
  std::lock_guard lock(mutex_);
  Job& job = jobs_[uid];
  auto& nodes = job.nodes_by_task[task];
  if (const auto it = nodes.find(node); it != nodes.end()) nodes.erase(it);
  used_[job.spec.owner] -= job.spec.cores;
  if (completed && job.completed_tasks.insert(task).second) ++completed_tasks_;
}

void Checker::check_deadlines(double now) {
  std::lock_guard lock(mutex_);
  for (auto& [uid, job] : jobs_) {
    if (job.cancelled_at == 0 || now < job.cancelled_at + cancel_s_) continue;
    for (auto& [task, nodes] : job.nodes_by_task) {
      if (nodes.empty()) continue;
      add_violation("ran_cancelled", uid + "/" + std::to_string(task) + " on " + *nodes.begin(), now);
      nodes.clear();
    }
  }
}

void Checker::record_faults_ended(double now) {
  std::lock_guard lock(mutex_);
  faults_ended_at_ = now;
}

double Checker::earliest_cancellation(const std::string& uid) const {
  const auto it = jobs_.find(uid);
  if (it == jobs_.end()) return 0;
  double first = it->second.withdrawal_requested ? it->second.cancelled_at : 0;
  for (const auto& dependency : it->second.spec.depends_on) {
    const double cancelled_at = earliest_cancellation(dependency);
    if (cancelled_at > 0 && (first == 0 || cancelled_at < first)) first = cancelled_at;
  }
  return first;
}

bool Checker::is_cancellation_requested(const std::string& uid) const {
  const auto it = jobs_.find(uid);
  if (it == jobs_.end()) return false;
  const auto& dependencies = it->second.spec.depends_on;
  return it->second.withdrawal_requested || std::any_of(dependencies.begin(), dependencies.end(),
                                                        [&](const auto& dependency) { return is_cancellation_requested(dependency); });
}

Checker::DependentJobs Checker::dependent_jobs() const {
  std::lock_guard lock(mutex_);
  DependentJobs out;
  for (const auto& [uid, job] : jobs_) {
    if (job.spec.depends_on.empty() || !job.accepted) continue;
    ++out.accepted;
    out.completed += job.completed_tasks.size() == job.spec.task_count;
    out.reported_cancelled += job.final_status == "aborted";
    if (out.first_accepted_at == 0 || job.accepted_at < out.first_accepted_at) out.first_accepted_at = job.accepted_at;
  }
  return out;
}

std::vector<std::string> Checker::choose_dependencies(std::size_t max_count, std::uint64_t random) const {
  std::lock_guard lock(mutex_);
  std::vector<std::string> candidates;
  for (const auto& [uid, job] : jobs_)
    if (job.accepted && job.spec.job_type != "service" && (job.final_status != "aborted" || random % 16 == 0)) candidates.push_back(uid);
  std::vector<std::string> out;
  for (std::size_t k = 0; k < max_count && !candidates.empty(); ++k) {
    random = random * 6364136223846793005ull + 1442695040888963407ull;
    const auto& uid = candidates[(random >> 33) % candidates.size()];
    if (std::find(out.begin(), out.end(), uid) == out.end()) out.push_back(uid);
  }
  return out;
}

std::vector<std::string> Checker::violations() const {
  std::lock_guard lock(mutex_);
  return violations_;
}

std::vector<std::string> Checker::accepted_jobs() const {
  std::lock_guard lock(mutex_);
  std::vector<std::string> out;
  for (const auto& [uid, job] : jobs_)
    if (job.accepted) out.push_back(uid);
  return out;
}

double Checker::longest_acceptance_gap(double from, double until) const {
  std::lock_guard lock(mutex_);
  double longest = 0, last = from;
  for (const double accepted_at : acceptance_times_) {
    if (accepted_at < from || accepted_at > until) continue;
    longest = std::max(longest, accepted_at - last);
    last = accepted_at;
  }
  return std::max(longest, until - last);
}

std::size_t Checker::completed_tasks() const {
  std::lock_guard lock(mutex_);
  return completed_tasks_;
}

std::size_t Checker::completed_tasks(const std::string& uid) const {
  std::lock_guard lock(mutex_);
  const auto it = jobs_.find(uid);
  return it == jobs_.end() ? 0 : it->second.completed_tasks.size();
}

std::optional<SubmittedJob> Checker::find_submission(const std::string& uid) const {
  std::lock_guard lock(mutex_);
  const auto it = jobs_.find(uid);
  return it == jobs_.end() ? std::nullopt : std::optional(it->second.spec);
}

}  // namespace thistlefront::testbed
