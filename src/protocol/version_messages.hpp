// Stored values and messages about format versions (on the wire: levels): the versions that a controller reads and writes, and the
// active version. Called during the rollout of a new version; the rules of a rollout are in rollout/format_versions.hpp.
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

/// Format versions that a controller supports. A build older than format versions reads and writes version 1 only.
struct SupportedVersions {
  std::uint32_t min_version = 1, max_version = 1;  ///< that the build reads and writes
  std::uint32_t max_allowed_version = 1;           ///< highest version that the operator allows to be activated
  std::uint64_t incarnation = 0;                   ///< of the process
  std::string build;
  std::uint64_t teams_digest = 0;  ///< of the teams in the controller's settings; 0: unknown
  friend bool operator==(const SupportedVersions&, const SupportedVersions&) = default;
};

/// The active format version. If none is stored, version 1 is active.
struct ActiveVersion {
  std::uint32_t format_version = 1;
  /// Lower version in which entries are written until none of the active version remains; 0: there is no downgrade.
  std::uint32_t downgrade_to = 0;
  /// The format version in which entries are written.
  [[nodiscard]] std::uint32_t written_version() const { return downgrade_to != 0 ? downgrade_to : format_version; }
  friend bool operator==(const ActiveVersion&, const ActiveVersion&) = default;
};

/// A format version that all controllers are known to support, and since when.
struct VersionReadiness {
  std::uint32_t format_version = 0;
  double since_wall_s = 0;  ///< wall-clock seconds
  friend bool operator==(const VersionReadiness&, const VersionReadiness&) = default;
};

// Keys of the store. The leader holds kLeaderKeyV1 at format version 1 and kLeaderKeyV2 from version 2 on. From version 2 on,
// kLeaderKeyV1 exists without a session lease, so that a build older than format versions never becomes leader.
inline constexpr const char* kLeadershipPrefix = "lead";           ///< prefix of kLeaderKeyV1 and of the next three keys
inline constexpr const char* kLeaderKeyV2 = "lead";                ///< LeaderValue, from version 2 on
inline constexpr const char* kActiveVersionKey = "lead-level";     ///< ActiveVersion
inline constexpr const char* kVersionReadinessKey = "lead-ready";  ///< VersionReadiness
inline constexpr const char* kRegistryPrefix = "roster/";          ///< followed by a controller's label: SupportedVersions
/// The key that the leader holds at a format version.
inline const char* leader_key_for(std::uint32_t format_version) {
  return format_version > 1 ? kLeaderKeyV2 : kLeaderKeyV1;
}

/// Encodes the value of a key with kRegistryPrefix.
std::string supported_versions_value(const SupportedVersions& supported_versions);
/// Reads the value of a key with kRegistryPrefix; throws ProtocolError.
SupportedVersions parse_supported_versions(std::string_view value);
/// Encodes the value of kActiveVersionKey.
std::string active_version_value(const ActiveVersion& active);
/// Reads the value of kActiveVersionKey; throws ProtocolError.
ActiveVersion parse_active_version(std::string_view value);
/// Encodes the value of kVersionReadinessKey.
std::string version_readiness_value(const VersionReadiness& readiness);
/// Reads the value of kVersionReadinessKey; throws ProtocolError.
VersionReadiness parse_version_readiness(std::string_view value);
/// Value of kLeaderKeyV1 while a higher format version is active. It names no controller.
std::string placeholder_leader_value(std::uint32_t format_version);

/// Target of a call that requests a controller's SupportedVersions. The call has the form of a forwarded user request, because a
/// build older than format versions also replies to those, with 404, 503 or another status.
inline constexpr const char* kSupportedVersionsTarget = "/levels";
/// Packs the reply.
std::string pack(const SupportedVersions& supported_versions);
/// Unpacks the reply; nothing if it is malformed. Fields that a later build appends are ignored.
std::optional<SupportedVersions> unpack_supported_versions(std::string_view packed);
/// Target of a call that requests the teams in a controller's settings.
inline constexpr const char* kTeamQuotasTarget = "/teams";
/// Packs the reply: quotas by team name.
std::string pack(const std::map<std::string, TeamQuota>& teams);
/// Unpacks the reply; nothing if it is malformed.
std::optional<std::map<std::string, TeamQuota>> unpack_teams(std::string_view packed);

}  // namespace thistlefront
