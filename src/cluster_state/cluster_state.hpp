// The book: jobs, tasks, hosts and teams. What the ledger's records say is applied here, in order, and nothing
// else changes what is durable. Pure: time is passed in.
#pragma once
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster_state/dependency_graph.hpp"
#include "cluster_state/failure_attribution.hpp"
#include "cluster_state/job_size_ranking.hpp"
#include "cluster_state/quota_accounts.hpp"
#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "model/machine.hpp"
#include "model/resources.hpp"
#include "model/task.hpp"

namespace thistlefront {

enum class TaskState : std::uint8_t { pending, placed, done };

// Where a task may be. From its start record until a record says that it is off (or done), it occupies this place.
struct Placement {
  NodeIndex node;
  std::uint64_t agent_incarnation = 0, attempt = 0;
  double decided_at = 0;  // wall seconds of the decision to start it
  // Learned from reports, not in the ledger:
  TaskPhase phase = TaskPhase::pulling_image;
  bool reported = false;      // some report showed it
  bool end_pending = false;   // its end is on its way into the ledger
  bool stopping = false;      // to be stopped
  double grace_period_s = 0;  // grace that goes with the stop
  double running_since = 0;   // wall seconds when it was first seen running
};

struct Job {
  std::string uid;
  JobSpec spec;
  TeamIndex team;
  JobClassIndex job_class;
  ImageIndex image;
  ZoneIndex zone;
  std::vector<MachineTypeIndex> machine_types;  // empty: any
  double random_draw = 0, accepted_at = 0;
  // Wall seconds from which its waits count: its acceptance, or the end of the last job that it waited for.
  double eligible_since = 0;
  Urgency urgency;       // its own, or that of a job that needs it
  bool blocked = false;  // waits for other jobs: it is not among the live ones
  bool service = false;
  std::uint32_t live_position = UINT32_MAX;  // place among the live ones
  JobStatus status = JobStatus::queued;      // queued stands for any job that has not ended
  std::uint64_t attempts = 0;
  std::vector<TaskState> tasks;
  std::map<std::uint32_t, Placement> placed;
  std::uint32_t done = 0, pending = 0;
  double cancelled_at = 0;          // steady seconds: when this leader cancelled it; 0 where it was an earlier one
  bool partially_replayed = false;  // records with its other tasks follow in the ledger: it is not settled before them
  [[nodiscard]] bool ended() const { return status == JobStatus::done || status == JobStatus::cancelled; }
  [[nodiscard]] std::uint32_t running() const;
};

struct TaskRef {
  JobIndex job;
  std::uint32_t task = 0;
  friend auto operator<=>(const TaskRef&, const TaskRef&) = default;
};

// A task placed on a host, with its placement at hand (it stays where it is until it is taken off).
struct PlacedTask : TaskRef {
  Placement* placement = nullptr;
};

struct ReportedTask {
  TaskRef ref;  // job not valid: not in the book
  std::uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::pulling_image;
  std::string uid;  // kept for pieces not in the book
};

// What the agent (the worker process) of a node said about itself. Times are steady seconds.
struct AgentState {
  std::uint64_t incarnation = 0;       // grows each time the agent's lease expires; 0: never heard of
  std::uint64_t serial = 0;            // of its newest message
  std::uint64_t heartbeat_serial = 0;  // of its newest heartbeat, answers to commands aside
  std::uint64_t highest_token = 0;     // highest fencing token that it has seen
  bool has_reported = false;           // to this leader
  double last_message_at = 0;
  double last_heartbeat_at = 0;           // of messages that prove that it is alive (worker_control/reconciliation)
  double last_direct_contact_at = 0;      // heard by this controller itself, not through another one
  double last_answered_at = 0;            // the latest heartbeat of it that this leader answered
  double incarnation_since = 0;           // when its present incarnation was first heard of
  double fenced_at = 0;                   // when it, in its present incarnation, was first known to have seen this leader's token
  double unresponsive_since = 0;          // answers have not reached it since then; 0: they do (worker_control/one_way_partition)
  std::uint64_t unresponsive_token = 0;   // highest token that it had seen then
  std::optional<double> interruption_at;  // the cloud takes the spot instance back
  std::vector<ReportedTask> tasks;        // of its newest message, sorted by ref
};

// What is known of commands on their way to a node.
struct CommandState {
  bool failing = false;               // the latest direct command got no answer
  std::uint64_t last_run_serial = 0;  // of the latest heartbeat whose answer told it to run something; 0: none in this incarnation
  // Direct commands with a start that were sent and not answered: until the agent is seen under a higher token, they may yet
  // be executed.
  std::uint64_t in_flight_token = 0;
  std::uint64_t uncertain_token = 0;
};

// What the cloud's instance list tells of a node. Times are steady seconds.
struct InstanceState {
  bool listed = false;
  Instance::Status status = Instance::Status::running;
  double age_s = 0;          // since it was requested, as of `listed_at`
  double listed_at = 0;      // 0: in no list yet
  double requested_at = 0;   // when this leader was told that it is rented; 0: by another one
  double running_since = 0;  // when it was first listed as running
};

// A machine that runs tasks. Times are steady seconds.
struct Node {
  std::string name, address;
  MachineTypeIndex machine_type;
  ZoneIndex zone;
  bool spot = false;
  AgentState agent;
  CommandState commands;
  InstanceState instance;

