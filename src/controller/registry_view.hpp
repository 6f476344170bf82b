// Reads what the leader needs for planning a rollout step: the leadership keys, the registry of controllers, and the replies of the
// peers themselves. Used only by RolloutManager's thread; needs no lock.
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
  // `own_quotas`: the team quotas of this controller's settings. `pools`: connections to the peers, in the order of the settings; they
  // must outlive this object.
  RegistryView(const Settings& settings, SupportedVersions supported_versions, TeamQuotas own_quotas,
               std::vector<FrameConnectionPool*> pools);

  // Writes this controller's registry record, and retries until it succeeds. Returns false if a stop is requested.
  bool register_self(StoreClient& store, std::stop_token stop) const;

  struct Observation {
    rollout::LeadershipSnapshot snapshot;
    rollout::ControllerRegistry registry;
    std::map<std::string, SupportedVersions> peer_versions;                 // of the peers that replied
    std::map<std::string, std::optional<TeamQuotas>> quotas_by_controller;  // from the settings of all controllers; nullopt: not known
  };
  // Returns nullopt if the key-value store did not reply.
  std::optional<Observation> observe(StoreClient& store, std::stop_token stop);
  // The labels of all controllers; those that the settings count but do not name get generated labels.
  [[nodiscard]] const std::vector<std::string>& controller_labels() const { return controller_labels_; }

 private:
  static std::optional<HttpReply> call_peer(FrameConnectionPool& peer, const char* target);
  std::map<std::string, SupportedVersions> read_peer_versions(std::stop_token stop) const;
  std::map<std::string, std::optional<TeamQuotas>> quotas_of_all_controllers(const rollout::ControllerRegistry& registry);

  const Settings& settings_;
  const SupportedVersions supported_versions_;
  const TeamQuotas own_quotas_;
  std::vector<FrameConnectionPool*> pools_;
  std::vector<std::string> controller_labels_;
  std::map<std::uint64_t, TeamQuotas> peer_quotas_;  // by digest
};

}  // namespace thistlefront
