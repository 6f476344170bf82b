#include "heartbeat_relay/heartbeat_delta.hpp"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

#include "model/task.hpp"

namespace thistlefront {

namespace {

// Sort key that identifies an attempt in a heartbeat.
auto attempt_key(const TaskId& id, const std::uint64_t& attempt) {
  return std::tie(id.uid, id.task, attempt);
}

bool precedes(const TaskReport& a, const TaskReport& b) {
  return attempt_key(a.id, a.attempt) < attempt_key(b.id, b.attempt);
}

// Compares the numbers first, because they differ more often than the names.
bool is_same_attempt(const TaskReport& a, const TaskReport& b) {
  return a.attempt == b.attempt && a.id.task == b.id.task && a.id.uid == b.id.uid;
}

bool has_same_state(const TaskReport& a, const TaskReport& b) {
  return a.phase == b.phase && a.exit_reason == b.exit_reason && a.checkpointed == b.checkpointed;
}

bool is_same_report(const TaskReport& a, const TaskReport& b) {
  return is_same_attempt(a, b) && has_same_state(a, b);
}

// Whether all fields that a difference does not contain are equal.
bool has_same_description(const Heartbeat& a, const Heartbeat& b) {
  return a.address == b.address && a.machine_type == b.machine_type && a.zone == b.zone && a.spot == b.spot;
}

std::vector<const TaskReport*> sorted_by_key(const std::vector<TaskReport>& tasks) {
  std::vector<const TaskReport*> sorted;
  sorted.reserve(tasks.size());
  for (const TaskReport& task : tasks) sorted.push_back(&task);
  std::sort(sorted.begin(), sorted.end(), [](const TaskReport* a, const TaskReport* b) { return precedes(*a, *b); });
  return sorted;
}

bool has_repeated_attempt(const std::vector<const TaskReport*>& sorted) {
  const auto same = [](const TaskReport* a, const TaskReport* b) { return is_same_attempt(*a, *b); };
  return std::adjacent_find(sorted.begin(), sorted.end(), same) != sorted.end();
}

// Adds the differences between the tasks of `base` and those of `heartbeat` to the delta. False if one of the two lists an attempt
// twice, which a difference cannot express.
bool add_task_differences(const Heartbeat& base, const Heartbeat& heartbeat, HeartbeatDelta& delta) {
  const auto base_tasks = sorted_by_key(base.tasks), tasks = sorted_by_key(heartbeat.tasks);
  if (has_repeated_attempt(base_tasks) || has_repeated_attempt(tasks)) return false;
  auto base_task = base_tasks.begin();
  for (const TaskReport* task : tasks) {
    for (; base_task != base_tasks.end() && precedes(**base_task, *task); ++base_task)
      delta.removed.push_back({(*base_task)->id, (*base_task)->attempt});
    const bool in_base = base_task != base_tasks.end() && is_same_attempt(**base_task, *task);
    if (!in_base || !has_same_state(**base_task, *task)) delta.tasks.push_back(*task);
    if (in_base) ++base_task;
  }
  for (; base_task != base_tasks.end(); ++base_task) delta.removed.push_back({(*base_task)->id, (*base_task)->attempt});
  return true;
}

// Makes a delta with the fields that all kinds contain.
HeartbeatDelta make_delta(HeartbeatDelta::Kind kind, const Heartbeat& heartbeat) {
  HeartbeatDelta delta;
  delta.kind = kind;
  delta.node = heartbeat.node;
  delta.agent_incarnation = heartbeat.agent_incarnation;
  delta.serial = heartbeat.serial;
  delta.fencing_token = heartbeat.fencing_token;
  delta.interruption_in_s = heartbeat.interruption_in_s;
  return delta;
}

HeartbeatDelta make_full_delta(const Heartbeat& heartbeat) {
  HeartbeatDelta delta = make_delta(HeartbeatDelta::Kind::full, heartbeat);
  delta.address = heartbeat.address;
  delta.machine_type = heartbeat.machine_type;
  delta.zone = heartbeat.zone;
  delta.spot = heartbeat.spot;
  delta.tasks = heartbeat.tasks;
  return delta;
}

Heartbeat heartbeat_from_full_delta(const HeartbeatDelta& delta) {
  return {delta.node,   delta.address,       delta.machine_type,      delta.zone, delta.spot, delta.agent_incarnation,
          delta.serial, delta.fencing_token, delta.interruption_in_s, delta.tasks};
}

bool can_be_base(const Heartbeat& base, const Heartbeat& heartbeat) {
  return base.agent_incarnation == heartbeat.agent_incarnation && base.serial < heartbeat.serial && has_same_description(base, heartbeat);
}

// Returns the heartbeat as a difference from `base`, or nullopt if that is not possible.
std::optional<HeartbeatDelta> delta_from_base(const Heartbeat& base, const Heartbeat& heartbeat) {
  if (!can_be_base(base, heartbeat)) return std::nullopt;
  HeartbeatDelta delta = make_delta(HeartbeatDelta::Kind::unchanged, heartbeat);
  delta.base_serial = base.serial;
  if (heartbeat.repeated_serial == base.serial) return delta;
  if (std::equal(base.tasks.begin(), base.tasks.end(), heartbeat.tasks.begin(), heartbeat.tasks.end(), is_same_report)) return delta;
  if (!add_task_differences(base, heartbeat, delta)) return std::nullopt;
  // Equal tasks in a different order are not a change.
  const bool changed = !delta.tasks.empty() || !delta.removed.empty();
  if (changed) delta.kind = HeartbeatDelta::Kind::difference;
  return delta;
}

void apply_difference(const HeartbeatDelta& delta, std::vector<TaskReport>& tasks) {
  std::erase_if(tasks, [&](const TaskReport& task) {
    return std::any_of(delta.removed.begin(), delta.removed.end(), [&](const AttemptKey& removed) {
      return attempt_key(removed.id, removed.attempt) == attempt_key(task.id, task.attempt);
    });
  });
  for (const TaskReport& changed : delta.tasks) {
    const auto existing = std::find_if(tasks.begin(), tasks.end(), [&](const TaskReport& task) { return is_same_attempt(task, changed); });
    if (existing != tasks.end())
      *existing = changed;
    else
      tasks.push_back(changed);
  }
}

}  // namespace

HeartbeatDelta HeartbeatDeltaEncoder::encode(const Heartbeat& heartbeat) const {
  const auto it = acknowledged_.find(heartbeat.node);
  std::optional<HeartbeatDelta> delta;
  if (it != acknowledged_.end()) delta = delta_from_base(it->second, heartbeat);
  if (delta && delta->kind == HeartbeatDelta::Kind::unchanged) return *delta;  // contains no tasks, so it is never larger
  HeartbeatDelta full_delta = make_full_delta(heartbeat);
  return delta && packed_size(*delta) < packed_size(full_delta) ? *delta : full_delta;
}

void HeartbeatDeltaEncoder::record_acknowledged(const Heartbeat& heartbeat) {
  Heartbeat& known = acknowledged_[heartbeat.node];
  if (std::tie(heartbeat.agent_incarnation, heartbeat.serial) < std::tie(known.agent_incarnation, known.serial)) return;
  // The heartbeat has the same tasks as the known one.
  if (heartbeat.repeated_serial == known.serial && heartbeat.agent_incarnation == known.agent_incarnation) {
    known.serial = heartbeat.serial;
    return;
  }
  known = heartbeat;
}

void HeartbeatDeltaEncoder::forget_node(const std::string& node) {
  if (const auto it = acknowledged_.find(node); it != acknowledged_.end()) acknowledged_.erase(it);
}

const Heartbeat* HeartbeatDeltaDecoder::decode(const HeartbeatDelta& delta) {
  if (delta.kind == HeartbeatDelta::Kind::full) return &(received_[delta.node] = heartbeat_from_full_delta(delta));
  const auto it = received_.find(delta.node);
  if (it == received_.end()) return nullptr;
  Heartbeat& heartbeat = it->second;
  if (heartbeat.agent_incarnation != delta.agent_incarnation || heartbeat.serial != delta.base_serial) return nullptr;
  heartbeat.repeated_serial.reset();
  if (delta.kind == HeartbeatDelta::Kind::unchanged)
    heartbeat.repeated_serial = heartbeat.serial;
  else
    apply_difference(delta, heartbeat.tasks);
  heartbeat.serial = delta.serial;
  heartbeat.fencing_token = delta.fencing_token;
  heartbeat.interruption_in_s = delta.interruption_in_s;
  return &heartbeat;
}

}  // namespace thistlefront
