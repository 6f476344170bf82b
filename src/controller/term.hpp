// The state of one term of leadership. Guarded by SharedState::mutex; created when this controller takes over, destroyed when it
// steps down.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "heartbeat_relay/agent_balancer.hpp"
#include "heartbeat_relay/heartbeat_delta.hpp"
#include "leadership/quorum_tracker.hpp"
#include "ledger/ledger_reader.hpp"
#include "ledger/ledger_writer.hpp"
#include "rollout/format_versions.hpp"
#include "scheduling/planner.hpp"
#include "scheduling/scale_out.hpp"
#include "scheduling/starvation_guard.hpp"

namespace thistlefront {

struct Term {
  // ---- leadership
  std::uint64_t takeover_token = 0;        // fencing token at the start of the term
  std::uint64_t fencing_token = 0;         // current; raised to fence off unacknowledged commands
  std::uint64_t session_lease = 0;         // of the key-value store; the leader's key is attached to it
  double session_lease_valid_until = 0;    // steady seconds; no other controller can lead before then
  double taken_over_at = 0;                // steady seconds
  QuorumTracker quorum;                    // the peers' acknowledgements in this term
  const char* hand_over_reason = nullptr;  // not null: leadership is to be handed over, and no decisions are made any more
  bool raise_token_requested = false;
  bool leader_key_update_unacknowledged = false;  // this controller sent a change of its leader key that is not acknowledged yet
  double token_raised_at = 0;                     // steady seconds

  // ---- ledger
  std::optional<LedgerSnapshot> preread_ledger;  // read before the takeover
  std::unique_ptr<ClusterState> cluster_state;   // null until the ledger has been read
  LedgerWriter ledger_writer;
  bool first_term_ever = false;  // the ledger was empty: no earlier leader requested instances or placed tasks
  bool first_start_committed = false;
  double last_commit_at = 0;  // steady seconds
  ActiveVersion active_version;
  std::optional<rollout::Step> rollout_step;  // planned by RolloutManager, sent by LedgerCommitter
  std::uint64_t quotas_ticket = 0;            // of the latest queued team quotas

  // ---- scheduling
  std::set<JobIndex> within_guarantee;  // jobs within a team guarantee, as of the latest pass
  StarvationGuard starvation_guard;
  std::vector<Plan::Unserved> unserved;            // units that the latest pass did not start
  std::set<NodeIndex> starting_nodes;              // task starts on these nodes are being committed
  double last_work_at = 0;                         // steady seconds of the latest pass with a pending task or a job other than a service
  std::map<InstanceOffer, double> refused_offers;  // offers refused by the cloud -> steady seconds at which to request them again

  // ---- agents
  // By node name: steady seconds of the latest reply sent before the ledger had been read. The nodes' leases run from then.
  std::unordered_map<std::string, double> early_reply_times;
  HeartbeatDeltaDecoder relayed_heartbeats;
  bool accepts_heartbeat_batches = false;  // from relaying peers; never reset within the term
  AgentBalancer balancer;
  double commands_failing_since = 0;    // steady seconds since when direct commands remain without a reply; 0: the latest one got a reply
  std::size_t direct_agent_count = 0;   // agents that send heartbeats to this controller itself, as of the latest count
  double direct_agents_counted_at = 0;  // steady seconds

  [[nodiscard]] const char* leader_key() const { return leader_key_for(active_version.format_version); }
};

}  // namespace thistlefront
