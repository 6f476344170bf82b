#include "controller/registry_view.hpp"

#include <spdlog/spdlog.h>

#include "protocol/peer_messages.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistlefront {

namespace {
constexpr double kPeerCallTimeoutS = 1.0;
constexpr double kRetryPauseS = 1.0;
}  // namespace

RegistryView::RegistryView(const Settings& settings, SupportedVersions supported_versions, TeamQuotas own_quotas,
                           std::vector<FrameConnectionPool*> pools)
    : settings_(settings),
      supported_versions_(std::move(supported_versions)),
      own_quotas_(std::move(own_quotas)),
      pools_(std::move(pools)) {
  controller_labels_.push_back(settings.label);
  for (const auto& peer : settings.peers) controller_labels_.push_back(peer.label);
  while (controller_labels_.size() <= settings.other_controllers())
    controller_labels_.push_back("unnamed-" + std::to_string(controller_labels_.size()));
}

bool RegistryView::register_self(StoreClient& store, std::stop_token stop) const {
  const std::string key = kRegistryPrefix + settings_.label;
  for (;;) {
    Row row;
    const auto got = store.get(key, row);
    if (got == StoreStatus::ok || got == StoreStatus::missing) {
      rollout::RegisteredController known;
      if (got == StoreStatus::ok) known = rollout::parse_registry({row}).at(settings_.label);
      const auto step = rollout::registration_step(settings_.label, supported_versions_, got == StoreStatus::ok ? &known : nullptr);
      std::uint64_t revision = 0;
      std::vector<std::string> failed;
      // If the outcome is unknown, the record is read again.
      if (step.kind == rollout::Step::Kind::none || store.commit(step.body(), revision, failed) == StoreStatus::ok) break;
    }
    if (!pause_for(stop, kRetryPauseS)) return false;
  }
  spdlog::info("build {}: supports format versions {} to {}, allows up to {} to be activated", supported_versions_.build,
               supported_versions_.min_version, supported_versions_.max_version, supported_versions_.max_allowed_version);
  return true;
}

std::optional<HttpReply> RegistryView::call_peer(FrameConnectionPool& peer, const char* target) {
  const double sent_at = steady_now();
  const auto reply_frame = peer.call(pack(PeerCall{"GET", target, ""}), kPeerCallTimeoutS);
  return reply_frame ? unpack_reply(*reply_frame, sent_at) : std::nullopt;
}

std::map<std::string, SupportedVersions> RegistryView::read_peer_versions(std::stop_token stop) const {
  std::map<std::string, SupportedVersions> out;
  for (std::size_t i = 0; i < pools_.size() && !stop.stop_requested(); ++i) {
    const auto reply = call_peer(*pools_[i], kSupportedVersionsTarget);
    if (!reply) continue;
    // A build without format versions replies with another status than 200.
    const auto supported_versions =
        reply->status == 200 ? unpack_supported_versions(reply->body) : std::optional<SupportedVersions>(SupportedVersions{});
    if (supported_versions) out[settings_.peers[i].label] = *supported_versions;
  }
  return out;
}

std::map<std::string, std::optional<TeamQuotas>> RegistryView::quotas_of_all_controllers(const rollout::ControllerRegistry& registry) {
  std::map<std::string, std::optional<TeamQuotas>> out;
  for (const auto& label : controller_labels_) out[label];
  out[settings_.label] = own_quotas_;
  std::map<std::uint64_t, TeamQuotas> known_quotas;
  for (std::size_t i = 0; i < pools_.size(); ++i) {
    auto& quotas = out[settings_.peers[i].label];
    const auto it = registry.find(settings_.peers[i].label);
    const auto digest = it == registry.end() ? 0 : it->second.supported_versions.teams_digest;
    if (digest == supported_versions_.teams_digest) {
      quotas = own_quotas_;
    } else if (const auto known = peer_quotas_.find(digest); known != peer_quotas_.end()) {
      quotas = known->second;
    } else if (digest != 0) {
      const auto reply = call_peer(*pools_[i], kTeamQuotasTarget);
      auto teams = reply && reply->status == 200 ? unpack_teams(reply->body) : std::nullopt;
      if (teams && digest_of(*teams) == digest) quotas = std::move(teams);
    }
    if (quotas && digest != supported_versions_.teams_digest) known_quotas[digest] = *quotas;
  }
  peer_quotas_ = std::move(known_quotas);
  return out;
}

std::optional<RegistryView::Observation> RegistryView::observe(StoreClient& store, std::stop_token stop) {
  Rows keys, records;
  // Reads the registry first and asks the peers afterwards: a reply is newer than the record that it corrects, and the correction
  // fails if the record is written in between.
  if (store.list(kLeadershipPrefix, keys) != StoreStatus::ok || store.list(kRegistryPrefix, records) != StoreStatus::ok)
    return std::nullopt;
  Observation observation;
  try {
    observation.snapshot = rollout::parse_leadership_keys(keys.rows);
  } catch (const std::exception& e) {
    spdlog::error("key-value store: leader keys malformed: {}", e.what());
    return std::nullopt;
  }
  observation.registry = rollout::parse_registry(records.rows);
  observation.peer_versions = read_peer_versions(stop);
  observation.quotas_by_controller = quotas_of_all_controllers(observation.registry);
  return observation;
}

}  // namespace thistlefront
