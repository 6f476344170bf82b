// A copy of an old heartbeat reaches a leader just after its takeover, when the leader has received nothing else from the node and knows
// no serial of it. The test explores every history of one node up to a given length: starts, commands, completions, heartbeats,
// acknowledged exits, a cancellation, expired leases. Then a new leader reads the ledger, receives one or two copies of earlier heartbeats,
// of the same or an earlier incarnation, sends its commands, and receives current heartbeats of the node. Its records must match the state
// of the node.
#include <gtest/gtest.h>

#include "heartbeat_builders.hpp"
#include "job_builders.hpp"
#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "model/identifiers.hpp"
#include "model/ledger_records.hpp"
#include "model/task.hpp"
#include "worker_control/reconciliation.hpp"

namespace thistlefront {
namespace {

constexpr std::uint64_t kOldToken = 10, kNewToken = 20;  // fencing tokens of the two leaders
constexpr std::uint32_t kTasks = 2;

// The ledger, the messages that the old leader has received, and the state of the node.
struct Scenario {
  std::vector<Record> ledger;
  std::vector<Heartbeat> received;                                // by the old leader, in order
  std::vector<std::size_t> ledger_size_at_receipt;                // for each received heartbeat
  std::map<std::pair<std::uint32_t, std::uint64_t>, bool> tasks;  // by task and attempt: whether it has completed
  std::set<std::pair<std::uint32_t, std::uint64_t>> started, acknowledged;
  std::set<std::uint32_t> completed_tasks;
  std::uint64_t agent_incarnation = 1, serial = 0, fencing_token = kOldToken;
  bool cancelled = false;
  std::string violation;

