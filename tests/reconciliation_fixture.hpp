// A fixture for tests of the reconciliation between the cluster state and the agent of one node.
#pragma once
#include <gtest/gtest.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "heartbeat_builders.hpp"
#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "model/ledger_records.hpp"
#include "model/task.hpp"
#include "worker_control/reconciliation.hpp"

namespace thistlefront {

inline constexpr std::uint64_t kToken = 10;  // fencing token of the leader

class ReconciliationFixture : public testing::Test {
 protected:
  ReconciliationFixture() : cluster_state({{"red", {}, {}, {}}}) { cluster_state.apply(big_machine_type()); }
  void accept(const std::string& uid, std::uint32_t tasks, JobType job_type = JobType::array) {
    cluster_state.apply(accepted_job(uid, tasks, job_type));
  }
  void start(const std::string& uid, std::uint64_t attempt, TaskRange tasks, std::uint64_t agent_incarnation = 1) {
    cluster_state.apply(TasksStartedRecord{uid, attempt, 0, {{"m-1", agent_incarnation, {tasks}}}});
  }
  HeartbeatOutcome heartbeat(std::vector<TaskReport> tasks, bool is_heartbeat = true, std::uint64_t fencing_token = kToken,
                             std::uint64_t agent_incarnation = 1) {
    const Heartbeat message = heartbeat_of_node("m-1", agent_incarnation, ++serial, fencing_token, std::move(tasks));
    return apply_heartbeat(cluster_state, message, {steady_s, steady_s}, is_heartbeat, kToken);
  }
  void commit_records(const HeartbeatOutcome& outcome) {
    for (const auto& record : outcome.records) cluster_state.apply(record);
  }
  Node& node() { return cluster_state.node(cluster_state.find_node("m-1")); }
  std::vector<Command> commands(std::uint64_t current_token = kToken) {
    return pending_commands(cluster_state, cluster_state.find_node("m-1"), {kToken, current_token});
  }
  Job& job(const std::string& uid) { return cluster_state.job(cluster_state.find(uid)); }

  ClusterState cluster_state;
  std::uint64_t serial = 0;
  double steady_s = 100;
};

}  // namespace thistlefront
