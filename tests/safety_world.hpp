// The discrete-time simulation behind safety_test: agents, a network that delays, drops, duplicates and reorders messages, a ledger with
// slow writes, and leaders that use the real cluster state and reconciliation. The simulation checks the tasks that the agents really
// run, independently of the code under test. All random choices derive from the seed, so each run is reproducible.
#pragma once
#include <gtest/gtest.h>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "leadership/partition_lease.hpp"
#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "model/task.hpp"
#include "worker_control/lease_renewal_policy.hpp"
#include "worker_control/one_way_partition.hpp"
#include "worker_control/reconciliation.hpp"

namespace thistlefront::safety {

constexpr double kLeaseS = 8, kHeartbeatIntervalS = 1, kTimeStepS = 0.05;
// An agent drops a reply that arrives later than this after the heartbeat was sent.
constexpr double kReplyTimeoutS = 4;
// No task of a job may run for longer than this after the job's cancellation was confirmed.
constexpr double kCancellationDeadlineS = 15;
constexpr double kNodeCores = 4;
// In scenarios with one team.
constexpr double kSingleTeamQuotaCores = 10;
// In scenarios with several teams. A team with quota 0 is unknown until a ledger record sets its quota.
inline const std::map<std::string, double> kInitialQuotaCores{{"red", 7}, {"blue", 4}, {"green", 3}, {"late", 0}};

// Half of the faults are followed by a second one within seconds; such pairs are counted.
enum class Fault : std::uint8_t {
  leader_stops,
  leader_suspended,
  deposed_leader_replies,
  node_hangs,
  node_receives_nothing,
  node_sends_nothing,
  count
};
constexpr std::size_t kFaultCount = static_cast<std::size_t>(Fault::count);
constexpr const char* kFaultNames[] = {"leader stops", "leader is suspended",   "deposed leader replies",
                                       "node hangs",   "node receives nothing", "node sends nothing"};
using FaultPairCounts = std::array<std::array<std::size_t, kFaultCount>, kFaultCount>;

struct Event {
  double due_at;
  std::uint64_t sequence;  // orders events with equal `due_at`
  std::function<void()> run;
  bool operator<(const Event& other) const { return due_at != other.due_at ? due_at > other.due_at : sequence > other.sequence; }
};

enum class Scenario : std::uint8_t {
  plain,             // one team
  partitions,        // one team, and network partitions of a zone
  changing_quotas,   // several teams whose quotas change
  exhausted_quotas,  // several teams whose quotas are used up
  long_terms,        // one team, and leaders that lead for long
};

class Simulation {
 public:
  explicit Simulation(std::uint64_t seed, Scenario scenario = Scenario::plain);
  void run_until(double end_time);
  [[nodiscard]] bool all_jobs_ended() const;
  // Lists the jobs that have not ended, each with its number of pending tasks.
  [[nodiscard]] std::string unfinished_jobs() const;

  std::vector<std::string> violations;
  std::size_t task_starts = 0, leader_count = 1, suspected_jobs = 0, follower_renewals = 0, unresponsive_nodes_found = 0,
              kills_by_deposed_leaders = 0;
  FaultPairCounts fault_pair_counts{};
  // Jobs cancelled while every team was at its quota, a node that ran one of the job's tasks hung or was unreachable, and the leader
  // failed.
  std::size_t cancellations_at_quota = 0;
  std::size_t cancellations_with_two_failovers = 0;  // those of them with two leader failures within a lease
  std::size_t gangs_checkpointed = 0;                // and stopped
  // Checks after the last fault that found a team with pending tasks, but no free resources for them.
  std::size_t idle_checks = 0;
  // Copies of direct calls, and those of them whose fencing token and incarnation the agent accepted.
  std::size_t command_copies = 0, accepted_command_copies = 0;

 private:
  struct AgentTask {
    TaskPhase phase = TaskPhase::running;
    ExitReason exit_reason = ExitReason::none;
    double ends_at = 0;
  };
  struct Agent {
    std::string name, zone;
    std::uint64_t agent_incarnation = 1, serial = 0, fencing_token = 0, awaited_serial = 0;
    // `last_replied_sent_at`: when the latest heartbeat that got a reply was sent.
    double last_replied_sent_at = 0, next_heartbeat_at = 0, reply_deadline = -1, hangs_until = 0;
    double sends_nothing_until = 0, receives_nothing_until = 0;  // one-way partitions
    std::map<std::tuple<std::string, std::uint32_t, std::uint64_t>, AgentTask> tasks;
    std::deque<std::function<void()>> delayed_messages;  // arrived while the node hung
  };

