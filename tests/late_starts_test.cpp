// Starts that are committed only after their node or their job has changed: the transaction was carried out late, or its reply was lost.
// Simulated time: a leader with the real cluster state, reconciliation and eviction, and agents that follow the protocol.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "heartbeat_builders.hpp"
#include "job_builders.hpp"
#include "model/command.hpp"
#include "worker_control/draining.hpp"
#include "worker_control/reconciliation.hpp"

namespace thistlefront {
namespace {

constexpr std::uint64_t kToken = 10;
constexpr double kStepS = 0.25, kHeartbeatIntervalS = 1, kLeaseS = 4;
constexpr double kPlannedAt = 100, kCommittedAt = 106;  // of the start; late transactions take 2 to 12 s
constexpr double kMaxWaitS = 90;                        // no job is left waiting for longer while a node has room

// What happens to the node between the plan of the start and its commit, or shortly after that.
enum class NodeEvent {
  agent_dies_after_commit,
  agent_dies,            // its lease expires before the commit
  agent_dies_unnoticed,  // its lease expires after the commit
  agent_hangs,           // for longer than its lease; it returns before the commit
  released,              // the cloud has confirmed it before the commit
  released_after_commit,
  hears_no_replies,  // heartbeats arrive, replies do not
  interrupted,       // spot notice
  full,              // the agent refuses the start
};
enum class JobEvent { none, cancelled_before_commit, cancelled_after_commit };

const char* name_of(NodeEvent event) {
  constexpr const char* kNames[] = {"AgentDiesAfterCommit", "AgentDies",      "AgentDiesUnnoticed", "AgentHangs", "Released",
                                    "ReleasedAfterCommit",  "HearsNoReplies", "Interrupted",        "Full"};
  return kNames[static_cast<std::size_t>(event)];
}

struct Agent {
  bool alive = true, hears_replies = true, has_room = true;
  std::uint64_t incarnation = 1, serial = 0;
  double last_replied_at = kPlannedAt, next_heartbeat_at = kPlannedAt, hangs_until = 0;
  std::optional<double> interrupted_at;
  std::map<std::pair<std::uint32_t, std::uint64_t>, ExitReason> tasks;  // of the job, by number and attempt; ExitReason::none: it runs
};

class World {
 public:
  explicit World(JobType job_type) : cluster_state_({{"red", {}, {}, {}}}) {
    cluster_state_.apply(big_machine_type());
    JobAcceptedRecord accepted = accepted_job("j-1", 2, job_type);
    accepted.job.estimated_run_s = 1000;
    cluster_state_.apply(accepted);
    for (const char* name : {"m-1", "m-2"}) receive_heartbeat(name);
  }

  // Task 0 is placed on m-1, to which the event happens, and task 1 on m-2.
  void run(NodeEvent node_event, JobEvent job_event, double until) {
    at(kPlannedAt, [this, node_event] { begin(node_event); });
    at(kCommittedAt, [this] {
      cluster_state_.apply(TasksStartedRecord{"j-1", 1, kPlannedAt, {{"m-1", 1, {{0, 1}}}, {"m-2", 1, {{1, 2}}}}});
      record_placement();
    });
    if (job_event != JobEvent::none) {
      const double delay_s = job_event == JobEvent::cancelled_before_commit ? -1 : 0.1;
      at(kCommittedAt + delay_s, [this] { cluster_state_.apply(JobCancelledRecord{"j-1"}); });
    }
    for (; now_ < until; now_ += kStepS) step();
  }

  [[nodiscard]] const Job& job() { return cluster_state_.job(cluster_state_.find("j-1")); }
  [[nodiscard]] double cores_used() const { return cluster_state_.teams()[0].used.cores; }
  // When task 0 was last known to be placed; before the commit: 0.
  [[nodiscard]] double placed_until() const { return placed_until_; }
  [[nodiscard]] std::size_t tasks_running_on(const std::string& name) const {
    const auto& tasks = agents_.at(name).tasks;
    return static_cast<std::size_t>(std::count_if(tasks.begin(), tasks.end(), [](const auto& t) { return t.second == ExitReason::none; }));
  }

