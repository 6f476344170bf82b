// The simulated world of safety_test: agents, a network that delays, drops, duplicates and reorders, a ledger that takes its time,
// and leaders that use the real cluster state and reconciliation. What the agents really run is checked here, independently of the
// code under test. All randomness comes from the seed, so a world is reproducible.
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

// Seconds of simulated time.
constexpr double kLease = 8, kHeartbeat = 1, kAnswerLife = 4, kCancel = 15, kStep = 0.05;
constexpr double kNodeCores = 4;
// Of the only team, in scenarios with one team.
constexpr double kTeamLimit = 10;
// Of the teams, in scenarios with several; the last one comes only when a record tells its quota.
inline const std::map<std::string, double> kTeams{{"red", 7}, {"blue", 4}, {"green", 3}, {"late", 0}};

// Half of the faults are followed by a second one within seconds; the fault_pairs are counted.
enum class Fault : std::uint8_t {
  leader_stops,
  leader_suspended,
  deposed_leader_answers,
  node_hangs,
  node_receives_nothing,
  node_sends_nothing,
  count
};
constexpr std::size_t kFaultKinds = static_cast<std::size_t>(Fault::count);
constexpr const char* kFaultNames[] = {"leader stops", "leader is suspended",   "deposed leader answers",
                                       "node hangs",   "node receives nothing", "node sends nothing"};
using FaultPairs = std::array<std::array<std::size_t, kFaultKinds>, kFaultKinds>;

struct Event {
  double at;
  std::uint64_t sequence;  // among events of the same time
  std::function<void()> run;
  bool operator<(const Event& other) const { return at != other.at ? at > other.at : sequence > other.sequence; }
};

// One team; one team and network partitions of a zone; teams whose quotas change; or teams whose quotas are all used up.
enum class Scenario : std::uint8_t { plain, partitions, changing_quotas, exhausted_quotas };

class Simulation {
 public:
  explicit Simulation(std::uint64_t seed, Scenario scenario = Scenario::plain);
  void play(double until);
  [[nodiscard]] bool all_ended() const;
  // Jobs that have not ended, and how many of their tasks are pending.
  [[nodiscard]] std::string not_ended() const;

  std::vector<std::string> violations;
  std::size_t runs = 0, leaders = 1, suspected = 0, renewed_by_follower = 0, found_unresponsive = 0, killed_while_uncertain = 0;
  FaultPairs fault_pairs{};
  // Jobs cancelled while every team was at its quota and a node that holds some of it could not be reached or hung, and a leader ended
  // before that was over; of these, with two failovers within a lease; and gangs stopped with a checkpoint.
  std::size_t cancelled_at_quota = 0, cancelled_with_two_failovers = 0, gangs_checkpointed = 0;
  std::size_t idle_checks = 0;  // at a team with pending tasks and no room, once there were no more faults

 private:
  struct HeldTask {
    TaskPhase phase = TaskPhase::running;
    ExitReason exit_reason = ExitReason::none;
    double ends = 0;
  };
  struct Agent {
    std::string name, zone;
    std::uint64_t agent_incarnation = 1, serial = 0, fencing_token = 0, awaited = 0;
    double answered_sent = 0, next_heartbeat = 0, give_up = -1, hangs_until = 0;
    double sends_nothing_until = 0, receives_nothing_until = 0;  // partitioned in one direction
    std::map<std::tuple<std::string, std::uint32_t, std::uint64_t>, HeldTask> tasks;
    std::deque<std::function<void()>> held;  // what arrived while it hung
  };

  // A controller that leads, or believes so.
  struct Leader {
    Leader(Simulation& in, std::uint64_t token, bool earlier_answers);
    // Writes records to the ledger; the cluster state changes when they are there, and then `durable` is called.
    void record(std::vector<Record> records, std::function<void()> durable = {});
    void commit();
    // Of what was on its way into the ledger, some is applied all the same, and nobody is told.
    void end();
    // Suspended instead of stopped: when it resumes, it sends what it had decided just before.
    void suspend(double for_s);
    void step();
    // As to make room: a whole gang is stopped with a checkpoint.
    void checkpoint_a_gang();
    // First fit, within the team's quota; the planner has tests of its own.
    void start();
    // Places pending tasks of the job; nothing where that is not possible.
    TasksStartedRecord place(const Job& job, bool suspect, double& room, std::map<std::uint32_t, double>& taken);
    // Places the task on the first node with room.
    bool place_task(std::uint32_t task, double& room, std::map<std::uint32_t, double>& taken, TasksStartedRecord& started);
    void command(NodeIndex h);

    Simulation& simulation;
    ClusterState cluster_state;
    std::uint64_t fencing_token, takeover_token;
    double taken_at, acked_at = -1, next_pass = 0;
    PartitionLeaseGrant follower_lease;
    double mark = 0, marked_sent_at = 0;  // the follower's latest answer, in its own time
    int starting = 0;
    std::map<std::uint32_t, double> not_before;
    struct QueuedRecord {
      double at;
      std::vector<Record> records;
      std::function<void()> durable;
    };
    std::deque<QueuedRecord> pending;
  };

