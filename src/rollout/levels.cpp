#include "rollout/levels.hpp"

#include <algorithm>

namespace thistle::rollout {

namespace {
std::string roster_key(const std::string& label) {
  return kRosterPrefix + label;
}

const Able& able_of(const Roster& roster, const std::string& label) {
  static const Able before_levels;
  const auto it = roster.find(label);
  return it == roster.end() ? before_levels : it->second.able;
}

// The highest level that all have and may switch on; `lacks` names one that lacks the next.
std::uint32_t common_level(const Roster& roster, const std::vector<std::string>& expected, std::uint32_t ours, std::string& lacks) {
  std::uint32_t level = ours;
  for (const auto& label : expected) {
    const Able& able = able_of(roster, label);
    const auto has = std::min(able.most, able.wants);
    if (has >= level) continue;
    level = has;
    lacks =
        label + (roster.contains(label) ? able.most > has ? " (held back by its flag)" : " (build " + able.build + ")" : " (never seen)");
  }
  return level;
}

// What all steps rest on: who leads, and which level is on.
void guard(Step& step, const Look& look, const Leading& leading) {
  step.conditions.push_back({lead_key(look.on.level), leading.epoch});
  step.conditions.push_back({kLevelKey, look.on_stamp});
}

Step plain(Step::Kind kind, LevelOn after, const Look& look, const Leading& leading) {
  Step step;
  step.kind = kind;
  step.after = after;
  guard(step, look, leading);
  return step;
}
}  // namespace

Look look(const std::vector<Row>& rows) {
  Look out;
  const Row* old_key = nullptr;
  const Row* new_key = nullptr;
  for (const auto& row : rows) {
    if (row.key == kLevelKey) {
      out.on = parse_level(row.value);
      out.on_stamp = row.stamp;
    } else if (row.key == kReadyKey) {
      out.ready = parse_ready(row.value);
      out.ready_stamp = row.stamp;
    } else if (row.key == kLeaderKey) {
      old_key = &row;
    } else if (row.key == kLeadKey) {
      new_key = &row;
    }
  }
  const Row* key = out.on.level > 1 ? new_key : old_key;
  if (key) {
    out.leader = parse_leader(key->value);
    out.leader_stamp = key->stamp;
  }
  return out;
}

Roster roster_of(const std::vector<Row>& rows) {
  Roster out;
  const std::string prefix = kRosterPrefix;
  for (const auto& row : rows) {
    if (!row.key.starts_with(prefix)) continue;
    Known known{{}, row.stamp};
    try {
      known.able = parse_able(row.value);
    } catch (const Malformed&) {
      known.able.build = "unknown";
    }
    out[row.key.substr(prefix.size())] = known;
  }
  return out;
}

Step next_step(const Look& look, const Roster& roster, const std::vector<std::string>& expected, const std::map<std::string, Able>& answers,
               const Leading& leading, double wall, double soak_s) {
  using Kind = Step::Kind;
  // What it knows of the ledger holds for the level that it writes by alone.
  if (look.on != leading.level) {
    Step step;
    step.after = look.on;
    step.waits_for = "a leader that knows of the level that is on";
    return step;
  }
  // A peer that answers otherwise than its record says was put back to an older build, or could not write its
  // own.
  for (const auto& [label, able] : answers) {
    const auto it = roster.find(label);
    if (it != roster.end() && it->second.able == able) continue;
    if (it == roster.end() && able == Able{}) continue;  // never seen counts as such a build already
    Step step = plain(Kind::note, look.on, look, leading);
    step.conditions.push_back({roster_key(label), it == roster.end() ? 0 : it->second.stamp});
    step.puts.push_back({roster_key(label), able_value(able), 0});
    return step;
  }
  std::string lacks;
  const auto common = common_level(roster, expected, kMostLevel, lacks);
  Step step;
  step.after = look.on;

  // Down: when a majority of the controllers is held below the level that is on. One with a forgotten flag
  // holds back a switch, and does not undo one.
  std::map<std::uint32_t, std::size_t> wanted;
  for (const auto& label : expected) {
    const Able& able = able_of(roster, label);
    if (able.most >= look.on.level && able.wants < look.on.level) ++wanted[able.wants];
  }
  std::size_t below = 0;
  std::uint32_t lowest = look.on.level;
  for (const auto& [level, controllers] : wanted) {
    below += controllers;
    lowest = std::min(lowest, level);
  }
  const bool down = 2 * below > expected.size() && look.on.level > kLeastLevel;
  if (down) {
    const auto target = std::max(lowest, look.on.level - 1);
    if (!leading.no_older_form.empty()) {
      step.waits_for = "level " + std::to_string(target) + " has no form for " + leading.no_older_form;
      if (look.on.towards == 0) return step;
    } else if (look.on.towards == 0) {
      step = plain(Kind::lower, {look.on.level, target}, look, leading);
      step.puts.push_back({kLevelKey, level_value(step.after), 0});
      return step;
    }
  }
  if (look.on.towards != 0) {
    if (!down || !leading.no_older_form.empty()) {
      step = plain(Kind::no_lower, {look.on.level, 0}, look, leading);
      step.puts.push_back({kLevelKey, level_value(step.after), 0});
      return step;
    }
    if (leading.old_entries) {
      step.waits_for = "entries of level " + std::to_string(look.on.level) + " to be written anew";
      return step;
    }
    step = plain(Kind::lowered, {look.on.towards, 0}, look, leading);
    step.puts.push_back({lead_key(look.on.towards), leader_value(leading.value), leading.hold});
    step.puts.push_back({kLevelKey, level_value(step.after), 0});
    if (look.on.towards == 1) step.removes.push_back(kLeadKey);
    return step;
  }

  // Up, to the highest level that all have, when they have had it for a while.
  const auto next = common;
  if (common <= look.on.level) {
    if (look.on.level < kMostLevel) step.waits_for = lacks;
    if (!look.ready) return step;
    step = plain(Kind::not_ready, look.on, look, leading);
    step.waits_for = lacks;
    step.removes.push_back(kReadyKey);
    return step;
  }
  if (!look.ready || look.ready->level != next) {
    step = plain(Kind::ready, look.on, look, leading);
    step.conditions.push_back({kReadyKey, look.ready_stamp});
    step.puts.push_back({kReadyKey, ready_value({next, wall}), 0});
    return step;
  }
  // A clock that was set back must not make it wait for ever.
  if (wall < look.ready->at + soak_s && wall >= look.ready->at - soak_s) {
    step.waits_for = "all to have had level " + std::to_string(next) + " for a while";
    return step;
  }
  step = plain(Kind::raise, {next, 0}, look, leading);
  step.conditions.push_back({kReadyKey, look.ready_stamp});
  for (const auto& label : expected) step.conditions.push_back({roster_key(label), roster.at(label).stamp});
  step.puts.push_back({kLeadKey, leader_value(leading.value), leading.hold});
  step.puts.push_back({kLevelKey, level_value(step.after), 0});
  if (look.on.level == 1) step.puts.push_back({kLeaderKey, parked_leader_value(next), 0});
  step.removes.push_back(kReadyKey);
  return step;
}

Step enlist(const std::string& label, const Able& able, const Known* known) {
  Step step;
  if (known && known->stamp != 0 && known->able == able) return step;
  step.kind = Step::Kind::note;
  step.conditions.push_back({roster_key(label), known ? known->stamp : 0});
  step.puts.push_back({roster_key(label), able_value(able), 0});
  return step;
}

std::optional<Step> take_lead(const Look& look, const Able& able, const LeaderValue& value, std::uint64_t hold) {
  // Both what is there and what is being written must be within its reach.
  if (look.on.level > able.most || look.on.writes() < able.least || look.on.level < able.least) return std::nullopt;
  Step step;
  step.after = look.on;
  step.conditions = {{lead_key(look.on.level), 0}, {kLevelKey, look.on_stamp}};
  step.puts = {{lead_key(look.on.level), leader_value(value), hold}};
  return step;
}

Step leave_lead(const Look& look) {
  Step step;
  step.after = look.on;
  step.conditions = {{lead_key(look.on.level), look.leader_stamp}};
  step.removes = {lead_key(look.on.level)};
  return step;
}

Step raise_epoch(const LevelOn& on, const LeaderValue& value, std::uint64_t epoch, std::uint64_t hold) {
  Step step;
  step.after = on;
  step.conditions = {{lead_key(on.level), epoch}};
  step.puts = {{lead_key(on.level), leader_value(value), hold}};
  return step;
}

}  // namespace thistle::rollout
