#include "protocol/rollout_messages.hpp"

#include <nlohmann/json.hpp>

#include "transport/frames.hpp"

namespace thistle {

using nlohmann::json;

namespace {
constexpr std::uint16_t kAbleVersion = 1;
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
  return json{{"least", able.least},
              {"most", able.most},
              {"wants", able.wants},
              {"incarnation", able.incarnation},
              {"build", able.build}}
      .dump();
}

Able parse_able(std::string_view value) {
  return read(value, "roster", [](const json& j) {
    return Able{level_of(j, "least"), level_of(j, "most"), level_of(j, "wants"),
                j.at("incarnation").get<std::uint64_t>(), j.at("build").get<std::string>()};
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
  return read(value, kReadyKey, [](const json& j) {
    return Ready{level_of(j, "level"), j.at("at").get<double>()};
  });
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
      .text(able.build);
  return p.take();
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
  if (!u.ok() || able.least < 1 || able.least > able.most || able.wants < 1 || able.wants > able.most)
    return std::nullopt;
  return able;
}

}  // namespace thistle
