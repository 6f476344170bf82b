// How well jobs were served, by team and job class. A leader counts the records that it wrote itself, so that the sum over
// all controllers counts each event once, whoever led. The counts start at 0 with each process, as those of any metric. Pure.
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
    std::uint64_t accepted = 0;  // jobs, as all counts up to `largest_started_in_time`
    std::uint64_t started = 0;   // their first task, or their gang
    std::uint64_t done = 0;
    std::uint64_t done_with_deadline = 0;       // of those done: with a deadline
    std::uint64_t done_in_time = 0;             // of those with a deadline: done by the deadline
    std::uint64_t withdrawn_unstarted = 0;      // cancelled by their users before anything ran
    std::uint64_t largest_started = 0;          // of those started: among the largest of their class
    std::uint64_t largest_started_in_time = 0;  // of `largest_started`: started within kLargestJobStartTargetS
    double replica_requested_s = 0;             // of services: replica seconds asked for
    double replica_running_s = 0;               // of services: replica seconds running
    friend bool operator==(const Counts&, const Counts&) = default;
  };
  // Job classes that `classes` does not name are counted together, as "other".
  explicit ServiceLevelCounters(std::set<std::string> classes) : classes_(std::move(classes)) {}
  [[nodiscard]] std::string class_label(const std::string& job_class) const { return classes_.contains(job_class) ? job_class : "other"; }

  // Call these two for each record that this leader wrote, once it is in the ledger: the first directly before the record is
  // applied to `cluster_state`, the second directly after. `wall`: wall seconds.
  void before_apply(const Record& record, const ClusterState& cluster_state);
  void after_apply(const Record& record, const ClusterState& cluster_state, double wall);
  // Counts the replicas of all services for the `seconds` since the last call.
  void add_replica_time(const ClusterState& cluster_state, double seconds);

  using Key = std::pair<std::string, std::string>;  // team, job class
  [[nodiscard]] const std::map<Key, Counts>& counts() const { return counts_; }

 private:
  [[nodiscard]] Key key_of(const JobSpec& spec) const { return {spec.owner, class_label(spec.job_class)}; }
  Counts& counts_of(const JobSpec& spec) { return counts_[key_of(spec)]; }

  std::set<std::string> classes_;
  std::map<Key, Counts> counts_;

  // What must be known of a job that the present record may end: an ended job no longer has its spec.
  struct Ending {
    Key key;
    std::optional<double> deadline_at;  // wall seconds
  };
  std::optional<Ending> ending_;
};

}  // namespace thistlefront
