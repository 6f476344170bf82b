// The rules of the protocol, checked on what users were told and on what really ran. Must never look at the code under test: it is told of
// answers by users and of tasks by workers. No I/O; all times are given, in steady seconds. Thread-safe.
#pragma once
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace thistlefront::testbed {

struct SubmittedJob {
  std::string uid, owner, job_type;
  std::string zone;  // empty: any
  std::uint32_t task_count = 1;
  double cores = 1, run_s = 1;
  std::vector<std::string> depends_on = {};
};

class Checker {
 public:
  Checker(std::map<std::string, double> limits, double cancel_s) : limits_(std::move(limits)), cancel_s_(cancel_s) {}

  // What a team may use from now on; while controllers' settings differ, the highest of them.
  void limit(const std::string& team, double cores);
  void submitted(const SubmittedJob& job, double now);
  // A user was told of a job: `status` as in the protocol, "unknown" for 404, or "refused" for 400 and 422. The question was sent at `sent`
  // and the answer came at `now`. An answer to a question that was sent after another answer had come must not be older than that one,
  // whichever controllers were asked and in whatever order these calls are made.
  void told(const std::string& uid, const std::string& status, double sent, double now);
  // The same, for users that ask one question after the other.
  void told(const std::string& uid, const std::string& status, double now) { told(uid, status, now, now); }
  // A user is about to ask for this job's cancellation.
  void wants_withdrawn(const std::string& uid);
  // A poll that got no answer, or one that says nothing of the job.
  void failed_poll(const std::string& uid, double now);
  // A task is on a node from when it has its image until it is off it.
  void on(const std::string& uid, std::uint32_t task, const std::string& machine, const std::string& zone, double now);
  void off(const std::string& uid, std::uint32_t task, const std::string& machine, bool done, double now);
  // Checks the rules that can be broken by time alone.
  void tick(double now);
  // All faults have ended: from now on polls for each job must succeed, whether or not those for others do.
  void healed(double now);

  // Each broken rule as "rule: what".
  [[nodiscard]] std::vector<std::string> broken() const;
  [[nodiscard]] std::vector<std::string> accepted() const;  // jobs
  [[nodiscard]] double longest_without_acceptance(double from, double until) const;
  [[nodiscard]] std::size_t tasks_done() const;
  // A job's tasks that were done, whether or not its users were told.
  [[nodiscard]] std::size_t ended_tasks(const std::string& uid) const;
  struct DependentJobs {
    double first_accepted = 0;                                    // steady seconds; 0: none
    std::size_t accepted = 0, mark_done = 0, mark_cancelled = 0;  // jobs that wait for others
  };
  [[nodiscard]] DependentJobs dependent_jobs() const;
  // Some jobs that may be waited for: accepted, and no services. `random` chooses.
  [[nodiscard]] std::vector<std::string> some_accepted(std::size_t most, std::uint64_t random) const;
  [[nodiscard]] std::optional<SubmittedJob> spec_of(const std::string& uid) const;

 private:
  struct Job {
    SubmittedJob spec;
    bool accepted = false, withdrawal_wanted = false;
    std::string last;                                                           // "done" or "aborted", once told
    double accepted_at = 0, ended_at = 0, cancelled_at = 0, failing_since = 0;  // earliest answers
    double unknown_asked = 0, unended_asked = 0;                                // latest question that was answered so
    std::set<std::uint32_t> done;
    std::map<std::uint32_t, std::multiset<std::string>> on;  // task -> machines
  };
  // The earliest cancellation told of a job or of any that it needs; 0: none. And whether one was asked for.
  [[nodiscard]] double cancelled_above(const std::string& uid) const;
  [[nodiscard]] bool withdrawal_wanted_above(const std::string& uid) const;
  // Parts of told(): records an answer, and checks it against earlier ones and against cancellations.
  void note_answer(Job& job, const std::string& status, double sent, double now);
  void check_order_of_answers(const std::string& uid, Job& job, double now);
  void check_cancellation(const std::string& uid, const Job& job, const std::string& status, double sent, double now);
  void broke(const std::string& rule, const std::string& what, double now);

  mutable std::mutex mutex_;
  std::map<std::string, double> limits_, used_;
  double cancel_s_, polled_at_ = 0, began_ = 0, healed_at_ = 0;
  std::map<std::string, Job> jobs_;
  std::vector<double> acceptances_;
  std::vector<std::string> broken_;
  std::size_t tasks_done_ = 0;
};

}  // namespace thistlefront::testbed
