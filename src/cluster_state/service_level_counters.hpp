// What was served, by team and class: counted by a leader from the records that it wrote itself, so that the sum over all
// controllers counts each job's steps once, whoever led. Pure. A controller's counts end with its process, as any counter's.
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
    std::uint64_t accepted = 0, started = 0;  // jobs; started: its first task, or its gang
    std::uint64_t done = 0;
    std::uint64_t due = 0, in_time = 0;              // of those done: with a deadline, and by it
    std::uint64_t withdrawn_unstarted = 0;           // their users gave up before anything ran
    std::uint64_t largest = 0, largest_in_time = 0;  // of the started: its largest, and those that began soon enough
    double replica_s = 0, replica_up_s = 0;          // of services: seconds asked for, and running
    friend bool operator==(const Counts&, const Counts&) = default;
  };
  // Classes that `classes` does not name are counted together, as "other".
  explicit ServiceLevelCounters(std::set<std::string> classes) : classes_(std::move(classes)) {}
  [[nodiscard]] std::string class_label(const std::string& job_class) const { return classes_.contains(job_class) ? job_class : "other"; }

  // This record of its own is in the ledger; `book` is as it is before it is applied, and `wall` seconds.
  void before_apply(const Record& record, const ClusterState& cluster_state);
  void after_apply(const Record& record, const ClusterState& cluster_state, double wall);
  // The services of the book for the seconds since the last look.
  void add_replica_time(const ClusterState& cluster_state, double seconds);

  using Key = std::pair<std::string, std::string>;  // team, class
  [[nodiscard]] const std::map<Key, Counts>& counts() const { return counts_; }

 private:
  [[nodiscard]] Key key_of(const JobSpec& spec) const { return {spec.owner, class_label(spec.job_class)}; }
  Counts& counts_of(const JobSpec& spec) { return counts_[key_of(spec)]; }

  std::set<std::string> classes_;
  std::map<Key, Counts> counts_;
  // The job that the record at hand may end: an ended one no longer says whose it was.
  struct Ending {
    Key key;
    std::optional<double> deadline_at;  // wall seconds
  };
  std::optional<Ending> ending_;
};

}  // namespace thistlefront
