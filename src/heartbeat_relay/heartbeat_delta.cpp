#include "heartbeat_relay/heartbeat_delta.hpp"

#include <algorithm>
#include <tuple>

#include "model/task.hpp"

namespace thistlefront {

namespace {

auto key_of(const TaskId& id, const std::uint64_t& attempt) {
  return std::tie(id.uid, id.task, attempt);
}

bool same_attempt(const TaskReport& a, const TaskReport& b) {
  return a.attempt == b.attempt && a.id.task == b.id.task && a.id.uid == b.id.uid;
}
bool same_state(const TaskReport& a, const TaskReport& b) {
  return a.phase == b.phase && a.exit_reason == b.exit_reason && a.checkpointed == b.checkpointed;
}
bool same_task(const TaskReport& a, const TaskReport& b) {
  return same_attempt(a, b) && same_state(a, b);
}

// Everything that a difference does not carry.
bool same_machine(const Heartbeat& a, const Heartbeat& b) {
  return a.address == b.address && a.machine_type == b.machine_type && a.zone == b.zone && a.spot == b.spot;
}

std::vector<const TaskReport*> sorted(const std::vector<TaskReport>& tasks) {
  std::vector<const TaskReport*> out;
  out.reserve(tasks.size());
  for (const auto& task_report : tasks) out.push_back(&task_report);
  std::sort(out.begin(), out.end(), [](const auto* a, const auto* b) { return key_of(a->id, a->attempt) < key_of(b->id, b->attempt); });
  return out;
}

bool names_one_twice(const std::vector<const TaskReport*>& tasks) {
  return std::adjacent_find(tasks.begin(), tasks.end(), [](const auto* a, const auto* b) { return same_attempt(*a, *b); }) != tasks.end();
}

// Fills in what has changed between two lists of tasks; false where a difference can't tell.
bool note_difference(const Heartbeat& base, const Heartbeat& heartbeat, HeartbeatDelta& delta) {
  const auto before = sorted(base.tasks), after = sorted(heartbeat.tasks);
  if (names_one_twice(before) || names_one_twice(after)) return false;
  auto old = before.begin();
  const auto is_before = [](const TaskReport& a, const TaskReport& b) { return key_of(a.id, a.attempt) < key_of(b.id, b.attempt); };
  for (const auto* task_report : after) {
    for (; old != before.end() && is_before(**old, *task_report); ++old) delta.removed.push_back({(*old)->id, (*old)->attempt});
    const bool known = old != before.end() && same_attempt(**old, *task_report);
    if (!known || !same_state(**old, *task_report)) delta.tasks.push_back(*task_report);
    if (known) ++old;
  }
  for (; old != before.end(); ++old) delta.removed.push_back({(*old)->id, (*old)->attempt});
  return true;
}

HeartbeatDelta whole(const Heartbeat& heartbeat) {
  HeartbeatDelta delta;
  delta.kind = HeartbeatDelta::Kind::whole;
  delta.node = heartbeat.node;
  delta.agent_incarnation = heartbeat.agent_incarnation;
  delta.serial = heartbeat.serial;
  delta.fencing_token = heartbeat.fencing_token;
  delta.interruption_in_s = heartbeat.interruption_in_s;
  delta.address = heartbeat.address;
  delta.machine_type = heartbeat.machine_type;
  delta.zone = heartbeat.zone;
  delta.spot = heartbeat.spot;
  delta.tasks = heartbeat.tasks;
  return delta;
}

Heartbeat from_whole(const HeartbeatDelta& delta) {
  return {delta.node,   delta.address,       delta.machine_type,      delta.zone, delta.spot, delta.agent_incarnation,
          delta.serial, delta.fencing_token, delta.interruption_in_s, delta.tasks};
}

void apply_difference(const HeartbeatDelta& delta, std::vector<TaskReport>& tasks) {
  std::erase_if(tasks, [&](const TaskReport& p) {
    return std::any_of(delta.removed.begin(), delta.removed.end(),
                       [&](const AttemptKey& key) { return key_of(key.id, key.attempt) == key_of(p.id, p.attempt); });
  });
  for (const auto& changed : delta.tasks) {
    const auto known = std::find_if(tasks.begin(), tasks.end(), [&](const TaskReport& p) { return same_attempt(p, changed); });
    if (known != tasks.end())
      *known = changed;
    else
      tasks.push_back(changed);
  }
}

}  // namespace

HeartbeatDelta HeartbeatDeltaEncoder::encode(const Heartbeat& heartbeat) const {
  const auto it = acknowledged_.find(heartbeat.node);
  if (it == acknowledged_.end()) return whole(heartbeat);
  const Heartbeat& base = it->second;
  if (base.agent_incarnation != heartbeat.agent_incarnation || base.serial >= heartbeat.serial || !same_machine(base, heartbeat))
    return whole(heartbeat);
  HeartbeatDelta delta;
  delta.kind = HeartbeatDelta::Kind::unchanged;
  delta.node = heartbeat.node;
  delta.agent_incarnation = heartbeat.agent_incarnation;
  delta.serial = heartbeat.serial;
  delta.fencing_token = heartbeat.fencing_token;
  delta.interruption_in_s = heartbeat.interruption_in_s;
  delta.base_serial = base.serial;
  if (heartbeat.repeated_serial == base.serial) return delta;
  if (std::equal(base.tasks.begin(), base.tasks.end(), heartbeat.tasks.begin(), heartbeat.tasks.end(), same_task)) return delta;
  if (!note_difference(base, heartbeat, delta)) return whole(heartbeat);
  const bool changed = !delta.tasks.empty() || !delta.removed.empty();
  delta.kind = changed ? HeartbeatDelta::Kind::difference : HeartbeatDelta::Kind::unchanged;
  return packed_size(delta) < packed_size(whole(heartbeat)) ? delta : whole(heartbeat);
}

void HeartbeatDeltaEncoder::record_acknowledged(const Heartbeat& heartbeat) {
  Heartbeat& known = acknowledged_[heartbeat.node];
  if (std::tie(heartbeat.agent_incarnation, heartbeat.serial) < std::tie(known.agent_incarnation, known.serial)) return;
  // The tasks are those that stand here already.
  if (heartbeat.repeated_serial == known.serial && heartbeat.agent_incarnation == known.agent_incarnation) {
    known.serial = heartbeat.serial;
    return;
  }
  known = heartbeat;
}

void HeartbeatDeltaEncoder::forget(const std::string& node) {
  if (const auto it = acknowledged_.find(node); it != acknowledged_.end()) acknowledged_.erase(it);
}

const Heartbeat* HeartbeatDeltaDecoder::decode(const HeartbeatDelta& delta) {
  if (delta.kind == HeartbeatDelta::Kind::whole) return &(received_[delta.node] = from_whole(delta));
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
