#include "protocol/version_messages.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <iterator>
#include <nlohmann/json.hpp>

#include "model/ledger_records.hpp"
#include "protocol/digest.hpp"
#include "transport/frames.hpp"

namespace thistlefront {

using nlohmann::json;

namespace {
constexpr std::uint16_t kSupportedVersionsFormat = 1, kTeamsFormat = 1;  // of the packed forms
constexpr std::uint32_t kMaxStoredVersion = 1000000;                     // larger numbers are rejected as malformed

// Parses a stored value. `name`: of the value, for error messages.
template <class Read>
auto read_stored(std::string_view value, const char* name, Read read) {
  try {
    return read(json::parse(value.begin(), value.end()));
  } catch (const json::exception& e) {
    throw ProtocolError(name, e.what());
  }
}

std::uint32_t format_version_of(const json& j, const char* field) {
  const auto format_version = j.at(field).get<std::uint64_t>();
  if (format_version < 1 || format_version > kMaxStoredVersion) throw ProtocolError(field, "not a level");
  return static_cast<std::uint32_t>(format_version);
}
}  // namespace

std::string supported_versions_value(const SupportedVersions& supported_versions) {
  json j{{"least", supported_versions.min_version},
         {"most", supported_versions.max_version},
         {"wants", supported_versions.max_allowed_version},
         {"incarnation", supported_versions.incarnation},
         {"build", supported_versions.build}};
  if (supported_versions.teams_digest != 0) j["teams"] = digest_text(supported_versions.teams_digest);
  return j.dump();
}

SupportedVersions parse_supported_versions(std::string_view value) {
  return read_stored(value, "roster", [](const json& j) {
    return SupportedVersions{format_version_of(j, "least"),    format_version_of(j, "most"),
                             format_version_of(j, "wants"),    j.at("incarnation").get<std::uint64_t>(),
                             j.at("build").get<std::string>(), j.contains("teams") ? parse_digest(j.at("teams").get<std::string>()) : 0};
  });
}

std::string active_version_value(const ActiveVersion& active) {
  json j{{"level", active.format_version}};
  if (active.downgrade_to != 0) j["towards"] = active.downgrade_to;
  return j.dump();
}

ActiveVersion parse_active_version(std::string_view value) {
  return read_stored(value, kActiveVersionKey, [](const json& j) {
    return ActiveVersion{format_version_of(j, "level"), j.contains("towards") ? format_version_of(j, "towards") : 0};
  });
}

std::string version_readiness_value(const VersionReadiness& readiness) {
  return json{{"level", readiness.format_version}, {"at", readiness.since_wall_s}}.dump();
}

VersionReadiness parse_version_readiness(std::string_view value) {
  return read_stored(value, kVersionReadinessKey,
                     [](const json& j) { return VersionReadiness{format_version_of(j, "level"), j.at("at").get<double>()}; });
}

std::string placeholder_leader_value(std::uint32_t format_version) {
  // An older build logs this label as the leader's, so that its operator sees why it does not lead. No process has incarnation 0.
  return leader_value({"(state level " + std::to_string(format_version) + ")", 0});
}

std::string pack(const SupportedVersions& supported_versions) {
  Packer packer;
  packer.integer(kSupportedVersionsFormat)
      .integer(supported_versions.min_version)
      .integer(supported_versions.max_version)
      .integer(supported_versions.max_allowed_version)
      .integer(supported_versions.incarnation)
      .text(supported_versions.build)
      .integer(supported_versions.teams_digest);
  return packer.take_bytes();
}

std::string pack(const std::map<std::string, TeamQuota>& teams) {
  Packer packer;
  packer.integer(kTeamsFormat).integer(static_cast<std::uint32_t>(teams.size()));
  for (const auto& [name, quota] : teams) {
    packer.text(name);
    for (const double amount : {quota.guarantee.cores, quota.guarantee.accelerators, quota.limit.cores, quota.limit.accelerators})
      packer.integer(std::bit_cast<std::uint64_t>(amount));
  }
  return packer.take_bytes();
}

std::optional<std::map<std::string, TeamQuota>> unpack_teams(std::string_view packed) {
  Unpacker unpacker(packed);
  if (unpacker.integer<std::uint16_t>() != kTeamsFormat) return std::nullopt;
  std::map<std::string, TeamQuota> teams;
  for (auto remaining = unpacker.integer<std::uint32_t>(); remaining > 0 && unpacker.ok(); --remaining) {
    auto name = unpacker.text();
    double amounts[4] = {};
    for (auto& amount : amounts) amount = std::bit_cast<double>(unpacker.integer<std::uint64_t>());
    if (std::any_of(std::begin(amounts), std::end(amounts), [](double amount) { return !std::isfinite(amount) || amount < 0; }))
      return std::nullopt;
    teams[std::move(name)] = {{amounts[0], amounts[1], 0}, {amounts[2], amounts[3], 0}};
  }
  if (!unpacker.is_fully_read()) return std::nullopt;
  return teams;
}

std::optional<SupportedVersions> unpack_supported_versions(std::string_view packed) {
  Unpacker unpacker(packed);
  // Later formats only append fields.
  if (unpacker.integer<std::uint16_t>() < kSupportedVersionsFormat) return std::nullopt;
  SupportedVersions supported_versions;
  supported_versions.min_version = unpacker.integer<std::uint32_t>();
  supported_versions.max_version = unpacker.integer<std::uint32_t>();
  supported_versions.max_allowed_version = unpacker.integer<std::uint32_t>();
  supported_versions.incarnation = unpacker.integer<std::uint64_t>();
  supported_versions.build = unpacker.text();
  supported_versions.teams_digest = unpacker.integer<std::uint64_t>();
  if (!unpacker.ok() || supported_versions.min_version < 1 || supported_versions.min_version > supported_versions.max_version ||
      supported_versions.max_allowed_version < 1 || supported_versions.max_allowed_version > supported_versions.max_version)
    return std::nullopt;
  return supported_versions;
}

}  // namespace thistlefront
