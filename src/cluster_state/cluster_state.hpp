// The replicated state machine: jobs, tasks, nodes and team accounts, as the ledger's records give them. Applying the same
// records in the same order gives the same state on every controller; nothing but a record changes what is durable.
// The leader applies each record once it is committed, a follower as it reads the ledger. What heartbeats and the cloud's
// lists tell of nodes and placements is kept beside it and is not durable. No I/O and no clock: times are passed in.
//
// The member functions stand in one file per concern: job_lifecycle.cpp, job_dependencies.cpp, task_placement.cpp,
// record_application.cpp, job_snapshot.cpp, usage_accounting.cpp; lookups and nodes in cluster_state.cpp.
#pragma once
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster_state/accelerator_demands.hpp"
#include "cluster_state/dependency_graph.hpp"
#include "cluster_state/failure_attribution.hpp"
#include "cluster_state/job_size_ranking.hpp"
#include "cluster_state/job_state.hpp"
#include "cluster_state/machine_type_catalogue.hpp"
#include "cluster_state/node_state.hpp"
#include "cluster_state/quota_accounts.hpp"
#include "cluster_state/submission_check.hpp"
#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "model/machine.hpp"
#include "model/resources.hpp"
#include "model/task.hpp"

namespace thistlefront {

inline constexpr std::size_t kDefaultRecordBytes = 3600;  // where the limits of the key-value store are not known

class ClusterState {
 public:
  // `teams`: those of the settings file. `record_bytes`: about how many bytes one record may take in the ledger.
  explicit ClusterState(const std::vector<Team>& teams, std::size_t record_bytes = kDefaultRecordBytes);
  [[nodiscard]] std::size_t record_bytes() const { return record_bytes_; }

  // Applies the next record of the ledger. A record that no longer fits the state (say, a start of a cancelled job) changes
  // nothing.
  void apply(const Record& record);

  // Jobs. Indices stay valid for as long as the cluster state exists.
  [[nodiscard]] JobIndex find(std::string_view uid) const;
  [[nodiscard]] Job& job(JobIndex job_index) { return jobs_[job_index.value]; }
  [[nodiscard]] const Job& job(JobIndex job_index) const { return jobs_[job_index.value]; }
  [[nodiscard]] std::size_t job_count() const { return jobs_.size(); }
  // Jobs that have not ended or still have tasks on nodes, without those that depend on others that are not done. Only
  // these are planned, scaled out for and counted as pending. In no particular order.
  [[nodiscard]] const std::vector<JobIndex>& live() const { return live_; }
  [[nodiscard]] const DependencyGraph& dependency_graph() const { return dependency_graph_; }
  // Whether the job is one of the largest recent ones of its class.
  [[nodiscard]] bool is_large(const Job& job) const { return size_ranking_.is_among_largest(job.job_class, size_of(job.spec)); }
  // Why a submission can never run; nullopt: it can. Call it only while the machine types are known (submission_check.hpp).
  [[nodiscard]] std::optional<std::string> rejection_reason(const JobSpec& spec) const;
  // Why a submission may not depend on the jobs that it names; nullopt: it may. The whole ledger must have been read.
  [[nodiscard]] std::optional<std::string> dependency_rejection_reason(const JobSpec& spec) const;
  // Describes the blocked jobs, which format versions before 4 cannot store; nullopt: there are none. A job that is no
  // longer blocked loses in an older format only the time since when it is eligible.
  [[nodiscard]] std::optional<std::string> describe_blocked_jobs() const;
  // Whether the job's machine types, zone and use of spot instances allow the node.
  [[nodiscard]] bool allows(const Job& job, const Node& node) const;
  // nullptr where the task is not placed.
  Placement* placement(TaskRef ref);
  // When a job that is accepted now (`wall`: wall seconds) counts as accepted: after all earlier ones, so that a team's jobs
  // have the order of the ledger for every leader, whatever its clock shows. `skew_s`: how far clocks may differ; a last
  // acceptance further ahead than that allows is ignored.
  [[nodiscard]] double next_acceptance_time(double wall, double skew_s) const;

  // Nodes. Indices stay valid for as long as the cluster state exists.
  NodeIndex find_or_add_node(const std::string& name);
  [[nodiscard]] NodeIndex find_node(const std::string& name) const;
  [[nodiscard]] Node& node(NodeIndex node_index) { return nodes_[node_index.value]; }
  [[nodiscard]] const Node& node(NodeIndex node_index) const { return nodes_[node_index.value]; }
  [[nodiscard]] std::size_t node_count() const { return nodes_.size(); }
  // An empty address leaves the known one in place.
  void set_node_attributes(NodeIndex node_index, const std::string& address, const std::string& machine_type, const std::string& zone,
                           bool spot);
  // The image (of `image_gb` GB) becomes the most recently used one in the node's cache, and older ones leave when it is full.
  void record_image_use(Node& node, ImageIndex image, double image_gb);

  // Machine types and zones
  // nullptr while it is not known.
  [[nodiscard]] const MachineType* machine_type(MachineTypeIndex index) const { return machine_types_.offered(index); }
  [[nodiscard]] const std::vector<MachineType>& machine_types() const { return machine_types_.offered(); }
  [[nodiscard]] MachineTypeIndex find_machine_type(std::string_view name) const { return machine_types_.find(name); }
  [[nodiscard]] const std::string& machine_type_name(MachineTypeIndex index) const { return machine_types_.name(index); }
  [[nodiscard]] ZoneIndex intern_zone(std::string_view name) { return zones_.intern(name); }
  [[nodiscard]] const std::string& zone_name(ZoneIndex zone) const { return zones_.name(zone); }
  [[nodiscard]] std::size_t zone_count() const { return zones_.size(); }
  // The largest task with accelerators accepted so far that may run on this machine type; zero when there is none.
  [[nodiscard]] Resources largest_accelerator_demand(MachineTypeIndex machine_type, bool spot) const {
    return accelerator_demands_.largest(machine_type, spot);
  }

