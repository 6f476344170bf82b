// Checks the rules of the protocol against the replies that users received and the tasks that really ran. Users report replies and workers
// report tasks; the checker must never use the code under test. No I/O. Callers pass all times, in steady seconds. Thread-safe.
#pragma once
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace thistlefront::testbed {

struct SubmittedJob {
  std::string uid, owner, job_type;
  std::string zone;  // empty: any zone
  std::uint32_t task_count = 1;
  double cores = 1, run_s = 1;
  std::vector<std::string> depends_on = {};
};

class Checker {
 public:
  // `limits`: cores by team. `cancel_s`: how long tasks may run after their job's cancellation was confirmed.
  Checker(std::map<std::string, double> limits, double cancel_s) : limits_(std::move(limits)), cancel_s_(cancel_s) {}

  // Sets the limit of a team from now on; while the controllers' settings differ, callers pass the highest one.
  void set_limit(const std::string& team, double cores);
  // A user is about to submit this job.
  void record_submission(const SubmittedJob& job, double now);
  // A user received a reply about a job. `status`: as in the protocol, "unknown" for 404, or "refused" for 400 and 422. The request was
  // sent at `sent_at`, and the reply was received at `now`. If a request was sent after the reply to another one was received, its own
  // reply must not be older than that reply, whichever controllers were called and in whatever order the replies are recorded here.
  void record_reply(const std::string& uid, const std::string& status, double sent_at, double now);
  // For users that send one request after the other.
  void record_reply(const std::string& uid, const std::string& status, double now) { record_reply(uid, status, now, now); }
  // A user is about to request the cancellation of this job.
  void record_withdrawal(const std::string& uid);
  // A poll got no reply, or one without a job status.
  void record_failed_poll(const std::string& uid, double now);
  // An agent carries out a command to start this attempt. Each attempt may be started once only, whatever became of it.
  void record_attempt(const std::string& uid, std::uint32_t task, std::uint64_t attempt, const std::string& node, double now);
  // A task runs on a node from the moment its image is pulled until it exits or is removed. `completed`: it exited because it was done.
  void record_task_start(const std::string& uid, std::uint32_t task, const std::string& node, const std::string& zone, double now);
  void record_task_end(const std::string& uid, std::uint32_t task, const std::string& node, bool completed, double now);
  // Checks the rules that are broken by the passage of time alone.
  void check_deadlines(double now);
  // All faults have ended: from now on, polls of a job that keep failing are a violation even if the polls of all jobs fail.
  void record_faults_ended(double now);

  // All violations, each as "rule: details".
  [[nodiscard]] std::vector<std::string> violations() const;
  // Identifiers of the accepted jobs.
  [[nodiscard]] std::vector<std::string> accepted_jobs() const;
  // Longest time without an acceptance within this period, in seconds.
  [[nodiscard]] double longest_acceptance_gap(double from, double until) const;
  [[nodiscard]] std::size_t completed_tasks() const;
  // Number of completed tasks of a job, whether or not users were notified.
  [[nodiscard]] std::size_t completed_tasks(const std::string& uid) const;
  // Numbers of jobs with dependencies.
  struct DependentJobs {
    double first_accepted_at = 0;  // steady seconds; 0: none
    std::size_t accepted = 0, completed = 0, reported_cancelled = 0;
  };
  [[nodiscard]] DependentJobs dependent_jobs() const;
  // Chooses up to `max_count` random jobs that may be dependencies: accepted ones that are not services.
  [[nodiscard]] std::vector<std::string> choose_dependencies(std::size_t max_count, std::uint64_t random) const;
  [[nodiscard]] std::optional<SubmittedJob> find_submission(const std::string& uid) const;

 private:
  struct Job {
    SubmittedJob spec;
    bool accepted = false, withdrawal_requested = false;
    std::string final_status;                                // "done" or "aborted"; empty until a reply contains it
    double accepted_at = 0, ended_at = 0, cancelled_at = 0;  // when the earliest reply with such a status was received
    double polls_fail_since = 0;                             // first failed poll since a reply last had a status; 0: none
    // When the latest request was sent whose reply was "unknown" or "refused", or a status that is not final.
    double unknown_sent_at = 0, unfinished_sent_at = 0;
    std::set<std::uint32_t> completed_tasks;
    std::map<std::uint32_t, std::multiset<std::string>> nodes_by_task;   // where each task runs
    std::set<std::pair<std::uint32_t, std::uint64_t>> started_attempts;  // tasks and attempts
  };
  // When a requested cancellation of the job or of one of its direct and indirect dependencies was first reported; 0: never.
  [[nodiscard]] double earliest_cancellation(const std::string& uid) const;
  // Whether a user requested the cancellation of the job or of one of its direct and indirect dependencies.
  [[nodiscard]] bool is_cancellation_requested(const std::string& uid) const;
  // Steps of record_reply().
  void update_job(Job& job, const std::string& status, double sent_at, double now);
  void check_order_of_replies(const std::string& uid, Job& job, double now);
  void check_cancellation(const std::string& uid, const Job& job, const std::string& status, double sent_at, double now);
  void add_violation(const std::string& rule, const std::string& details, double now);

  mutable std::mutex mutex_;
  std::map<std::string, double> limits_, used_;  // cores by team
  double cancel_s_, last_known_status_at_ = 0, started_at_ = 0, faults_ended_at_ = 0;
  std::map<std::string, Job> jobs_;
  std::vector<double> acceptance_times_;
  std::vector<std::string> violations_;
  std::size_t completed_tasks_ = 0;
};

}  // namespace thistlefront::testbed
