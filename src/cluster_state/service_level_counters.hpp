// Counters of how well jobs are served, by team and job class. A leader counts only the records that it wrote itself, so that the
// sum over all controllers counts each event once, whichever of them led. As with any metric, a new process starts at 0. No I/O and
// no clock.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "cluster_state/cluster_state.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"

namespace thistlefront {

class ServiceLevelCounters {
 public:
  struct Counts {
    // Numbers of jobs.
    std::uint64_t accepted = 0;
    std::uint64_t started = 0;  // jobs of which a first task, or the whole gang, was started
    std::uint64_t done = 0;
    std::uint64_t done_with_deadline = 0;       // done jobs that had a deadline
    std::uint64_t done_in_time = 0;             // done jobs that met their deadline
    std::uint64_t withdrawn_unstarted = 0;      // jobs cancelled by their users before any task was started
    std::uint64_t largest_started = 0;          // started jobs that are among the largest of their class
    std::uint64_t largest_started_in_time = 0;  // of `largest_started`: started within kLargestJobStartTargetS
    // Replica-seconds of services.
    double replica_requested_s = 0;
    double replica_running_s = 0;
    friend bool operator==(const Counts&, const Counts&) = default;
  };
  // Job classes that are not in `classes` are counted together as "other".
  explicit ServiceLevelCounters(std::set<std::string> classes) : classes_(std::move(classes)) {}
  [[nodiscard]] std::string class_label(const std::string& job_class) const { return classes_.contains(job_class) ? job_class : "other"; }

  // Must be called for each record that this leader has committed to the ledger, directly before and directly after the record is
  // applied to `cluster_state`. `wall_s`: wall-clock seconds.
  void before_apply(const Record& record, const ClusterState& cluster_state);
  void after_apply(const Record& record, const ClusterState& cluster_state, double wall_s);
  // Counts the replicas of all services for the `elapsed_s` seconds since the last call.
  void add_replica_time(const ClusterState& cluster_state, double elapsed_s);

  using Key = std::pair<std::string, std::string>;  // team, job class
  [[nodiscard]] const std::map<Key, Counts>& counts() const { return counts_; }

 private:
  [[nodiscard]] Key key_of(const JobSpec& spec) const { return {spec.owner, class_label(spec.job_class)}; }
  Counts& counts_of(const JobSpec& spec) { return counts_[key_of(spec)]; }

  std::set<std::string> classes_;
  std::map<Key, Counts> counts_;

  // Data of the job that the current record may complete, kept because a completed job no longer has its spec.
  struct CompletingJob {
    Key key;
    std::optional<double> deadline_at;  // wall-clock seconds
  };
  std::optional<CompletingJob> completing_job_;
};

}  // namespace thistlefront