  // Faults, in safety_world.cpp.
  // One fault, and by chance a second one that overlaps it or follows within seconds, possibly the same.
  void inject_fault(Fault fault, bool may_be_followed = true);
  void replace_leader(Fault fault);
  void inject_random_faults();
  // When all teams are at their quota: a job is cancelled as one of its nodes fails, and leaders change meanwhile.
  void cancel_at_quota(double until);
  // Without faults, resources that are known to be free must be used again by a team that has work for them, and what is on no node any
  // more must be known to have ended: neither may take as long as a lease.
  void check_for_idle_resources();
  void check_for_stale_placements(const Job& job);
  [[nodiscard]] bool has_free_node() const;
  // A violation where the condition holds for too long.
  void must_not_last(bool is, const std::string& what);

  // Users, in safety_users.cpp.
  void submit(int i);
  void accepted(int i, const JobAcceptedRecord& r);
  void cancel(const std::string& uid);
  // Users ask again and again, and are told when nothing of the job is placed or no earlier leader goes on.
  void confirm_cancellation(const std::string& uid);
  static bool at_fault(const std::string& uid) { return uid == "j-4" || uid == "j-7"; }
  // What really runs, by team.
  [[nodiscard]] std::map<std::string, double> used_cores_by_team() const;
  [[nodiscard]] std::vector<Team> teams() const;
  // The highest quota that was in force recently.
  [[nodiscard]] double quota_of(const std::string& team) const;
  // A leader brings other quotas into the ledger; they are in force when they are there.
  void change_quotas();

  // Peers, in safety_leader.cpp.
  // The age of the oldest cancellation that is not carried out yet, as the controller counts it.
  [[nodiscard]] double oldest_cancellation_s() const;
  // From the leader to the follower in the other zone, and its answer. What a partition stops is lost, or delayed until it ends.
  void peer_heartbeat();

  // Agents, in safety_agents.cpp.
  Heartbeat heartbeat_of(Agent& agent);
  void step(Agent& agent);
  void end_tasks(Agent& agent);
  void receive(const Heartbeat& heartbeat, bool is_heartbeat);
  struct Answer {
    std::uint64_t fencing_token = 0;
    std::vector<Command> commands;
  };
  void send_heartbeat(Agent& agent);
  void deliver_heartbeat(Agent& agent, const Heartbeat& heartbeat, double sent, bool to_deposed);
  // The answer of the controller that the heartbeat reaches, if any.
  std::optional<Answer> answer(const Agent& agent, const Heartbeat& heartbeat, bool to_deposed);
  void send_commands(const std::string& name, std::uint64_t fencing_token, std::uint64_t agent_incarnation,
                     const std::vector<Command>& commands, bool starts);
  void execute(Agent& agent, const std::vector<Command>& commands);
  void execute(Agent& agent, const Command& command);
  // That the attempt never ran before, and the task runs nowhere else.
  void check_start(const Agent& agent, const Command& command);
  void check(Agent& agent);
  // The tasks of a node that hangs end with its lease, though it can tell so only later.
  [[nodiscard]] bool has_valid_lease(const Agent& agent) const { return now_ - agent.answered_sent <= kLease; }
  [[nodiscard]] bool is_partitioned(const Agent& agent) const { return agent.zone == "y" && now_ < partitioned_until_; }

  double uniform(double a, double b) { return std::uniform_real_distribution<double>(a, b)(random_); }
  void schedule(double t, std::function<void()> run) { events_.push({t, ++order_, std::move(run)}); }
  double delay() { return uniform(0, 1) < 0.06 && now_ < fault_free_from_ ? uniform(1, 25) : uniform(0.01, 0.1); }
  bool dropped() { return uniform(0, 1) < 0.05 && now_ < fault_free_from_; }

  std::mt19937_64 random_;
  bool partitions_, several_teams_, exhausted_;
  double fault_free_from_ = 1e9;                            // from then on no message is lost or late
  std::map<std::string, double> lasts_since_;               // what must not last
  std::map<std::string, std::map<double, double>> quotas_;  // of each team, by when they came into force
  std::map<std::string, std::string> team_of_;
  double partitioned_until_ = 0;
  PartitionLease partition_lease_{max_partition_lease_s(kCancel, kLease), 0};
  std::uint64_t follower_token_ = 0;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0, fencing_token_ = 0;
  double next_peer_heartbeat_ = 0, next_partition_ = 0, next_failover_ = 0, next_hang_ = 0, next_one_way_partition_ = 0;
  double now_ = 0, deposed_until_ = 0;
  std::vector<Agent> agents_;
  std::vector<Record> ledger_;
  std::unique_ptr<Leader> leader_, deposed_;  // deposed_: answers reports until deposed_until_
  std::map<std::string, std::uint32_t> submitted_;
  std::map<std::string, double> cancelled_;
  std::set<std::pair<std::string, std::uint32_t>> finished_;
  std::set<std::tuple<std::string, std::uint32_t, std::uint64_t>> started_;
};

}  // namespace thistlefront::safety