 private:
  void at(double time, std::function<void()> event) { events_.emplace(time, std::move(event)); }

  void begin(NodeEvent event) {
    Agent& agent = agents_["m-1"];
    const auto release = [this, &agent] {
      agent.alive = false;
      agent.tasks.clear();
      const NodeIndex index = cluster_state_.find_node("m-1");
      cluster_state_.node(index).terminated = true;
      for (const auto& record : evict_all_tasks(cluster_state_, index)) cluster_state_.apply(record);
    };
    const auto die = [&agent] { agent.alive = false; };
    switch (event) {
      case NodeEvent::agent_dies: die(); break;
      case NodeEvent::agent_dies_unnoticed: at(kCommittedAt - 1, die); break;
      case NodeEvent::agent_dies_after_commit: at(kCommittedAt + 3, die); break;
      case NodeEvent::agent_hangs: agent.hangs_until = kCommittedAt - 0.5; break;
      case NodeEvent::released: at(kPlannedAt + 3, release); break;
      case NodeEvent::released_after_commit: at(kCommittedAt + 3, release); break;
      case NodeEvent::hears_no_replies: agent.hears_replies = false; break;
      case NodeEvent::interrupted: agent.interrupted_at = kCommittedAt + 5; break;
      case NodeEvent::full: agent.has_room = false; break;
    }
  }

  void step() {
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto event = events_.begin()->second;
      events_.erase(events_.begin());
      event();
    }
    for (auto& [name, agent] : agents_) step(name, agent);
    for (const auto& eviction : evict_from_lost_nodes(cluster_state_, {kToken, 0, 0, {}, {}}, kLeaseS, now_))
      for (const auto& record : eviction.records) cluster_state_.apply(record);
    drain_interrupted_nodes(cluster_state_, {now_, now_});
    stop_broken_gangs(cluster_state_);
    record_placement();
  }

  void record_placement() {
    if (cluster_state_.placement({cluster_state_.find("j-1"), 0})) placed_until_ = now_;
  }

  void step(const std::string& name, Agent& agent) {
    if (agent.interrupted_at && now_ >= *agent.interrupted_at) agent.alive = false;
    if (!agent.alive || now_ < agent.hangs_until || now_ < agent.next_heartbeat_at) return;
    agent.next_heartbeat_at = now_ + kHeartbeatIntervalS;
    if (now_ - agent.last_replied_at > kLeaseS) {
      ++agent.incarnation;
      agent.serial = 0;
      agent.tasks.clear();
      agent.last_replied_at = now_;
    }
    receive_heartbeat(name);
    if (!agent.hears_replies || cluster_state_.node(cluster_state_.find_node(name)).terminated) return;
    agent.last_replied_at = now_;
    for (const auto& command : pending_commands(cluster_state_, cluster_state_.find_node(name), {kToken, kToken})) execute(agent, command);
  }

  void receive_heartbeat(const std::string& name) {
    Agent& agent = agents_[name];
    std::vector<TaskReport> reports;
    for (const auto& [task, exit_reason] : agent.tasks) {
      const TaskPhase phase = exit_reason == ExitReason::none ? TaskPhase::running : TaskPhase::exited;
      reports.push_back(task_report("j-1", task.first, task.second, phase, exit_reason));
    }
    Heartbeat heartbeat = heartbeat_of_node(name, agent.incarnation, ++agent.serial, kToken, std::move(reports));
    if (agent.interrupted_at) heartbeat.interruption_in_s = *agent.interrupted_at - now_;
    const auto outcome = apply_heartbeat(cluster_state_, heartbeat, {now_, now_}, true, kToken);
    record_lease_renewal(cluster_state_.node(cluster_state_.find_node(name)), outcome.stale, now_);
    for (const auto& record : outcome.records) cluster_state_.apply(record);
  }

