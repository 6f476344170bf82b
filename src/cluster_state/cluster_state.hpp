// The replicated state machine: jobs, tasks, nodes and team accounts, derived from the ledger's records. Applying the same
// records in the same order gives the same state on every controller; only records change durable state. The leader applies
// each record once it is committed, a follower when it reads the ledger. State of nodes and placements that comes from
// heartbeats and the cloud's instance lists is kept here as well, but is not durable. No I/O and no clock: times are passed in.
//
// The member functions are split by concern into job_lifecycle.cpp, job_dependencies.cpp, task_placement.cpp,
// record_application.cpp, job_snapshot.cpp and usage_accounting.cpp; cluster_state.cpp has lookups and nodes.
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

// Approximate maximum size of one record in the ledger, unless the key-value store's value limit requires smaller records; see
// max_record_bytes().
inline constexpr std::size_t kDefaultRecordBytes = 3600;

class ClusterState {
 public:
  // `teams`: from the settings file. `record_bytes`: approximate maximum size of one record in the ledger.
  explicit ClusterState(const std::vector<Team>& teams, std::size_t record_bytes = kDefaultRecordBytes);
  [[nodiscard]] std::size_t record_bytes() const { return record_bytes_; }

  // Applies the next record of the ledger. A record that no longer fits the state (such as a start of a cancelled job) has no
  // effect.
  void apply(const Record& record);
  // The same while a ledger is read: the urgency that jobs inherit from their dependents is not up to date until finish_replay(),
  // so that it is computed once for the whole ledger instead of once for each record.
  void replay(const Record& record);
  // Call it after the last record was replayed.
  void finish_replay() { update_inherited_urgency(); }

  // Jobs. Indices stay valid for the lifetime of the cluster state.
  [[nodiscard]] JobIndex find(std::string_view uid) const;
  [[nodiscard]] Job& job(JobIndex job_index) { return jobs_[job_index.value]; }
  [[nodiscard]] const Job& job(JobIndex job_index) const { return jobs_[job_index.value]; }
  [[nodiscard]] std::size_t job_count() const { return jobs_.size(); }
  // Jobs that have not ended or still have tasks on nodes, except blocked ones. Only these are planned, scaled out for and
  // counted as pending. In no particular order.
  [[nodiscard]] const std::vector<JobIndex>& live() const { return live_; }
  [[nodiscard]] const DependencyGraph& dependency_graph() const { return dependency_graph_; }
  // Whether the job is among the largest recent jobs of its class.
  [[nodiscard]] bool is_large(const Job& job) const { return size_ranking_.is_among_largest(job.job_class, size_of(job.spec)); }
  // Why a submission can never run; nullopt if it can. The machine types must be known (submission_check.hpp).
  [[nodiscard]] std::optional<std::string> rejection_reason(const JobSpec& spec) const;
  // Why the dependencies of a submission are invalid; nullopt if they are valid. The whole ledger must have been read.
  [[nodiscard]] std::optional<std::string> dependency_rejection_reason(const JobSpec& spec) const;
  // Describes the blocked jobs, which format versions before 4 cannot store; nullopt if there are none. For an unblocked job,
  // older formats lose only the time from which it was eligible.
  [[nodiscard]] std::optional<std::string> describe_blocked_jobs() const;
  // Whether the job's machine types, zone and use of spot instances allow the node.
  [[nodiscard]] bool allows(const Job& job, const Node& node) const;
  // nullptr if the task is not placed.
  Placement* placement(TaskRef ref);
  // Acceptance time of a job that is accepted at `wall_s` (wall-clock seconds): later than that of all earlier jobs, so that a
  // team's jobs have the order of the ledger under every leader, despite clock skew. `skew_s`: maximum clock skew; a latest
  // acceptance time further ahead than clock skew explains is ignored.
  [[nodiscard]] double next_acceptance_time(double wall_s, double skew_s) const;

  // Nodes. Indices stay valid for the lifetime of the cluster state.
  NodeIndex find_or_add_node(const std::string& name);
  [[nodiscard]] NodeIndex find_node(const std::string& name) const;
  [[nodiscard]] Node& node(NodeIndex node_index) { return nodes_[node_index.value]; }
  [[nodiscard]] const Node& node(NodeIndex node_index) const { return nodes_[node_index.value]; }
  [[nodiscard]] std::size_t node_count() const { return nodes_.size(); }
  // An empty `address` keeps the known one.
  void set_node_attributes(NodeIndex node_index, const std::string& address, const std::string& machine_type, const std::string& zone,
                           bool spot);
  // Marks the image (of `image_gb` GB) as the most recently used one in the node's cache; older ones are evicted if it is full.
  void record_image_use(Node& node, ImageIndex image, double image_gb);

