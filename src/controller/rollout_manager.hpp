// Roll-outs: registers this controller's build in the registry, and on the leader plans the steps towards another format
// version and towards team quotas that all controllers agree on. LedgerCommitter sends a planned step between two commits
// (send_step). The rules are pure and stand in rollout/format_versions and cluster_state/quota_agreement.
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
  // Until asked to stop.
  void run(std::stop_token stop);
  // On the committer's thread: sends the step that was planned and takes in what came of it; false when nothing may be written
  // yet, since the active version or the fencing token is not known for sure.
  bool send_step(StoreClient& store, std::stop_token stop, Lock& lock);
  // For what the next format version is waited; empty: for nothing.
  [[nodiscard]] const std::string& blocked_by() const { return blocked_by_; }

 private:
  // Plans the next step, or queues changed quotas; whether there was one.
  bool plan_step(RegistryView& view, StoreClient& store, std::stop_token stop);
  [[nodiscard]] rollout::LeaderState describe_leader(const ActiveVersion& active) const;
  void set_blocked_by(const std::string& reason, std::uint32_t active_version);
  bool agree_on_quotas(const std::map<std::string, std::optional<TeamQuotas>>& files);
  // The leadership keys, asked for until they are answered; nothing when the term ends or the thread is to stop.
  std::optional<rollout::LeadershipSnapshot> read_keys(StoreClient& store, std::stop_token stop, std::uint64_t term) const;
  bool apply_committed_step(const rollout::Step& step, std::uint64_t revision);
  // An earlier try may have been committed: the keys tell.
  bool apply_snapshot(const Lock& lock, const rollout::LeadershipSnapshot& snapshot);
  void adopt_version(const ActiveVersion& active, std::uint64_t mod_revision);

  SharedState& shared_;
  CommitQueue& commit_queue_;
  ControllerMetrics& metrics_;
  std::string blocked_by_;  // guarded by SharedState::mutex
};

}  // namespace thistlefront
