#include "rollout/format_versions.hpp"

#include <algorithm>
#include <utility>

namespace thistlefront::rollout {

namespace {
std::string registry_key(const std::string& label) {
  return kRegistryPrefix + label;
}

// A controller that is not registered counts as a build without format versions, which supports version 1 only.
const SupportedVersions& supported_versions_of(const ControllerRegistry& registry, const std::string& label) {
  static const SupportedVersions kUnregistered;
  const auto it = registry.find(label);
  return it == registry.end() ? kUnregistered : it->second.supported_versions;
}

// A step that is applied only while this leader leads and the active version is that of the snapshot.
Step guarded_step(Step::Kind kind, ActiveVersion active_after, const LeadershipSnapshot& snapshot, const LeaderState& leader) {
  Step step;
  step.kind = kind;
  step.active_after = active_after;
  step.conditions.push_back({leader_key_for(snapshot.active.format_version), leader.fencing_token});
  step.conditions.push_back({kActiveVersionKey, snapshot.active_mod_revision});
  return step;
}

// A step without changes. `blocked_by`: see Step; may be empty.
Step no_step(ActiveVersion active, std::string blocked_by) {
  Step step;
  step.active_after = active;
  step.blocked_by = std::move(blocked_by);
  return step;
}

// Chooses the leader's next step; see next_step(). Created for a single call.
class StepPlanner {
 public:
  StepPlanner(const LeadershipSnapshot& snapshot, const ControllerRegistry& registry, const std::vector<std::string>& expected_labels,
              const LeaderState& leader)
      : snapshot_(snapshot), active_(snapshot.active), registry_(registry), expected_labels_(expected_labels), leader_(leader) {}

  // Corrects a registry record that a peer's reply contradicts, because the peer was reverted to an older build or could not write
  // its own record.
  [[nodiscard]] std::optional<Step> correct_registry(const std::map<std::string, SupportedVersions>& peer_replies) const;
  // The next lower version, if a majority of the controllers allows only versions below the active one; otherwise nothing.
  [[nodiscard]] std::optional<std::uint32_t> downgrade_target() const;
  [[nodiscard]] Step begin_downgrade(std::uint32_t target) const;
  [[nodiscard]] Step cancel_downgrade() const;
  [[nodiscard]] Step finish_downgrade() const;
  // Upgrades to the highest version that all controllers support, once they have supported it for `soak_s`. `wall_s`: wall-clock
  // seconds.
  [[nodiscard]] Step upgrade(double wall_s, double soak_s) const;

 private:
  // The highest version that all controllers support and allow, and a controller that prevents a higher one.
  struct CommonVersion {
    std::uint32_t format_version = kMaxFormatVersion;
    std::string blocking_controller;  // as text for Step::blocked_by; empty: none
  };
  [[nodiscard]] CommonVersion common_version() const;
  [[nodiscard]] std::string describe_blocking_controller(const std::string& label, std::uint32_t highest) const;
  [[nodiscard]] Step withdraw_readiness(const std::string& blocked_by) const;
  [[nodiscard]] Step record_readiness(std::uint32_t target, double wall_s) const;
  [[nodiscard]] Step activate(std::uint32_t target) const;
  [[nodiscard]] Step guarded(Step::Kind kind, ActiveVersion active_after) const {
    return guarded_step(kind, active_after, snapshot_, leader_);
  }

