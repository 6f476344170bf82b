#include "worker_control/heartbeat_application.hpp"

#include <algorithm>
#include <utility>

#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/task.hpp"
#include "worker_control/task_lookup.hpp"
#include "worker_control/task_records.hpp"

namespace thistlefront {

namespace {

// A node that refused a start for lack of resources gets no other start for this time.
constexpr double kFullNodeBackoffS = 3.0;
// A replica that has run for this long shows that neither its job nor its node caused the earlier failures.
constexpr double kHealthyReplicaS = 15.0;

bool has_smaller_ref(const ReportedTask& left, const ReportedTask& right) {
  return left.ref < right.ref;
}

bool is_newer(const Heartbeat& heartbeat, const AgentState& agent) {
  return std::pair(heartbeat.agent_incarnation, heartbeat.serial) > std::pair(agent.incarnation, agent.serial);
}

// Whether `node.agent.tasks` already has the tasks of this heartbeat, so that they need not be looked up again. Tasks whose job was
// unknown at the last look-up are always looked up again.
bool repeats_last_message(const Heartbeat& heartbeat, const Node& node) {
  if (heartbeat.repeated_serial != node.agent.serial || node.agent.tasks.size() != heartbeat.tasks.size()) return false;
  return std::all_of(node.agent.tasks.begin(), node.agent.tasks.end(),
                     [](const ReportedTask& reported) { return reported.ref.job.valid(); });
}

// Applies one message to the state of its node.
class HeartbeatApplication {
 public:
  HeartbeatApplication(ClusterState& cluster_state, NodeIndex node_index, const Heartbeat& heartbeat, Timestamps now, bool is_heartbeat,
                       std::uint64_t takeover_token)
      : cluster_state_(cluster_state),
        node_index_(node_index),
        node_(cluster_state.node(node_index)),
        heartbeat_(heartbeat),
        now_(now),
        is_heartbeat_(is_heartbeat),
        takeover_token_(takeover_token) {}

  HeartbeatOutcome run() {
    if (!node_.agent.has_reported || node_.lease_expired) needs_scheduling_pass_ = true;
    cluster_state_.set_node_attributes(node_index_, heartbeat_.address, heartbeat_.machine_type, heartbeat_.zone, heartbeat_.spot);
    const bool repeats_tasks = heartbeat_.agent_incarnation == node_.agent.incarnation && repeats_last_message(heartbeat_, node_);
    remove_tasks_of_earlier_incarnations();
    update_agent();
    update_interruption();
    clear_fenced_starts();
    if (repeats_tasks) {
      // The reported tasks are unchanged. Their placements may have changed through ledger records.
      for (const ReportedTask& reported : node_.agent.tasks) update_placement(reported);
    } else {
      replace_reported_tasks();
    }
    remove_absent_stopped_tasks();
    return {false, needs_scheduling_pass_, end_records_.records(cluster_state_), std::move(unplaced_)};
  }

 private:
  void remove_task(TaskRef ref, Placement& placement, double failed_at = 0) {
    placement.removal_pending = true;
    needs_scheduling_pass_ = true;
    end_records_.add_removed(cluster_state_, ref, placement.attempt, failed_at);
  }

  // An agent of a later incarnation has dropped all tasks of earlier ones and refuses commands for them. This is checked with each
  // message and not only when the incarnation changes: a start planned for an earlier incarnation may reach the ledger after the
  // first message of the later one, and would then stay placed without ever running.
  void remove_tasks_of_earlier_incarnations() {
    for (const auto& placed : node_.placed) {
      Placement& placement = *placed.placement;
      if (placement.agent_incarnation < heartbeat_.agent_incarnation && !placement.removal_pending) remove_task(placed, placement);
    }
  }

  void update_agent() {
    AgentState& agent = node_.agent;
    const bool new_incarnation = heartbeat_.agent_incarnation > agent.incarnation;
    agent.incarnation = heartbeat_.agent_incarnation;
    agent.serial = heartbeat_.serial;
    agent.highest_token = std::max(agent.highest_token, heartbeat_.fencing_token);
    if (new_incarnation) {
      agent.incarnation_since = now_.steady_s;
      agent.heartbeat_serial = 0;
      node_.commands.last_run_serial = 0;
      node_.commands.indeterminate_token = 0;
      node_.commands.start_token = 0;
    }
    // A new incarnation has a lease from its start, without any reply of a leader. The leader counts this lease from the first
    // message of the incarnation; otherwise a task started in it could be requeued while it still runs.
    if ((agent.fenced_at == 0 || new_incarnation) && agent.highest_token >= takeover_token_) agent.fenced_at = now_.steady_s;
    agent.last_message_at = now_.steady_s;
    if (is_heartbeat_) agent.heartbeat_serial = heartbeat_.serial;
    // A delayed copy of a heartbeat may arrive after the lease has expired, and a leader that has received nothing else from the
    // node can't distinguish it from a new heartbeat. No such copy carries this leader's token. So a heartbeat without that token
    // counts as a sign of life only if it is the first message that this leader receives from the agent, and does not make a node
    // with an expired lease usable again.
    const bool proves_alive = !is_heartbeat_ || heartbeat_.fencing_token >= takeover_token_;
    if (proves_alive || !agent.has_reported) agent.last_heartbeat_at = now_.steady_s;
    if (proves_alive) node_.lease_expired = false;
    agent.has_reported = true;
  }

  void update_interruption() {
    if (!heartbeat_.interruption_in_s) return;
    if (!node_.agent.interruption_at) needs_scheduling_pass_ = true;
    node_.agent.interruption_at = now_.steady_s + *heartbeat_.interruption_in_s;
  }

