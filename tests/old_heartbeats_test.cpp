// An old heartbeat reaches a leader just after its takeover, when it has heard nothing else and remembers no serial. Explores every
// history of one node up to a length (starts, commands, ends, heartbeats, acknowledged exits, a cancellation, leases that expire),
// then a new leader that has read the ledger and first hears every copy of an earlier heartbeat, of the same incarnation or an earlier
// one; then its commands, and then the node's own heartbeat. What the leader concludes must be true of the node.
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

constexpr std::uint64_t kOld = 10, kNew = 20;  // fencing tokens of the two leaders
constexpr std::uint32_t kTasks = 2;

struct World {
  std::vector<Record> ledger;
  std::vector<Heartbeat> heard;  // by the old leader, in order, each with the number of records in the ledger then
  std::vector<std::size_t> ledger_then;
  std::map<std::pair<std::uint32_t, std::uint64_t>, bool> tasks;  // task, attempt: ended
  std::set<std::pair<std::uint32_t, std::uint64_t>> started, acknowledged;
  std::set<std::uint32_t> finished;
  std::uint64_t agent_incarnation = 1, serial = 0, fencing_token = kOld;
  bool cancelled = false;
  std::string wrong;

  Heartbeat heartbeat() {
    Heartbeat out = heartbeat_of_node("m-1", agent_incarnation, ++serial, fencing_token);
    for (const auto& [key, ended] : tasks) out.tasks.push_back(running_or_completed("j-1", key.first, key.second, ended));
    return out;
  }
  void execute(const std::vector<Command>& commands, std::uint64_t command_token, std::uint64_t command_incarnation) {
    if (command_token < fencing_token || command_incarnation != agent_incarnation) return;
    fencing_token = command_token;
    for (const auto& command : commands) {
      const std::pair key{command.id.task, command.attempt};
      if (command.type == CommandType::run && !tasks.contains(key)) {
        if (!started.insert(key).second) wrong = "ran_again";
        for (const auto& [other, ended] : tasks)
          if (other.first == key.first && !ended) wrong = "ran_twice";
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

ClusterState fresh() {
  ClusterState cluster_state = cluster_state_with_core_limit(8);
  cluster_state.apply(big_machine_type());
  cluster_state.apply(JobAcceptedRecord{submission("j-1", kTasks, 1), 0.5, 1});
  return cluster_state;
}
ClusterState read(const World& w, std::size_t records) {
  ClusterState cluster_state = fresh();
  for (std::size_t i = 0; i < records; ++i) cluster_state.apply(w.ledger[i]);
  return cluster_state;
}
// The old leader as it is now: it applied what it heard and the ledger in their order.
ClusterState old_leader(const World& w) {
  ClusterState cluster_state = fresh();
  std::size_t applied = 0;
  for (std::size_t k = 0; k < w.heard.size(); ++k) {
    for (; applied < w.ledger_then[k]; ++applied) cluster_state.apply(w.ledger[applied]);
    apply_heartbeat(cluster_state, w.heard[k], {1, 1}, true, kOld);
  }
  for (; applied < w.ledger.size(); ++applied) cluster_state.apply(w.ledger[applied]);
  return cluster_state;
}
// What a leader concludes from a heartbeat gets into the ledger, and must be true.
void conclude(World& w, ClusterState& cluster_state, const Heartbeat& heartbeat, std::uint64_t takeover_token, bool is_heartbeat) {
  for (auto& r : apply_heartbeat(cluster_state, heartbeat, {1, 1}, is_heartbeat, takeover_token).records) {
    if (const auto* done = std::get_if<TasksCompletedRecord>(&r))
      for (const auto& range : done->tasks)
        for (auto t = range.first; t < range.end; ++t)
          if (!w.finished.contains(t)) w.wrong = "not_done";
    if (const auto* off = std::get_if<TasksRemovedRecord>(&r))
      for (const auto& range : off->tasks)
        for (auto t = range.first; t < range.end; ++t)
          if (const auto it = w.tasks.find({t, off->attempt}); it != w.tasks.end() && !it->second) w.wrong = "given up while it runs";
    cluster_state.apply(r);
    w.ledger.push_back(std::move(r));
  }
}

class OldHeartbeats : public testing::Test {
 protected:
  void explore(const World& w, std::size_t left, const std::string& path) {
    new_leader(w, path);
    if (left == 0 || !found.empty()) return;
    for (std::uint32_t t = 0; t < kTasks; ++t) {
      const ClusterState cluster_state = old_leader(w);
      const Job& job = cluster_state.job(cluster_state.find("j-1"));
      if (!job.ended() && job.tasks[t] == TaskState::pending && !w.heard.empty()) {
        World next = w;
        next.ledger.emplace_back(
            TasksStartedRecord{"j-1", job.attempts + 1, 1, {{"m-1", next.heard.back().agent_incarnation, {{t, t + 1}}}}});
        explore(next, left - 1, path + "start " + std::to_string(t) + "; ");
      }
      for (const auto& [key, ended] : w.tasks) {
        if (key.first != t || ended) continue;
        World next = w;
        next.tasks[key] = true;
        next.finished.insert(t);
        explore(next, left - 1, path + "end " + std::to_string(t) + "; ");
      }
    }
    if (!w.cancelled) {
      World next = w;
      next.cancelled = true;
      next.ledger.emplace_back(JobCancelledRecord{"j-1"});
      explore(next, left - 1, path + "cancel; ");
    }
    World after_heartbeat = w;
    ClusterState cluster_state = old_leader(after_heartbeat);
    const Heartbeat message = after_heartbeat.heartbeat();
    after_heartbeat.heard.push_back(message);
    after_heartbeat.ledger_then.push_back(after_heartbeat.ledger.size());
    conclude(after_heartbeat, cluster_state, message, kOld, true);
    // The answer to it.
    const auto commands = pending_commands(cluster_state, cluster_state.find_node("m-1"), kOld);
    after_heartbeat.execute(commands, kOld, message.agent_incarnation);
    explore(after_heartbeat, left - 1, path + "heartbeat; ");
    World expired = w;
    expired.tasks.clear();
    ++expired.agent_incarnation;
    explore(expired, left - 1, path + "lease expires; ");
  }
  // The new leader first hears every copy of what the old one heard, alone and two of them in either order.
  void new_leader(const World& w, const std::string& path) {
    for (std::size_t a = 0; a < w.heard.size() && found.empty(); ++a) {
      for (std::size_t b = 0; b <= w.heard.size() && found.empty(); ++b) {
        World now = w;
        ClusterState cluster_state = read(now, now.ledger.size());
        const auto hear = [&](const Heartbeat& message) {
          conclude(now, cluster_state, message, kNew, true);
          const NodeIndex node_index = cluster_state.find_node("m-1");
          now.execute(pending_commands(cluster_state, node_index, kNew), kNew, cluster_state.node(node_index).agent.incarnation);
        };
        hear(w.heard[a]);
        if (b < w.heard.size()) hear(w.heard[b]);
        for (int k = 0; k < 2; ++k) hear(now.heartbeat());
        // An exit that is not in the ledger must not have been acknowledged.
        const Job& job = cluster_state.job(cluster_state.find("j-1"));
        for (const auto& key : now.acknowledged)
          if (now.finished.contains(key.first) && !job.ended() && job.tasks[key.first] == TaskState::pending) now.wrong = "an end is lost";
        ++worlds;
        if (!now.wrong.empty())
          found = path + "copy " + std::to_string(a) + (b < w.heard.size() ? ", copy " + std::to_string(b) : "") + ": " + now.wrong;
      }
    }
  }
  std::string found;
  std::size_t worlds = 0;
};

TEST_F(OldHeartbeats, WhatANewLeaderConcludesFromACopyIsTrue) {
  explore(World(), 8, "");
  EXPECT_EQ(found, "");
  std::cout << worlds << " worlds\n";
  EXPECT_GT(worlds, 20000u);
}

}  // namespace
}  // namespace thistlefront