  // Machine types and zones. machine_type() returns nullptr while the cloud does not offer the machine type.
  [[nodiscard]] const MachineType* machine_type(MachineTypeIndex index) const { return machine_types_.offered(index); }
  [[nodiscard]] const std::vector<MachineType>& machine_types() const { return machine_types_.offered(); }
  [[nodiscard]] MachineTypeIndex find_machine_type(std::string_view name) const { return machine_types_.find(name); }
  [[nodiscard]] const std::string& machine_type_name(MachineTypeIndex index) const { return machine_types_.name(index); }
  [[nodiscard]] ZoneIndex intern_zone(std::string_view name) { return zones_.intern(name); }
  [[nodiscard]] const std::string& zone_name(ZoneIndex zone) const { return zones_.name(zone); }
  [[nodiscard]] std::size_t zone_count() const { return zones_.size(); }
  // Largest demand per resource of accepted tasks with accelerators that may run on this machine type; zero if there are none.
  [[nodiscard]] Resources largest_accelerator_demand(MachineTypeIndex machine_type, bool spot) const {
    return accelerator_demands_.largest(machine_type, spot);
  }
  // When the latest such job for this machine type was accepted, in wall seconds; 0: none.
  [[nodiscard]] double last_accelerator_demand_at(MachineTypeIndex machine_type) const {
    return accelerator_demands_.last_accepted_at(machine_type);
  }

  // Attribution of task failures to jobs or nodes.
  [[nodiscard]] FailureAttribution& failure_attribution() { return failure_attribution_; }
  [[nodiscard]] const FailureAttribution& failure_attribution() const { return failure_attribution_; }

  // Team accounts.
  [[nodiscard]] QuotaAccounts& quota_accounts() { return quota_accounts_; }
  [[nodiscard]] const QuotaAccounts& quota_accounts() const { return quota_accounts_; }
  [[nodiscard]] const std::vector<Team>& teams() const { return quota_accounts_.teams(); }
  // Usage of each team, counted from the placements; the accounts must be equal to it.
  [[nodiscard]] std::vector<Resources> count_placed_usage() const;
  // Raises accounts that are below the usage of placed tasks. Returns the names of all teams whose account differed from it.
  std::vector<std::string> correct_accounts();
  // Recomputes each team's usage by tasks that agents report but that are not placed.
  void recount_unplaced_usage();

  // Returns the current state of a job as a record that replaces earlier records of the job. To limit its size, the record covers
  // the tasks from `next_task` on until it has `max_items` items: a task range is one item, a placement counts as several.
  // Advances `next_task` past the covered tasks. An ended job without tasks on nodes takes one short record.
  [[nodiscard]] Record snapshot_record(JobIndex job_index, std::uint32_t& next_task, std::size_t max_items) const;
  // Whether the snapshot records returned so far, which advanced `next_task`, cover the whole job.
  [[nodiscard]] bool is_snapshot_complete(JobIndex job_index, std::uint32_t next_task) const {
    return next_task >= jobs_[job_index.value].tasks.size();
  }

 private:
  // job_lifecycle.cpp
  JobIndex new_job(const std::string& uid);
  JobIndex add_job(const JobAcceptedRecord& record);
  JobIndex add_ended_job(const std::string& uid, JobStatus status, bool service, double done_at);
  void activate(JobIndex job_index);
  void deactivate(JobIndex job_index);
  // Frees the data of a job that has ended and has no task on a node; does nothing for other jobs.
  void release_if_finished(JobIndex job_index);

  // job_dependencies.cpp
  static Urgency own_urgency(const Job& job);
  [[nodiscard]] DependencyGraph::DependencyStatus dependency_status(JobIndex job_index) const;
  void register_dependencies(JobIndex job_index);
  // The job has been read from the ledger: resolves it as a dependency of jobs that were read earlier.
  void resolve_dependency(JobIndex job_index, double done_at = 0);
  // The job ended at `ended_at` (wall-clock seconds; 0: not known): updates or cancels its dependents.
  void update_dependents(JobIndex job_index, double ended_at);
  // A snapshot record shows that the job is eligible, since this time (wall-clock seconds).
  void unblock(JobIndex job_index, double eligible_since);
  // Calls `update(changes)`, which updates the dependency graph, and applies the collected changes to the jobs.
  template <class Update>
  void update_dependency_graph(const Update& update) {
    DependencyGraph::JobChanges changes;
    update(changes);
    apply_dependency_changes(changes);
  }
  void apply_dependency_changes(const DependencyGraph::JobChanges& changes);
  void update_inherited_urgency();
  // Whether some dependency of the job has not been read completely from the ledger.
  [[nodiscard]] bool is_replay_incomplete(JobIndex job_index) const;

  // task_placement.cpp
  // A placement on the node of this name, which is added if it is not known.
  [[nodiscard]] Placement new_placement(const std::string& node, std::uint64_t agent_incarnation, std::uint64_t attempt, double decided_at);
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
  void apply_job_end(const JobsEndedRecord& record, std::uint32_t position);

  // job_snapshot.cpp
  [[nodiscard]] JobsEndedRecord ended_job_record(JobIndex job_index) const;

  // usage_accounting.cpp
  [[nodiscard]] static bool may_have_unplaced_tasks(const Node& node);
  void charge_unplaced(NodeIndex node_index);

  std::size_t record_bytes_;
  QuotaAccounts quota_accounts_;
  double latest_accepted_at_ = 0;  // wall-clock seconds
  MachineTypeCatalogue machine_types_;
  Interner<ZoneIndex> zones_;
  Interner<ImageIndex> images_;
  Interner<JobClassIndex> classes_;
  std::deque<Job> jobs_;  // a deque does not move its elements: nodes hold pointers to placements
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
