// State levels: how what is stored is written, and what is said between controllers. A new level is switched
// on only when all controllers of the settings have it; until then a new build writes what the old one reads.
// Pure: the state service's keys are looked at, and what comes out is a transaction. tests/levels_test.cpp
// explores these very steps exhaustively; docs/rollouts.md has the proof.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/version_messages.hpp"

namespace thistlefront::rollout {

// Levels that this build reads and writes. 1: entries and leader's key as they were before levels. 2: entries
// carry their level, generation, and checks, and the leader's key is another one.
inline constexpr std::uint32_t kMinFormatVersion = 1, kMaxFormatVersion = 4;
inline constexpr const char* kBuild = "0.3.0";

// What one look at the keys under kLeadershipPrefix tells.
struct LeadershipSnapshot {
  ActiveVersion on;
  std::uint64_t active_mod_revision = 0;  // 0: no such record
  std::optional<VersionReadiness> ready;
  std::uint64_t readiness_mod_revision = 0;
  std::optional<LeaderValue> leader;      // of the key that counts at this level
  std::uint64_t leader_mod_revision = 0;  // the epoch
};
// Throws ProtocolError.
LeadershipSnapshot parse_leadership_keys(const std::vector<Row>& rows);

struct RegisteredController {
  SupportedVersions supported_versions;
  std::uint64_t mod_revision = 0;  // of its record; 0: none
  friend bool operator==(const RegisteredController&, const RegisteredController&) = default;
};
using ControllerRegistry = std::map<std::string, RegisteredController>;  // by label
// Records that can't be read count as of a build that has nothing but level 1.
ControllerRegistry parse_registry(const std::vector<Row>& rows);

// A transaction, and what it is for.
struct Step {
  enum class Kind {
    none,
    note,       // a roster record, as a peer's answer corrects it
    ready,      // all have it: from now on it is seen to
    not_ready,  // no longer
    raise,      // switched on: the epoch is raised with it
    lower,      // entries are written at a lower level from now on
    no_lower,   // and after all not
    lowered,    // the lower one is on: the epoch is raised with it
  } kind = Kind::none;
  ActiveVersion after;  // what is on when it is done
  std::vector<Condition> conditions;
  std::vector<Put> puts;
  std::vector<std::string> removes;
  // Why nothing more is done: which controller is waited for, or what stands against it. For the log and the
  // metrics.
  std::string blocked_by;
  [[nodiscard]] bool raises_token() const { return kind == Kind::raise || kind == Kind::lowered; }
  [[nodiscard]] bool sets_version() const { return raises_token() || kind == Kind::lower || kind == Kind::no_lower; }
  [[nodiscard]] std::size_t changes() const { return puts.size() + removes.size(); }
  [[nodiscard]] std::string body() const { return txn_body(conditions, puts, removes); }
};

// Of the leader that steps: what it knows beside the keys.
struct Leading {
  LeaderValue value;
  std::uint64_t fencing_token = 0, session_lease = 0;
  ActiveVersion format_version;  // as it knows it, and writes by
  bool has_old_entries = true;   // some of the ledger's entries are not of the level being written
  std::string no_older_format;   // what in the ledger can't be written at a lower level; empty: all can
};

// The next step of the leader. `expected`: the labels of all controllers of the settings. `answers`: what
// peers answered last when asked directly; a build from before levels has Able{}.
Step next_step(const LeadershipSnapshot& snapshot, const ControllerRegistry& registry, const std::vector<std::string>& expected,
               const std::map<std::string, SupportedVersions>& answers, const Leading& leading, double wall, double soak_s);

// A controller's own roster record, at its start; nothing to write: Kind::none.
Step registration_step(const std::string& label, const SupportedVersions& supported_versions, const RegisteredController* known);

// The transaction that takes the lead, conditional on the level being still the one looked at. Nothing where
// a build that reads only `able`'s levels must not lead.
std::optional<Step> acquire_leadership_step(const LeadershipSnapshot& snapshot, const SupportedVersions& supported_versions,
                                            const LeaderValue& value, std::uint64_t session_lease);
// Takes the key of a lead away whose process has ended, by whoever knows that for sure; nothing if another leads by then.
Step release_leadership_step(const LeadershipSnapshot& snapshot);
// Raises the leader's epoch.
Step raise_token_step(const ActiveVersion& on, const LeaderValue& value, std::uint64_t fencing_token, std::uint64_t session_lease);

}  // namespace thistlefront::rollout
