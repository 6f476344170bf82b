// Rollouts: registers this controller's build in the registry. On the leader, plans the steps that change the active format version,
// and those that bring team quotas into force once all controllers agree on them. LedgerCommitter sends a planned step between two
// commits (send_step). The rules are pure: see rollout/format_versions and cluster_state/quota_agreement.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <stop_token>
#include <string>

#include "controller/commit_queue.hpp"
#include "controller/controller_metrics.hpp"
#include "controller/registry_view.hpp"
#include "controller/shared_state.hpp"
#include "controller/store_client.hpp"
#include "rollout/format_versions.hpp"

namespace thistlefront {

class RolloutManager {
 public:
  RolloutManager(SharedState& shared, CommitQueue& commit_queue, ControllerMetrics& metrics);
  // Runs until a stop is requested.
  void run(std::stop_token stop);
  // Called on the committer's thread: sends the planned step and applies its outcome. Returns false if nothing may be written yet,
  // because the active version or the fencing token is not known.
  bool send_step(StoreClient& store, std::stop_token stop, Lock& lock);
  // What prevents the next change of the format version; empty: nothing.
  [[nodiscard]] const std::string& blocked_by() const { return blocked_by_; }

 private:
  // Plans the next step or queues changed quotas. Returns whether it did either.
  bool plan_step(RegistryView& view, StoreClient& store, std::stop_token stop);
  [[nodiscard]] rollout::LeaderState describe_leader(const ActiveVersion& active) const;
  void set_blocked_by(const std::string& reason, std::uint32_t active_version);
  // Queues records for the quotas that changed. Returns whether there were any.
  bool queue_quota_changes(const std::map<std::string, std::optional<TeamQuotas>>& quotas_by_controller);
  // Reads the leadership keys, and retries until it succeeds. Returns nullopt if the term ends or the thread has to stop.
  std::optional<rollout::LeadershipSnapshot> read_keys(StoreClient& store, std::stop_token stop, std::uint64_t term) const;
  bool apply_committed_step(const rollout::Step& step, std::uint64_t revision);
  // Applies the keys that were read after a step with an unknown outcome. Returns false if this controller stepped down.
  bool apply_snapshot(const Lock& lock, const rollout::LeadershipSnapshot& snapshot);
  void adopt_version(const ActiveVersion& active);

  SharedState& shared_;
  CommitQueue& commit_queue_;
  ControllerMetrics& metrics_;
  std::string blocked_by_;  // guarded by SharedState::mutex
};

}  // namespace thistlefront
