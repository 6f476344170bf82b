// Rolling upgrades of what is stored and of what controllers say to each other, by format versions. A new version is activated
// only when all controllers of the settings have it; until then a new build writes what the old one reads. Flags, metrics and
// stored values call a format version a "state level".
//
// What each version adds:
// | version | ledger                                                            | leader's key  |
// | 1       | entries with a sequence number and records                        | kLeaderKeyV1  |
// | 2       | entries with version, generation, checksum, link; records' extras | kLeaderKeyV2  |
// | 3       | teams' quotas                                                     |               |
// | 4       | dependencies between jobs; keys of entries are reused             |               |
//
// Called by the controller: at its start, in its rollout thread while it leads, and when it acquires or releases the lead.
// Pure: takes what was read from the key-value store and returns a transaction, which the caller sends.
// tests/format_versions_test.cpp explores these very steps exhaustively; docs/rollouts.md has the proof.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/version_messages.hpp"

namespace thistlefront::rollout {

// Versions that this build reads and writes.
inline constexpr std::uint32_t kMinFormatVersion = 1, kMaxFormatVersion = 4;
inline constexpr const char* kBuild = "0.3.0";

// The keys under kLeadershipPrefix, as read at one revision.
struct LeadershipSnapshot {
  ActiveVersion on;                       // the active format version
  std::uint64_t active_mod_revision = 0;  // of its record; 0: there is none
  std::optional<VersionReadiness> ready;
  std::uint64_t readiness_mod_revision = 0;
  std::optional<LeaderValue> leader;      // from the leader's key of the active version
  std::uint64_t leader_mod_revision = 0;  // the fencing token
};
// Throws ProtocolError.
LeadershipSnapshot parse_leadership_keys(const std::vector<Row>& rows);

// A controller's record in the registry.
struct RegisteredController {
  SupportedVersions supported_versions;
  std::uint64_t mod_revision = 0;  // of the record; 0: there is none
  friend bool operator==(const RegisteredController&, const RegisteredController&) = default;
};
using ControllerRegistry = std::map<std::string, RegisteredController>;  // by label
// A record that can't be read counts as one of a build that has version 1 alone.
ControllerRegistry parse_registry(const std::vector<Row>& rows);

// A transaction on the key-value store, and what it is for.
struct Step {
  enum class Kind {
    none,
    note,       // writes a registry record: a controller's own, or as a peer's answer corrects it
    ready,      // all controllers have a higher version: the soak time begins
    not_ready,  // they no longer have it
    raise,      // activates the higher version, with a new fencing token
    lower,      // begins a downgrade: entries are written in a lower version from now on
    no_lower,   // cancels the downgrade
    lowered,    // finishes it: activates the lower version, with a new fencing token
  } kind = Kind::none;
  ActiveVersion after;  // the active version once the step is applied
  std::vector<Condition> conditions;
  std::vector<Put> puts;
  std::vector<std::string> removes;
  // Why nothing more is done: the controller that is waited for, or what prevents it. For the log and the metrics.
  std::string blocked_by;
  [[nodiscard]] bool raises_token() const { return kind == Kind::raise || kind == Kind::lowered; }
  [[nodiscard]] bool sets_version() const { return raises_token() || kind == Kind::lower || kind == Kind::no_lower; }
  [[nodiscard]] std::size_t changes() const { return puts.size() + removes.size(); }
  [[nodiscard]] std::string body() const { return txn_body(conditions, puts, removes); }
};

// What the leader that takes the step knows beside the keys.
struct Leading {
  LeaderValue value;
  std::uint64_t fencing_token = 0, session_lease = 0;
  ActiveVersion format_version;  // as the leader knows it, and writes by
  bool has_old_entries = true;   // some entries of the ledger are of another version than the one being written
  std::string no_older_format;   // what in the ledger can't be written in a lower version; empty: all can
};

// The leader's next step. `expected`: the labels of all controllers of the settings. `answers`: what peers answered last when
// asked directly; a build without format versions counts as SupportedVersions{}. `wall`: wall seconds. `soak_s`: how long all
// must have had a version before it is activated.
Step next_step(const LeadershipSnapshot& snapshot, const ControllerRegistry& registry, const std::vector<std::string>& expected,
               const std::map<std::string, SupportedVersions>& answers, const Leading& leading, double wall, double soak_s);

// Writes a controller's own registry record, at its start. Kind::none if `known`, the record found, is up to date.
Step registration_step(const std::string& label, const SupportedVersions& supported_versions, const RegisteredController* known);

// Acquires the lead, if nobody has it and the active version is still that of the snapshot. Nothing if a build with these
// versions must not lead.
std::optional<Step> acquire_leadership_step(const LeadershipSnapshot& snapshot, const SupportedVersions& supported_versions,
                                            const LeaderValue& value, std::uint64_t session_lease);
// Removes the leader's key, if it is still that of the snapshot. Only for a caller who knows that the leader's process has ended.
Step release_leadership_step(const LeadershipSnapshot& snapshot);
// Writes the leader's key again, which raises the fencing token.
Step raise_token_step(const ActiveVersion& active, const LeaderValue& value, std::uint64_t fencing_token, std::uint64_t session_lease);

}  // namespace thistlefront::rollout
