// What is stored and exchanged about format versions (on the wire: levels): which versions a controller reads and writes, and
// which one is active. Called by the rollout of a new version; the rules of the rollout are not here.
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

/// What one controller supports. A build from before format versions reads and writes version 1.
struct SupportedVersions {
  std::uint32_t least = 1, most = 1;  ///< format versions that its build reads and writes
  std::uint32_t wants = 1;            ///< the highest one that its operator allows it to activate
  std::uint64_t incarnation = 0;      ///< of the process
  std::string build;
  std::uint64_t teams = 0;  ///< digest of the teams in its settings; 0: not told
  friend bool operator==(const SupportedVersions&, const SupportedVersions&) = default;
};

/// Which format version is active. Without such a record it is version 1.
struct ActiveVersion {
  std::uint32_t format_version = 1;
  std::uint32_t downgrade_to = 0;  ///< entries are written in this lower version until none in the active one is left; 0: no downgrade
  /// The format version in which entries are written.
  [[nodiscard]] std::uint32_t writes() const { return downgrade_to != 0 ? downgrade_to : format_version; }
  friend bool operator==(const ActiveVersion&, const ActiveVersion&) = default;
};

/// Since when all controllers have been seen to support a format version.
struct VersionReadiness {
  std::uint32_t format_version = 0;
  double at = 0;  ///< wall-clock seconds
  friend bool operator==(const VersionReadiness&, const VersionReadiness&) = default;
};

// Keys of the store. The leader holds kLeaderKeyV1 at format version 1 and kLeaderKeyV2 from version 2 on. There kLeaderKeyV1
// exists but belongs to no session, so that a build that knows nothing of format versions never becomes leader.
inline constexpr const char* kLeadershipPrefix = "lead";           ///< prefix of all of these but kRegistryPrefix
inline constexpr const char* kLeaderKeyV2 = "lead";                ///< LeaderValue, from version 2 on
inline constexpr const char* kActiveVersionKey = "lead-level";     ///< ActiveVersion
inline constexpr const char* kVersionReadinessKey = "lead-ready";  ///< VersionReadiness
inline constexpr const char* kRegistryPrefix = "roster/";          ///< followed by a controller's label: SupportedVersions
/// The key that the leader holds at a format version.
inline const char* leader_key_for(std::uint32_t format_version) {
  return format_version > 1 ? kLeaderKeyV2 : kLeaderKeyV1;
}

/// Encodes a value below kRegistryPrefix.
std::string supported_versions_value(const SupportedVersions& supported_versions);
/// Reads one; throws ProtocolError.
SupportedVersions parse_supported_versions(std::string_view value);
/// Encodes the value of kActiveVersionKey.
std::string active_version_value(const ActiveVersion& active);
/// Reads it; throws ProtocolError.
ActiveVersion parse_active_version(std::string_view value);
/// Encodes the value of kVersionReadinessKey.
std::string version_readiness_value(const VersionReadiness& readiness);
/// Reads it; throws ProtocolError.
VersionReadiness parse_version_readiness(std::string_view value);
/// Value of kLeaderKeyV1 while a higher format version is active.
std::string parked_leader_value(std::uint32_t format_version);

/// Target of a call that asks a controller for its SupportedVersions. It is a forwarded request like any other, since a build
/// from before format versions answers those too: with 404 or 503, or with a status of its own.
inline constexpr const char* kSupportedVersionsTarget = "/levels";
/// Packs the answer.
std::string pack(const SupportedVersions& supported_versions);
/// Unpacks it; nothing if it is malformed. What a later build appends is ignored.
std::optional<SupportedVersions> unpack_supported_versions(std::string_view packed);
/// Target of a call that asks a controller for the teams of its settings.
inline constexpr const char* kTeamQuotasTarget = "/teams";
/// Packs the answer: quotas by team name.
std::string pack(const std::map<std::string, TeamQuota>& teams);
/// Unpacks it; nothing if it is malformed.
std::optional<std::map<std::string, TeamQuota>> unpack_teams(std::string_view packed);

}  // namespace thistlefront
