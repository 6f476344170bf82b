// A report that repeats the one before is taken without its tasks being looked up again. Two books hear the same history, one of
// them is never told what repeats: they must stay alike.
#include <gtest/gtest.h>

#include <random>

#include "model/heartbeat.hpp"
#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "model/machine.hpp"
#include "model/task.hpp"
#include "worker_control/reconciliation.hpp"

namespace thistlefront {
namespace {

constexpr std::uint64_t kToken = 10;
constexpr std::uint32_t kTasks = 4;
const std::vector<std::string> kJobs = {"j-1", "j-2", "j-3"};

JobAcceptedRecord accepted(const std::string& uid, JobType job_type) {
  JobAcceptedRecord record;
  record.job.uid = uid;
  record.job.owner = "red";
  record.job.job_class = "c";
  record.job.image = "i";
  record.job.job_type = job_type;
  record.job.task_count = kTasks;
  record.job.demand = {1, 0, 1};
  return record;
}

// One book with the machine m-1.
struct Side {
  Side() : cluster_state({{"red", {}, {}, {}}}) {
    MachineType machine_type;
    machine_type.name = "big";
    machine_type.capacity = {64, 0, 256};
    apply(MachineTypesRecord{{machine_type}});
  }
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
  const NodeIndex h = cluster_state.find_node("m-1");
  if (!h.valid()) return out;
  const Node& node = cluster_state.node(h);
  out += std::to_string(node.agent.incarnation) + "/" + std::to_string(node.agent.serial) + (node.lease_expired ? " lost" : "") + ":";
  for (const auto& seen : node.agent.tasks)
    out += " " + std::to_string(seen.ref.job.value) + "/" + std::to_string(seen.ref.task) + "." + std::to_string(seen.attempt) + "=" +
           std::to_string(static_cast<int>(seen.phase)) + seen.uid;
  for (const auto& uid : kJobs) {
    const JobIndex j = cluster_state.find(uid);
    if (!j.valid()) continue;
    out += "\n" + uid + " " + std::to_string(static_cast<int>(cluster_state.job(j).status));
    for (const auto& [task, p] : cluster_state.job(j).placed)
      out += " " + std::to_string(task) + "." + std::to_string(p.attempt) + "=" + std::to_string(static_cast<int>(p.phase)) +
             (p.reported ? "s" : "") + (p.end_pending ? "c" : "") + (p.stopping ? "x" : "") + std::to_string(p.running_since);
  }
  for (const auto& command : pending_commands(cluster_state, h, kToken))
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
      case 3: change_worker(); break;
      case 4: tell(false); break;
      default: tell(true);
    }
  }
  Side plain, told;
  std::size_t repeated = 0;

 private:
  const std::string& any_job() { return kJobs[random_() % kJobs.size()]; }
  void both(const Record& record) {
    plain.apply(record);
    told.apply(record);
  }
  void accept() { both(accepted(any_job(), random_() % 2 ? JobType::array : JobType::service)); }
  void start() {
    const auto& uid = any_job();
    const std::uint32_t task = random_() % kTasks;
    both(TasksStartedRecord{uid, ++attempts_, now_, {{"m-1", agent_incarnation_, {{task, task + 1}}}}});
    // It may show there before, at once, or never.
    if (random_() % 3 != 0) on_machine_.push_back({{uid, task}, attempts_, TaskPhase::pulling_image, ExitReason::none, false});
  }
  void cancel() {
    if (random_() % 4 == 0) both(JobCancelledRecord{any_job()});
  }
  void change_worker() {
    if (random_() % 12 == 0) {
      ++agent_incarnation_;
      on_machine_.clear();
    }
    if (on_machine_.empty()) return;
    auto& task_report = on_machine_[random_() % on_machine_.size()];
    if (task_report.phase == TaskPhase::exited) {
      task_report = on_machine_.back();
      on_machine_.pop_back();
    } else if (task_report.phase == TaskPhase::pulling_image) {
      task_report.phase = TaskPhase::running;
    } else {
      task_report.phase = TaskPhase::exited;
      task_report.exit_reason = random_() % 2 ? ExitReason::completed : ExitReason::failed;
    }
  }
  // A report of the worker, or its answer to a direct command.
  void tell(bool is_heartbeat) {
    Heartbeat heartbeat{"m-1", "127.0.0.1:1", "big", "x", false, agent_incarnation_, ++serial_, kToken, std::nullopt, on_machine_};
    const bool same = is_heartbeat && says_ == text(heartbeat);
    const auto records = plain.take(heartbeat, now_, is_heartbeat);
    if (same) heartbeat.repeated_serial = said_serial_;
    if (is_heartbeat) {
      says_ = text(heartbeat);
      said_serial_ = heartbeat.serial;
    }
    const auto other = told.take(heartbeat, now_, is_heartbeat);
    repeated += same;
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
  std::uint64_t agent_incarnation_ = 1, serial_ = 0, attempts_ = 0, said_serial_ = 0;
  std::string says_;
  std::vector<TaskReport> on_machine_;
};

TEST(RepeatedReports, LeaveTheBookAsWholeReportsDo) {
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
