// Applies a message of an agent (a heartbeat, or its reply to a direct command) to the cluster state, and determines which tasks
// have exited. Called by the leader for each message that it accepts. Pure. It never changes durable state: completed and removed
// tasks are returned as records, and take effect when these are in the ledger.
#pragma once
#include <cstdint>
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "model/heartbeat.hpp"
#include "model/ledger_records.hpp"
#include "model/task.hpp"
#include "worker_control/timestamps.hpp"

namespace thistlefront {

// A task that an agent holds and that has not exited, although the cluster state does not place this attempt on its node.
struct UnplacedTask {
  TaskId id;
  std::uint64_t attempt = 0;
};

struct HeartbeatOutcome {
  bool stale = false;                  // not newer than a message that was already applied: the message was ignored
  bool needs_scheduling_pass = false;  // the node became usable or is to be interrupted, or a task on it ended
  std::vector<Record> records;         // completed and removed tasks, to be written to the ledger
  std::vector<UnplacedTask> unplaced;  // those that the previous message did not contain
};

// `is_heartbeat`: the message is a heartbeat and not the reply to a direct command. The agent has then executed or dropped the
// replies to all of its earlier heartbeats.
// `takeover_token`: the fencing token of this leader's takeover. An agent that has seen it executes no command of an earlier leader.
HeartbeatOutcome apply_heartbeat(ClusterState& cluster_state, const Heartbeat& heartbeat, Timestamps now, bool is_heartbeat,
                                 std::uint64_t takeover_token);

}  // namespace thistlefront
