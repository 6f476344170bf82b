// Who is at fault when a task fails: its machine, or the job itself, submitted with a mistake. Judged by evidence: does
// the job succeed elsewhere, do other jobs succeed on that machine. Pure; the book feeds it from the ledger's records,
// so that a later leader judges alike.
#pragma once
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "model/identifiers.hpp"

namespace thistlefront {

class FailureAttribution {
 public:
  // A task of the job failed there (wall seconds). `sound`: some task of the job has succeeded before.
  void record_failure(JobIndex j, NodeIndex h, double at, bool sound);
  // One completed there, or has served for a while.
  void record_success(JobIndex j, NodeIndex h);
  // Suspected by the leader that wrote the job anew; its machines are not known any more.
  void restore_suspicion(JobIndex j) { jobs_[j].suspect = true; }
  // The job has ended. What it did to its machines counts on only when it was sound.
  void forget_job(JobIndex j, bool sound);

  // A suspected job fails wherever it runs: it tries with one task, after growing pauses, until one succeeds.
  [[nodiscard]] bool is_suspect(JobIndex j) const;
  [[nodiscard]] double next_try_at(JobIndex j) const;  // wall seconds of its next try
  // Machines that it failed on lately; older failures no longer keep it off.
  [[nodiscard]] std::vector<NodeIndex> avoided_nodes(JobIndex j, double wall) const;

  // A machine that failed jobs which are not suspected, with no success in between, is set aside for a while, then
  // tried again.
  [[nodiscard]] bool is_cordoned(NodeIndex h, double wall) const;
  // Set aside once more after it was tried again: better replaced.
  [[nodiscard]] bool should_replace(NodeIndex h, double wall) const;

  // What was judged since the last call, for the operator's log.
  struct Verdict {
    enum class Kind { suspected, cleared, cordoned, uncordoned } kind;
    JobIndex job;       // the job, or the last one that failed on the machine
    NodeIndex node;     // not valid for news of a job
    std::size_t count;  // machines that the job failed on; times that the machine was set aside
    double until;       // wall seconds
  };
  std::vector<Verdict> take_verdicts() { return std::exchange(news_, {}); }

 private:
  struct JobEvidence {
    std::map<NodeIndex, double> failed_on;  // the latest failure there
    unsigned failures = 0;                  // waves of them in a row, without a success
    double last_at = -1e9;
    bool suspect = false;
    unsigned probes = 0;  // tries that failed since it is suspected
    double not_before = 0;
  };
  struct NodeEvidence {
    std::set<JobIndex> failed;  // jobs not suspected that failed there since the last success
    unsigned times_cordoned = 0;
    double cordoned_until = 0;
  };
  void blame_node(JobIndex j, NodeIndex h, double at);
  void clear_node(JobIndex j, NodeIndex h);

  std::unordered_map<JobIndex, JobEvidence> jobs_;
  std::unordered_map<NodeIndex, NodeEvidence> nodes_;
  std::vector<Verdict> news_;
};

}  // namespace thistlefront
