#include "rig/checker.hpp"

#include <algorithm>

namespace thistle::rig {

namespace {
constexpr double kForgottenAfter = 90.0;  // every poll for it fails, while others are answered
constexpr double kSlack = 1e-6;
}  // namespace

void Checker::broke(const std::string& rule, const std::string& what, double now) {
  broken_.push_back(rule + ": " + what + " at " + std::to_string(now - began_) + " s");
}

void Checker::limit(const std::string& team, double cores) {
  std::lock_guard lock(mutex_);
  limits_[team] = cores;
}

void Checker::submitted(const JobSpec& job, double now) {
  std::lock_guard lock(mutex_);
  if (began_ == 0) began_ = now;
  jobs_[job.uid].spec = job;
}

void Checker::wants_withdrawn(const std::string& uid) {
  std::lock_guard lock(mutex_);
  jobs_[uid].withdrawal_wanted = true;
}

void Checker::told(const std::string& uid, const std::string& status, double now) {
  std::lock_guard lock(mutex_);
  const auto it = jobs_.find(uid);
  if (it == jobs_.end()) {
    if (status != "unknown") broke("invented", uid + " is " + status, now);
    return;
  }
  Job& job = it->second;
  if (status == "unknown" || status == "refused") {
    if (job.accepted) broke("forgotten", uid + " is " + status, now);
    return;
  }
  polled_at_ = now;
  job.failing_since = 0;
  if (!job.accepted) acceptances_.push_back(now);
  job.accepted = true;
  if (!job.last.empty() && status != job.last)
    broke("went_back", uid + " was " + job.last + " and is " + status, now);
  if (status == "aborted" && !job.withdrawal_wanted)
    broke("went_back", uid + " is aborted, and nobody asked for it", now);
  if (status == "done" && job.done.size() < job.spec.pieces) broke("not_done", uid, now);
  if (status != "done" && status != "aborted") return;
  if (status == "aborted" && job.cancelled_at == 0) job.cancelled_at = now;
  job.last = status;
}

void Checker::failed_poll(const std::string& uid, double now) {
  std::lock_guard lock(mutex_);
  Job& job = jobs_[uid];
  if (job.failing_since == 0) job.failing_since = now;
  if (job.accepted && now - job.failing_since > kForgottenAfter && now - polled_at_ < 1) {
    broke("forgotten", uid + ": its polls fail", now);
    job.failing_since = now;
  }
}

void Checker::on(const std::string& uid, std::uint32_t task, const std::string& machine,
                 const std::string& zone, double now) {
  std::lock_guard lock(mutex_);
  Job& job = jobs_[uid];
  auto& on = job.on[task];
  const auto name = uid + "/" + std::to_string(task);
  if (std::any_of(on.begin(), on.end(), [&](const auto& m) { return m != machine; }))
    broke("ran_twice", name + " on " + machine + " and on " + *on.begin(), now);
  if (!job.spec.yard.empty() && job.spec.yard != zone) broke("wrong_place", name + " in " + zone, now);
  if (job.cancelled_at > 0 && now > job.cancelled_at + cancel_s_)
    broke("ran_cancelled", name + " starts", now);
  on.insert(machine);
  auto& used = used_[job.spec.owner];
  used += job.spec.cores;
  const auto limit = limits_.find(job.spec.owner);
  if (limit != limits_.end() && used > limit->second + kSlack)
    broke("quota", job.spec.owner + " uses " + std::to_string(used), now);
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

std::optional<JobSpec> Checker::spec_of(const std::string& uid) const {
  std::lock_guard lock(mutex_);
  const auto it = jobs_.find(uid);
  return it == jobs_.end() ? std::nullopt : std::optional(it->second.spec);
}

}  // namespace thistle::rig
