// What is stored and said about state levels: which levels a controller reads and writes, and which one is
// switched on.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/messages.hpp"

namespace thistle {

// What one controller can do. A build from before levels reads and writes level 1.
struct Able {
  std::uint32_t least = 1, most = 1;  // levels that its build reads and writes
  std::uint32_t wants = 1;            // the highest one that its operator lets it switch on
  std::uint64_t incarnation = 0;      // of the process
  std::string build;
  std::uint64_t teams = 0;  // digest of the teams in its settings; 0: it does not say
  friend bool operator==(const Able&, const Able&) = default;
};

// Which level is on. Where there is no such record, level 1 is.
struct LevelOn {
  std::uint32_t level = 1;
  std::uint32_t towards = 0;  // entries are written at this lower one, until none of the level that is on is left; 0: no
  [[nodiscard]] std::uint32_t writes() const { return towards != 0 ? towards : level; }
  friend bool operator==(const LevelOn&, const LevelOn&) = default;
};

// Since when all controllers have been seen to have a level (wall seconds).
struct Ready {
  std::uint32_t level = 0;
  double at = 0;
  friend bool operator==(const Ready&, const Ready&) = default;
};

// Keys of the state service. The leader holds kLeaderKey at level 1, and kLeadKey from level 2 on, when
// kLeaderKey is kept by nobody: so a build that knows nothing of levels never takes the lead there.
inline constexpr const char* kLeadPrefix = "lead";  // of all of them but the roster
inline constexpr const char* kLeadKey = "lead";
inline constexpr const char* kLevelKey = "lead-level";
inline constexpr const char* kReadyKey = "lead-ready";
inline constexpr const char* kRosterPrefix = "roster/";
inline const char* lead_key(std::uint32_t level) {
  return level > 1 ? kLeadKey : kLeaderKey;
}

std::string able_value(const Able& able);
Able parse_able(std::string_view value);
std::string level_value(const LevelOn& on);
LevelOn parse_level(std::string_view value);
std::string ready_value(const Ready& ready);
Ready parse_ready(std::string_view value);
// The leader's key of level 1 while a higher level is on.
std::string parked_leader_value(std::uint32_t level);

// Between controllers, asked as any forwarded request is, since a build from before levels answers those too
// (with 404 or 503, and an answer of another status is one of its own).
inline constexpr const char* kAbleTarget = "/levels";
std::string pack(const Able& able);
std::optional<Able> unpack_able(std::string_view packed);
// The teams of a controller's settings, by name.
inline constexpr const char* kTeamsTarget = "/teams";
std::string pack(const std::map<std::string, TeamTerms>& teams);
std::optional<std::map<std::string, TeamTerms>> unpack_teams(std::string_view packed);

}  // namespace thistle
