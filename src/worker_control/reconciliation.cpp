#include "worker_control/reconciliation.hpp"

#include <algorithm>
#include <tuple>

#include "model/clock_drift.hpp"
#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "model/task.hpp"

namespace thistlefront {

namespace {

constexpr double kExpiryMargin = 0.3;
constexpr double kFullPause = 3.0;
constexpr double kProven = 15.0;  // a replica that has served for this long shows that its job and its machine work
// Of a record in the ledger: its head, a machine's part beside the name, and a range of tasks.
constexpr std::size_t kHeadBytes = 120, kPartBytes = 30, kRangeBytes = 14;
// Orders in one message: well inside 64 KiB.
constexpr std::size_t kMaxCommands = 400;

// Collects ends of tasks, joined into one record for a job and attempt.
class EndCollector {
 public:
  void done(const ClusterState& cluster_state, TaskRef ref, double wall) {
    auto& r = done_[ref.job];
    r.uid = cluster_state.job(ref.job).uid;
    if (cluster_state.dependency_graph().has_dependents(ref.job)) r.at = wall;
    append_task(r.tasks, ref.task);
  }
  void off(const ClusterState& cluster_state, TaskRef ref, std::uint64_t attempt, double failed_at = 0) {
    auto& r = off_[{ref.job, attempt, failed_at > 0}];
    r.uid = cluster_state.job(ref.job).uid;
    r.attempt = attempt;
    r.failed_at = failed_at;
    append_task(r.tasks, ref.task);
  }
  std::vector<Record> take(const ClusterState& cluster_state) {
    const auto most = std::max<std::size_t>(1, (cluster_state.record_bytes() - kHeadBytes) / kRangeBytes);
    std::vector<Record> out;
    for (auto& [j, r] : done_) split(r, most, out);
    for (auto& [k, r] : off_) split(r, most, out);
    return out;
  }

 private:
  template <class Ended>
  static void split(const Ended& r, std::size_t most, std::vector<Record>& out) {
    for (std::size_t i = 0; i < r.tasks.size(); i += most) {
      Ended part = r;
      part.tasks.assign(r.tasks.begin() + static_cast<long>(i), r.tasks.begin() + static_cast<long>(std::min(i + most, r.tasks.size())));
      out.emplace_back(std::move(part));
    }
  }

