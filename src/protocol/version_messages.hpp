// What is stored and said about state levels: which levels a controller reads and writes, and which one is
// switched on.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "model/ledger_records.hpp"
#include "protocol/protocol_error.hpp"
#include "protocol/store_messages.hpp"

namespace thistlefront {

// What one controller can do. A build from before levels reads and writes level 1.
struct SupportedVersions {
  std::uint32_t least = 1, most = 1;  // levels that its build reads and writes
  std::uint32_t wants = 1;            // the highest one that its operator lets it switch on
  std::uint64_t incarnation = 0;      // of the process
  std::string build;
  std::uint64_t teams = 0;  // digest of the teams in its settings; 0: it does not say
  friend bool operator==(const SupportedVersions&, const SupportedVersions&) = default;
};

// Which level is on. Where there is no such record, level 1 is.
struct ActiveVersion {
  std::uint32_t format_version = 1;
  std::uint32_t downgrade_to = 0;  // entries are written at this lower one, until none of the level that is on is left; 0: no
  [[nodiscard]] std::uint32_t writes() const { return downgrade_to != 0 ? downgrade_to : format_version; }
  friend bool operator==(const ActiveVersion&, const ActiveVersion&) = default;
};

// Since when all controllers have been seen to have a level (wall seconds).
struct VersionReadiness {
  std::uint32_t format_version = 0;
  double at = 0;
  friend bool operator==(const VersionReadiness&, const VersionReadiness&) = default;
};

// Keys of the state service. The leader holds kLeaderKeyV1 at level 1, and kLeaderKeyV2 from level 2 on, when
// kLeaderKeyV1 is kept by nobody: so a build that knows nothing of levels never takes the lead there.
inline constexpr const char* kLeadershipPrefix = "lead";  // of all of them but the roster
inline constexpr const char* kLeaderKeyV2 = "lead";
inline constexpr const char* kActiveVersionKey = "lead-level";
inline constexpr const char* kVersionReadinessKey = "lead-ready";
inline constexpr const char* kRegistryPrefix = "roster/";
inline const char* leader_key_for(std::uint32_t format_version) {
  return format_version > 1 ? kLeaderKeyV2 : kLeaderKeyV1;
}

std::string supported_versions_value(const SupportedVersions& supported_versions);
SupportedVersions parse_supported_versions(std::string_view value);
std::string active_version_value(const ActiveVersion& on);
ActiveVersion parse_active_version(std::string_view value);
std::string version_readiness_value(const VersionReadiness& ready);
VersionReadiness parse_version_readiness(std::string_view value);
// The leader's key of level 1 while a higher level is on.
std::string parked_leader_value(std::uint32_t format_version);

// Between controllers, asked as any forwarded request is, since a build from before levels answers those too
// (with 404 or 503, and an answer of another status is one of its own).
inline constexpr const char* kSupportedVersionsTarget = "/levels";
std::string pack(const SupportedVersions& supported_versions);
std::optional<SupportedVersions> unpack_supported_versions(std::string_view packed);
// The teams of a controller's settings, by name.
inline constexpr const char* kTeamQuotasTarget = "/teams";
std::string pack(const std::map<std::string, TeamQuota>& teams);
std::optional<std::map<std::string, TeamQuota>> unpack_teams(std::string_view packed);

}  // namespace thistlefront