  Heartbeat heartbeat() {
    Heartbeat out = heartbeat_of_node("m-1", agent_incarnation, ++serial, fencing_token);
    for (const auto& [key, completed] : tasks) out.tasks.push_back(running_or_completed("j-1", key.first, key.second, completed));
    return out;
  }
  void execute(const std::vector<Command>& commands, std::uint64_t command_token, std::uint64_t command_incarnation) {
    if (command_token < fencing_token || command_incarnation != agent_incarnation) return;
    fencing_token = command_token;
    for (const auto& command : commands) {
      const std::pair key{command.id.task, command.attempt};
      if (command.type == CommandType::run && !tasks.contains(key)) {
        if (!started.insert(key).second) violation = "attempt started again";
        for (const auto& [other_key, completed] : tasks)
          if (other_key.first == key.first && !completed) violation = "two attempts running";
        tasks[key] = false;
      } else if (command.type == CommandType::kill && tasks.contains(key)) {
        tasks.erase(key);
      } else if (command.type == CommandType::acknowledge_exit && tasks.contains(key) && tasks[key]) {
        tasks.erase(key);
        acknowledged.insert(key);
      }
    }
  }
};

ClusterState initial_cluster_state() {
  ClusterState cluster_state = cluster_state_with_core_limit(8);
  cluster_state.apply(big_machine_type());
  cluster_state.apply(JobAcceptedRecord{submission("j-1", kTasks, 1), 0.5, 1});
  return cluster_state;
}
// The cluster state after the first `records` records of the ledger.
ClusterState replay_ledger(const Scenario& scenario, std::size_t records) {
  ClusterState cluster_state = initial_cluster_state();
  for (std::size_t i = 0; i < records; ++i) cluster_state.apply(scenario.ledger[i]);
  return cluster_state;
}
// The present cluster state of the old leader, which applied its received heartbeats and the ledger in order.
ClusterState old_leader_state(const Scenario& scenario) {
  ClusterState cluster_state = initial_cluster_state();
  std::size_t applied = 0;
  for (std::size_t i = 0; i < scenario.received.size(); ++i) {
    for (; applied < scenario.ledger_size_at_receipt[i]; ++applied) cluster_state.apply(scenario.ledger[applied]);
    apply_heartbeat(cluster_state, scenario.received[i], {1, 1}, true, kOldToken);
  }
  for (; applied < scenario.ledger.size(); ++applied) cluster_state.apply(scenario.ledger[applied]);
  return cluster_state;
}
// Applies the heartbeat and commits its records to the ledger. The records must match the state of the node.
void apply_and_commit(Scenario& scenario, ClusterState& cluster_state, const Heartbeat& heartbeat, std::uint64_t takeover_token,
                      bool is_heartbeat) {
  for (auto& record : apply_heartbeat(cluster_state, heartbeat, {1, 1}, is_heartbeat, takeover_token).records) {
    if (const auto* completed = std::get_if<TasksCompletedRecord>(&record))
      for (const auto& range : completed->tasks)
        for (auto task = range.first; task < range.end; ++task)
          if (!scenario.completed_tasks.contains(task)) scenario.violation = "recorded as completed, but not completed";
    if (const auto* removed = std::get_if<TasksRemovedRecord>(&record))
      for (const auto& range : removed->tasks)
        for (auto task = range.first; task < range.end; ++task)
          if (const auto it = scenario.tasks.find({task, removed->attempt}); it != scenario.tasks.end() && !it->second)
            scenario.violation = "recorded as removed, but still running";
    cluster_state.apply(record);
    scenario.ledger.push_back(std::move(record));
  }
}

class OldHeartbeats : public testing::Test {
 protected:
  void explore(const Scenario& scenario, std::size_t remaining_events, const std::string& path) {
    take_over(scenario, path);
    if (remaining_events == 0 || !first_violation.empty()) return;
    for (std::uint32_t task = 0; task < kTasks; ++task) {
      const ClusterState cluster_state = old_leader_state(scenario);
      const Job& job = cluster_state.job(cluster_state.find("j-1"));
      if (!job.ended() && job.tasks[task] == TaskState::pending && !scenario.received.empty()) {
        Scenario next = scenario;
        next.ledger.emplace_back(
            TasksStartedRecord{"j-1", job.attempts + 1, 1, {{"m-1", next.received.back().agent_incarnation, {{task, task + 1}}}}});
        explore(next, remaining_events - 1, path + "start " + std::to_string(task) + "; ");
      }
      for (const auto& [key, completed] : scenario.tasks) {
        if (key.first != task || completed) continue;
        Scenario next = scenario;
        next.tasks[key] = true;
        next.completed_tasks.insert(task);
        explore(next, remaining_events - 1, path + "complete " + std::to_string(task) + "; ");
      }
    }
    if (!scenario.cancelled) {
      Scenario next = scenario;
      next.cancelled = true;
      next.ledger.emplace_back(JobCancelledRecord{"j-1"});
      explore(next, remaining_events - 1, path + "cancel; ");
    }
    Scenario after_heartbeat = scenario;
    ClusterState cluster_state = old_leader_state(after_heartbeat);
    const Heartbeat message = after_heartbeat.heartbeat();
    after_heartbeat.received.push_back(message);
    after_heartbeat.ledger_size_at_receipt.push_back(after_heartbeat.ledger.size());
    apply_and_commit(after_heartbeat, cluster_state, message, kOldToken, true);
    // The reply to the heartbeat.
    const auto commands = pending_commands(cluster_state, cluster_state.find_node("m-1"), {kOldToken, kOldToken});
    after_heartbeat.execute(commands, kOldToken, message.agent_incarnation);
    explore(after_heartbeat, remaining_events - 1, path + "heartbeat; ");
    Scenario expired = scenario;
    expired.tasks.clear();
    ++expired.agent_incarnation;
    explore(expired, remaining_events - 1, path + "lease expires; ");
  }
  // A new leader takes over and receives each copy of the old leader's heartbeats, alone and followed by a second copy.
  void take_over(const Scenario& scenario, const std::string& path) {
    for (std::size_t first_copy = 0; first_copy < scenario.received.size() && first_violation.empty(); ++first_copy) {
      for (std::size_t second_copy = 0; second_copy <= scenario.received.size() && first_violation.empty(); ++second_copy) {
        Scenario after_takeover = scenario;
        ClusterState cluster_state = replay_ledger(after_takeover, after_takeover.ledger.size());
        const auto receive = [&](const Heartbeat& message) {
          apply_and_commit(after_takeover, cluster_state, message, kNewToken, true);
          const NodeIndex node_index = cluster_state.find_node("m-1");
          after_takeover.execute(pending_commands(cluster_state, node_index, {kNewToken, kNewToken}), kNewToken,
                                 cluster_state.node(node_index).agent.incarnation);
        };
        receive(scenario.received[first_copy]);
        if (second_copy < scenario.received.size()) receive(scenario.received[second_copy]);
        for (int i = 0; i < 2; ++i) receive(after_takeover.heartbeat());
        // An exit that is not in the ledger must not have been acknowledged.
        const Job& job = cluster_state.job(cluster_state.find("j-1"));
        for (const auto& key : after_takeover.acknowledged)
          if (after_takeover.completed_tasks.contains(key.first) && !job.ended() && job.tasks[key.first] == TaskState::pending)
            after_takeover.violation = "exit acknowledged, but not in the ledger";
        ++scenarios;
        if (!after_takeover.violation.empty())
          first_violation = path + "copy " + std::to_string(first_copy) +
                            (second_copy < scenario.received.size() ? ", copy " + std::to_string(second_copy) : "") + ": " +
                            after_takeover.violation;
      }
    }
  }
  std::string first_violation;
  std::size_t scenarios = 0;
};

TEST_F(OldHeartbeats, NewLeaderRecordsTheTrueStateOfTheNode) {
  explore(Scenario(), 8, "");
  EXPECT_EQ(first_violation, "");
  std::cout << scenarios << " scenarios\n";
  EXPECT_GT(scenarios, 20000u);
}

}  // namespace
}  // namespace thistlefront
