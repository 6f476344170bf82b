#include "controller/registry_view.hpp"

#include <spdlog/spdlog.h>

#include "protocol/peer_messages.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistlefront {

namespace {
constexpr double kAskTimeoutS = 1.0;
constexpr double kRetryPauseS = 1.0;
}  // namespace

RegistryView::RegistryView(const Settings& settings, SupportedVersions supported_versions, TeamQuotas file, std::vector<FramePool*> pools)
    : settings_(settings), supported_versions_(std::move(supported_versions)), file_(std::move(file)), pools_(std::move(pools)) {
  expected_.push_back(settings.label);
  for (const auto& p : settings.peers) expected_.push_back(p.label);
  while (expected_.size() < settings.count) expected_.push_back("unnamed-" + std::to_string(expected_.size()));
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
      // Without an answer the record is looked at once more.
      if (step.kind == rollout::Step::Kind::none || store.commit(step.body(), revision, failed) == StoreStatus::ok) break;
    }
    if (!pause_for(stop, kRetryPauseS)) return false;
  }
  spdlog::info("build {}: supports format versions {} to {}, allows up to {} to be activated", supported_versions_.build,
               supported_versions_.min_version, supported_versions_.max_version, supported_versions_.max_allowed_version);
  return true;
}

std::optional<HttpReply> RegistryView::ask(FramePool& peer, const char* target) {
  const double asked = steady_now();
  const auto answer = peer.ask(pack(PeerCall{"GET", target, ""}), kAskTimeoutS);
  return answer ? unpack_reply(*answer, asked) : std::nullopt;
}

std::map<std::string, SupportedVersions> RegistryView::ask_peers(std::stop_token stop) const {
  std::map<std::string, SupportedVersions> out;
  for (std::size_t i = 0; i < pools_.size() && !stop.stop_requested(); ++i) {
    const auto reply = ask(*pools_[i], kSupportedVersionsTarget);
    if (!reply) continue;
    // An answer other than 200 is that of a build from before format versions.
    const auto supported_versions =
        reply->status == 200 ? unpack_supported_versions(reply->body) : std::optional<SupportedVersions>(SupportedVersions{});
    if (supported_versions) out[settings_.peers[i].label] = *supported_versions;
  }
  return out;
}

std::map<std::string, std::optional<TeamQuotas>> RegistryView::quotas_of_all_controllers(const rollout::ControllerRegistry& registry) {
  std::map<std::string, std::optional<TeamQuotas>> out;
  for (const auto& label : expected_) out[label];
  out[settings_.label] = file_;
  std::map<std::uint64_t, TeamQuotas> seen;
  for (std::size_t i = 0; i < pools_.size(); ++i) {
    auto& file = out[settings_.peers[i].label];
    const auto it = registry.find(settings_.peers[i].label);
    const auto digest = it == registry.end() ? 0 : it->second.supported_versions.teams_digest;
    if (digest == supported_versions_.teams_digest) {
      file = file_;
    } else if (const auto known = files_.find(digest); known != files_.end()) {
      file = known->second;
    } else if (digest != 0) {
      const auto reply = ask(*pools_[i], kTeamQuotasTarget);
      auto teams = reply && reply->status == 200 ? unpack_teams(reply->body) : std::nullopt;
      if (teams && digest_of(*teams) == digest) file = std::move(teams);
    }
    if (file && digest != supported_versions_.teams_digest) seen[digest] = *file;
  }
  files_ = std::move(seen);
  return out;
}

std::optional<RegistryView::Seen> RegistryView::observe(StoreClient& store, std::stop_token stop) {
  Rows keys, records;
  // The registry first, then the peers themselves: an answer is newer than the record that it corrects, and a
  // record written in between makes the correction fail.
  if (store.list(kLeadershipPrefix, keys) != StoreStatus::ok || store.list(kRegistryPrefix, records) != StoreStatus::ok)
    return std::nullopt;
  Seen seen;
  try {
    seen.snapshot = rollout::parse_leadership_keys(keys.rows);
  } catch (const std::exception& e) {
    spdlog::error("key-value store: leader keys malformed: {}", e.what());
    return std::nullopt;
  }
  seen.registry = rollout::parse_registry(records.rows);
  seen.answers = ask_peers(stop);
  seen.files = quotas_of_all_controllers(seen.registry);
  return seen;
}

}  // namespace thistlefront
