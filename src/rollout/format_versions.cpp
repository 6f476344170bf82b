#include "rollout/format_versions.hpp"

#include <algorithm>
#include <utility>

namespace thistlefront::rollout {

namespace {
std::string registry_key(const std::string& label) {
  return kRegistryPrefix + label;
}

// A controller that isn't registered counts as one of a build without format versions, which has version 1 alone.
const SupportedVersions& supported_versions_of(const ControllerRegistry& registry, const std::string& label) {
  static const SupportedVersions kUnregistered;
  const auto it = registry.find(label);
  return it == registry.end() ? kUnregistered : it->second.supported_versions;
}

// A step that is applied only while this leader leads and the active version is the one in the snapshot.
Step guarded_step(Step::Kind kind, ActiveVersion after, const LeadershipSnapshot& snapshot, const Leading& leading) {
  Step step;
  step.kind = kind;
  step.after = after;
  step.conditions.push_back({leader_key_for(snapshot.on.format_version), leading.fencing_token});
  step.conditions.push_back({kActiveVersionKey, snapshot.active_mod_revision});
  return step;
}

// Nothing is done, for this reason if there is one.
Step no_step(ActiveVersion active, std::string blocked_by) {
  Step step;
  step.after = active;
  step.blocked_by = std::move(blocked_by);
  return step;
}

// Chooses the leader's next step, see next_step(). Lives for one call.
class StepPlanner {
 public:
  StepPlanner(const LeadershipSnapshot& snapshot, const ControllerRegistry& registry, const std::vector<std::string>& expected,
              const Leading& leading)
      : snapshot_(snapshot), active_(snapshot.on), registry_(registry), expected_(expected), leading_(leading) {}

  // Corrects a registry record that a peer's answer contradicts: the peer was put back to an older build, or could not write
  // its own record.
  [[nodiscard]] std::optional<Step> correct_registry(const std::map<std::string, SupportedVersions>& answers) const;
  // The version that a majority of the controllers wants to go down to, one version at a time; nothing if there is none.
  [[nodiscard]] std::optional<std::uint32_t> downgrade_target() const;
  [[nodiscard]] Step begin_downgrade(std::uint32_t target) const;
  [[nodiscard]] Step cancel_downgrade() const;
  [[nodiscard]] Step finish_downgrade() const;
  // Up to the highest version that all have, once they have had it for `soak_s`. `wall`: wall seconds.
  [[nodiscard]] Step upgrade(double wall, double soak_s) const;

 private:
  // The highest version that all controllers have and may activate, and one that lacks the next.
  struct CommonVersion {
    std::uint32_t format_version = kMaxFormatVersion;
    std::string lacking;
  };
  [[nodiscard]] CommonVersion common_version() const;
  [[nodiscard]] std::string describe_lack(const std::string& label, std::uint32_t has) const;
  [[nodiscard]] Step withdraw_readiness(const std::string& lacking) const;
  [[nodiscard]] Step record_readiness(std::uint32_t target, double wall) const;
  [[nodiscard]] Step activate(std::uint32_t target) const;
  [[nodiscard]] Step guarded(Step::Kind kind, ActiveVersion after) const { return guarded_step(kind, after, snapshot_, leading_); }

