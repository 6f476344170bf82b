#include "protocol/rollout_messages.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <iterator>
#include <nlohmann/json.hpp>

#include "protocol/digest.hpp"
#include "transport/frames.hpp"

namespace thistle {

using nlohmann::json;

namespace {
constexpr std::uint16_t kAbleVersion = 1, kTeamsVersion = 1;
constexpr std::uint32_t kMostLevel = 1000000;

template <class Read>
auto read(std::string_view value, const char* what, Read read) {
  try {
    return read(json::parse(value.begin(), value.end()));
  } catch (const json::exception& e) {
    throw Malformed(std::string(what) + ": " + e.what());
  }
}

std::uint32_t level_of(const json& j, const char* field) {
  const auto level = j.at(field).get<std::uint64_t>();
  if (level < 1 || level > kMostLevel) throw Malformed(std::string(field) + ": not a level");
  return static_cast<std::uint32_t>(level);
}
}  // namespace

std::string able_value(const Able& able) {
  json j{{"least", able.least}, {"most", able.most}, {"wants", able.wants}, {"incarnation", able.incarnation}, {"build", able.build}};
  if (able.teams != 0) j["teams"] = digest_text(able.teams);
  return j.dump();
}

Able parse_able(std::string_view value) {
  return read(value, "roster", [](const json& j) {
    return Able{level_of(j, "least"),
                level_of(j, "most"),
                level_of(j, "wants"),
                j.at("incarnation").get<std::uint64_t>(),
                j.at("build").get<std::string>(),
                j.contains("teams") ? parse_digest(j.at("teams").get<std::string>()) : 0};
  });
}

std::string level_value(const LevelOn& on) {
  json j{{"level", on.level}};
  if (on.towards != 0) j["towards"] = on.towards;
  return j.dump();
}

LevelOn parse_level(std::string_view value) {
  return read(value, kLevelKey, [](const json& j) {
    return LevelOn{level_of(j, "level"), j.contains("towards") ? level_of(j, "towards") : 0};
  });
}

std::string ready_value(const Ready& ready) {
  return json{{"level", ready.level}, {"at", ready.at}}.dump();
}

Ready parse_ready(std::string_view value) {
  return read(value, kReadyKey, [](const json& j) { return Ready{level_of(j, "level"), j.at("at").get<double>()}; });
}

std::string parked_leader_value(std::uint32_t level) {
  // An older build logs this label as the leader's: it says why it does not lead. No process has incarnation
  // 0.
  return leader_value({"(state level " + std::to_string(level) + ")", 0});
}

std::string pack(const Able& able) {
  Packer p;
  p.integer(kAbleVersion)
      .integer(able.least)
      .integer(able.most)
      .integer(able.wants)
      .integer(able.incarnation)
      .text(able.build)
      .integer(able.teams);
  return p.take();
}

std::string pack(const std::map<std::string, TeamTerms>& teams) {
  Packer p;
  p.integer(kTeamsVersion).integer(static_cast<std::uint32_t>(teams.size()));
  for (const auto& [name, t] : teams) {
    p.text(name);
    for (const double v : {t.guarantee.cores, t.guarantee.accelerators, t.limit.cores, t.limit.accelerators})
      p.integer(std::bit_cast<std::uint64_t>(v));
  }
  return p.take();
}

std::optional<std::map<std::string, TeamTerms>> unpack_teams(std::string_view packed) {
  Unpacker u(packed);
  if (u.integer<std::uint16_t>() != kTeamsVersion) return std::nullopt;
  std::map<std::string, TeamTerms> out;
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

std::optional<Able> unpack_able(std::string_view packed) {
  Unpacker u(packed);
  // What a later version has more stands behind these.
  if (u.integer<std::uint16_t>() < kAbleVersion) return std::nullopt;
  Able able;
  able.least = u.integer<std::uint32_t>();
  able.most = u.integer<std::uint32_t>();
  able.wants = u.integer<std::uint32_t>();
  able.incarnation = u.integer<std::uint64_t>();
  able.build = u.text();
  able.teams = u.integer<std::uint64_t>();
  if (!u.ok() || able.least < 1 || able.least > able.most || able.wants < 1 || able.wants > able.most) return std::nullopt;
  return able;
}

}  // namespace thistle