  // An agent that has seen a higher token no longer executes the starts whose outcome is unknown.
  void clear_fenced_starts() {
    std::uint64_t& indeterminate_token = node_.commands.indeterminate_token;
    if (heartbeat_.fencing_token > indeterminate_token) indeterminate_token = 0;
  }

  void replace_reported_tasks() {
    std::vector<ReportedTask>& reported_tasks = node_.agent.tasks;
    const std::vector<ReportedTask> previous = std::exchange(reported_tasks, {});
    reported_tasks.reserve(heartbeat_.tasks.size());
    node_.agent.exited_tasks = 0;
    node_.agent.exited_start_token = 0;
    for (const auto& task_report : heartbeat_.tasks) {
      ReportedTask reported;
      reported.ref = {cluster_state_.find(task_report.id.uid), task_report.id.task};
      reported.attempt = task_report.attempt;
      reported.phase = task_report.phase;
      reported.exit_reason = task_report.exit_reason;
      if (!reported.ref.job.valid()) reported.uid = task_report.id.uid;
      if (const Placement* placement = update_placement(reported)) {
        reported.start_token = placement->start_token;
      } else {
        apply_unplaced_task(reported, task_report.id, find_reported_task(previous, reported.ref, reported.attempt));
      }
      if (reported.phase == TaskPhase::exited) {
        ++node_.agent.exited_tasks;
        node_.agent.exited_start_token = std::max(node_.agent.exited_start_token, reported.start_token);
      }
      reported_tasks.push_back(std::move(reported));
    }
    std::sort(reported_tasks.begin(), reported_tasks.end(), has_smaller_ref);
  }

  // An attempt that is not placed any more keeps what was known before. Any direct start may have been one of an unknown attempt.
  // `earlier`: the attempt in the previous message, or null.
  void apply_unplaced_task(ReportedTask& reported, const TaskId& id, const ReportedTask* earlier) {
    reported.start_token = earlier && reported.ref.job.valid() ? earlier->start_token : node_.commands.start_token;
    if (!earlier && reported.phase != TaskPhase::exited) unplaced_.push_back({id, reported.attempt});
  }

  // Returns the placement of this attempt on the node; null if the cluster state has none.
  const Placement* update_placement(const ReportedTask& reported) {
    Placement* placement = cluster_state_.placement(reported.ref);
    if (!is_placement_of(placement, node_index_, heartbeat_.agent_incarnation, reported.attempt)) return nullptr;
    placement->reported = true;
    const bool phase_changed = placement->phase != reported.phase;
    placement->phase = reported.phase;
    if (reported.phase == TaskPhase::running) {
      if (phase_changed && placement->running_since == 0) placement->running_since = now_.wall_s;
      record_healthy_replica(reported.ref, *placement);
    }
    if (reported.phase == TaskPhase::exited && !placement->removal_pending) apply_exit(reported.ref, *placement, reported.exit_reason);
    return placement;
  }

  void record_healthy_replica(TaskRef ref, const Placement& placement) {
    FailureAttribution& failure_attribution = cluster_state_.failure_attribution();
    if (!failure_attribution.is_suspect(ref.job) || cluster_state_.job(ref.job).spec.job_type != JobType::service) return;
    if (now_.wall_s - placement.running_since > kHealthyReplicaS) failure_attribution.record_success(ref.job, node_index_);
  }

  void apply_exit(TaskRef ref, Placement& placement, ExitReason exit_reason) {
    if (exit_reason == ExitReason::completed) {
      placement.removal_pending = true;
      needs_scheduling_pass_ = true;
      end_records_.add_completed(cluster_state_, ref, now_.wall_s);
      return;
    }
    const bool failed = exit_reason == ExitReason::failed || exit_reason == ExitReason::unknown_task;
    remove_task(ref, placement, failed ? now_.wall_s : 0);
    if (exit_reason == ExitReason::insufficient_resources || exit_reason == ExitReason::duplicate_attempt)
      node_.full_until = now_.steady_s + kFullNodeBackoffS;
  }

  // A task to be stopped that the agent does not report counts as removed only if no start of it can still be in transit.
  void remove_absent_stopped_tasks() {
    const bool absence_proves_removal =
        is_heartbeat_ && heartbeat_.fencing_token >= takeover_token_ && node_.has_no_indeterminate_start(heartbeat_.fencing_token);
    if (!absence_proves_removal) return;
    for (const auto& placed : node_.placed) {
      Placement& placement = *placed.placement;
      if (!placement.stopping || placement.removal_pending || placement.agent_incarnation != heartbeat_.agent_incarnation) continue;
      if (!find_reported_task(node_.agent, placed, placement.attempt)) remove_task(placed, placement);
    }
  }

  ClusterState& cluster_state_;
  const NodeIndex node_index_;
  Node& node_;
  const Heartbeat& heartbeat_;
  const Timestamps now_;
  const bool is_heartbeat_;
  const std::uint64_t takeover_token_;
  TaskEndRecords end_records_;
  std::vector<UnplacedTask> unplaced_;
  bool needs_scheduling_pass_ = false;
};

}  // namespace

HeartbeatOutcome apply_heartbeat(ClusterState& cluster_state, const Heartbeat& heartbeat, Timestamps now, bool is_heartbeat,
                                 std::uint64_t takeover_token) {
  const NodeIndex node_index = cluster_state.find_or_add_node(heartbeat.node);
  const Node& node = cluster_state.node(node_index);
  if (node.terminated || !is_newer(heartbeat, node.agent)) {
    HeartbeatOutcome outcome;
    outcome.stale = true;
    return outcome;
  }
  return HeartbeatApplication(cluster_state, node_index, heartbeat, now, is_heartbeat, takeover_token).run();
}

}  // namespace thistlefront
