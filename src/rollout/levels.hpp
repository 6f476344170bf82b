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

#include "protocol/rollout_messages.hpp"

namespace thistle::rollout {

// Levels that this build reads and writes. 1: entries and leader's key as they were before levels. 2: entries
// carry their level, generation, and checks, and the leader's key is another one.
inline constexpr std::uint32_t kLeastLevel = 1, kMostLevel = 4;
inline constexpr const char* kBuild = "0.3.0";

// What one look at the keys under kLeadPrefix tells.
struct Look {
  LevelOn on;
  std::uint64_t on_stamp = 0;  // 0: no such record
  std::optional<Ready> ready;
  std::uint64_t ready_stamp = 0;
  std::optional<LeaderValue> leader;  // of the key that counts at this level
  std::uint64_t leader_stamp = 0;     // the epoch
};
// Throws Malformed.
Look look(const std::vector<Row>& rows);

struct Known {
  Able able;
  std::uint64_t stamp = 0;  // of its record; 0: none
  friend bool operator==(const Known&, const Known&) = default;
};
using Roster = std::map<std::string, Known>;  // by label
// Records that can't be read count as of a build that has nothing but level 1.
Roster roster_of(const std::vector<Row>& rows);

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
  LevelOn after;  // what is on when it is done
  std::vector<Condition> conditions;
  std::vector<Put> puts;
  std::vector<std::string> removes;
  // Why nothing more is done: which controller is waited for, or what stands against it. For the log and the
  // metrics.
  std::string waits_for;
  [[nodiscard]] bool raises_epoch() const { return kind == Kind::raise || kind == Kind::lowered; }
  [[nodiscard]] bool sets_level() const { return raises_epoch() || kind == Kind::lower || kind == Kind::no_lower; }
  [[nodiscard]] std::size_t changes() const { return puts.size() + removes.size(); }
  [[nodiscard]] std::string body() const { return txn_body(conditions, puts, removes); }
};

// Of the leader that steps: what it knows beside the keys.
struct Leading {
  LeaderValue value;
  std::uint64_t epoch = 0, hold = 0;
  LevelOn level;              // as it knows it, and writes by
  bool old_entries = true;    // some of the ledger's entries are not of the level being written
  std::string no_older_form;  // what in the ledger can't be written at a lower level; empty: all can
};

// The next step of the leader. `expected`: the labels of all controllers of the settings. `answers`: what
// peers answered last when asked directly; a build from before levels has Able{}.
Step next_step(const Look& look, const Roster& roster, const std::vector<std::string>& expected, const std::map<std::string, Able>& answers,
               const Leading& leading, double wall, double soak_s);

// A controller's own roster record, at its start; nothing to write: Kind::none.
Step enlist(const std::string& label, const Able& able, const Known* known);

// The transaction that takes the lead, conditional on the level being still the one looked at. Nothing where
// a build that reads only `able`'s levels must not lead.
std::optional<Step> take_lead(const Look& look, const Able& able, const LeaderValue& value, std::uint64_t hold);
// Takes the key of a lead away whose process has ended, by whoever knows that for sure; nothing if another leads by then.
Step leave_lead(const Look& look);
// Raises the leader's epoch.
Step raise_epoch(const LevelOn& on, const LeaderValue& value, std::uint64_t epoch, std::uint64_t hold);

}  // namespace thistle::rollout