  std::map<JobIndex, TasksCompletedRecord> done_;
  std::map<std::tuple<JobIndex, std::uint64_t, bool>, TasksRemovedRecord> off_;
};

bool owned(const Placement* p, NodeIndex h, std::uint64_t agent_incarnation, std::uint64_t attempt) {
  return p && p->node == h && p->agent_incarnation == agent_incarnation && p->attempt == attempt;
}

// Whether the report tells of the same tasks as the message from which `host.pieces` was made. What has exited, or belongs to
// a job that was not known then, is looked at anew.
bool says_the_same(const Heartbeat& heartbeat, const Node& node) {
  if (heartbeat.repeated_serial != node.agent.serial || node.agent.tasks.size() != heartbeat.tasks.size()) return false;
  return std::none_of(node.agent.tasks.begin(), node.agent.tasks.end(),
                      [](const ReportedTask& s) { return s.phase == TaskPhase::exited || !s.ref.job.valid(); });
}

bool cancelled(const ClusterState& cluster_state, JobIndex j) {
  return j.valid() && cluster_state.job(j).status == JobStatus::cancelled;
}

}  // namespace

std::vector<TasksStartedRecord> split_by_size(const TasksStartedRecord& r, std::size_t record_bytes) {
  std::vector<TasksStartedRecord> out;
  std::size_t bytes = 0;
  for (const auto& part : r.assignments) {
    bool begun = false;
    for (const auto& range : part.tasks) {
      const auto part_bytes = kPartBytes + part.node.size();
      if (out.empty() || bytes + kRangeBytes + (begun ? 0 : part_bytes) > record_bytes) {
        out.push_back({r.uid, r.attempt, r.at, {}});
        bytes = kHeadBytes;
        begun = false;
      }
      if (!begun) {
        out.back().assignments.push_back({part.node, part.agent_incarnation, {}});
        bytes += part_bytes;
        begun = true;
      }
      out.back().assignments.back().tasks.push_back(range);
      bytes += kRangeBytes;
    }
  }
  return out;
}

void mark_for_stop(Placement& p, double grace_period_s) {
  p.stopping = true;
  p.grace_period_s = grace_period_s;
}

HeartbeatOutcome apply_heartbeat(ClusterState& cluster_state, const Heartbeat& heartbeat, Timestamps now, bool is_heartbeat,
                                 std::uint64_t takeover_token) {
  HeartbeatOutcome out;
  const NodeIndex h = cluster_state.find_or_add_node(heartbeat.node);
  Node& node = cluster_state.node(h);
  if (node.terminated || std::pair(heartbeat.agent_incarnation, heartbeat.serial) <= std::pair(node.agent.incarnation, node.agent.serial)) {
    out.stale = true;
    return out;
  }
  // A copy of an earlier report may come late, by well over a lease, and to a leader that has heard nothing else of the
  // machine it is as good as a first one. What no copy can show is a token of this leader's: without it a report is a sign
  // of life once, and brings no machine back whose lease is over.
  const bool alive = !is_heartbeat || heartbeat.fencing_token >= takeover_token;
  if (!node.agent.has_reported || node.lease_expired) out.changed = true;
  cluster_state.describe_node(h, heartbeat.address, heartbeat.machine_type, heartbeat.zone, heartbeat.spot);
  EndCollector ends;
  const bool new_incarnation = heartbeat.agent_incarnation > node.agent.incarnation;
  const bool repeated = !new_incarnation && says_the_same(heartbeat, node);
  if (new_incarnation) node.commands.uncertain_token = 0;
  // A later tenure: the worker forgot all it held, and commands of the earlier one are refused. Looked for in each report,
  // since a start planned for the earlier one may get into the ledger after the later one was heard of: it would stay
  // there for good and never run (found by the randomised test).
  for (const auto& ref : node.placed) {
    Placement* p = ref.placement;
    if (p->agent_incarnation >= heartbeat.agent_incarnation || p->end_pending) continue;
    p->end_pending = true;
    ends.off(cluster_state, ref, p->attempt);
    out.changed = true;
  }
  node.agent.incarnation = heartbeat.agent_incarnation;
  node.agent.serial = heartbeat.serial;
  node.agent.highest_token = std::max(node.agent.highest_token, heartbeat.fencing_token);
  // A session's own lease runs from its beginning, without any answer of ours: after a tenure change it counts from
  // when the new session is first heard of, or a task started in it could be given up while it runs.
  if ((node.agent.fenced_at == 0 || new_incarnation) && node.agent.highest_token >= takeover_token) node.agent.fenced_at = now.steady;
  node.agent.last_message_at = now.steady;
  if (new_incarnation) node.agent.incarnation_since = now.steady, node.commands.last_run_serial = 0, node.agent.heartbeat_serial = 0;
  if (is_heartbeat) node.agent.heartbeat_serial = heartbeat.serial;
  if (alive || !node.agent.has_reported) node.agent.last_heartbeat_at = now.steady;
  node.agent.has_reported = true;
  if (alive) node.lease_expired = false;
  if (heartbeat.interruption_in_s) {
    if (!node.agent.interruption_at) out.changed = true;
    node.agent.interruption_at = now.steady + *heartbeat.interruption_in_s;
  }
  if (node.commands.uncertain_token != 0 && heartbeat.fencing_token > node.commands.uncertain_token) node.commands.uncertain_token = 0;

  const auto note = [&](const ReportedTask& seen, ExitReason exit_reason) {
    Placement* p = cluster_state.placement(seen.ref);
    if (!owned(p, h, heartbeat.agent_incarnation, seen.attempt)) return;
    p->reported = true;
    if (p->phase != seen.phase) {
      p->phase = seen.phase;
      if (seen.phase == TaskPhase::running && p->running_since == 0) p->running_since = now.wall;
    }
    if (seen.phase == TaskPhase::running && cluster_state.failure_attribution().is_suspect(seen.ref.job) &&
        now.wall - p->running_since > kProven && cluster_state.job(seen.ref.job).spec.job_type == JobType::service)
      cluster_state.failure_attribution().record_success(seen.ref.job, h);
    if (seen.phase != TaskPhase::exited || p->end_pending) return;
    p->end_pending = true;
    out.changed = true;
    if (exit_reason == ExitReason::completed) {
      ends.done(cluster_state, seen.ref, now.wall);
      return;
    }
    const bool failed = exit_reason == ExitReason::failed || exit_reason == ExitReason::unknown_task;
    ends.off(cluster_state, seen.ref, p->attempt, failed ? now.wall : 0);
    if (exit_reason == ExitReason::insufficient_resources || exit_reason == ExitReason::duplicate_attempt)
      node.full_until = now.steady + kFullPause;
  };
  if (repeated) {
    // What is seen there stays as it is; only the book may have changed since.
    for (const ReportedTask& seen : node.agent.tasks) note(seen, ExitReason::none);
  } else {
    node.agent.tasks.clear();
    for (const auto& task_report : heartbeat.tasks) {
      ReportedTask seen;
      seen.ref = {cluster_state.find(task_report.id.uid), task_report.id.task};
      seen.attempt = task_report.attempt;
      seen.phase = task_report.phase;
      if (!seen.ref.job.valid()) seen.uid = task_report.id.uid;
      note(seen, task_report.exit_reason);
      node.agent.tasks.push_back(std::move(seen));
    }
    std::sort(node.agent.tasks.begin(), node.agent.tasks.end(), [](const ReportedTask& a, const ReportedTask& b) { return a.ref < b.ref; });
  }
  // A stopped task that the worker does not hold: it is off only when no start can still be on its way.
  if (is_heartbeat && heartbeat.fencing_token >= takeover_token && node.has_no_uncertain_start(heartbeat.fencing_token)) {
    for (const auto& ref : node.placed) {
      Placement* p = ref.placement;
      if (!p->stopping || p->end_pending || p->agent_incarnation != heartbeat.agent_incarnation) continue;
      const bool there = std::any_of(node.agent.tasks.begin(), node.agent.tasks.end(),
                                     [&](const ReportedTask& s) { return s.ref == ref && s.attempt == p->attempt; });
      if (there) continue;
      p->end_pending = true;
      out.changed = true;
      ends.off(cluster_state, ref, p->attempt);
    }
  }
  out.records = ends.take(cluster_state);
  return out;
}

std::vector<Command> pending_commands(const ClusterState& cluster_state, NodeIndex h, std::uint64_t fencing_token) {
  std::vector<Command> out;
  const Node& node = cluster_state.node(h);
  if (node.terminated || node.lease_expired || node.agent.incarnation == 0) return out;
  const auto find = [&](TaskRef ref, std::uint64_t attempt) -> const ReportedTask* {
    auto it =
        std::lower_bound(node.agent.tasks.begin(), node.agent.tasks.end(), ref, [](const ReportedTask& s, TaskRef r) { return s.ref < r; });
    for (; it != node.agent.tasks.end() && it->ref == ref; ++it)
      if (it->attempt == attempt) return &*it;
    return nullptr;
  };
  // Stops and reaps first: they make the room that starts need.
  const bool clean = node.has_no_uncertain_start(node.agent.highest_token) && node.agent.highest_token >= fencing_token;
  for (const auto& s : node.agent.tasks) {
    if (out.size() >= kMaxCommands) return out;
    const Placement* p = s.ref.job.valid() ? const_cast<ClusterState&>(cluster_state).placement(s.ref) : nullptr;
    const std::string& uid = s.ref.job.valid() ? cluster_state.job(s.ref.job).uid : s.uid;
    if (owned(p, h, node.agent.incarnation, s.attempt)) {
      // What is cancelled while it saves has nothing to save for: a second kill ends it.
      const bool saves_on = s.phase == TaskPhase::checkpointing && !cancelled(cluster_state, s.ref.job);
      if (p->stopping && s.phase != TaskPhase::exited && !saves_on)
        out.push_back({CommandType::kill, {uid, s.ref.task}, s.attempt, p->grace_period_s});
      continue;
    }
    if (s.phase != TaskPhase::exited) {
      out.push_back({CommandType::kill, {uid, s.ref.task}, s.attempt, 0});
    } else if (clean) {
      // Its outcome is in the ledger. While a start may still be on its way it must stay known to the worker.
      out.push_back({CommandType::acknowledge_exit, {uid, s.ref.task}, s.attempt, 0});
    }
  }
  for (const auto& ref : node.placed) {
    if (out.size() >= kMaxCommands) return out;
    const Placement* p = ref.placement;
    if (p->end_pending || p->agent_incarnation != node.agent.incarnation || find(ref, p->attempt)) continue;
    const Job& job = cluster_state.job(ref.job);
    if (p->stopping) {
      out.push_back({CommandType::kill, {job.uid, ref.task}, p->attempt, p->grace_period_s});
    } else {
      out.push_back({CommandType::run, {job.uid, ref.task}, p->attempt, 0});
    }
  }
  return out;
}

std::vector<Command> kills_for_cancelled_jobs(const ClusterState& cluster_state, NodeIndex h) {
  std::vector<Command> out;
  const Node& node = cluster_state.node(h);
  if (node.terminated || node.agent.incarnation == 0) return out;
  const auto kill = [&](TaskRef ref, std::uint64_t attempt) {
    if (out.size() < kMaxCommands) out.push_back({CommandType::kill, {cluster_state.job(ref.job).uid, ref.task}, attempt, 0});
  };
  for (const auto& s : node.agent.tasks)
    if (s.phase != TaskPhase::exited && cancelled(cluster_state, s.ref.job)) kill(s.ref, s.attempt);
  // Not shown yet: a start that was on its way may have been carried out since.
  for (const auto& p : node.placed)
    if (cancelled(cluster_state, p.job) && !p.placement->reported && p.placement->agent_incarnation == node.agent.incarnation)
      kill(p, p.placement->attempt);
  return out;
}

// Found by the randomised test with more seeds: told to run by an answer that took 3 s, and by a command; stopped and reaped by
// commands meanwhile; then the answer came and started it once more.
void record_commands_sent(Node& node, std::uint64_t serial, const std::vector<Command>& commands) {
  if (std::any_of(commands.begin(), commands.end(), [](const Command& o) { return o.type == CommandType::run; }))
    node.commands.last_run_serial = std::max(node.commands.last_run_serial, serial);
}

void record_lease_renewal(Node& node, bool stale, double steady) {
  node.agent.last_answered_at = std::max(node.agent.last_answered_at, stale ? std::min(node.agent.last_message_at, steady) : steady);
}

bool is_lease_expired(const Node& node, const FencingState& fencing_state, double lease_s, double steady) {
  // An earlier leader's answers count up to the moment when the worker was known to have seen this one's epoch:
  // a worker greeted with a direct command has a lease that this leader never renewed.
  double since = std::max(node.agent.last_answered_at, node.agent.fenced_at);
  // A peer that a cut parts from this leader may keep the leases of its own zone for a while.
  const auto note = [&](const std::vector<double>& by_zone) {
    for (std::size_t z = 0; z < by_zone.size(); ++z)
      if (z == node.zone.value || !node.zone.valid()) since = std::max(since, by_zone[z]);
  };
  note(fencing_state.renewed_until_by_zone);
  if (node.agent.highest_token < fencing_state.fencing_token) {
    // Another controller may have answered it under an older epoch until it learned of this one.
    if (fencing_state.peers_acked_at < 0) return false;
    since = std::max({since, fencing_state.peers_acked_at, fencing_state.taken_over_at});
    note(fencing_state.earlier_renewed_until_by_zone);
  }
  return steady > since + lease_s * (1 + kClockDrift) + kExpiryMargin;
}

std::vector<Record> evict_all_tasks(ClusterState& cluster_state, NodeIndex h) {
  EndCollector ends;
  for (const auto& ref : cluster_state.node(h).placed) {
    Placement* p = ref.placement;
    if (p->end_pending) continue;
    p->end_pending = true;
    ends.off(cluster_state, ref, p->attempt);
  }
  return ends.take(cluster_state);
}

std::vector<NodeIndex> drain_interrupted_nodes(ClusterState& cluster_state, Timestamps now) {
  std::set<NodeIndex> touched;
  const auto stop = [&](Placement& p, double grace_period_s) {
    if (p.stopping || p.end_pending) return;
    mark_for_stop(p, grace_period_s);
    touched.insert(p.node);
  };
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
    const Node& node = cluster_state.node(NodeIndex{i});
    if (!node.agent.interruption_at || node.terminated || node.lease_expired) continue;
    const double left = *node.agent.interruption_at - now.steady;
    for (const auto& ref : node.placed) {
      Job& job = cluster_state.job(ref.job);
      Placement& p = *ref.placement;
      const bool saves = job.spec.checkpoint_interval_s > 0;
      const double ran = p.running_since > 0 ? now.wall - p.running_since : 0;
      const bool ends_in_time = job.spec.job_type != JobType::service && job.spec.estimated_run_s - ran < left;
      if (ends_in_time) continue;
      if (job.spec.job_type != JobType::gang) {
        stop(p, saves ? job.spec.checkpoint_duration_s : 0);
        continue;
      }
      // An orderly stop tells all of a gang at once.
      for (auto& [task, other] : job.placed) stop(other, saves ? job.spec.checkpoint_duration_s : 0);
    }
  }
  return {touched.begin(), touched.end()};
}

