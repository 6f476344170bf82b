// Exhaustive exploration of the steps between format versions: three controllers of old and new builds, a key-value store, and every
// interleaving (up to a number of events) of reads, transactions that are late or lost or whose replies are lost, expiries of session
// leases, stops and starts of processes, upgrades and downgrades. The steps are those that the service sends.
#include "rollout/format_versions.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <unordered_set>

namespace thistlefront::rollout {
namespace {

enum class Build : std::uint8_t { without_versions, supports_one, supports_two_allows_one, supports_two, supports_three, supports_four };

SupportedVersions supported_versions_of(Build build, std::uint64_t incarnation) {
  switch (build) {
    case Build::without_versions: return {};
    case Build::supports_one: return {1, 1, 1, incarnation, "a"};
    case Build::supports_two_allows_one: return {1, 2, 1, incarnation, "b"};
    case Build::supports_three: return {1, 3, 3, incarnation, "c"};
    case Build::supports_four: return {1, 4, 4, incarnation, "d"};
    default: return {1, 2, 2, incarnation, "b"};
  }
}

struct StoredKey {
  std::string value;
  std::uint64_t mod_revision = 0, session_lease = 0;
};
struct LeaderTerm {
  std::uint64_t fencing_token = 0, session_lease = 0;
  ActiveVersion active_version;
};
// A transaction that was sent and has not yet reached the store.
struct PendingTransaction {
  std::size_t sender = 0;
  std::uint64_t incarnation = 0;
  bool acquires_leadership = false;
  Build build = Build::supports_two;
  Step step;
};
struct ControllerProcess {
  bool is_running = true;
  Build build = Build::supports_two;
  std::uint64_t incarnation = 0;
  std::optional<LeaderTerm> term;
};
constexpr std::size_t kControllers = 3;
const std::vector<std::string> kLabels{"a", "b", "c"};
// By format version: a key that exists if the ledger has entries of that version.
const std::string kEntriesKeys[] = {"", "ledger/of-1", "ledger/of-2", "ledger/of-3", "ledger/of-4"};

struct ModelState {
  std::map<std::string, StoredKey> keys;
  std::uint64_t revision = 0, last_session_lease = 0;
  std::set<std::uint64_t> session_leases;  // that have not expired
  std::vector<ControllerProcess> controllers{kControllers};
  std::vector<PendingTransaction> pending;

