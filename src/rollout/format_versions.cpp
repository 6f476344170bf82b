#include "rollout/format_versions.hpp"

#include <algorithm>

namespace thistlefront::rollout {

namespace {
std::string roster_key(const std::string& label) {
  return kRegistryPrefix + label;
}

const SupportedVersions& supported_versions_of(const ControllerRegistry& registry, const std::string& label) {
  static const SupportedVersions before_levels;
  const auto it = registry.find(label);
  return it == registry.end() ? before_levels : it->second.supported_versions;
}

// The highest level that all have and may switch on; `lacks` names one that lacks the next.
std::uint32_t common_level(const ControllerRegistry& registry, const std::vector<std::string>& expected, std::uint32_t ours,
                           std::string& lacks) {
  std::uint32_t format_version = ours;
  for (const auto& label : expected) {
    const SupportedVersions& supported_versions = supported_versions_of(registry, label);
    const auto has = std::min(supported_versions.most, supported_versions.wants);
    if (has >= format_version) continue;
    format_version = has;
    lacks = label + (registry.contains(label)
                         ? supported_versions.most > has ? " (held back by its flag)" : " (build " + supported_versions.build + ")"
                         : " (never seen)");
  }
  return format_version;
}

// What all steps rest on: who leads, and which level is on.
void guard(Step& step, const LeadershipSnapshot& snapshot, const Leading& leading) {
  step.conditions.push_back({leader_key_for(snapshot.on.format_version), leading.fencing_token});
  step.conditions.push_back({kActiveVersionKey, snapshot.active_mod_revision});
}

Step plain(Step::Kind kind, ActiveVersion after, const LeadershipSnapshot& snapshot, const Leading& leading) {
  Step step;
  step.kind = kind;
  step.after = after;
  guard(step, snapshot, leading);
  return step;
}
}  // namespace

LeadershipSnapshot parse_leadership_keys(const std::vector<Row>& rows) {
  LeadershipSnapshot out;
  const Row* old_key = nullptr;
  const Row* new_key = nullptr;
  for (const auto& row : rows) {
    if (row.key == kActiveVersionKey) {
      out.on = parse_active_version(row.value);
      out.active_mod_revision = row.mod_revision;
    } else if (row.key == kVersionReadinessKey) {
      out.ready = parse_version_readiness(row.value);
      out.readiness_mod_revision = row.mod_revision;
    } else if (row.key == kLeaderKeyV1) {
      old_key = &row;
    } else if (row.key == kLeaderKeyV2) {
      new_key = &row;
    }
  }
  const Row* key = out.on.format_version > 1 ? new_key : old_key;
  if (key) {
    out.leader = parse_leader(key->value);
    out.leader_mod_revision = key->mod_revision;
  }
  return out;
}

ControllerRegistry parse_registry(const std::vector<Row>& rows) {
  ControllerRegistry out;
  const std::string prefix = kRegistryPrefix;
  for (const auto& row : rows) {
    if (!row.key.starts_with(prefix)) continue;
    RegisteredController known{{}, row.mod_revision};
    try {
      known.supported_versions = parse_supported_versions(row.value);
    } catch (const ProtocolError&) {
      known.supported_versions.build = "unknown";
    }
    out[row.key.substr(prefix.size())] = known;
  }
  return out;
}

Step next_step(const LeadershipSnapshot& snapshot, const ControllerRegistry& registry, const std::vector<std::string>& expected,
               const std::map<std::string, SupportedVersions>& answers, const Leading& leading, double wall, double soak_s) {
  using Kind = Step::Kind;
  // What it knows of the ledger holds for the level that it writes by alone.
  if (snapshot.on != leading.format_version) {
    Step step;
    step.after = snapshot.on;
    step.blocked_by = "a leader that knows of the level that is on";
    return step;
  }
  // A peer that answers otherwise than its record says was put back to an older build, or could not write its
  // own.
  for (const auto& [label, supported_versions] : answers) {
    const auto it = registry.find(label);
    if (it != registry.end() && it->second.supported_versions == supported_versions) continue;
    if (it == registry.end() && supported_versions == SupportedVersions{}) continue;  // never seen counts as such a build already
    Step step = plain(Kind::note, snapshot.on, snapshot, leading);
    step.conditions.push_back({roster_key(label), it == registry.end() ? 0 : it->second.mod_revision});
    step.puts.push_back({roster_key(label), supported_versions_value(supported_versions), 0});
    return step;
  }
  std::string lacks;
  const auto common = common_level(registry, expected, kMaxFormatVersion, lacks);
  Step step;
  step.after = snapshot.on;

  // Down: when a majority of the controllers is held below the level that is on. One with a forgotten flag
  // holds back a switch, and does not undo one.
  std::map<std::uint32_t, std::size_t> wanted;
  for (const auto& label : expected) {
    const SupportedVersions& supported_versions = supported_versions_of(registry, label);
    if (supported_versions.most >= snapshot.on.format_version && supported_versions.wants < snapshot.on.format_version)
      ++wanted[supported_versions.wants];
  }
  std::size_t below = 0;
  std::uint32_t lowest = snapshot.on.format_version;
  for (const auto& [format_version, controllers] : wanted) {
    below += controllers;
    lowest = std::min(lowest, format_version);
  }
  const bool down = 2 * below > expected.size() && snapshot.on.format_version > kMinFormatVersion;
  if (down) {
    const auto target = std::max(lowest, snapshot.on.format_version - 1);
    if (!leading.no_older_format.empty()) {
      step.blocked_by = "level " + std::to_string(target) + " has no form for " + leading.no_older_format;
      if (snapshot.on.downgrade_to == 0) return step;
    } else if (snapshot.on.downgrade_to == 0) {
      step = plain(Kind::lower, {snapshot.on.format_version, target}, snapshot, leading);
      step.puts.push_back({kActiveVersionKey, active_version_value(step.after), 0});
      return step;
    }
  }
  if (snapshot.on.downgrade_to != 0) {
    if (!down || !leading.no_older_format.empty()) {
      step = plain(Kind::no_lower, {snapshot.on.format_version, 0}, snapshot, leading);
      step.puts.push_back({kActiveVersionKey, active_version_value(step.after), 0});
      return step;
    }
    if (leading.has_old_entries) {
      step.blocked_by = "entries of level " + std::to_string(snapshot.on.format_version) + " to be written anew";
      return step;
    }
    step = plain(Kind::lowered, {snapshot.on.downgrade_to, 0}, snapshot, leading);
    step.puts.push_back({leader_key_for(snapshot.on.downgrade_to), leader_value(leading.value), leading.session_lease});
    step.puts.push_back({kActiveVersionKey, active_version_value(step.after), 0});
    if (snapshot.on.downgrade_to == 1) step.removes.push_back(kLeaderKeyV2);
    return step;
  }

  // Up, to the highest level that all have, when they have had it for a while.
  const auto next = common;
  if (common <= snapshot.on.format_version) {
    if (snapshot.on.format_version < kMaxFormatVersion) step.blocked_by = lacks;
    if (!snapshot.ready) return step;
    step = plain(Kind::not_ready, snapshot.on, snapshot, leading);
    step.blocked_by = lacks;
    step.removes.push_back(kVersionReadinessKey);
    return step;
  }
  if (!snapshot.ready || snapshot.ready->format_version != next) {
    step = plain(Kind::ready, snapshot.on, snapshot, leading);
    step.conditions.push_back({kVersionReadinessKey, snapshot.readiness_mod_revision});
    step.puts.push_back({kVersionReadinessKey, version_readiness_value({next, wall}), 0});
    return step;
  }
  // A clock that was set back must not make it wait for ever.
  if (wall < snapshot.ready->at + soak_s && wall >= snapshot.ready->at - soak_s) {
    step.blocked_by = "all to have had level " + std::to_string(next) + " for a while";
    return step;
  }
  step = plain(Kind::raise, {next, 0}, snapshot, leading);
  step.conditions.push_back({kVersionReadinessKey, snapshot.readiness_mod_revision});
  for (const auto& label : expected) step.conditions.push_back({roster_key(label), registry.at(label).mod_revision});
  step.puts.push_back({kLeaderKeyV2, leader_value(leading.value), leading.session_lease});
  step.puts.push_back({kActiveVersionKey, active_version_value(step.after), 0});
  if (snapshot.on.format_version == 1) step.puts.push_back({kLeaderKeyV1, parked_leader_value(next), 0});
  step.removes.push_back(kVersionReadinessKey);
  return step;
}

Step registration_step(const std::string& label, const SupportedVersions& supported_versions, const RegisteredController* known) {
  Step step;
  if (known && known->mod_revision != 0 && known->supported_versions == supported_versions) return step;
  step.kind = Step::Kind::note;
  step.conditions.push_back({roster_key(label), known ? known->mod_revision : 0});
  step.puts.push_back({roster_key(label), supported_versions_value(supported_versions), 0});
  return step;
}

std::optional<Step> acquire_leadership_step(const LeadershipSnapshot& snapshot, const SupportedVersions& supported_versions,
                                            const LeaderValue& value, std::uint64_t session_lease) {
  // Both what is there and what is being written must be within its reach.
  if (snapshot.on.format_version > supported_versions.most || snapshot.on.writes() < supported_versions.least ||
      snapshot.on.format_version < supported_versions.least)
    return std::nullopt;
  Step step;
  step.after = snapshot.on;
  step.conditions = {{leader_key_for(snapshot.on.format_version), 0}, {kActiveVersionKey, snapshot.active_mod_revision}};
  step.puts = {{leader_key_for(snapshot.on.format_version), leader_value(value), session_lease}};
  return step;
}

Step release_leadership_step(const LeadershipSnapshot& snapshot) {
  Step step;
  step.after = snapshot.on;
  step.conditions = {{leader_key_for(snapshot.on.format_version), snapshot.leader_mod_revision}};
  step.removes = {leader_key_for(snapshot.on.format_version)};
  return step;
}

Step raise_token_step(const ActiveVersion& on, const LeaderValue& value, std::uint64_t fencing_token, std::uint64_t session_lease) {
  Step step;
  step.after = on;
  step.conditions = {{leader_key_for(on.format_version), fencing_token}};
  step.puts = {{leader_key_for(on.format_version), leader_value(value), session_lease}};
  return step;
}

}  // namespace thistlefront::rollout
