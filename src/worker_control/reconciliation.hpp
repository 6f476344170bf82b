// Dealings with workers: what a report means for the book, and which orders a worker is due. Pure.
#pragma once
#include <cstdint>
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "model/identifiers.hpp"
#include "model/ledger_records.hpp"

namespace thistlefront {

struct Timestamps {
  double steady = 0, wall = 0;
};

// What came out of a report. The records go to the ledger; the book changes when they are durable.
struct HeartbeatOutcome {
  bool stale = false;    // older than one already seen: nothing was taken from it
  bool changed = false;  // something a pass may want to know
  std::vector<Record> records;
};

// `is_heartbeat`: it came as a report (and not as the answer to a direct command), so every answer this worker was
// given before has been executed or dropped.
// `takeover_token`: of this leader's takeover; a worker that has seen it executes no earlier leader's commands.
HeartbeatOutcome apply_heartbeat(ClusterState& cluster_state, const Heartbeat& heartbeat, Timestamps now, bool is_heartbeat,
                                 std::uint64_t takeover_token);

// The leader answers a report. The worker's lease counts from when it sent the report, and one that is not newer than what
// was heard before was sent before that was: a copy, however late, adds nothing to it.
void record_lease_renewal(Node& node, bool stale, double steady);

// The orders that bring the worker from what it last reported to what the book says.
std::vector<Command> pending_commands(const ClusterState& cluster_state, NodeIndex h, std::uint64_t fencing_token);

// Of these, the kills of tasks whose jobs are cancelled in the ledger: right under every later leader too, for a cancelled
// job stays so and none of its tasks may ever start again. All that a leader in doubt may give.
std::vector<Command> kills_for_cancelled_jobs(const ClusterState& cluster_state, NodeIndex h);

// The same starts in records that fit into an entry of the ledger, however scattered their tasks are. One that does not is
// refused by the state service, and each leader in turn would plan it again and step down.
std::vector<TasksStartedRecord> split_by_size(const TasksStartedRecord& r, std::size_t record_bytes = kRecordBytes);

// These are the answer to its report with this serial. Until its next report the answer may be on its way: nothing is reaped
// before, for a run that comes after the reap of its attempt starts it again.
void record_commands_sent(Node& node, std::uint64_t serial, const std::vector<Command>& commands);

// Marks a placed task for stopping.
void mark_for_stop(Placement& p, double grace_period_s);

// Since when no one can have answered a host's reports but this leader.
struct FencingState {
  std::uint64_t fencing_token = 0;  // of this leader's takeover
  double taken_over_at = 0;         // steady seconds
  double peers_acked_at = -1;       // steady seconds; below 0: some peer may still answer under an older epoch
  // By zone, steady seconds: until when a peer there may have answered on its own, under this leader's epoch and under an
  // earlier one.
  std::vector<double> renewed_until_by_zone = {}, earlier_renewed_until_by_zone = {};
};
// Whether the worker's lease is over for certain, wherever its reports were answered.
bool is_lease_expired(const Node& node, const FencingState& fencing_state, double lease_s, double steady);

// Ends of everything placed on a host that is known to be empty: its lease is over, or it was released.
std::vector<Record> evict_all_tasks(ClusterState& cluster_state, NodeIndex h);

// Machines about to be taken: services move at once, work with checkpoints saves, and of the rest what can't end in
// time starts again elsewhere. Returns the hosts that have something to stop.
std::vector<NodeIndex> drain_interrupted_nodes(ClusterState& cluster_state, Timestamps now);

// Tasks that save though this leader stops none of them: an earlier one did, to make room. That goes on, for a gang with all
// of its tasks, and their room counts as coming free; a successor that took them for running stopped others for the same
// need, and tore gangs whose stop was half told. Returns the hosts that have something to stop.
std::vector<NodeIndex> resume_inherited_stops(ClusterState& cluster_state);

// Gangs that lost a task are stopped, so that they can be planned anew.
bool stop_broken_gangs(ClusterState& cluster_state);

}  // namespace thistlefront