  // States that differ only in the numbers of revisions and session leases have the same text.
  [[nodiscard]] std::string text() const {
    std::map<std::uint64_t, std::size_t> mod_revision_ranks, session_lease_ranks;
    const auto collect = [](auto& ranks, std::uint64_t number) { ranks.emplace(number, 0); };
    collect(mod_revision_ranks, 0), collect(session_lease_ranks, 0);
    for (const auto& [key, stored] : keys)
      collect(mod_revision_ranks, stored.mod_revision), collect(session_lease_ranks, stored.session_lease);
    for (const auto& controller : controllers)
      if (controller.term)
        collect(mod_revision_ranks, controller.term->fencing_token), collect(session_lease_ranks, controller.term->session_lease);
    for (const auto& transaction : pending) {
      for (const auto& condition : transaction.step.conditions) collect(mod_revision_ranks, condition.mod_revision);
      for (const auto& put : transaction.step.puts) collect(session_lease_ranks, put.session_lease);
    }
    std::size_t next_rank = 0;
    for (auto& [number, rank] : mod_revision_ranks) rank = next_rank++;
    next_rank = 0;
    for (auto& [number, rank] : session_lease_ranks) rank = next_rank++;
    std::string out;
    const auto add = [&](auto number) { out += std::to_string(number) + ","; };
    for (const auto& [key, stored] : keys)
      out += key + stored.value, add(mod_revision_ranks.at(stored.mod_revision)), add(session_lease_ranks.at(stored.session_lease));
    for (const auto& [number, rank] : session_lease_ranks) add(session_leases.contains(number));
    for (const auto& controller : controllers) {
      out += "|", add(controller.is_running), add(static_cast<int>(controller.build)), add(controller.incarnation);
      if (controller.term)
        add(mod_revision_ranks.at(controller.term->fencing_token)), add(session_lease_ranks.at(controller.term->session_lease)),
            out += active_version_value(controller.term->active_version);
    }
    for (const auto& transaction : pending) {
      out += "/", add(transaction.sender), add(transaction.incarnation);
      for (const auto& condition : transaction.step.conditions) out += condition.key, add(mod_revision_ranks.at(condition.mod_revision));
      for (const auto& put : transaction.step.puts) out += put.key + put.value, add(session_lease_ranks.at(put.session_lease));
      for (const auto& key : transaction.step.removes) out += "-" + key;
    }
    return out;
  }
  [[nodiscard]] std::vector<Row> rows(const std::string& prefix) const {
    std::vector<Row> out;
    for (const auto& [key, stored] : keys)
      if (key.starts_with(prefix)) out.push_back({key, stored.value, stored.mod_revision});
    return out;
  }
  [[nodiscard]] bool has_entries_of(std::uint32_t format_version) const { return keys.contains(kEntriesKeys[format_version]); }
  // Keys of entries of versions other than `format_version`, from `min_version` on.
  [[nodiscard]] std::vector<std::string> entries_of_other_versions(std::uint32_t format_version, std::uint32_t min_version = 1) const {
    std::vector<std::string> out;
    for (std::uint32_t version = min_version; version <= kMaxFormatVersion; ++version)
      if (version != format_version && has_entries_of(version)) out.push_back(kEntriesKeys[version]);
    return out;
  }
  [[nodiscard]] LeadershipSnapshot snapshot() const { return rollout::parse_leadership_keys(rows(kLeadershipPrefix)); }
  void expire(std::uint64_t session_lease) {
    session_leases.erase(session_lease);
    std::erase_if(keys, [&](const auto& key) { return key.second.session_lease == session_lease; });
  }
  // Applies or rejects a transaction, as the key-value store does.
  bool execute(const Step& step) {
    for (const auto& condition : step.conditions) {
      const auto it = keys.find(condition.key);
      if ((it == keys.end() ? 0 : it->second.mod_revision) != condition.mod_revision) return false;
    }
    for (const auto& put : step.puts)
      if (put.session_lease != 0 && !session_leases.contains(put.session_lease)) return false;
    ++revision;
    for (const auto& put : step.puts) keys[put.key] = {put.value, revision, put.session_lease};
    for (const auto& key : step.removes) keys.erase(key);
    return true;
  }
};

// Removes guards from steps, to check that the exploration then finds a violation.
struct GuardRemoval {
  std::function<void(Step&)> in_activate, in_acquire, in_finish_downgrade;
  bool forgets_old_entries = false;
};

class Explorer {
 public:
  explicit Explorer(GuardRemoval guard_removal) : guard_removal_(std::move(guard_removal)) {}

  // Explores all states within `max_events` events of `first`. Returns the first violation found, with the events that led to it.
  std::string run(ModelState first, std::size_t max_events) {
    std::deque<std::pair<ModelState, std::vector<std::string>>> queue;
    visited_.insert(first.text());
    queue.push_back({std::move(first), {}});
    while (!queue.empty()) {
      auto [state, events] = std::move(queue.front());
      queue.pop_front();
      if (events.size() >= max_events) continue;
      std::string first_violation;
      expand(state, [&](ModelState next, const std::string& event, const std::string& violation) {
        auto next_events = events;
        next_events.push_back(event);
        if (first_violation.empty() && !violation.empty()) {
          for (const auto& past_event : next_events) first_violation += past_event + "; ";
          first_violation += violation;
        }
        if (visited_.insert(next.text()).second) queue.push_back({std::move(next), std::move(next_events)});
      });
      if (!first_violation.empty()) return first_violation;
    }
    return "";
  }
  [[nodiscard]] std::size_t explored_states() const { return visited_.size(); }
  std::set<Step::Kind> applied;
  std::size_t max_pending = 2;
  std::vector<Build> builds{Build::without_versions, Build::supports_two};

 private:
  // Called with a next state, the event that leads to it, and the violation; empty: none.
  using Visitor = std::function<void(ModelState, const std::string&, const std::string&)>;

  static std::uint64_t new_session_lease(ModelState& state) {
    state.session_leases.insert(++state.last_session_lease);
    return state.last_session_lease;
  }