  // A controller that leads or believes that it leads.
  struct Leader {
    Leader(Simulation& world, std::uint64_t token, bool predecessor_still_replies);
    // Queues records for the ledger. Once they are durable, applies them to the cluster state and calls `on_durable`.
    void append_records(std::vector<Record> records, std::function<void()> on_durable = {});
    void apply_due_records();
    // Stops the leader. Some of the queued records still reach the ledger, but no callback runs for them.
    void stop();
    // Schedules the commands that this leader, suspended now, sends when it resumes.
    void suspend(double duration_s);
    void step();
    void raise_token_if_needed();
    // Checkpoints and stops a whole gang, as a preemption does.
    void checkpoint_one_gang();
    // Places pending tasks on the first node that fits, within the team's quota. The real planner has tests of its own.
    void start_tasks();
    // Places as many pending tasks of the job as fit: all or none of a gang, at most one of a suspected job.
    TasksStartedRecord place_pending_tasks(const Job& job, bool suspect, double& headroom_cores,
                                           std::map<std::uint32_t, double>& planned_cores);
    // Returns whether a node had room for the task.
    bool place_task(std::uint32_t task, double& headroom_cores, std::map<std::uint32_t, double>& planned_cores,
                    TasksStartedRecord& started);
    void send_pending_commands(NodeIndex node_index);

    Simulation& simulation;
    ClusterState cluster_state;
    std::uint64_t fencing_token, takeover_token;
    double taken_over_at, sole_leader_since = -1, next_pass_at = 0, token_raised_at;
    PartitionLeaseGrant follower_lease;
    // The follower's latest ack, which requests a partition lease. `requested_at`: when the follower received the acked heartbeat (its own
    // clock). `acked_heartbeat_sent_at`: when this leader sent that heartbeat.
    double requested_at = 0, acked_heartbeat_sent_at = 0;
    int unwritten_start_records = 0;
    std::map<std::uint32_t, double> next_commands_at;
    struct QueuedAppend {
      double due_at;  // when the records are in the ledger
      std::vector<Record> records;
      std::function<void()> on_durable;
    };
    std::deque<QueuedAppend> queued_appends;
  };

  // Faults, in safety_world.cpp.
  // Injects the fault and, in half of the calls, schedules a random second fault that overlaps it or follows within seconds.
  void inject_fault(Fault fault, bool may_be_followed = true);
  void replace_leader(Fault fault);
  void inject_random_faults();
  // Once all teams are at their quota: cancels a job, makes one of its nodes fail and replaces the leader meanwhile. Tries again in each
  // step until `retry_until`.
  void cancel_job_at_quota(double retry_until);
  // Called when no faults occur any more. Resources that are known to be free must be reused by a team with pending tasks, and a task that
  // no node runs any more must be known to have ended. Both must happen in less than a lease.
  void check_for_idle_resources();
  void check_for_stale_placements(const Job& job);
  [[nodiscard]] bool has_free_node() const;
  // Records a violation if the condition holds for longer than `kMaxPersistenceS`.
  void must_not_persist(bool holds, const std::string& condition);

  // Users, in safety_users.cpp.
  void submit(int i);
  void on_job_accepted(int i, const JobAcceptedRecord& record);
  void cancel(const std::string& uid);
  // Called when the user polls. Confirms the cancellation if no task of the job is placed or no earlier leader still replies to agents.
  void confirm_cancellation(const std::string& uid);
  static bool is_faulty_job(const std::string& uid) { return uid == "j-4" || uid == "j-7"; }
  // Cores of the tasks that really run on the nodes.
  [[nodiscard]] std::map<std::string, double> used_cores_by_team() const;
  [[nodiscard]] std::vector<Team> teams() const;
  // The highest quota that was in force within the settling time.
  [[nodiscard]] double highest_recent_quota(const std::string& team) const;
  // The leader writes new random quotas to the ledger; they are in force once the records are durable.
  void change_quotas();

  // Peers, in safety_leader.cpp.
  // The age of the oldest confirmed cancellation whose job still has placed tasks according to the leader.
  [[nodiscard]] double oldest_cancellation_age_s() const;
  // Sends a heartbeat from the leader to the follower in the other zone, which acknowledges it. During a partition, the heartbeat is
  // lost or delayed until the partition ends.
  void send_peer_heartbeat();

