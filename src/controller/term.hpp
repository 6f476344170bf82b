// One term of leadership: everything that ends with it. Guarded by SharedState::mutex; replaced as a whole when this
// controller takes the lead, destroyed when it steps down.
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
#include "heartbeat_relay/heartbeat_delta.hpp"
#include "heartbeat_relay/worker_balancer.hpp"
#include "leadership/quorum_tracker.hpp"
#include "ledger/ledger_reader.hpp"
#include "ledger/ledger_writer.hpp"
#include "rollout/format_versions.hpp"
#include "scheduling/planner.hpp"
#include "scheduling/scale_out.hpp"
#include "scheduling/starvation_guard.hpp"

namespace thistlefront {

struct Term {
  // ---- the lead itself
  std::uint64_t takeover_token = 0;        // fencing token with which the term began
  std::uint64_t fencing_token = 0;         // now; raised to fence commands without an answer
  std::uint64_t session_lease = 0;         // of the key-value store; the leader's key is attached to it
  double lease_valid_until = 0;            // steady seconds: no other controller can lead before
  double taken_over_at = 0;                // steady seconds
  QuorumTracker quorum;                    // what the other controllers acknowledged in this term
  const char* hand_over_reason = nullptr;  // not null: leadership is to be given up in order, and nothing is decided any more
  bool raise_token_requested = false;
  bool leader_key_in_doubt = false;  // a change of its own leader key is under way, or has no answer yet
  double token_raised_at = 0;        // steady seconds

  // ---- the ledger and what it says
  std::optional<LedgerSnapshot> preread_ledger;  // read before the lead was taken
  std::unique_ptr<ClusterState> cluster_state;   // null until the ledger has been read
  LedgerWriter ledger_writer;
  bool first_term_ever = false;  // the ledger was empty: no earlier leader rented or placed anything
  bool first_start_committed = false;
  double last_commit_at = 0;  // steady seconds
  ActiveVersion active_version;
  std::uint64_t version_mod_revision = 0;     // of the record that says which format version is active
  std::optional<rollout::Step> rollout_step;  // planned by RolloutManager, sent by LedgerCommitter
  std::uint64_t quotas_ticket = 0;            // of the team quotas that were queued last

  // ---- scheduling
  std::set<JobIndex> within_guarantee;  // as the last pass found them
  StarvationGuard starvation_guard;
  std::vector<Plan::Unserved> unserved;            // by the last pass
  std::set<NodeIndex> starting_nodes;              // a start on them is on its way into the ledger
  double last_active_at = 0;                       // steady seconds: when work last waited or ended
  std::map<InstanceOffer, double> refused_offers;  // by the cloud; steady seconds at which to try again

  // ---- agents
  // Heartbeats answered while the ledger was being read, by node, steady seconds: leases count from then.
  std::unordered_map<std::string, double> early_answers;
  HeartbeatDeltaDecoder relayed_heartbeats;
  bool accepts_batches = false;  // of heartbeats; once true, it stays so to the end of the term
  WorkerBalancer balancer;
  double commands_failing_since = 0;  // steady seconds: no direct command was answered since; 0: the latest one was
  std::size_t direct_agents = 0;      // that report to this controller itself, as counted last
  double direct_agents_at = 0;        // steady seconds

  [[nodiscard]] const char* leader_key() const { return leader_key_for(active_version.format_version); }
};

}  // namespace thistlefront
