// A heartbeat that repeats the previous one is applied without looking up its tasks again. Two cluster states go through the same random
// history, and only one of them receives `repeated_serial`: they must stay equal.
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

// A cluster state with the node m-1 and the outcome of its latest message.
struct HeartbeatReceiver {
  HeartbeatReceiver() : cluster_state({{"red", {}, {}, {}}}) { apply(big_machine_type(64, 256)); }
  void apply(const Record& record) { cluster_state.apply(record); }
  std::vector<Record> apply_message(const Heartbeat& heartbeat, double now, bool is_heartbeat) {
    auto outcome = apply_heartbeat(cluster_state, heartbeat, {now, now}, is_heartbeat, kToken);
    needs_scheduling_pass = outcome.needs_scheduling_pass;
    stale = outcome.stale;
    return std::move(outcome.records);
  }
  ClusterState cluster_state;
  bool needs_scheduling_pass = false, stale = false;
};

std::string state_text(ClusterState& cluster_state) {
  std::string out;
  const NodeIndex node_index = cluster_state.find_node("m-1");
  if (!node_index.valid()) return out;
  const Node& node = cluster_state.node(node_index);
  out += std::to_string(node.agent.incarnation) + "/" + std::to_string(node.agent.serial) + (node.lease_expired ? " lost" : "") + ":";
  for (const auto& reported : node.agent.tasks)
    out += " " + std::to_string(reported.ref.job.value) + "/" + std::to_string(reported.ref.task) + "." + std::to_string(reported.attempt) +
           "=" + std::to_string(static_cast<int>(reported.phase)) + reported.uid;
  for (const auto& uid : kJobs) {
    const JobIndex job_index = cluster_state.find(uid);
    if (!job_index.valid()) continue;
    out += "\n" + uid + " " + std::to_string(static_cast<int>(cluster_state.job(job_index).status));
    for (const auto& [task, placement] : cluster_state.job(job_index).placed)
      out += " " + std::to_string(task) + "." + std::to_string(placement.attempt) + "=" +
             std::to_string(static_cast<int>(placement.phase)) + (placement.reported ? "s" : "") + (placement.removal_pending ? "c" : "") +
             (placement.stopping ? "x" : "") + std::to_string(placement.running_since);
  }
  for (const auto& command : pending_commands(cluster_state, node_index, {kToken, kToken}))
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
      case 4: send_message(false); break;
      default: send_message(true);
    }
  }
  HeartbeatReceiver without_hint, with_hint;  // `with_hint` receives `repeated_serial`
  std::size_t repeated_heartbeats = 0;

 private:
  const std::string& random_job() { return kJobs[random_() % kJobs.size()]; }
  void apply_to_both(const Record& record) {
    without_hint.apply(record);
    with_hint.apply(record);
  }
  void accept() { apply_to_both(accepted_job(random_job(), kTasks, random_() % 2 ? JobType::array : JobType::service)); }
  void start() {
    const auto& uid = random_job();
    const std::uint32_t task = random_() % kTasks;
    apply_to_both(TasksStartedRecord{uid, ++attempts_, now_, {{"m-1", agent_incarnation_, {{task, task + 1}}}}});
    // The agent reports the task from now on, or never.
    if (random_() % 3 != 0) agent_tasks_.push_back(task_report(uid, task, attempts_, TaskPhase::pulling_image));
  }
  void cancel() {
    if (random_() % 4 == 0) apply_to_both(JobCancelledRecord{random_job()});
  }
  void change_agent() {
    if (random_() % 12 == 0) {
      ++agent_incarnation_;
      agent_tasks_.clear();
    }
    if (agent_tasks_.empty()) return;
    auto& task_report = agent_tasks_[random_() % agent_tasks_.size()];
    if (task_report.phase == TaskPhase::exited) {
      task_report = agent_tasks_.back();
      agent_tasks_.pop_back();
    } else if (task_report.phase == TaskPhase::pulling_image) {
      task_report.phase = TaskPhase::running;
    } else {
      task_report.phase = TaskPhase::exited;
      task_report.exit_reason = random_() % 2 ? ExitReason::completed : ExitReason::failed;
    }
  }
  // Sends a heartbeat of the agent, or its reply to a direct command.
  void send_message(bool is_heartbeat) {
    Heartbeat heartbeat = heartbeat_of_node("m-1", agent_incarnation_, ++serial_, kToken, agent_tasks_);
    const bool repeats = is_heartbeat && last_tasks_text_ == tasks_text(heartbeat);
    const auto records = without_hint.apply_message(heartbeat, now_, is_heartbeat);
    if (repeats) heartbeat.repeated_serial = last_serial_;
    if (is_heartbeat) {
      last_tasks_text_ = tasks_text(heartbeat);
      last_serial_ = heartbeat.serial;
    }
    const auto records_with_hint = with_hint.apply_message(heartbeat, now_, is_heartbeat);
    repeated_heartbeats += repeats;
    ASSERT_EQ(records.size(), records_with_hint.size());
    ASSERT_EQ(without_hint.needs_scheduling_pass, with_hint.needs_scheduling_pass);
    ASSERT_EQ(without_hint.stale, with_hint.stale);
    for (const auto& record : records) apply_to_both(record);
  }
  static std::string tasks_text(const Heartbeat& heartbeat) {
    std::string out = std::to_string(heartbeat.agent_incarnation);
    for (const auto& task : heartbeat.tasks)
      out += " " + task.id.uid + "/" + std::to_string(task.id.task) + "." + std::to_string(task.attempt) +
             std::to_string(static_cast<int>(task.phase)) + std::to_string(static_cast<int>(task.exit_reason));
    return out;
  }

  std::mt19937 random_;
  double now_ = 100;
  std::uint64_t agent_incarnation_ = 1, serial_ = 0, attempts_ = 0, last_serial_ = 0;
  std::string last_tasks_text_;
  std::vector<TaskReport> agent_tasks_;
};

TEST(RepeatedHeartbeats, LeaveTheSameClusterStateAsFullyAppliedHeartbeats) {
  std::size_t repeated_heartbeats = 0;
  for (unsigned seed = 1; seed <= 300; ++seed) {
    History history(seed);
    for (int i = 0; i < 150; ++i) {
      history.step();
      if (HasFatalFailure()) FAIL() << "seed " << seed;
      ASSERT_EQ(state_text(history.without_hint.cluster_state), state_text(history.with_hint.cluster_state))
          << "seed " << seed << ", step " << i;
    }
    repeated_heartbeats += history.repeated_heartbeats;
  }
  EXPECT_GT(repeated_heartbeats, 5000u);
}

}  // namespace
}  // namespace thistlefront