  // The invariant that an applied transaction violates; empty: none. `before` and `after`: states around the transaction.
  std::string find_violation(const ModelState& before, const ModelState& after, const PendingTransaction& transaction) {
    const auto is_held = [&](const char* key) {
      const auto it = after.keys.find(key);
      return it != after.keys.end() && it->second.session_lease != 0;
    };
    if (is_held(kLeaderKeyV1) && is_held(kLeaderKeyV2)) return "both leader keys are held";
    const SupportedVersions supported_versions = supported_versions_of(transaction.build, 0);
    const Step& step = transaction.step;
    for (std::uint32_t format_version = 1; format_version <= kMaxFormatVersion; ++format_version)
      if (transaction.acquires_leadership && before.has_entries_of(format_version) && format_version > supported_versions.max_version)
        return "a build leads that cannot read the ledger";
    // Such a build may still write its own record in the registry.
    if (step.kind != Step::Kind::update_registry && before.snapshot().active.format_version > supported_versions.max_version)
      return "a build wrote while a format version that it does not support was active";
    if (step.kind == Step::Kind::activate)
      for (const auto& label : kLabels) {
        const auto registry = parse_registry(before.rows(kRegistryPrefix));
        if (!registry.contains(label) || registry.at(label).supported_versions.max_version < step.active_after.format_version)
          return "a version was activated that " + label + " does not support";
      }
    if (step.kind == Step::Kind::finish_downgrade && !before.entries_of_other_versions(0, step.active_after.format_version + 1).empty())
      return "a downgrade was finished while entries of the higher version remained";
    return "";
  }

  void send(ModelState state, std::size_t sender, Step step, const std::string& event, const Visitor& visit,
            bool acquires_leadership = false) {
    if (state.pending.size() >= max_pending) return;
    const auto& controller = state.controllers[sender];
    state.pending.push_back({sender, controller.incarnation, acquires_leadership, controller.build, std::move(step)});
    visit(std::move(state), event, "");
  }

  void expand(const ModelState& state, const Visitor& visit) {
    for (std::size_t t = 0; t < state.pending.size(); ++t) {
      const PendingTransaction transaction = state.pending[t];
      for (const bool has_reply : {true, false}) {
        ModelState next = state;
        next.pending.erase(next.pending.begin() + static_cast<long>(t));
        const bool is_applied = next.execute(transaction.step);
        if (is_applied) applied.insert(transaction.step.kind);
        const auto violation = is_applied ? find_violation(state, next, transaction) : "";
        auto& controller = next.controllers[transaction.sender];
        if (has_reply && controller.is_running && controller.incarnation == transaction.incarnation)
          receive_reply(next, controller, transaction, is_applied);
        visit(std::move(next),
              std::string(is_applied ? "applied" : "rejected") + (has_reply ? "" : ", reply lost,") + " for " + kLabels[transaction.sender],
              violation);
      }
      ModelState lost = state;
      lost.pending.erase(lost.pending.begin() + static_cast<long>(t));
      visit(std::move(lost), "transaction lost of " + kLabels[transaction.sender], "");
    }
    for (const auto session_lease : state.session_leases) {
      ModelState next = state;
      next.expire(session_lease);
      visit(std::move(next), "a session lease expires", "");
    }
    for (std::size_t i = 0; i < kControllers; ++i) expand_controller(state, i, visit);
  }

  static void receive_reply(ModelState& state, ControllerProcess& controller, const PendingTransaction& transaction, bool is_applied) {
    const Step& step = transaction.step;
    if (transaction.acquires_leadership) {
      if (is_applied) controller.term = LeaderTerm{state.revision, step.puts.front().session_lease, step.active_after};
      return;
    }
    if (!controller.term) return;
    if (is_applied) {
      if (step.raises_token()) controller.term->fencing_token = state.revision;
      if (step.sets_version()) controller.term->active_version = step.active_after;
      return;
    }
    // As RolloutManager does.
    const LeadershipSnapshot snapshot = state.snapshot();
    if (!snapshot.leader || snapshot.leader->incarnation != transaction.incarnation ||
        snapshot.leader_mod_revision < controller.term->fencing_token) {
      controller.term.reset();
    } else {
      controller.term->fencing_token = snapshot.leader_mod_revision;
      controller.term->active_version = snapshot.active;
    }
  }

