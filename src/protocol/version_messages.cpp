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
constexpr std::uint32_t kMaxFormatVersion = 1000000;

// Parses a stored value; `what` is the name to blame.
template <class Read>
auto read(std::string_view value, const char* what, Read read) {
  try {
    return read(json::parse(value.begin(), value.end()));
  } catch (const json::exception& e) {
    throw ProtocolError(what, e.what());
  }
}

std::uint32_t format_version_of(const json& j, const char* field) {
  const auto format_version = j.at(field).get<std::uint64_t>();
  if (format_version < 1 || format_version > kMaxFormatVersion) throw ProtocolError(field, "not a level");
  return static_cast<std::uint32_t>(format_version);
}
}  // namespace

std::string supported_versions_value(const SupportedVersions& supported_versions) {
  json j{{"least", supported_versions.least},
         {"most", supported_versions.most},
         {"wants", supported_versions.wants},
         {"incarnation", supported_versions.incarnation},
         {"build", supported_versions.build}};
  if (supported_versions.teams != 0) j["teams"] = digest_text(supported_versions.teams);
  return j.dump();
}

SupportedVersions parse_supported_versions(std::string_view value) {
  return read(value, "roster", [](const json& j) {
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
  return read(value, kActiveVersionKey, [](const json& j) {
    return ActiveVersion{format_version_of(j, "level"), j.contains("towards") ? format_version_of(j, "towards") : 0};
  });
}

std::string version_readiness_value(const VersionReadiness& readiness) {
  return json{{"level", readiness.format_version}, {"at", readiness.at}}.dump();
}

VersionReadiness parse_version_readiness(std::string_view value) {
  return read(value, kVersionReadinessKey,
              [](const json& j) { return VersionReadiness{format_version_of(j, "level"), j.at("at").get<double>()}; });
}

std::string parked_leader_value(std::uint32_t format_version) {
  // An older build logs this label as the leader's, which tells its operator why it does not lead. No process has incarnation 0.
  return leader_value({"(state level " + std::to_string(format_version) + ")", 0});
}

std::string pack(const SupportedVersions& supported_versions) {
  Packer p;
  p.integer(kSupportedVersionsFormat)
      .integer(supported_versions.least)
      .integer(supported_versions.most)
      .integer(supported_versions.wants)
      .integer(supported_versions.incarnation)
      .text(supported_versions.build)
      .integer(supported_versions.teams);
  return p.take();
}

std::string pack(const std::map<std::string, TeamQuota>& teams) {
  Packer p;
  p.integer(kTeamsFormat).integer(static_cast<std::uint32_t>(teams.size()));
  for (const auto& [name, t] : teams) {
    p.text(name);
    for (const double v : {t.guarantee.cores, t.guarantee.accelerators, t.limit.cores, t.limit.accelerators})
      p.integer(std::bit_cast<std::uint64_t>(v));
  }
  return p.take();
}

std::optional<std::map<std::string, TeamQuota>> unpack_teams(std::string_view packed) {
  Unpacker u(packed);
  if (u.integer<std::uint16_t>() != kTeamsFormat) return std::nullopt;
  std::map<std::string, TeamQuota> out;
  for (auto n = u.integer<std::uint32_t>(); n > 0 && u.ok(); --n) {
    auto name = u.text();
    double v[4] = {};
    for (auto& x : v) x = std::bit_cast<double>(u.integer<std::uint64_t>());
    if (std::any_of(std::begin(v), std::end(v), [](double x) { return !std::isfinite(x) || x < 0; })) return std::nullopt;
    out[std::move(name)] = {{v[0], v[1], 0}, {v[2], v[3], 0}};
  }
  if (!u.done()) return std::nullopt;
  return out;
}

std::optional<SupportedVersions> unpack_supported_versions(std::string_view packed) {
  Unpacker u(packed);
  // A later format only appends fields.
  if (u.integer<std::uint16_t>() < kSupportedVersionsFormat) return std::nullopt;
  SupportedVersions supported_versions;
  supported_versions.least = u.integer<std::uint32_t>();
  supported_versions.most = u.integer<std::uint32_t>();
  supported_versions.wants = u.integer<std::uint32_t>();
  supported_versions.incarnation = u.integer<std::uint64_t>();
  supported_versions.build = u.text();
  supported_versions.teams = u.integer<std::uint64_t>();
  if (!u.ok() || supported_versions.least < 1 || supported_versions.least > supported_versions.most || supported_versions.wants < 1 ||
      supported_versions.wants > supported_versions.most)
    return std::nullopt;
  return supported_versions;
}

}  // namespace thistlefront
