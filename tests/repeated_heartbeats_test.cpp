// A heartbeat that repeats the one before is applied without looking up its tasks again. Two cluster states go through the same
// history, and only one of them is told what repeats: they must stay equal.
#include <gtest/gtest.h>

#include <random>

#include "heartbeat_builders.hpp"
#include "model/heartbeat.hpp"
#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "model/task.hpp"
#include "worker_control/reconciliation.hpp"

namespace thistlefront {
namespace {

constexpr std::uint64_t kToken = 10;
constexpr std::uint32_t kTasks = 4;
const std::vector<std::string> kJobs = {"j-1", "j-2", "j-3"};

// One cluster state with the node m-1.
struct Side {
  Side() : cluster_state({{"red", {}, {}, {}}}) { apply(big_machine_type(64, 256)); }
  void apply(const Record& record) { cluster_state.apply(record); }
  std::vector<Record> take(const Heartbeat& heartbeat, double now, bool is_heartbeat) {
    auto outcome = apply_heartbeat(cluster_state, heartbeat, {now, now}, is_heartbeat, kToken);
    changed = outcome.changed;
    stale = outcome.stale;
    return std::move(outcome.records);
  }
  ClusterState cluster_state;
  bool changed = false, stale = false;
};

std::string state_of(ClusterState& cluster_state) {
  std::string out;
  const NodeIndex node_index = cluster_state.find_node("m-1");
  if (!node_index.valid()) return out;
  const Node& node = cluster_state.node(node_index);
  out += std::to_string(node.agent.incarnation) + "/" + std::to_string(node.agent.serial) + (node.lease_expired ? " lost" : "") + ":";
  for (const auto& reported : node.agent.tasks)
    out += " " + std::to_string(reported.ref.job.value) + "/" + std::to_string(reported.ref.task) + "." + std::to_string(reported.attempt) +
           "=" + std::to_string(static_cast<int>(reported.phase)) + reported.uid;
  for (const auto& uid : kJobs) {
    const JobIndex j = cluster_state.find(uid);
    if (!j.valid()) continue;
    out += "\n" + uid + " " + std::to_string(static_cast<int>(cluster_state.job(j).status));
    for (const auto& [task, p] : cluster_state.job(j).placed)
      out += " " + std::to_string(task) + "." + std::to_string(p.attempt) + "=" + std::to_string(static_cast<int>(p.phase)) +
             (p.reported ? "s" : "") + (p.removal_pending ? "c" : "") + (p.stopping ? "x" : "") + std::to_string(p.running_since);
  }
  for (const auto& command : pending_commands(cluster_state, node_index, kToken))
    out += "\n" + std::to_string(static_cast<int>(command.type)) + command.id.uid + "/" + std::to_string(command.id.task);
  return out;
}

class History {
 public:
  explicit History(unsigned seed) : random_(seed) {}

  void step() {
    ++now_;
    switch (random_() % 8) {
      case 0: accept(); break;
      case 1: start(); break;
      case 2: cancel(); break;
      case 3: change_agent(); break;
      case 4: send(false); break;
      default: send(true);
    }
  }
  Side plain, told;  // `told`: is told which heartbeats repeat
  std::size_t repeated = 0;

 private:
  const std::string& any_job() { return kJobs[random_() % kJobs.size()]; }
  void both(const Record& record) {
    plain.apply(record);
    told.apply(record);
  }
  void accept() { both(accepted_job(any_job(), kTasks, random_() % 2 ? JobType::array : JobType::service)); }
  void start() {
    const auto& uid = any_job();
    const std::uint32_t task = random_() % kTasks;
    both(TasksStartedRecord{uid, ++attempts_, now_, {{"m-1", agent_incarnation_, {{task, task + 1}}}}});
    // The agent may report it earlier, at once, or never.
    if (random_() % 3 != 0) on_node_.push_back(task_report(uid, task, attempts_, TaskPhase::pulling_image));
  }
  void cancel() {
    if (random_() % 4 == 0) both(JobCancelledRecord{any_job()});
  }
  void change_agent() {
    if (random_() % 12 == 0) {
      ++agent_incarnation_;
      on_node_.clear();
    }
    if (on_node_.empty()) return;
    auto& task_report = on_node_[random_() % on_node_.size()];
    if (task_report.phase == TaskPhase::exited) {
      task_report = on_node_.back();
      on_node_.pop_back();
    } else if (task_report.phase == TaskPhase::pulling_image) {
      task_report.phase = TaskPhase::running;
    } else {
      task_report.phase = TaskPhase::exited;
      task_report.exit_reason = random_() % 2 ? ExitReason::completed : ExitReason::failed;
    }
  }
  // A heartbeat of the agent, or its answer to a direct command.
  void send(bool is_heartbeat) {
    Heartbeat heartbeat = heartbeat_of_node("m-1", agent_incarnation_, ++serial_, kToken, on_node_);
    const bool repeats = is_heartbeat && last_text_ == text(heartbeat);
    const auto records = plain.take(heartbeat, now_, is_heartbeat);
    if (repeats) heartbeat.repeated_serial = last_serial_;
    if (is_heartbeat) {
      last_text_ = text(heartbeat);
      last_serial_ = heartbeat.serial;
    }
    const auto other = told.take(heartbeat, now_, is_heartbeat);
    repeated += repeats;
    ASSERT_EQ(records.size(), other.size());
    ASSERT_EQ(plain.changed, told.changed);
    ASSERT_EQ(plain.stale, told.stale);
    for (const auto& record : records) both(record);
  }
  static std::string text(const Heartbeat& heartbeat) {
    std::string out = std::to_string(heartbeat.agent_incarnation);
    for (const auto& p : heartbeat.tasks)
      out += " " + p.id.uid + "/" + std::to_string(p.id.task) + "." + std::to_string(p.attempt) +
             std::to_string(static_cast<int>(p.phase)) + std::to_string(static_cast<int>(p.exit_reason));
    return out;
  }

  std::mt19937 random_;
  double now_ = 100;
  std::uint64_t agent_incarnation_ = 1, serial_ = 0, attempts_ = 0, last_serial_ = 0;
  std::string last_text_;
  std::vector<TaskReport> on_node_;
};

TEST(RepeatedHeartbeats, LeaveTheClusterStateAsWholeHeartbeatsDo) {
  std::size_t repeated = 0;
  for (unsigned seed = 1; seed <= 300; ++seed) {
    History history(seed);
    for (int i = 0; i < 150; ++i) {
      history.step();
      if (HasFatalFailure()) FAIL() << "seed " << seed;
      ASSERT_EQ(state_of(history.plain.cluster_state), state_of(history.told.cluster_state)) << "seed " << seed << ", step " << i;
    }
    repeated += history.repeated;
  }
  EXPECT_GT(repeated, 5000u);
}

}  // namespace
}  // namespace thistlefront