  const LeadershipSnapshot& snapshot_;
  const ActiveVersion& active_;
  const ControllerRegistry& registry_;
  const std::vector<std::string>& expected_;
  const Leading& leading_;
};

std::optional<Step> StepPlanner::correct_registry(const std::map<std::string, SupportedVersions>& answers) const {
  for (const auto& [label, answered] : answers) {
    const auto it = registry_.find(label);
    const bool is_registered = it != registry_.end();
    if (supported_versions_of(registry_, label) == answered) continue;
    Step step = guarded(Step::Kind::note, active_);
    step.conditions.push_back({registry_key(label), is_registered ? it->second.mod_revision : 0});
    step.puts.push_back({registry_key(label), supported_versions_value(answered), 0});
    return step;
  }
  return std::nullopt;
}

// Only controllers that have the active version count: of one that lacks it nothing can be concluded for the others. One with a
// forgotten flag holds back an upgrade, but doesn't undo one.
std::optional<std::uint32_t> StepPlanner::downgrade_target() const {
  if (active_.format_version <= kMinFormatVersion) return std::nullopt;
  std::size_t controllers_below = 0;
  std::uint32_t lowest = active_.format_version;
  for (const auto& label : expected_) {
    const auto& versions = supported_versions_of(registry_, label);
    if (versions.most < active_.format_version || versions.wants >= active_.format_version) continue;
    ++controllers_below;
    lowest = std::min(lowest, versions.wants);
  }
  if (2 * controllers_below <= expected_.size()) return std::nullopt;
  return std::max(lowest, active_.format_version - 1);
}

Step StepPlanner::begin_downgrade(std::uint32_t target) const {
  if (!leading_.no_older_format.empty())
    return no_step(active_, "level " + std::to_string(target) + " has no form for " + leading_.no_older_format);
  Step step = guarded(Step::Kind::lower, {active_.format_version, target});
  step.puts.push_back({kActiveVersionKey, active_version_value(step.after), 0});
  return step;
}

Step StepPlanner::cancel_downgrade() const {
  Step step = guarded(Step::Kind::no_lower, {active_.format_version, 0});
  step.puts.push_back({kActiveVersionKey, active_version_value(step.after), 0});
  return step;
}

Step StepPlanner::finish_downgrade() const {
  if (leading_.has_old_entries)
    return no_step(active_, "entries of level " + std::to_string(active_.format_version) + " to be written anew");
  const auto target = active_.downgrade_to;
  Step step = guarded(Step::Kind::lowered, {target, 0});
  step.puts.push_back({leader_key_for(target), leader_value(leading_.value), leading_.session_lease});
  step.puts.push_back({kActiveVersionKey, active_version_value(step.after), 0});
  if (target == 1) step.removes.push_back(kLeaderKeyV2);
  return step;
}

Step StepPlanner::upgrade(double wall, double soak_s) const {
  const auto common = common_version();
  const auto target = common.format_version;
  const auto& ready = snapshot_.ready;
  if (target <= active_.format_version) {
    if (ready) return withdraw_readiness(common.lacking);
    return no_step(active_, active_.format_version < kMaxFormatVersion ? common.lacking : "");
  }
  if (!ready || ready->format_version != target) return record_readiness(target, wall);
  // The second comparison: a clock that was set back must not delay the upgrade for ever.
  if (wall < ready->at + soak_s && wall >= ready->at - soak_s)
    return no_step(active_, "all to have had level " + std::to_string(target) + " for a while");
  return activate(target);
}

StepPlanner::CommonVersion StepPlanner::common_version() const {
  CommonVersion common;
  for (const auto& label : expected_) {
    const auto& versions = supported_versions_of(registry_, label);
    const auto has = std::min(versions.most, versions.wants);
    if (has >= common.format_version) continue;
    common.format_version = has;
    common.lacking = describe_lack(label, has);
  }
  return common;
}

// For the log and the metrics.
std::string StepPlanner::describe_lack(const std::string& label, std::uint32_t has) const {
  if (!registry_.contains(label)) return label + " (never seen)";
  const auto& versions = supported_versions_of(registry_, label);
  if (versions.most > has) return label + " (held back by its flag)";
  return label + " (build " + versions.build + ")";
}

Step StepPlanner::withdraw_readiness(const std::string& lacking) const {
  Step step = guarded(Step::Kind::not_ready, active_);
  step.blocked_by = lacking;
  step.removes.push_back(kVersionReadinessKey);
  return step;
}

Step StepPlanner::record_readiness(std::uint32_t target, double wall) const {
  Step step = guarded(Step::Kind::ready, active_);
  step.conditions.push_back({kVersionReadinessKey, snapshot_.readiness_mod_revision});
  step.puts.push_back({kVersionReadinessKey, version_readiness_value({target, wall}), 0});
  return step;
}

// Applied only if the readiness and all registry records are still those that it was decided by.
Step StepPlanner::activate(std::uint32_t target) const {
  Step step = guarded(Step::Kind::raise, {target, 0});
  step.conditions.push_back({kVersionReadinessKey, snapshot_.readiness_mod_revision});
  for (const auto& label : expected_) step.conditions.push_back({registry_key(label), registry_.at(label).mod_revision});
  step.puts.push_back({kLeaderKeyV2, leader_value(leading_.value), leading_.session_lease});
  step.puts.push_back({kActiveVersionKey, active_version_value(step.after), 0});
  if (active_.format_version == 1) step.puts.push_back({kLeaderKeyV1, parked_leader_value(target), 0});
  step.removes.push_back(kVersionReadinessKey);
  return step;
}
}  // namespace

LeadershipSnapshot parse_leadership_keys(const std::vector<Row>& rows) {
  LeadershipSnapshot out;
  const Row* leader_v1 = nullptr;
  const Row* leader_v2 = nullptr;
  for (const auto& row : rows) {
    if (row.key == kActiveVersionKey) {
      out.on = parse_active_version(row.value);
      out.active_mod_revision = row.mod_revision;
    } else if (row.key == kVersionReadinessKey) {
      out.ready = parse_version_readiness(row.value);
      out.readiness_mod_revision = row.mod_revision;
    } else if (row.key == kLeaderKeyV1) {
      leader_v1 = &row;
    } else if (row.key == kLeaderKeyV2) {
      leader_v2 = &row;
    }
  }
  // Above version 1 the key of version 1 is parked: no controller holds it.
  const Row* leader = out.on.format_version > 1 ? leader_v2 : leader_v1;
  if (leader) {
    out.leader = parse_leader(leader->value);
    out.leader_mod_revision = leader->mod_revision;
  }
  return out;
}

ControllerRegistry parse_registry(const std::vector<Row>& rows) {
  ControllerRegistry out;
  const std::string prefix = kRegistryPrefix;
  for (const auto& row : rows) {
    if (!row.key.starts_with(prefix)) continue;
    RegisteredController controller{{}, row.mod_revision};
    try {
      controller.supported_versions = parse_supported_versions(row.value);
    } catch (const ProtocolError&) {
      controller.supported_versions.build = "unknown";
    }
    out[row.key.substr(prefix.size())] = controller;
  }
  return out;
}

Step next_step(const LeadershipSnapshot& snapshot, const ControllerRegistry& registry, const std::vector<std::string>& expected,
               const std::map<std::string, SupportedVersions>& answers, const Leading& leading, double wall, double soak_s) {
  // What the leader knows of the ledger holds only for the version that it writes.
  if (snapshot.on != leading.format_version) return no_step(snapshot.on, "a leader that knows of the level that is on");
  const StepPlanner planner(snapshot, registry, expected, leading);
  if (auto step = planner.correct_registry(answers)) return *step;
  const auto target = planner.downgrade_target();
  const bool is_downgrading = snapshot.on.downgrade_to != 0;
  if (is_downgrading) return target && leading.no_older_format.empty() ? planner.finish_downgrade() : planner.cancel_downgrade();
  if (target) return planner.begin_downgrade(*target);
  return planner.upgrade(wall, soak_s);
}

Step registration_step(const std::string& label, const SupportedVersions& supported_versions, const RegisteredController* known) {
  Step step;
  if (known && known->mod_revision != 0 && known->supported_versions == supported_versions) return step;
  step.kind = Step::Kind::note;
  step.conditions.push_back({registry_key(label), known ? known->mod_revision : 0});
  step.puts.push_back({registry_key(label), supported_versions_value(supported_versions), 0});
  return step;
}

std::optional<Step> acquire_leadership_step(const LeadershipSnapshot& snapshot, const SupportedVersions& supported_versions,
                                            const LeaderValue& value, std::uint64_t session_lease) {
  // During a downgrade the ledger holds entries of both versions: the build must read the one and write the other.
  const auto& active = snapshot.on;
  const bool reads_all = active.format_version <= supported_versions.most && active.format_version >= supported_versions.least;
  const bool writes = active.writes() >= supported_versions.least;
  if (!reads_all || !writes) return std::nullopt;
  const auto* leader_key = leader_key_for(active.format_version);
  Step step;
  step.after = active;
  step.conditions = {{leader_key, 0}, {kActiveVersionKey, snapshot.active_mod_revision}};
  step.puts = {{leader_key, leader_value(value), session_lease}};
  return step;
}

Step release_leadership_step(const LeadershipSnapshot& snapshot) {
  const auto* leader_key = leader_key_for(snapshot.on.format_version);
  Step step;
  step.after = snapshot.on;
  step.conditions = {{leader_key, snapshot.leader_mod_revision}};
  step.removes = {leader_key};
  return step;
}

Step raise_token_step(const ActiveVersion& active, const LeaderValue& value, std::uint64_t fencing_token, std::uint64_t session_lease) {
  const auto* leader_key = leader_key_for(active.format_version);
  Step step;
  step.after = active;
  step.conditions = {{leader_key, fencing_token}};
  step.puts = {{leader_key, leader_value(value), session_lease}};
  return step;
}

}  // namespace thistlefront::rollout