  void expand_controller(const ModelState& state, std::size_t i, const Visitor& visit) {
    const auto& controller = state.controllers[i];
    if (controller.is_running) {
      ModelState next = state;
      next.controllers[i].is_running = false;
      next.controllers[i].term.reset();
      visit(std::move(next), kLabels[i] + " stops", "");
    } else {
      for (const Build build : builds) {
        ModelState next = state;
        auto& started = next.controllers[i];
        started = {true, build, started.incarnation + 1, {}};
        visit(std::move(next), kLabels[i] + " starts as build " + std::to_string(static_cast<int>(build)), "");
      }
      return;
    }
    const SupportedVersions supported_versions = supported_versions_of(controller.build, controller.incarnation);
    const auto registry = parse_registry(state.rows(kRegistryPrefix));
    if (controller.build != Build::without_versions) {
      const auto it = registry.find(kLabels[i]);
      const auto step = registration_step(kLabels[i], supported_versions, it == registry.end() ? nullptr : &it->second);
      if (step.kind != Step::Kind::none) send(state, i, step, kLabels[i] + " registers", visit);
    }
    const LeadershipSnapshot snapshot = state.snapshot();
    const LeaderValue value{kLabels[i], controller.incarnation};
    if (!controller.term) {
      ModelState next = state;
      const auto session_lease = new_session_lease(next);
      if (controller.build == Build::without_versions) {
        Step step;
        step.conditions = {{kLeaderKeyV1, 0}};
        step.puts = {{kLeaderKeyV1, leader_value(value), session_lease}};
        if (!state.keys.contains(kLeaderKeyV1)) send(std::move(next), i, step, kLabels[i] + " acquires leadership", visit, true);
      } else if (auto step = acquire_leadership_step(snapshot, supported_versions, value, session_lease); step && !snapshot.leader) {
        if (guard_removal_.in_acquire) guard_removal_.in_acquire(*step);
        send(std::move(next), i, std::move(*step), kLabels[i] + " acquires leadership", visit, true);
      }
      return;
    }
    const LeaderTerm& term = *controller.term;
    // The leader writes an entry, or rewrites the last entries of another version.
    Step commit;
    commit.active_after = term.active_version;
    commit.conditions = {{leader_key_for(term.active_version.format_version), term.fencing_token}};
    const auto written_version = term.active_version.written_version();
    if (!state.has_entries_of(written_version)) {
      commit.puts = {{kEntriesKeys[written_version], "{}", 0}};
      send(state, i, commit, kLabels[i] + " writes an entry", visit);
    }
    const auto old_entries = state.entries_of_other_versions(written_version);
    const bool has_old_entries = !old_entries.empty();
    if (has_old_entries && state.has_entries_of(written_version)) {
      commit.puts.clear();
      commit.removes = old_entries;
      send(state, i, commit, kLabels[i] + " finishes rewriting old entries", visit);
    }
    if (controller.build == Build::without_versions) return;
    std::map<std::string, SupportedVersions> peer_replies;
    for (std::size_t p = 0; p < kControllers; ++p)
      if (p != i && state.controllers[p].is_running)
        peer_replies[kLabels[p]] = supported_versions_of(state.controllers[p].build, state.controllers[p].incarnation);
    if (snapshot.leader_mod_revision != term.fencing_token) return;
    Step step = next_step(
        snapshot, registry, kLabels, peer_replies,
        {value, term.fencing_token, term.session_lease, term.active_version, has_old_entries && !guard_removal_.forgets_old_entries, {}}, 0,
        0);
    if (step.kind == Step::Kind::none) return;
    if (step.kind == Step::Kind::activate && guard_removal_.in_activate) guard_removal_.in_activate(step);
    if (step.kind == Step::Kind::finish_downgrade && guard_removal_.in_finish_downgrade) guard_removal_.in_finish_downgrade(step);
    send(state, i, std::move(step), kLabels[i] + " sends step " + std::to_string(static_cast<int>(step.kind)), visit);
  }

