// Decides who is at fault when a task fails: its node, or the job itself, submitted with a mistake. The evidence is whether
// the job succeeds on other nodes, and whether other jobs succeed on that node. `ClusterState` feeds it from the ledger's
// records, so that a later leader decides alike. No I/O and no clock; times are wall seconds.
#pragma once
#include <cstddef>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "model/identifiers.hpp"

namespace thistlefront {

class FailureAttribution {
 public:
  // A task of the job failed on the node. `job_has_succeeded`: some task of the job has succeeded before.
  void record_failure(JobIndex job, NodeIndex node, double at, bool job_has_succeeded);
  // A task of the job completed on the node, or a service replica ran there for a while.
  void record_success(JobIndex job, NodeIndex node);
  // The job was suspect when a snapshot of it was written; on which nodes it failed is not known any more.
  void restore_suspicion(JobIndex job) { jobs_[job].suspect = true; }
  // The job has ended. Its failures keep counting against nodes only if some task of it succeeded.
  void forget_job(JobIndex job, bool job_has_succeeded);

  // A suspect job fails wherever it runs: it is retried with one task, after growing delays, until one succeeds.
  [[nodiscard]] bool is_suspect(JobIndex job) const;
  // Earliest time of a suspect job's next retry; 0: at once.
  [[nodiscard]] double next_retry_at(JobIndex job) const;
  // Nodes on which the job failed recently; older failures no longer keep it off a node.
  [[nodiscard]] std::vector<NodeIndex> avoided_nodes(JobIndex job, double wall) const;

  // Whether the node is cordoned: it failed several jobs that are not suspect, with no success in between. It is used again
  // after a growing delay.
  [[nodiscard]] bool is_cordoned(NodeIndex node, double wall) const;
  // Whether the node is cordoned again after it was used again: better replaced.
  [[nodiscard]] bool should_replace(NodeIndex node, double wall) const;

  // A decision, for the operator's log.
  struct Decision {
    enum class Type { suspected, cleared, cordoned, uncordoned } type;
    JobIndex job;       // the job, or the last one that failed on the node
    NodeIndex node;     // not valid for verdicts on a job
    std::size_t count;  // nodes on which the job failed, or times that the node was cordoned
    double until;       // of the delay; 0: there is none
  };
  // The verdicts since the last call.
  std::vector<Decision> take_decisions() { return std::exchange(decisions_, {}); }

 private:
  struct JobEvidence {
    std::map<NodeIndex, double> failed_on;  // with the time of the latest failure there
    unsigned failure_waves = 0;             // in a row, without a success
    double last_failure_at = -1e9;
    bool suspect = false;
    unsigned failed_retries = 0;  // since it is suspect
    double not_before = 0;        // of the next retry
  };
  struct NodeEvidence {
    std::set<JobIndex> failed_jobs;  // not suspect ones that failed there since the last success
    unsigned times_cordoned = 0;
    double cordoned_until = 0;  // 0: not cordoned, or not since the last success
  };
  void remember_failure(JobEvidence& evidence, NodeIndex node, double at);
  void delay_next_retry(JobEvidence& evidence, double at);
  [[nodiscard]] bool is_job_at_fault(JobIndex job, const JobEvidence& evidence) const;
  void suspect_job(JobIndex job, JobEvidence& evidence, double at);
  void blame_node(JobIndex job, NodeIndex node, double at);
  void clear_node(JobIndex job, NodeIndex node);
  void credit_node(JobIndex job, NodeIndex node);
  void credit_job(JobIndex job, NodeIndex node);

  std::unordered_map<JobIndex, JobEvidence> jobs_;
  std::unordered_map<NodeIndex, NodeEvidence> nodes_;
  std::vector<Decision> decisions_;
};

}  // namespace thistlefront