  // Which jobs and nodes are at fault for failures
  [[nodiscard]] FailureAttribution& failure_attribution() { return failure_attribution_; }
  [[nodiscard]] const FailureAttribution& failure_attribution() const { return failure_attribution_; }

  // Team accounts
  [[nodiscard]] QuotaAccounts& quota_accounts() { return quota_accounts_; }
  [[nodiscard]] const QuotaAccounts& quota_accounts() const { return quota_accounts_; }
  [[nodiscard]] const std::vector<Team>& teams() const { return quota_accounts_.teams(); }
  // Usage of each team, counted from the placements: the accounts must show the same.
  [[nodiscard]] std::vector<Resources> count_placed_usage() const;
  // Raises accounts that show less than is placed. Returns the names of the teams whose account differed.
  std::vector<std::string> correct_accounts();
  // Charges each team anew for the tasks that agents report and that are placed nowhere.
  void recount_unplaced_usage();

  // The present state of a job as a record that replaces earlier ones about it. A record is kept short: it covers tasks from
  // `from` on until it holds `max_items` items, and moves `from` behind them. An ended job is one short record.
  [[nodiscard]] Record snapshot_record(JobIndex job_index, std::uint32_t& from, std::size_t max_items) const;
  // Whether the records made so far, which moved `from`, cover the whole job.
  [[nodiscard]] bool is_snapshot_complete(JobIndex job_index, std::uint32_t from) const {
    return from >= jobs_[job_index.value].tasks.size();
  }

 private:
  // job_lifecycle.cpp
  JobIndex new_job(const std::string& uid);
  JobIndex add_job(const JobAcceptedRecord& record);
  JobIndex add_ended_job(const std::string& uid, JobStatus status, bool service, double done_at);
  void activate(JobIndex job_index);
  void deactivate(JobIndex job_index);
  // Frees what is no longer needed of a job that has ended and has no task on a node; does nothing for any other job.
  void release_if_finished(JobIndex job_index);

  // job_dependencies.cpp
  static Urgency own_urgency(const Job& job);
  [[nodiscard]] DependencyGraph::DependencyStatus dependency_status(JobIndex job_index) const;
  void register_dependencies(JobIndex job_index);
  // A job that others may have named before it was read is now known.
  void resolve_dependency(JobIndex job_index, double done_at = 0);
  // The job has ended, at `ended_at` (wall seconds; 0: not known): its dependents become eligible or are cancelled.
  void update_dependents(JobIndex job_index, double ended_at);
  // A snapshot record says since when (wall seconds) the job is eligible.
  void unblock(JobIndex job_index, double eligible_since);
  // Runs `update(changes)`, which calls the dependency graph, and applies the changes that it collects.
  template <class Update>
  void update_dependency_graph(const Update& update) {
    DependencyGraph::Changes changes;
    update(changes);
    apply_dependency_changes(changes);
  }
  void apply_dependency_changes(const DependencyGraph::Changes& changes);
  // Whether some job that this one depends on has not been read from the ledger in full.
  [[nodiscard]] bool is_replay_incomplete(JobIndex job_index) const;

  // task_placement.cpp
  void place(TaskRef task, Placement placement);
  void place_all(JobIndex job_index, const TaskRanges& tasks, const Placement& placement);
  void unplace(TaskRef task);
  void unplace_all(JobIndex job_index);
  void mark_done(JobIndex job_index, const TaskRanges& tasks, double done_at);

  // record_application.cpp
  void apply_record(const JobAcceptedRecord& record);
  void apply_record(const TasksStartedRecord& record);
  void apply_record(const TasksCompletedRecord& record);
  void apply_record(const TasksRemovedRecord& record);
  void apply_record(const JobCancelledRecord& record);
  void apply_record(const MachineTypesRecord& record);
  void apply_record(const JobSnapshotRecord& record);
  void apply_record(const JobsEndedRecord& record);
  void apply_record(const TeamQuotaRecord& record);
  void apply_end(const JobsEndedRecord& record, std::uint32_t position);

  // job_snapshot.cpp
  [[nodiscard]] JobsEndedRecord ended_job_record(JobIndex job_index) const;

  // usage_accounting.cpp
  [[nodiscard]] static bool may_have_unplaced_tasks(const Node& node);
  void charge_unplaced(NodeIndex node_index);

  std::size_t record_bytes_;
  QuotaAccounts quota_accounts_;
  double latest_accepted_ = 0;  // wall seconds
  MachineTypeCatalogue machine_types_;
  Interner<ZoneIndex> zones_;
  Interner<ImageIndex> images_;
  Interner<JobClassIndex> classes_;
  std::deque<Job> jobs_;  // never moved: nodes point to placements
  NameMap<JobIndex> jobs_by_uid_;
  std::vector<JobIndex> live_;
  std::vector<Node> nodes_;
  NameMap<NodeIndex> nodes_by_name_;
  FailureAttribution failure_attribution_;
  DependencyGraph dependency_graph_;
  JobSizeRanking size_ranking_;
  AcceleratorDemands accelerator_demands_;
};

}  // namespace thistlefront