  const LeadershipSnapshot& snapshot_;
  const ActiveVersion& active_;
  const ControllerRegistry& registry_;
  const std::vector<std::string>& expected_labels_;
  const LeaderState& leader_;
};

std::optional<Step> StepPlanner::correct_registry(const std::map<std::string, SupportedVersions>& peer_replies) const {
  for (const auto& [label, replied] : peer_replies) {
    const auto it = registry_.find(label);
    const bool is_registered = it != registry_.end();
    if (supported_versions_of(registry_, label) == replied) continue;
    Step step = guarded(Step::Kind::update_registry, active_);
    step.conditions.push_back({registry_key(label), is_registered ? it->second.mod_revision : 0});
    step.puts.push_back({registry_key(label), supported_versions_value(replied), 0});
    return step;
  }
  return std::nullopt;
}

// Only controllers that support the active version count: what an older build allows says nothing about what the others allow. A
// single controller with a forgotten flag prevents an upgrade but does not cause a downgrade.
std::optional<std::uint32_t> StepPlanner::downgrade_target() const {
  if (active_.format_version <= kMinFormatVersion) return std::nullopt;
  std::size_t controllers_below = 0;
  std::uint32_t lowest_allowed = active_.format_version;
  for (const auto& label : expected_labels_) {
    const auto& versions = supported_versions_of(registry_, label);
    if (versions.max_version < active_.format_version || versions.max_allowed_version >= active_.format_version) continue;
    ++controllers_below;
    lowest_allowed = std::min(lowest_allowed, versions.max_allowed_version);
  }
  if (2 * controllers_below <= expected_labels_.size()) return std::nullopt;
  return std::max(lowest_allowed, active_.format_version - 1);
}

Step StepPlanner::begin_downgrade(std::uint32_t target) const {
  if (!leader_.downgrade_blocker.empty())
    return no_step(active_, "level " + std::to_string(target) + " has no form for " + leader_.downgrade_blocker);
  Step step = guarded(Step::Kind::begin_downgrade, {active_.format_version, target});
  step.puts.push_back({kActiveVersionKey, active_version_value(step.active_after), 0});
  return step;
}

Step StepPlanner::cancel_downgrade() const {
  Step step = guarded(Step::Kind::cancel_downgrade, {active_.format_version, 0});
  step.puts.push_back({kActiveVersionKey, active_version_value(step.active_after), 0});
  return step;
}

Step StepPlanner::finish_downgrade() const {
  if (leader_.has_old_entries)
    return no_step(active_, "entries of level " + std::to_string(active_.format_version) + " to be written anew");
  const auto target = active_.downgrade_to;
  Step step = guarded(Step::Kind::finish_downgrade, {target, 0});
  step.puts.push_back({leader_key_for(target), leader_value(leader_.value), leader_.session_lease});
  step.puts.push_back({kActiveVersionKey, active_version_value(step.active_after), 0});
  if (target == 1) step.removes.push_back(kLeaderKeyV2);
  return step;
}

Step StepPlanner::upgrade(double wall_s, double soak_s) const {
  const auto common = common_version();
  const auto target = common.format_version;
  const auto& readiness = snapshot_.readiness;
  if (target <= active_.format_version) {
    if (readiness) return withdraw_readiness(common.blocking_controller);
    return no_step(active_, active_.format_version < kMaxFormatVersion ? common.blocking_controller : "");
  }
  if (!readiness || readiness->format_version != target) return record_readiness(target, wall_s);
  // Because of the second comparison, a clock that was set back does not delay the upgrade indefinitely.
  if (wall_s < readiness->since_wall_s + soak_s && wall_s >= readiness->since_wall_s - soak_s)
    return no_step(active_, "all to have had level " + std::to_string(target) + " for a while");
  return activate(target);
}

StepPlanner::CommonVersion StepPlanner::common_version() const {
  CommonVersion common;
  for (const auto& label : expected_labels_) {
    const auto& versions = supported_versions_of(registry_, label);
    const auto highest = std::min(versions.max_version, versions.max_allowed_version);
    if (highest >= common.format_version) continue;
    common.format_version = highest;
    common.blocking_controller = describe_blocking_controller(label, highest);
  }
  return common;
}

// `highest`: version that the controller supports and allows. The text goes to the log and the metrics.
std::string StepPlanner::describe_blocking_controller(const std::string& label, std::uint32_t highest) const {
  if (!registry_.contains(label)) return label + " (never seen)";
  const auto& versions = supported_versions_of(registry_, label);
  if (versions.max_version > highest) return label + " (held back by its flag)";
  return label + " (build " + versions.build + ")";
}

Step StepPlanner::withdraw_readiness(const std::string& blocked_by) const {
  Step step = guarded(Step::Kind::withdraw_readiness, active_);
  step.blocked_by = blocked_by;
  step.removes.push_back(kVersionReadinessKey);
  return step;
}

Step StepPlanner::record_readiness(std::uint32_t target, double wall_s) const {
  Step step = guarded(Step::Kind::record_readiness, active_);
  step.conditions.push_back({kVersionReadinessKey, snapshot_.readiness_mod_revision});
  step.puts.push_back({kVersionReadinessKey, version_readiness_value({target, wall_s}), 0});
  return step;
}

// Applied only if the readiness and all registry records are unchanged since the decision.
Step StepPlanner::activate(std::uint32_t target) const {
  Step step = guarded(Step::Kind::activate, {target, 0});
  step.conditions.push_back({kVersionReadinessKey, snapshot_.readiness_mod_revision});
  for (const auto& label : expected_labels_) step.conditions.push_back({registry_key(label), registry_.at(label).mod_revision});
  step.puts.push_back({kLeaderKeyV2, leader_value(leader_.value), leader_.session_lease});
  step.puts.push_back({kActiveVersionKey, active_version_value(step.active_after), 0});
  if (active_.format_version == 1) step.puts.push_back({kLeaderKeyV1, placeholder_leader_value(target), 0});
  step.removes.push_back(kVersionReadinessKey);
  return step;
}
}  // namespace

LeadershipSnapshot parse_leadership_keys(const std::vector<Row>& rows) {
  LeadershipSnapshot snapshot;
  const Row* leader_v1 = nullptr;
  const Row* leader_v2 = nullptr;
  for (const auto& row : rows) {
    if (row.key == kActiveVersionKey) {
      snapshot.active = parse_active_version(row.value);
      snapshot.active_mod_revision = row.mod_revision;
    } else if (row.key == kVersionReadinessKey) {
      snapshot.readiness = parse_version_readiness(row.value);
      snapshot.readiness_mod_revision = row.mod_revision;
    } else if (row.key == kLeaderKeyV1) {
      leader_v1 = &row;
    } else if (row.key == kLeaderKeyV2) {
      leader_v2 = &row;
    }
  }
  // Above version 1, the value at kLeaderKeyV1 is a placeholder that names no controller.
  const Row* leader = snapshot.active.format_version > 1 ? leader_v2 : leader_v1;
  if (leader) {
    snapshot.leader = parse_leader_value(leader->value);
    snapshot.leader_mod_revision = leader->mod_revision;
  }
  return snapshot;
}

ControllerRegistry parse_registry(const std::vector<Row>& rows) {
  ControllerRegistry registry;
  const std::string prefix = kRegistryPrefix;
  for (const auto& row : rows) {
    if (!row.key.starts_with(prefix)) continue;
    RegisteredController controller{{}, row.mod_revision};
    try {
      controller.supported_versions = parse_supported_versions(row.value);
    } catch (const ProtocolError&) {
      controller.supported_versions.build = "unknown";
    }
    registry[row.key.substr(prefix.size())] = controller;
  }
  return registry;
}

Step next_step(const LeadershipSnapshot& snapshot, const ControllerRegistry& registry, const std::vector<std::string>& expected_labels,
               const std::map<std::string, SupportedVersions>& peer_replies, const LeaderState& leader, double wall_s, double soak_s) {
  // The leader's information about the ledger is valid only for the version that it writes.
  if (snapshot.active != leader.active_version) return no_step(snapshot.active, "a leader that knows of the level that is on");
  const StepPlanner planner(snapshot, registry, expected_labels, leader);
  if (auto step = planner.correct_registry(peer_replies)) return *step;
  const auto target = planner.downgrade_target();
  const bool is_downgrading = snapshot.active.downgrade_to != 0;
  if (is_downgrading) return target && leader.downgrade_blocker.empty() ? planner.finish_downgrade() : planner.cancel_downgrade();
  if (target) return planner.begin_downgrade(*target);
  return planner.upgrade(wall_s, soak_s);
}

Step registration_step(const std::string& label, const SupportedVersions& supported_versions, const RegisteredController* stored) {
  Step step;
  if (stored && stored->mod_revision != 0 && stored->supported_versions == supported_versions) return step;
  step.kind = Step::Kind::update_registry;
  step.conditions.push_back({registry_key(label), stored ? stored->mod_revision : 0});
  step.puts.push_back({registry_key(label), supported_versions_value(supported_versions), 0});
  return step;
}

std::optional<Step> acquire_leadership_step(const LeadershipSnapshot& snapshot, const SupportedVersions& supported_versions,
                                            const LeaderValue& value, std::uint64_t session_lease) {
  // During a downgrade the ledger holds entries of both versions: the build must be able to read the higher and write the lower one.
  const auto& active = snapshot.active;
  const bool can_read = active.format_version <= supported_versions.max_version && active.format_version >= supported_versions.min_version;
  const bool can_write = active.written_version() >= supported_versions.min_version;
  if (!can_read || !can_write) return std::nullopt;
  const auto* leader_key = leader_key_for(active.format_version);
  Step step;
  step.active_after = active;
  step.conditions = {{leader_key, 0}, {kActiveVersionKey, snapshot.active_mod_revision}};
  step.puts = {{leader_key, leader_value(value), session_lease}};
  return step;
}

Step release_leadership_step(const LeadershipSnapshot& snapshot) {
  const auto* leader_key = leader_key_for(snapshot.active.format_version);
  Step step;
  step.active_after = snapshot.active;
  step.conditions = {{leader_key, snapshot.leader_mod_revision}};
  step.removes = {leader_key};
  return step;
}

Step raise_token_step(const ActiveVersion& active, const LeaderValue& value, std::uint64_t fencing_token, std::uint64_t session_lease) {
  const auto* leader_key = leader_key_for(active.format_version);
  Step step;
  step.active_after = active;
  step.conditions = {{leader_key, fencing_token}};
  step.puts = {{leader_key, leader_value(value), session_lease}};
  return step;
}

}  // namespace thistlefront::rollout