  std::vector<PlacedTask> placed;
  Resources used;                                            // by placed tasks
  std::vector<std::pair<ImageIndex, double>> cached_images;  // with their sizes in GB; most recently used last

  bool lease_expired = false;  // not used until its agent reports again
  bool terminated = false;     // released or taken by the cloud: it does not come back
  bool releasing = false;      // its release was requested: nothing more is placed there
  double full_until = 0;       // it refused a start for lack of room
  double idle_since = 0;       // 0: not idle

  // Whether no start that was sent to it may still be executed, given that it has seen `token`.
  [[nodiscard]] bool has_no_uncertain_start(std::uint64_t token) const {
    return commands.in_flight_token == 0 && (commands.uncertain_token == 0 || token > commands.uncertain_token) &&
           (commands.last_run_serial == 0 || agent.heartbeat_serial > commands.last_run_serial);
  }
};

inline constexpr std::size_t kRecordBytes = 3600;  // where the state service's limits are not known

class ClusterState {
 public:
  // `record_bytes`: about what one record may take in the ledger.
  explicit ClusterState(const std::vector<Team>& teams, std::size_t record_bytes = kRecordBytes);
  [[nodiscard]] std::size_t record_bytes() const { return record_bytes_; }

  void apply(const Record& record);

  // Jobs
  [[nodiscard]] JobIndex find(std::string_view uid) const;
  [[nodiscard]] Job& job(JobIndex j) { return jobs_[j.value]; }
  [[nodiscard]] const Job& job(JobIndex j) const { return jobs_[j.value]; }
  // Not ended, or still on hosts; jobs that wait for others come when they are ready. What is planned, rented for and
  // counted as waiting is of these alone.
  [[nodiscard]] const std::vector<JobIndex>& live() const { return live_; }
  [[nodiscard]] const DependencyGraph& dependency_graph() const { return dependency_graph_; }
  // One of the largest jobs of its class lately.
  [[nodiscard]] bool is_large(const Job& job) const { return size_ranking_.is_among_largest(job.job_class, size_of(job.spec)); }
  // Why a submission may not wait for the jobs that it names; nullopt: it may. The whole ledger has been read.
  [[nodiscard]] std::optional<std::string> dependency_rejection_reason(const JobSpec& s) const;
  // What waits for others, for which levels before 4 have no form. A job that waited and does not any more loses there
  // since when it is ready, and nothing else.
  [[nodiscard]] std::optional<std::string> dependencies_without_older_format() const;
  // Its flavors decide whether the task can ever run; nullopt while they are unknown.
  [[nodiscard]] std::optional<std::string> rejection_reason(const JobSpec& s) const;
  [[nodiscard]] bool allows(const Job& job, const Node& node) const;
  Placement* placement(TaskRef ref);

  // Hosts
  NodeIndex find_or_add_node(const std::string& name);
  [[nodiscard]] NodeIndex find_node(const std::string& name) const;
  [[nodiscard]] Node& node(NodeIndex h) { return nodes_[h.value]; }
  [[nodiscard]] const Node& node(NodeIndex h) const { return nodes_[h.value]; }
  [[nodiscard]] std::size_t node_count() const { return nodes_.size(); }
  void describe_node(NodeIndex h, const std::string& address, const std::string& kind, const std::string& zone, bool spot);
  void record_image_use(Node& node, ImageIndex image, double gb);

  // Flavors, by kind; nullptr while unknown
  [[nodiscard]] const MachineType* machine_type(MachineTypeIndex k) const;
  [[nodiscard]] const std::vector<MachineType>& machine_types() const { return machine_types_; }
  [[nodiscard]] MachineTypeIndex find_machine_type(std::string_view name) const { return machine_type_names_.find(name); }
  [[nodiscard]] const std::string& machine_type_name(MachineTypeIndex k) const { return machine_type_names_.name(k); }
  [[nodiscard]] ZoneIndex intern_zone(std::string_view name) { return zones_.intern(name); }
  [[nodiscard]] const std::string& zone_name(ZoneIndex z) const { return zones_.name(z); }
  [[nodiscard]] std::size_t zone_count() const { return zones_.size(); }

