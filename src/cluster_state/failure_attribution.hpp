// Attributes task failures to the node or to the job (for example, a job submitted with an error). The evidence is whether the
// job succeeds on other nodes, and whether other jobs succeed on the node. `ClusterState` calls it for ledger records, so that
// later leaders make the same decisions. No I/O and no clock; times are wall-clock seconds.
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
  // A task of the job failed on the node. `job_has_succeeded`: whether some task of the job has succeeded before.
  void record_failure(JobIndex job, NodeIndex node, double at, bool job_has_succeeded);
  // A task of the job completed on the node, or a service replica ran there for some time.
  void record_success(JobIndex job, NodeIndex node);
  // The job was suspect when its snapshot was written. The nodes on which it failed are no longer known.
  void restore_suspicion(JobIndex job) { jobs_[job].suspect = true; }
  // The job has ended. Its failures continue to count against nodes only if some task of it succeeded.
  void remove_job(JobIndex job, bool job_has_succeeded);

  // A suspect job has failed on every node so far: it is retried with one task, with increasing delays, until a task succeeds.
  [[nodiscard]] bool is_suspect(JobIndex job) const;
  // Earliest time of a suspect job's next retry; 0: immediately.
  [[nodiscard]] double next_retry_at(JobIndex job) const;
  // Nodes that the job avoids because it failed there recently.
  [[nodiscard]] std::vector<NodeIndex> avoided_nodes(JobIndex job, double wall_s) const;

  // Whether the node is cordoned: several jobs that are not suspect failed on it, with no success in between. The node is used
  // again after a delay, which is longer from the second time on.
  [[nodiscard]] bool is_cordoned(NodeIndex node, double wall_s) const;
  // Whether the node should be replaced, because it is cordoned at least for the second time.
  [[nodiscard]] bool should_replace(NodeIndex node, double wall_s) const;

  // An attribution decision, for the operator's log.
  struct Decision {
    enum class Type { suspected, cleared, cordoned, uncordoned } type;
    JobIndex job;       // the suspected or cleared job, or the job whose failure, success or end changed the node's cordon
    NodeIndex node;     // not valid for decisions about a job
    std::size_t count;  // number of nodes on which the job failed, or of times that the node was cordoned
    double until;       // end of the retry delay or cordon; 0: there is none
  };
  // Returns the decisions made since the last call.
  std::vector<Decision> take_decisions() { return std::exchange(decisions_, {}); }

 private:
  struct JobEvidence {
    std::map<NodeIndex, double> failed_on;  // nodes with the time of the latest failure there
    unsigned failure_bursts = 0;            // since the last success
    double last_failure_at = -1e9;
    bool suspect = false;
    unsigned failed_retries = 0;  // since it became suspect
    double not_before = 0;        // earliest time of the next retry
  };
  struct NodeEvidence {
    std::set<JobIndex> failed_jobs;  // jobs that failed on the node and are not suspect; each success removes one
    unsigned times_cordoned = 0;
    double cordoned_until = 0;  // 0: not cordoned since the last success
  };
  void record_failed_node(JobEvidence& evidence, NodeIndex node, double at);
  void delay_next_retry(JobEvidence& evidence, double at);
  [[nodiscard]] bool is_job_at_fault(JobIndex job, const JobEvidence& evidence) const;
  void suspect_job(JobIndex job, JobEvidence& evidence, double at);
  void attribute_failure_to_node(JobIndex job, NodeIndex node, double at);
  void remove_failures_of_job(JobIndex job, NodeIndex node);
  void record_node_success(JobIndex job, NodeIndex node);
  void record_job_success(JobIndex job, NodeIndex node);

  std::unordered_map<JobIndex, JobEvidence> jobs_;
  std::unordered_map<NodeIndex, NodeEvidence> nodes_;
  std::vector<Decision> decisions_;
};

}  // namespace thistlefront
