// What the leader looks at before a step of a roll-out: the leadership keys, the registry of controllers, and the peers
// themselves. Used by RolloutManager's thread alone; no lock is needed.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <stop_token>
#include <string>
#include <vector>

#include "cluster_state/quota_agreement.hpp"
#include "controller/store_client.hpp"
#include "protocol/settings.hpp"
#include "rollout/format_versions.hpp"
#include "transport/frames.hpp"

namespace thistlefront {

class RegistryView {
 public:
  // `pools`: connections to the peers, in the order of the settings; they outlive this.
  RegistryView(const Settings& settings, SupportedVersions supported_versions, TeamQuotas file, std::vector<FramePool*> pools);

  // Writes this controller's own record, and tries again until it is there; false when asked to stop.
  bool register_self(StoreClient& store, std::stop_token stop) const;

  struct Seen {
    rollout::LeadershipSnapshot snapshot;
    rollout::ControllerRegistry registry;
    std::map<std::string, SupportedVersions> answers;        // of the peers that answered
    std::map<std::string, std::optional<TeamQuotas>> files;  // of all controllers; nullopt: not known
  };
  // Nothing where the key-value store did not answer.
  std::optional<Seen> observe(StoreClient& store, std::stop_token stop);
  // The labels of all controllers of the settings; those that are counted and not named there get labels of their own.
  [[nodiscard]] const std::vector<std::string>& expected() const { return expected_; }

 private:
  static std::optional<HttpReply> ask(FramePool& peer, const char* target);
  std::map<std::string, SupportedVersions> ask_peers(std::stop_token stop) const;
  std::map<std::string, std::optional<TeamQuotas>> quotas_of_all_controllers(const rollout::ControllerRegistry& registry);

  const Settings& settings_;
  const SupportedVersions supported_versions_;
  const TeamQuotas file_;
  std::vector<FramePool*> pools_;
  std::vector<std::string> expected_;
  std::map<std::uint64_t, TeamQuotas> files_;  // of other controllers, by digest
};

}  // namespace thistlefront
