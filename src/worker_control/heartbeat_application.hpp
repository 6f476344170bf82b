// Applies a message of an agent (a heartbeat, or its answer to a direct command) to the cluster state, and concludes which tasks
// have ended. Called by the leader for each message that it accepts. Pure; it never changes what is durable: ends are returned
// as records, and take effect when these are in the ledger.
#pragma once
#include <cstdint>
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "model/heartbeat.hpp"
#include "model/ledger_records.hpp"
#include "worker_control/timestamps.hpp"

namespace thistlefront {

struct HeartbeatOutcome {
  bool stale = false;           // not newer than a message that was already applied: nothing was taken from it
  bool changed = false;         // a scheduling pass may be worthwhile
  std::vector<Record> records;  // ends of tasks, to be written to the ledger
};

// `is_heartbeat`: the message is a heartbeat and not the answer to a direct command, so the agent has carried out or dropped
// every answer to an earlier heartbeat.
// `takeover_token`: the fencing token of this leader's takeover. An agent that has seen it executes no earlier leader's commands.
HeartbeatOutcome apply_heartbeat(ClusterState& cluster_state, const Heartbeat& heartbeat, Timestamps now, bool is_heartbeat,
                                 std::uint64_t takeover_token);

}  // namespace thistlefront