  GuardRemoval guard_removal_;
  std::unordered_set<std::string> visited_;
};

// A state in which all controllers have this build and are registered, and the first one leads in this version and has written an entry.
ModelState state_with_leader(std::uint32_t format_version, Build build, bool next_version_is_ready) {
  ModelState state;
  for (std::size_t i = 0; i < kControllers; ++i) {
    state.controllers[i] = {true, build, 100 * i + 1, {}};
    state.keys[kRegistryPrefix + kLabels[i]] = {supported_versions_value(supported_versions_of(build, state.controllers[i].incarnation)),
                                                ++state.revision, 0};
  }
  state.session_leases.insert(++state.last_session_lease);
  if (format_version > 1) {
    state.keys[kActiveVersionKey] = {active_version_value({format_version, 0}), ++state.revision, 0};
    state.keys[kLeaderKeyV1] = {placeholder_leader_value(format_version), ++state.revision, 0};
  }
  state.keys[leader_key_for(format_version)] = {leader_value({"a", state.controllers[0].incarnation}), ++state.revision, 1};
  state.controllers[0].term = LeaderTerm{state.revision, 1, {format_version, 0}};
  state.keys[kEntriesKeys[format_version]] = {"{}", ++state.revision, 0};
  if (next_version_is_ready) state.keys[kVersionReadinessKey] = {version_readiness_value({format_version + 1, 0}), ++state.revision, 0};
  return state;
}

void remove_conditions(Step& step, const std::string& key_prefix) {
  std::erase_if(step.conditions, [&](const auto& condition) { return condition.key.starts_with(key_prefix); });
}

TEST(FormatVersions, InvariantsHoldInEveryInterleavingOfARollout) {
  Explorer upgrade({});
  EXPECT_EQ(upgrade.run(state_with_leader(1, Build::supports_two, true), 8), "");
  EXPECT_TRUE(upgrade.applied.contains(Step::Kind::activate));
  EXPECT_TRUE(upgrade.applied.contains(Step::Kind::update_registry));
  EXPECT_TRUE(upgrade.applied.contains(Step::Kind::withdraw_readiness));
  Explorer from_nothing({});
  ModelState empty;
  for (std::size_t i = 0; i < kControllers; ++i) empty.controllers[i].incarnation = 100 * i + 1;
  EXPECT_EQ(from_nothing.run(empty, 7), "");
  Explorer downgrade({});
  downgrade.builds = {Build::without_versions, Build::supports_two_allows_one};
  EXPECT_EQ(downgrade.run(state_with_leader(2, Build::supports_two_allows_one, false), 9), "");
  EXPECT_TRUE(downgrade.applied.contains(Step::Kind::begin_downgrade));
  EXPECT_TRUE(downgrade.applied.contains(Step::Kind::finish_downgrade));
  // Some restarted controllers allow version 2, others only version 1.
  Explorer mixed_builds({});
  mixed_builds.builds = {Build::supports_one, Build::supports_two};
  EXPECT_EQ(mixed_builds.run(state_with_leader(2, Build::supports_two_allows_one, false), 8), "");
  // An upgrade by one version, and one by several versions at once in which controllers may restart with an older build at any time.
  Explorer one_version({}), several_versions({});
  one_version.builds = {Build::supports_three, Build::supports_four};
  EXPECT_EQ(one_version.run(state_with_leader(3, Build::supports_four, true), 8), "");
  EXPECT_TRUE(one_version.applied.contains(Step::Kind::activate));
  several_versions.builds = {Build::without_versions, Build::supports_three, Build::supports_four};
  ModelState ready_for_four = state_with_leader(1, Build::supports_four, false);
  ready_for_four.keys[kVersionReadinessKey] = {version_readiness_value({4, 0}), ++ready_for_four.revision, 0};
  EXPECT_EQ(several_versions.run(ready_for_four, 7), "");
  EXPECT_TRUE(several_versions.applied.contains(Step::Kind::activate));
  std::printf("%zu + %zu states\n", one_version.explored_states(), several_versions.explored_states());
  RecordProperty("states", static_cast<int>(upgrade.explored_states() + from_nothing.explored_states() + downgrade.explored_states() +
                                            mixed_builds.explored_states()));
  std::printf("%zu + %zu + %zu + %zu states\n", upgrade.explored_states(), from_nothing.explored_states(), downgrade.explored_states(),
              mixed_builds.explored_states());
  EXPECT_GT(upgrade.explored_states(), 10000u);
}

TEST(FormatVersions, RemovingAnyGuardViolatesAnInvariant) {
  GuardRemoval no_placeholder;
  no_placeholder.in_activate = [](Step& step) { std::erase_if(step.puts, [](const Put& put) { return put.key == kLeaderKeyV1; }); };
  const auto without_placeholder = Explorer(no_placeholder).run(state_with_leader(1, Build::supports_two, true), 7);
  EXPECT_NE(without_placeholder, "") << "activation must write a placeholder to the old leader key";
  GuardRemoval no_registry_guard;
  no_registry_guard.in_activate = [](Step& step) { remove_conditions(step, kRegistryPrefix); };
  const auto without_registry_guard = Explorer(no_registry_guard).run(state_with_leader(1, Build::supports_two, true), 7);
  EXPECT_NE(without_registry_guard, "") << "activation must be conditional on the registry";
  GuardRemoval no_version_guard;
  no_version_guard.in_acquire = [](Step& step) { remove_conditions(step, kActiveVersionKey); };
  Explorer version_explorer(no_version_guard);
  version_explorer.builds = {Build::supports_two_allows_one};
  ModelState nearly_downgraded = state_with_leader(2, Build::supports_two_allows_one, false);
  nearly_downgraded.keys[kActiveVersionKey].value = active_version_value({2, 1});  // its ledger has already been rewritten
  nearly_downgraded.controllers[0].term->active_version = {2, 1};
  nearly_downgraded.keys.erase(kEntriesKeys[2]);
  nearly_downgraded.keys[kEntriesKeys[1]] = {"{}", ++nearly_downgraded.revision, 0};
  const auto without_version_guard = version_explorer.run(nearly_downgraded, 8);
  EXPECT_NE(without_version_guard, "") << "acquiring leadership must be conditional on the active version that was read";
  GuardRemoval no_entry_guard;
  no_entry_guard.forgets_old_entries = true;
  Explorer entry_explorer(no_entry_guard);
  entry_explorer.builds = {Build::supports_two_allows_one};
  const auto without_entry_guard = entry_explorer.run(state_with_leader(2, Build::supports_two_allows_one, false), 7);
  EXPECT_NE(without_entry_guard, "") << "no entry of the higher version may remain after a downgrade";
  for (const auto& violation : {without_placeholder, without_registry_guard, without_version_guard, without_entry_guard})
    std::printf("%s\n", violation.c_str());
}

Row row(const std::string& key, const std::string& value, std::uint64_t mod_revision) {
  return {key, value, mod_revision};
}

TEST(FormatVersions, NoDowngradeWhileTheLedgerNeedsTheActiveVersion) {
  const auto supported = supported_versions_of(Build::supports_two_allows_one, 1);
  ControllerRegistry registry;
  for (const auto& label : kLabels) registry[label] = {supported, 5};
  const LeadershipSnapshot snapshot = rollout::parse_leadership_keys(
      {row(kActiveVersionKey, active_version_value({2, 0}), 7), row(kLeaderKeyV2, leader_value({"a", 1}), 9)});
  LeaderState leader{{"a", 1}, 9, 1, {2, 0}, false, "generation 3"};
  const auto step = next_step(snapshot, registry, kLabels, {}, leader, 0, 0);
  EXPECT_EQ(step.kind, Step::Kind::none);
  EXPECT_EQ(step.blocked_by, "level 1 has no form for generation 3");
  leader.downgrade_blocker.clear();
  EXPECT_EQ(next_step(snapshot, registry, kLabels, {}, leader, 0, 0).kind, Step::Kind::begin_downgrade);
}

// The start of the soak time is kept in the key-value store, so a restart of the leader does not restart the soak time.
TEST(FormatVersions, ActivatesOnlyAfterAllSupportedTheVersionForTheSoakTime) {
  const auto supported = supported_versions_of(Build::supports_two, 1);
  ControllerRegistry registry;
  for (const auto& label : kLabels) registry[label] = {supported, 5};
  const LeaderState leader{{"a", 1}, 9, 1, {1, 0}, false, {}};
  const auto kind_of_step = [&](std::optional<double> ready_since, double now) {
    std::vector<Row> rows{row(kLeaderKeyV1, leader_value({"a", 1}), 9)};
    if (ready_since) rows.push_back(row(kVersionReadinessKey, version_readiness_value({2, *ready_since}), 11));
    return next_step(rollout::parse_leadership_keys(rows), registry, kLabels, {}, leader, now, 30).kind;
  };
  EXPECT_EQ(kind_of_step({}, 100), Step::Kind::record_readiness);
  EXPECT_EQ(kind_of_step(100, 129), Step::Kind::none);
  EXPECT_EQ(kind_of_step(100, 131), Step::Kind::activate);
  EXPECT_EQ(kind_of_step(1000, 100), Step::Kind::activate) << "a clock that was set back does not delay the upgrade indefinitely";
  registry["b"].supported_versions.max_allowed_version = 1;
  EXPECT_EQ(kind_of_step(100, 131), Step::Kind::withdraw_readiness);
}

}  // namespace
}  // namespace thistlefront::rollout