std::vector<NodeIndex> resume_inherited_stops(ClusterState& cluster_state) {
  std::set<NodeIndex> touched;
  for (JobIndex j : cluster_state.live()) {
    Job& job = cluster_state.job(j);
    // Only what saves at all can be found saving.
    if (job.spec.checkpoint_interval_s <= 0 || job.ended()) continue;
    const auto begun = [](const auto& placed) {
      const Placement& p = placed.second;
      return p.reported && p.phase == TaskPhase::checkpointing && !p.stopping && !p.end_pending;
    };
    if (std::none_of(job.placed.begin(), job.placed.end(), begun)) continue;
    for (auto& placed : job.placed) {
      if (placed.second.stopping || (job.spec.job_type != JobType::gang && !begun(placed))) continue;
      mark_for_stop(placed.second, job.spec.checkpoint_duration_s);
      touched.insert(placed.second.node);
    }
  }
  return {touched.begin(), touched.end()};
}

bool stop_broken_gangs(ClusterState& cluster_state) {
  bool any = false;
  for (JobIndex j : cluster_state.live()) {
    Job& job = cluster_state.job(j);
    if (job.spec.job_type != JobType::gang || job.placed.empty() || job.pending == 0 || job.done > 0) continue;
    for (auto& [task, p] : job.placed) {
      if (p.stopping) continue;
      mark_for_stop(p, 0);
      any = true;
    }
  }
  return any;
}

}  // namespace thistlefront