  // Agents, in safety_agents.cpp.
  Heartbeat heartbeat_of(Agent& agent);
  void step(Agent& agent);
  void end_tasks(Agent& agent);
  // The leader receives a heartbeat, or, if `is_heartbeat` is false, the reply to a command, which has the same content.
  void receive(const Heartbeat& heartbeat, bool is_heartbeat);
  struct Reply {
    std::uint64_t fencing_token = 0;
    std::vector<Command> commands;
  };
  void send_heartbeat(Agent& agent);
  void deliver_heartbeat(Agent& agent, const Heartbeat& heartbeat, double sent_at, bool to_deposed_leader);
  // The reply of the controller that the heartbeat reaches, if it sends one.
  std::optional<Reply> reply_to(const Agent& agent, const Heartbeat& heartbeat, bool to_deposed_leader);
  void send_commands(const std::string& name, std::uint64_t fencing_token, std::uint64_t agent_incarnation,
                     const std::vector<Command>& commands, bool includes_start);
  // Executes the commands of a direct call if its token and incarnation are accepted; returns whether they were.
  bool execute_call(Agent& agent, std::uint64_t fencing_token, std::uint64_t agent_incarnation, const std::vector<Command>& commands);
  // Copies of an executed call arrive once more, up to minutes late; nobody waits for the answers.
  void schedule_command_copies(Agent& agent, std::uint64_t fencing_token, std::uint64_t agent_incarnation,
                               const std::vector<Command>& commands);
  void execute(Agent& agent, const std::vector<Command>& commands);
  void execute(Agent& agent, const Command& command);
  // Checks that no command to start this attempt was carried out before.
  void check_attempt(const Agent& agent, const Command& command);
  // Checks that the task runs on no other node.
  void check_start(const Agent& agent, const Command& command);
  void check_rules(Agent& agent);
  // The tasks of a hanging node end when its lease expires, although it can report that only later.
  [[nodiscard]] bool has_valid_lease(const Agent& agent) const { return now_ - agent.last_replied_sent_at <= kLeaseS; }
  [[nodiscard]] bool is_partitioned(const Agent& agent) const { return agent.zone == "y" && now_ < partitioned_until_; }

  double uniform(double a, double b) { return std::uniform_real_distribution<double>(a, b)(random_); }
  void schedule(double due_at, std::function<void()> run) { events_.push({due_at, ++last_event_sequence_, std::move(run)}); }
  double message_delay_s() { return uniform(0, 1) < 0.06 && now_ < fault_free_from_ ? uniform(1, 25) : uniform(0.01, 0.1); }
  bool is_message_dropped() { return uniform(0, 1) < 0.05 && now_ < fault_free_from_; }

  std::mt19937_64 random_;
  std::mt19937_64 copy_random_;  // of command copies only, so that all else is the same with and without them
  bool has_partitions_, has_several_teams_, has_exhausted_quotas_;
  double fault_free_from_ = 1e9;                                   // no message is lost or late from then on
  std::map<std::string, double> condition_since_;                  // conditions that must not persist
  std::map<std::string, std::map<double, double>> quota_history_;  // by team, then by the time at which the quota came into force
  std::map<std::string, std::string> team_of_;
  double partitioned_until_ = 0;
  PartitionLease partition_lease_{max_partition_lease_s(kCancellationDeadlineS, kLeaseS), 0};
  std::uint64_t follower_token_ = 0;
  std::priority_queue<Event> events_;
  std::uint64_t last_event_sequence_ = 0, fencing_token_ = 0;
  double failover_interval_factor_ = 1;
  double next_peer_heartbeat_at_ = 0, next_partition_at_ = 0, next_failover_at_ = 0, next_hang_at_ = 0, next_one_way_partition_at_ = 0;
  double now_ = 0, deposed_replies_until_ = 0;
  std::vector<Agent> agents_;
  std::vector<Record> ledger_;
  std::unique_ptr<Leader> leader_, deposed_leader_;            // the deposed one replies to heartbeats until deposed_replies_until_
  std::map<std::string, std::uint32_t> accepted_task_counts_;  // by uid
  std::map<std::string, double> cancellation_confirmed_at_;
  std::set<std::pair<std::string, std::uint32_t>> completed_tasks_;
  std::set<std::tuple<std::string, std::uint32_t, std::uint64_t>> started_attempts_;
};

}  // namespace thistlefront::safety