  static void execute(Agent& agent, const Command& command) {
    const std::pair key{command.id.task, command.attempt};
    const auto it = agent.tasks.find(key);
    if (command.type == CommandType::run && it == agent.tasks.end())
      agent.tasks[key] = agent.has_room ? ExitReason::none : ExitReason::insufficient_resources;
    if (command.type == CommandType::kill && it != agent.tasks.end() && it->second == ExitReason::none) it->second = ExitReason::stopped;
    if (command.type == CommandType::acknowledge_exit && it != agent.tasks.end()) agent.tasks.erase(it);
  }

  ClusterState cluster_state_;
  std::map<std::string, Agent> agents_;
  std::multimap<double, std::function<void()>> events_;
  double now_ = kPlannedAt, placed_until_ = 0;
};

class LateStart : public testing::TestWithParam<std::tuple<NodeEvent, JobType>> {};

// Guards against a task, and its share of the team's quota, that stay placed on a node that can't run it any more.
TEST_P(LateStart, IsRemovedFromANodeThatCannotRunIt) {
  const auto [node_event, job_type] = GetParam();
  World world(job_type);
  world.run(node_event, JobEvent::none, kCommittedAt + 20);
  ASSERT_GE(world.placed_until(), kCommittedAt) << "the start was not committed";
  EXPECT_EQ(world.job().tasks[0], TaskState::pending);
  // A gang is planned again when all its tasks are removed; the other tasks of arrays and services run on.
  const bool gang = job_type == JobType::gang;
  EXPECT_EQ(world.job().placed.size(), gang ? 0u : 1u);
  EXPECT_EQ(world.cores_used(), gang ? 0 : 1);
  EXPECT_EQ(world.tasks_running_on("m-2"), gang ? 0u : 1u);
  const double longest_s = 3 + kLeaseS + 2 * kHeartbeatIntervalS;  // the latest event is 3 s after the commit
  EXPECT_LT(longest_s, kMaxWaitS);
  EXPECT_LE(world.placed_until(), kCommittedAt + longest_s);
}

// Guards against a cancelled job that keeps its share of the team's quota because a task of it stays placed.
TEST_P(LateStart, OfACancelledJobLeavesNothingPlaced) {
  const auto [node_event, job_type] = GetParam();
  for (const JobEvent job_event : {JobEvent::cancelled_before_commit, JobEvent::cancelled_after_commit}) {
    World world(job_type);
    world.run(node_event, job_event, kCommittedAt + 20);
    EXPECT_EQ(world.job().status, JobStatus::cancelled);
    EXPECT_TRUE(world.job().placed.empty());
    EXPECT_EQ(world.cores_used(), 0);
    EXPECT_EQ(world.tasks_running_on("m-2"), 0u);
    if (job_event == JobEvent::cancelled_before_commit) {
      EXPECT_EQ(world.placed_until(), 0) << "it starts nothing";
    }
  }
}

INSTANTIATE_TEST_SUITE_P(NodeAndJob, LateStart,
                         testing::Combine(testing::Values(NodeEvent::agent_dies_after_commit, NodeEvent::agent_dies,
                                                          NodeEvent::agent_dies_unnoticed, NodeEvent::agent_hangs, NodeEvent::released,
                                                          NodeEvent::released_after_commit, NodeEvent::hears_no_replies,
                                                          NodeEvent::interrupted, NodeEvent::full),
                                          testing::Values(JobType::array, JobType::service, JobType::gang)),
                         [](const auto& info) {
                           const JobType job_type = std::get<1>(info.param);
                           return std::string(name_of(std::get<0>(info.param))) + (job_type == JobType::array     ? "Array"
                                                                                   : job_type == JobType::service ? "Service"
                                                                                                                  : "Gang");
                         });

}  // namespace
}  // namespace thistlefront
