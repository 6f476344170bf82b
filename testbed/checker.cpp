#include "testbed/checker.hpp"

#include <algorithm>

namespace thistlefront::testbed {

namespace {
// Seconds for which every poll for a job may fail while others are answered, or after all faults have ended.
constexpr double kForgottenAfter = 75.0;
constexpr double kSlack = 1e-6;  // cores: for sums of fractions
constexpr const char* kUnknown = "unknown";
constexpr const char* kRefused = "refused";
constexpr const char* kDone = "done";
constexpr const char* kAborted = "aborted";

// Whether a user who is told this status is told that the job exists; and that it has ended.
bool knows(const std::string& status) {
  return status != kUnknown && status != kRefused;
}
bool ends(const std::string& status) {
  return status == kDone || status == kAborted;
}
}  // namespace

void Checker::broke(const std::string& rule, const std::string& what, double now) {
  broken_.push_back(rule + ": " + what + " at " + std::to_string(now - began_) + " s");
}

void Checker::limit(const std::string& team, double cores) {
  std::lock_guard lock(mutex_);
  limits_[team] = cores;
}

void Checker::submitted(const SubmittedJob& job, double now) {
  std::lock_guard lock(mutex_);
  if (began_ == 0) began_ = now;
  jobs_[job.uid].spec = job;
}

void Checker::wants_withdrawn(const std::string& uid) {
  std::lock_guard lock(mutex_);
  jobs_[uid].withdrawal_wanted = true;
}

void Checker::told(const std::string& uid, const std::string& status, double sent, double now) {
  std::lock_guard lock(mutex_);
  const auto it = jobs_.find(uid);
  if (it == jobs_.end()) {
    if (status != kUnknown) broke("invented", uid + " is " + status, now);
    return;
  }
  Job& job = it->second;
  if (ends(status) && !job.last.empty() && status != job.last) broke("went_back", uid + " was " + job.last + " and is " + status, now);
  note_answer(job, status, sent, now);
  check_order_of_answers(uid, job, now);
  check_cancellation(uid, job, status, sent, now);
  if (status == kDone && job.done.size() < job.spec.task_count) broke("not_done", uid, now);
  if (status == kAborted && (job.cancelled_at == 0 || now < job.cancelled_at)) job.cancelled_at = now;
}

void Checker::note_answer(Job& job, const std::string& status, double sent, double now) {
  if (!knows(status)) {
    job.unknown_asked = std::max(job.unknown_asked, sent);
    return;
  }
  polled_at_ = now;
  job.failing_since = 0;
  if (!job.accepted) {
    job.accepted_at = now;
    acceptances_.push_back(now);
  }
  job.accepted = true;
  job.accepted_at = std::min(job.accepted_at, now);
  if (!ends(status)) {
    job.unended_asked = std::max(job.unended_asked, sent);
    return;
  }
  if (job.last.empty() || now < job.ended_at) job.ended_at = now;
  job.last = status;
}

void Checker::check_order_of_answers(const std::string& uid, Job& job, double now) {
  if (job.accepted && job.unknown_asked > job.accepted_at) {
    const auto later = std::to_string(job.unknown_asked - job.accepted_at);
    broke("forgotten", uid + " was unknown or refused, asked " + later + " s after it was accepted", now);
    job.unknown_asked = 0;
  }
  if (job.ended_at > 0 && job.unended_asked > job.ended_at) {
    const auto later = std::to_string(job.unended_asked - job.ended_at);
    broke("went_back", uid + " was " + job.last + " and then not, asked " + later + " s later", now);
    job.unended_asked = 0;
  }
}

void Checker::check_cancellation(const std::string& uid, const Job& job, const std::string& status, double sent, double now) {
  if ((status == "queued" || status == "running") && job.last.empty()) {
    const double above = cancelled_above(uid);
    if (above > 0 && sent > above + cancel_s_) broke("orphaned", uid + " is " + status, now);
  }
  if (status == kAborted && !withdrawal_wanted_above(uid)) broke("went_back", uid + " is aborted, and nobody asked for it", now);
}

void Checker::failed_poll(const std::string& uid, double now) {
  std::lock_guard lock(mutex_);
  Job& job = jobs_[uid];
  if (job.failing_since == 0) job.failing_since = now;
  if (job.accepted && now - job.failing_since > kForgottenAfter &&
      (now - polled_at_ < 1 || (healed_at_ > 0 && now - healed_at_ > kForgottenAfter))) {
    broke("forgotten", uid + ": its polls fail", now);
    job.failing_since = now;
  }
}

void Checker::on(const std::string& uid, std::uint32_t task, const std::string& machine, const std::string& zone, double now) {
  std::lock_guard lock(mutex_);
  Job& job = jobs_[uid];
  auto& on = job.on[task];
  const auto name = uid + "/" + std::to_string(task);
  if (std::any_of(on.begin(), on.end(), [&](const auto& m) { return m != machine; }))
    broke("ran_twice", name + " on " + machine + " and on " + *on.begin(), now);
  for (const auto& dependency : job.spec.depends_on) {
    const auto& other = jobs_.at(dependency);
    if (other.done.size() >= other.spec.task_count) continue;
    std::string what = name;
    what += " before ";
    what += dependency;
    broke("too_early", what, now);
  }
  if (!job.spec.zone.empty() && job.spec.zone != zone) broke("wrong_place", name + " in " + zone, now);
  if (job.cancelled_at > 0 && now > job.cancelled_at + cancel_s_) broke("ran_cancelled", name + " starts", now);
  on.insert(machine);
  auto& used = used_[job.spec.owner];
  used += job.spec.cores;
  const auto limit = limits_.find(job.spec.owner);
  if (limit != limits_.end() && used > limit->second + kSlack) broke("quota", job.spec.owner + " uses " + std::to_string(used), now);
}

void Checker::off(const std::string& uid, std::uint32_t task, const std::string& machine, bool done, double) {
  std::lock_guard lock(mutex_);
  Job& job = jobs_[uid];
  auto& on = job.on[task];
  if (const auto it = on.find(machine); it != on.end()) on.erase(it);
  used_[job.spec.owner] -= job.spec.cores;
  if (done && job.done.insert(task).second) ++tasks_done_;
}

void Checker::tick(double now) {
  std::lock_guard lock(mutex_);
  for (auto& [uid, job] : jobs_) {
    if (job.cancelled_at == 0 || now < job.cancelled_at + cancel_s_) continue;
    for (auto& [task, machines] : job.on) {
      if (machines.empty()) continue;
      broke("ran_cancelled", uid + "/" + std::to_string(task) + " on " + *machines.begin(), now);
      machines.clear();
    }
  }
}

void Checker::healed(double now) {
  std::lock_guard lock(mutex_);
  healed_at_ = now;
}

double Checker::cancelled_above(const std::string& uid) const {
  const auto it = jobs_.find(uid);
  if (it == jobs_.end()) return 0;
  double first = it->second.withdrawal_wanted ? it->second.cancelled_at : 0;
  for (const auto& need : it->second.spec.depends_on) {
    const double above = cancelled_above(need);
    if (above > 0 && (first == 0 || above < first)) first = above;
  }
  return first;
}

bool Checker::withdrawal_wanted_above(const std::string& uid) const {
  const auto it = jobs_.find(uid);
  if (it == jobs_.end()) return false;
  const auto& needs = it->second.spec.depends_on;
  return it->second.withdrawal_wanted || std::any_of(needs.begin(), needs.end(), [&](const auto& n) { return withdrawal_wanted_above(n); });
}

Checker::DependentJobs Checker::dependent_jobs() const {
  std::lock_guard lock(mutex_);
  DependentJobs out;
  for (const auto& [uid, job] : jobs_) {
    if (job.spec.depends_on.empty() || !job.accepted) continue;
    ++out.accepted;
    out.mark_done += job.done.size() == job.spec.task_count;
    out.mark_cancelled += job.last == "aborted";
    if (out.first_accepted == 0 || job.accepted_at < out.first_accepted) out.first_accepted = job.accepted_at;
  }
  return out;
}

std::vector<std::string> Checker::some_accepted(std::size_t most, std::uint64_t random) const {
  std::lock_guard lock(mutex_);
  std::vector<std::string> of;
  for (const auto& [uid, job] : jobs_)
    if (job.accepted && job.spec.job_type != "service" && (job.last != "aborted" || random % 16 == 0)) of.push_back(uid);
  std::vector<std::string> out;
  for (std::size_t k = 0; k < most && !of.empty(); ++k) {
    random = random * 6364136223846793005ull + 1442695040888963407ull;
    const auto& uid = of[(random >> 33) % of.size()];
    if (std::find(out.begin(), out.end(), uid) == out.end()) out.push_back(uid);
  }
  return out;
}

std::vector<std::string> Checker::broken() const {
  std::lock_guard lock(mutex_);
  return broken_;
}

std::vector<std::string> Checker::accepted() const {
  std::lock_guard lock(mutex_);
  std::vector<std::string> out;
  for (const auto& [uid, job] : jobs_)
    if (job.accepted) out.push_back(uid);
  return out;
}

double Checker::longest_without_acceptance(double from, double until) const {
  std::lock_guard lock(mutex_);
  double longest = 0, last = from;
  for (const double at : acceptances_) {
    if (at < from || at > until) continue;
    longest = std::max(longest, at - last);
    last = at;
  }
  return std::max(longest, until - last);
}

std::size_t Checker::tasks_done() const {
  std::lock_guard lock(mutex_);
  return tasks_done_;
}

std::size_t Checker::ended_tasks(const std::string& uid) const {
  std::lock_guard lock(mutex_);
  const auto it = jobs_.find(uid);
  return it == jobs_.end() ? 0 : it->second.done.size();
}

std::optional<SubmittedJob> Checker::spec_of(const std::string& uid) const {
  std::lock_guard lock(mutex_);
  const auto it = jobs_.find(uid);
  return it == jobs_.end() ? std::nullopt : std::optional(it->second.spec);
}

}  // namespace thistlefront::testbed