  // Which jobs and machines are at fault for failures.
  [[nodiscard]] FailureAttribution& failure_attribution() { return failure_attribution_; }
  [[nodiscard]] const FailureAttribution& failure_attribution() const { return failure_attribution_; }

  [[nodiscard]] QuotaAccounts& quota_accounts() { return quota_accounts_; }
  [[nodiscard]] const QuotaAccounts& quota_accounts() const { return quota_accounts_; }
  [[nodiscard]] const std::vector<Team>& teams() const { return quota_accounts_.teams(); }
  // What is used by each team, counted from the placements: the accounts must say the same.
  [[nodiscard]] std::vector<Resources> recount() const;
  // Where an account says less, it says as much from then on; the teams concerned.
  std::vector<std::string> correct_accounts();
  // Counts what workers report and the book places nowhere against its team.
  void recount_unplaced();
  // When a job that is accepted now (wall seconds) counts as accepted: after all that are, so that a team's jobs have the
  // ledger's order for every leader, whatever its clock says within the bound that is known of it.
  [[nodiscard]] double next_acceptance_time(double wall, double skew_s) const;

  // The largest task with accelerators accepted so far that may run on this kind, spot or not; zero when none.
  [[nodiscard]] Resources largest_accelerator_demand(MachineTypeIndex k, bool spot) const;

  // A job as it is now, as records that replace all earlier ones about it. Records are kept short: one covers tasks
  // from `from` on until it holds `most_items` ranges, and moves `from` behind them; the job is covered when `from`
  // has reached the number of its tasks. An ended job is one short record.
  [[nodiscard]] Record snapshot_record(JobIndex j, std::uint32_t& from, std::size_t most_items) const;
  [[nodiscard]] bool is_snapshot_complete(JobIndex j, std::uint32_t from) const { return from >= jobs_[j.value].tasks.size(); }
  [[nodiscard]] std::size_t job_count() const { return jobs_.size(); }

 private:
  JobIndex add_job(const JobAcceptedRecord& r);
  void place(JobIndex j, std::uint32_t task, NodeIndex h, std::uint64_t agent_incarnation, std::uint64_t attempt, double at);
  void unplace(JobIndex j, std::uint32_t task);
  void mark_done(JobIndex j, const TaskRanges& ranges, double at);
  void settle(JobIndex j);
  // Pipelines: what is asked of them, and what comes of it.
  static Urgency own_urgency(const Job& job);
  void activate(JobIndex j);
  [[nodiscard]] DependencyGraph::DependencyStatus named(JobIndex j) const;
  void register_dependencies(JobIndex j);
  void resolve_dependency(JobIndex j, double done_at = 0);
  void take(const DependencyGraph::Changes& news);
  void ended(JobIndex j, double at);
  // Some of what it waits for has not been read whole.
  [[nodiscard]] bool is_replay_incomplete(JobIndex j) const;

  void on(const JobAcceptedRecord& r);
  void on(const TasksStartedRecord& r);
  void on(const TasksCompletedRecord& r);
  void on(const TasksRemovedRecord& r);
  void on(const JobCancelledRecord& r);
  void on(const MachineTypesRecord& r);
  void on(const JobSnapshotRecord& r);
  void on(const JobsEndedRecord& r);
  void on(const TeamQuotaRecord& r) { quota_accounts_.apply_record(r); }

  std::size_t record_bytes_;
  QuotaAccounts quota_accounts_;
  double latest_accepted_ = 0;  // wall seconds
  Interner<MachineTypeIndex> machine_type_names_;
  Interner<ZoneIndex> zones_;
  Interner<ImageIndex> images_;
  Interner<JobClassIndex> classes_;
  std::deque<Job> jobs_;  // never moved: hosts point to placements
  NameMap<JobIndex> by_uid_;
  std::vector<JobIndex> live_;
  std::vector<Node> nodes_;
  NameMap<NodeIndex> nodes_by_name_;
  std::vector<MachineType> machine_types_;
  std::vector<int> machine_type_positions_;
  FailureAttribution failure_attribution_;
  DependencyGraph dependency_graph_;
  JobSizeRanking size_ranking_;
  // By kind (not valid: jobs that may use any), and whether the machine is a spot one.
  std::map<std::pair<MachineTypeIndex, bool>, Resources> accelerator_demands_;
};

}  // namespace thistlefront
