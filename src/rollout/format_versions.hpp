// Format versions allow rolling upgrades of stored data and of messages between controllers. A new version is activated only when
// all controllers in the settings support it; until then a new build writes what the old build reads. Flags, metrics and stored
// values call a format version a "state level".
//
// What each version adds:
// | version | ledger                                                               | leader's key  |
// | 1       | entries with a sequence number and records                           | kLeaderKeyV1  |
// | 2       | entries with version, generation, checksum, link; extras of records  | kLeaderKeyV2  |
// | 3       | quotas of teams                                                      |               |
// | 4       | dependencies between jobs; keys of entries are reused                |               |
//
// Called by the controller at its start, in its rollout thread while it leads, and when it acquires or releases leadership.
// Pure: functions take what was read from the key-value store and return a transaction, which the caller sends.
// tests/format_versions_test.cpp explores the steps returned here exhaustively; docs/rollouts.md has the proof.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/version_messages.hpp"

namespace thistlefront::rollout {

// Format versions that this build reads and writes.
inline constexpr std::uint32_t kMinFormatVersion = 1, kMaxFormatVersion = 4;
inline constexpr const char* kBuild = "0.3.0";

// The keys with kLeadershipPrefix, read at one revision.
struct LeadershipSnapshot {
  ActiveVersion active;
  std::uint64_t active_mod_revision = 0;  // of kActiveVersionKey; 0: it does not exist
  std::optional<VersionReadiness> readiness;
  std::uint64_t readiness_mod_revision = 0;  // of kVersionReadinessKey; 0: it does not exist
  std::optional<LeaderValue> leader;         // from the leader's key of the active version
  std::uint64_t leader_mod_revision = 0;     // the fencing token
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
// A record that cannot be read counts as that of a build that supports version 1 only.
ControllerRegistry parse_registry(const std::vector<Row>& rows);

// A transaction on the key-value store and its purpose.
struct Step {
  enum class Kind {
    none,
    update_registry,     // writes a registry record: the controller's own, or that of a peer whose reply contradicts it
    record_readiness,    // all controllers support a higher version: starts the soak time
    withdraw_readiness,  // some controller no longer supports it
    activate,            // activates the higher version, with a new fencing token
    begin_downgrade,     // entries are written in a lower version from now on
    cancel_downgrade,
    finish_downgrade,  // activates the lower version, with a new fencing token
  } kind = Kind::none;
  ActiveVersion active_after;  // the active version after the step has been applied
  std::vector<Condition> conditions;
  std::vector<Put> puts;
  std::vector<std::string> removes;
  // What prevents a change of the version, such as a controller that does not support it yet. For the log and the metrics.
  std::string blocked_by;
  [[nodiscard]] bool raises_token() const { return kind == Kind::activate || kind == Kind::finish_downgrade; }
  [[nodiscard]] bool sets_version() const { return raises_token() || kind == Kind::begin_downgrade || kind == Kind::cancel_downgrade; }
  [[nodiscard]] std::size_t changes() const { return puts.size() + removes.size(); }
  [[nodiscard]] std::string body() const { return txn_body(conditions, puts, removes); }
};

// State of the leader that takes a step, in addition to the keys that it read.
struct LeaderState {
  LeaderValue value;
  std::uint64_t fencing_token = 0, session_lease = 0;
  ActiveVersion active_version;   // as known to the leader, which writes accordingly
  bool has_old_entries = true;    // some ledger entries have another version than the one being written
  std::string downgrade_blocker;  // ledger content that cannot be written in a lower version; empty: none
};

// The leader's next step.
// `expected_labels`: of all controllers in the settings.
// `peer_replies`: each peer's last reply to a direct request; a build without format versions counts as SupportedVersions{}.
// `wall_s`: wall-clock seconds.
// `soak_s`: how long all controllers must have supported a version before it is activated.
Step next_step(const LeadershipSnapshot& snapshot, const ControllerRegistry& registry, const std::vector<std::string>& expected_labels,
               const std::map<std::string, SupportedVersions>& peer_replies, const LeaderState& leader, double wall_s, double soak_s);

// Writes a controller's own registry record at its start. The step is Kind::none if the record is up to date. `stored`: the record
// in the registry; null if there is none.
Step registration_step(const std::string& label, const SupportedVersions& supported_versions, const RegisteredController* stored);

// Acquires leadership if there is no leader and the active version is still that of the snapshot. Returns nothing if a build that
// supports these versions must not lead.
std::optional<Step> acquire_leadership_step(const LeadershipSnapshot& snapshot, const SupportedVersions& supported_versions,
                                            const LeaderValue& value, std::uint64_t session_lease);
// Removes the leader's key if it is still that of the snapshot. Only for callers that know that the leader's process has ended.
Step release_leadership_step(const LeadershipSnapshot& snapshot);
// Rewrites the leader's key, which raises the fencing token.
Step raise_token_step(const ActiveVersion& active, const LeaderValue& value, std::uint64_t fencing_token, std::uint64_t session_lease);

}  // namespace thistlefront::rollout
