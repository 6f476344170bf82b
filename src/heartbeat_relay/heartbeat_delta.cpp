#include "heartbeat_relay/heartbeat_delta.hpp"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

#include "model/task.hpp"

namespace thistlefront {

namespace {

// What identifies an attempt in a heartbeat, for ordering.
auto key_of(const TaskId& id, const std::uint64_t& attempt) {
  return std::tie(id.uid, id.task, attempt);
}

bool is_before(const TaskReport& a, const TaskReport& b) {
  return key_of(a.id, a.attempt) < key_of(b.id, b.attempt);
}

// The numbers first, as they differ more often than the names.
bool same_attempt(const TaskReport& a, const TaskReport& b) {
  return a.attempt == b.attempt && a.id.task == b.id.task && a.id.uid == b.id.uid;
}

bool same_state(const TaskReport& a, const TaskReport& b) {
  return a.phase == b.phase && a.exit_reason == b.exit_reason && a.checkpointed == b.checkpointed;
}

bool same_report(const TaskReport& a, const TaskReport& b) {
  return same_attempt(a, b) && same_state(a, b);
}

// Whether everything is equal that a difference does not carry.
bool same_description(const Heartbeat& a, const Heartbeat& b) {
  return a.address == b.address && a.machine_type == b.machine_type && a.zone == b.zone && a.spot == b.spot;
}

std::vector<const TaskReport*> sorted_by_key(const std::vector<TaskReport>& tasks) {
  std::vector<const TaskReport*> sorted;
  sorted.reserve(tasks.size());
  for (const TaskReport& task : tasks) sorted.push_back(&task);
  std::sort(sorted.begin(), sorted.end(), [](const TaskReport* a, const TaskReport* b) { return is_before(*a, *b); });
  return sorted;
}

bool has_repeated_attempt(const std::vector<const TaskReport*>& sorted) {
  const auto same = [](const TaskReport* a, const TaskReport* b) { return same_attempt(*a, *b); };
  return std::adjacent_find(sorted.begin(), sorted.end(), same) != sorted.end();
}

// Adds to the delta how the tasks of `heartbeat` differ from those of `base`. False where a difference cannot express that, because
// one of them lists an attempt twice.
bool add_difference(const Heartbeat& base, const Heartbeat& heartbeat, HeartbeatDelta& delta) {
  const auto before = sorted_by_key(base.tasks), after = sorted_by_key(heartbeat.tasks);
  if (has_repeated_attempt(before) || has_repeated_attempt(after)) return false;
  auto old = before.begin();
  for (const TaskReport* task : after) {
    for (; old != before.end() && is_before(**old, *task); ++old) delta.removed.push_back({(*old)->id, (*old)->attempt});
    const bool known = old != before.end() && same_attempt(**old, *task);
    if (!known || !same_state(**old, *task)) delta.tasks.push_back(*task);
    if (known) ++old;
  }
  for (; old != before.end(); ++old) delta.removed.push_back({(*old)->id, (*old)->attempt});
  return true;
}

// A delta with the fields that each kind carries.
HeartbeatDelta delta_of_kind(HeartbeatDelta::Kind kind, const Heartbeat& heartbeat) {
  HeartbeatDelta delta;
  delta.kind = kind;
  delta.node = heartbeat.node;
  delta.agent_incarnation = heartbeat.agent_incarnation;
  delta.serial = heartbeat.serial;
  delta.fencing_token = heartbeat.fencing_token;
  delta.interruption_in_s = heartbeat.interruption_in_s;
  return delta;
}

HeartbeatDelta whole_delta(const Heartbeat& heartbeat) {
  HeartbeatDelta delta = delta_of_kind(HeartbeatDelta::Kind::full, heartbeat);
  delta.address = heartbeat.address;
  delta.machine_type = heartbeat.machine_type;
  delta.zone = heartbeat.zone;
  delta.spot = heartbeat.spot;
  delta.tasks = heartbeat.tasks;
  return delta;
}

Heartbeat heartbeat_of_whole_delta(const HeartbeatDelta& delta) {
  return {delta.node,   delta.address,       delta.machine_type,      delta.zone, delta.spot, delta.agent_incarnation,
          delta.serial, delta.fencing_token, delta.interruption_in_s, delta.tasks};
}

bool can_be_base(const Heartbeat& base, const Heartbeat& heartbeat) {
  return base.agent_incarnation == heartbeat.agent_incarnation && base.serial < heartbeat.serial && same_description(base, heartbeat);
}

// The heartbeat as a difference to `base`; nullopt where that is not possible.
std::optional<HeartbeatDelta> delta_to_base(const Heartbeat& base, const Heartbeat& heartbeat) {
  if (!can_be_base(base, heartbeat)) return std::nullopt;
  HeartbeatDelta delta = delta_of_kind(HeartbeatDelta::Kind::unchanged, heartbeat);
  delta.base_serial = base.serial;
  if (heartbeat.repeated_serial == base.serial) return delta;
  if (std::equal(base.tasks.begin(), base.tasks.end(), heartbeat.tasks.begin(), heartbeat.tasks.end(), same_report)) return delta;
  if (!add_difference(base, heartbeat, delta)) return std::nullopt;
  // Without a difference, the same tasks are only listed in another order.
  const bool changed = !delta.tasks.empty() || !delta.removed.empty();
  if (changed) delta.kind = HeartbeatDelta::Kind::difference;
  return delta;
}

void apply_difference(const HeartbeatDelta& delta, std::vector<TaskReport>& tasks) {
  std::erase_if(tasks, [&](const TaskReport& task) {
    return std::any_of(delta.removed.begin(), delta.removed.end(),
                       [&](const AttemptKey& removed) { return key_of(removed.id, removed.attempt) == key_of(task.id, task.attempt); });
  });
  for (const TaskReport& changed : delta.tasks) {
    const auto known = std::find_if(tasks.begin(), tasks.end(), [&](const TaskReport& task) { return same_attempt(task, changed); });
    if (known != tasks.end())
      *known = changed;
    else
      tasks.push_back(changed);
  }
}

}  // namespace

HeartbeatDelta HeartbeatDeltaEncoder::encode(const Heartbeat& heartbeat) const {
  const auto it = acknowledged_.find(heartbeat.node);
  std::optional<HeartbeatDelta> delta;
  if (it != acknowledged_.end()) delta = delta_to_base(it->second, heartbeat);
  if (delta && delta->kind == HeartbeatDelta::Kind::unchanged) return *delta;  // it carries no tasks: always the smaller one
  HeartbeatDelta whole = whole_delta(heartbeat);
  return delta && packed_size(*delta) < packed_size(whole) ? *delta : whole;
}

void HeartbeatDeltaEncoder::record_acknowledged(const Heartbeat& heartbeat) {
  Heartbeat& known = acknowledged_[heartbeat.node];
  if (std::tie(heartbeat.agent_incarnation, heartbeat.serial) < std::tie(known.agent_incarnation, known.serial)) return;
  // It repeats the tasks that are known already.
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
  if (delta.kind == HeartbeatDelta::Kind::full) return &(received_[delta.node] = heartbeat_of_whole_delta(delta));
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
