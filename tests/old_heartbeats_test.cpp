// An old report reaches a leader just as it begins: it has heard nothing else, and remembers no serial. Every history of one machine up to
// a length (starts, commands, ends, reports, reaps, a cancellation, leases that lapse), a new leader after it that reads the ledger, and
// every copy of an earlier report, of the same session or an earlier one, heard first; then its commands, and then the machine's own
// report. What it concludes must be true of the machine.
#include <gtest/gtest.h>

#include "job_builders.hpp"
#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "model/identifiers.hpp"
#include "model/ledger_records.hpp"
#include "model/machine.hpp"
#include "model/task.hpp"
#include "worker_control/reconciliation.hpp"

namespace thistlefront {
namespace {

constexpr std::uint64_t kOld = 10, kNew = 20;  // epochs
constexpr std::uint32_t kTasks = 2;

struct World {
  std::vector<Record> ledger;
  std::vector<Heartbeat> heard;  // by the old leader, in order, each with the number of records in the ledger then
  std::vector<std::size_t> ledger_then;
  std::map<std::pair<std::uint32_t, std::uint64_t>, bool> tasks;  // task, attempt: ended
  std::set<std::pair<std::uint32_t, std::uint64_t>> ever, reaped;
  std::set<std::uint32_t> finished;
  std::uint64_t agent_incarnation = 1, serial = 0, fencing_token = kOld;
  bool cancelled = false;
  std::string wrong;

  Heartbeat heartbeat() {
    Heartbeat r{"m-1", "a", "big", "x", false, agent_incarnation, ++serial, fencing_token, std::nullopt, {}};
    for (const auto& [key, ended] : tasks)
      r.tasks.push_back({{"j-1", key.first},
                         key.second,
                         ended ? TaskPhase::exited : TaskPhase::running,
                         ended ? ExitReason::completed : ExitReason::none,
                         false});
    return r;
  }
  void execute(const std::vector<Command>& commands, std::uint64_t as_token, std::uint64_t of_tenure) {
    if (as_token < fencing_token || of_tenure != agent_incarnation) return;
    fencing_token = as_token;
    for (const auto& o : commands) {
      const std::pair key{o.id.task, o.attempt};
      if (o.type == CommandType::run && !tasks.contains(key)) {
        if (!ever.insert(key).second) wrong = "ran_again";
        for (const auto& [other, ended] : tasks)
          if (other.first == key.first && !ended) wrong = "ran_twice";
        tasks[key] = false;
      } else if (o.type == CommandType::kill && tasks.contains(key)) {
        tasks.erase(key);
      } else if (o.type == CommandType::acknowledge_exit && tasks.contains(key) && tasks[key]) {
        tasks.erase(key);
        reaped.insert(key);
      }
    }
  }
};

ClusterState fresh() {
  ClusterState cluster_state = book_of_red(8);
  MachineType f;
  f.name = "big";
  f.capacity = {8, 0, 32};
  cluster_state.apply(MachineTypesRecord{{f}});
  cluster_state.apply(JobAcceptedRecord{submission("j-1", kTasks, 1), 0.5, 1});
  return cluster_state;
}
ClusterState read(const World& w, std::size_t records) {
  ClusterState cluster_state = fresh();
  for (std::size_t i = 0; i < records; ++i) cluster_state.apply(w.ledger[i]);
  return cluster_state;
}
// The old leader, as it is now: what it heard, and the ledger, in their order.
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
// What a leader makes of a report is in the ledger, and must be true.
void conclude(World& w, ClusterState& cluster_state, const Heartbeat& heartbeat, std::uint64_t fence, bool is_heartbeat) {
  for (auto& r : apply_heartbeat(cluster_state, heartbeat, {1, 1}, is_heartbeat, fence).records) {
    if (const auto* done = std::get_if<TasksCompletedRecord>(&r))
      for (const auto& range : done->tasks)
        for (auto t = range.first; t < range.last; ++t)
          if (!w.finished.contains(t)) w.wrong = "not_done";
    if (const auto* off = std::get_if<TasksRemovedRecord>(&r))
      for (const auto& range : off->tasks)
        for (auto t = range.first; t < range.last; ++t)
          if (const auto it = w.tasks.find({t, off->attempt}); it != w.tasks.end() && !it->second) w.wrong = "given up while it runs";
    cluster_state.apply(r);
    w.ledger.push_back(std::move(r));
  }
}

class OldReports : public testing::Test {
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
    World heartbeat = w;
    ClusterState cluster_state = old_leader(heartbeat);
    const Heartbeat r = heartbeat.heartbeat();
    heartbeat.heard.push_back(r);
    heartbeat.ledger_then.push_back(heartbeat.ledger.size());
    conclude(heartbeat, cluster_state, r, kOld, true);
    // The answer to it.
    heartbeat.execute(pending_commands(cluster_state, cluster_state.find_node("m-1"), kOld), kOld, r.agent_incarnation);
    explore(heartbeat, left - 1, path + "report; ");
    World lapsed = w;
    lapsed.tasks.clear();
    ++lapsed.agent_incarnation;
    explore(lapsed, left - 1, path + "lease over; ");
  }
  // Every copy of what the old leader heard, first; and two of them, in either order.
  void new_leader(const World& w, const std::string& path) {
    for (std::size_t a = 0; a < w.heard.size() && found.empty(); ++a) {
      for (std::size_t b = 0; b <= w.heard.size() && found.empty(); ++b) {
        World now = w;
        ClusterState cluster_state = read(now, now.ledger.size());
        const auto hear = [&](const Heartbeat& r) {
          conclude(now, cluster_state, r, kNew, true);
          const NodeIndex h = cluster_state.find_node("m-1");
          now.execute(pending_commands(cluster_state, h, kNew), kNew, cluster_state.node(h).agent.incarnation);
        };
        hear(w.heard[a]);
        if (b < w.heard.size()) hear(w.heard[b]);
        for (int k = 0; k < 2; ++k) hear(now.heartbeat());
        // What it did and nobody wrote down is still there, unless its lease lapsed.
        const Job& job = cluster_state.job(cluster_state.find("j-1"));
        for (const auto& key : now.reaped)
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

TEST_F(OldReports, WhatANewLeaderConcludesFromACopyIsTrue) {
  explore(World(), 8, "");
  EXPECT_EQ(found, "");
  std::cout << worlds << " worlds\n";
  EXPECT_GT(worlds, 20000u);
}

}  // namespace
}  // namespace thistlefront
