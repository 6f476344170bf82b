// Builders of heartbeats, task reports, accepted jobs and machine types for tests that apply heartbeats.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "model/heartbeat.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "model/machine.hpp"
#include "model/task.hpp"

namespace thistlefront {

// A heartbeat of an agent on a node of machine type "big" at the address "a" in the zone "x".
inline Heartbeat heartbeat_of_node(const std::string& node, std::uint64_t agent_incarnation, std::uint64_t serial,
                                   std::uint64_t fencing_token, std::vector<TaskReport> tasks = {}) {
  return {node, "a", "big", "x", false, agent_incarnation, serial, fencing_token, std::nullopt, std::move(tasks)};
}

inline TaskReport task_report(const std::string& uid, std::uint32_t task, std::uint64_t attempt, TaskPhase phase,
                              ExitReason exit_reason = ExitReason::none) {
  return {{uid, task}, attempt, phase, exit_reason, false};
}

// A report of a task that is running or, if `completed`, has completed.
inline TaskReport running_or_completed(const std::string& uid, std::uint32_t task, std::uint64_t attempt, bool completed) {
  return completed ? task_report(uid, task, attempt, TaskPhase::exited, ExitReason::completed)
                   : task_report(uid, task, attempt, TaskPhase::running);
}

// The record of an accepted job of team "red" with tasks of one core each.
inline JobAcceptedRecord accepted_job(const std::string& uid, std::uint32_t tasks, JobType job_type = JobType::array) {
  JobAcceptedRecord record;
  record.job.uid = uid;
  record.job.owner = "red";
  record.job.job_class = "c";
  record.job.image = "i";
  record.job.job_type = job_type;
  record.job.task_count = tasks;
  record.job.demand = {1, 0, 1};
  return record;
}

// The record of machine types with "big" as the only one.
inline MachineTypesRecord big_machine_type(double cores = 8, double ram_gb = 32) {
  MachineType big;
  big.name = "big";
  big.capacity = {cores, 0, ram_gb};
  return {{big}};
}

}  // namespace thistlefront
