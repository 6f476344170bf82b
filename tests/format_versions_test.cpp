// The steps between format versions, explored exhaustively: three controllers of old and new builds, a key-value store, and every
// interleaving (up to a number of events) of reads, transactions that are late or lost or whose answers are, expiries of session
// leases, stops and starts of processes, upgrades and downgrades. The steps are the very ones that the service sends.
#include "rollout/format_versions.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <unordered_set>

namespace thistlefront::rollout {
namespace {

enum class Build : std::uint8_t { before_versions, reads_one, held_at_one, reads_two, reads_three, reads_four };

SupportedVersions supported_versions_of(Build build, std::uint64_t incarnation) {
  switch (build) {
    case Build::before_versions: return {};
    case Build::reads_one: return {1, 1, 1, incarnation, "a"};
    case Build::held_at_one: return {1, 2, 1, incarnation, "b"};
    case Build::reads_three: return {1, 3, 3, incarnation, "c"};
    case Build::reads_four: return {1, 4, 4, incarnation, "d"};
    default: return {1, 2, 2, incarnation, "b"};
  }
}

struct Key {
  std::string value;
  std::uint64_t mod_revision = 0, session_lease = 0;
};
struct Term {
  std::uint64_t fencing_token = 0, session_lease = 0;
  ActiveVersion format_version;
};
// A transaction on its way.
struct Sent {
  std::size_t from = 0;
  std::uint64_t incarnation = 0;
  bool takes_lead = false;
  Build build = Build::reads_two;
  Step step;
};
struct Process {
  bool up = true;
  Build build = Build::reads_two;
  std::uint64_t incarnation = 0;
  std::optional<Term> term;
};
constexpr std::size_t kControllers = 3;
const std::vector<std::string> kLabels{"a", "b", "c"};
const std::string kEntriesOf[] = {"", "ledger/of-1", "ledger/of-2", "ledger/of-3", "ledger/of-4"};  // that some are there

struct World {
  std::map<std::string, Key> keys;
  std::uint64_t revision = 0, last_session_lease = 0;
  std::set<std::uint64_t> alive;  // session leases
  std::vector<Process> replicas{kControllers};
  std::vector<Sent> sent;

  // Worlds that differ only in the numbers of revisions and session leases have the same text.
  [[nodiscard]] std::string text() const {
    std::map<std::uint64_t, std::size_t> mod_revisions, session_lease_names;
    const auto note = [](auto& names, std::uint64_t n) { names.emplace(n, 0); };
    note(mod_revisions, 0), note(session_lease_names, 0);
    for (const auto& [k, v] : keys) note(mod_revisions, v.mod_revision), note(session_lease_names, v.session_lease);
    for (const auto& n : replicas)
      if (n.term) note(mod_revisions, n.term->fencing_token), note(session_lease_names, n.term->session_lease);
    for (const auto& s : sent) {
      for (const auto& c : s.step.conditions) note(mod_revisions, c.mod_revision);
      for (const auto& p : s.step.puts) note(session_lease_names, p.session_lease);
    }
    std::size_t i = 0;
    for (auto& [n, name] : mod_revisions) name = i++;
    i = 0;
    for (auto& [n, name] : session_lease_names) name = i++;
    std::string out;
    const auto add = [&](auto n) { out += std::to_string(n) + ","; };
    for (const auto& [k, v] : keys) out += k + v.value, add(mod_revisions.at(v.mod_revision)), add(session_lease_names.at(v.session_lease));
    for (const auto& [n, name] : session_lease_names) add(alive.contains(n));
    for (const auto& n : replicas) {
      out += "|", add(n.up), add(static_cast<int>(n.build)), add(n.incarnation);
      if (n.term)
        add(mod_revisions.at(n.term->fencing_token)), add(session_lease_names.at(n.term->session_lease)),
            out += active_version_value(n.term->format_version);
    }
    for (const auto& s : sent) {
      out += "/", add(s.from), add(s.incarnation);
      for (const auto& c : s.step.conditions) out += c.key, add(mod_revisions.at(c.mod_revision));
      for (const auto& p : s.step.puts) out += p.key + p.value, add(session_lease_names.at(p.session_lease));
      for (const auto& r : s.step.removes) out += "-" + r;
    }
    return out;
  }
  [[nodiscard]] std::vector<Row> rows(const std::string& prefix) const {
    std::vector<Row> out;
    for (const auto& [k, v] : keys)
      if (k.starts_with(prefix)) out.push_back({k, v.value, v.mod_revision});
    return out;
  }
  [[nodiscard]] bool entries_of(std::uint32_t format_version) const { return keys.contains(kEntriesOf[format_version]); }
  // Keys of entries of other versions than this one, from version `from` on.
  [[nodiscard]] std::vector<std::string> entries_beside(std::uint32_t format_version, std::uint32_t from = 1) const {
    std::vector<std::string> out;
    for (std::uint32_t l = from; l <= kMaxFormatVersion; ++l)
      if (l != format_version && entries_of(l)) out.push_back(kEntriesOf[l]);
    return out;
  }
  [[nodiscard]] LeadershipSnapshot snapshot() const { return rollout::parse_leadership_keys(rows(kLeadershipPrefix)); }
  void expire(std::uint64_t session_lease) {
    alive.erase(session_lease);
    std::erase_if(keys, [&](const auto& k) { return k.second.session_lease == session_lease; });
  }
  // Applied or refused, as the key-value store does.
  bool execute(const Step& step) {
    for (const auto& c : step.conditions) {
      const auto it = keys.find(c.key);
      if ((it == keys.end() ? 0 : it->second.mod_revision) != c.mod_revision) return false;
    }
    for (const auto& p : step.puts)
      if (p.session_lease != 0 && !alive.contains(p.session_lease)) return false;
    ++revision;
    for (const auto& p : step.puts) keys[p.key] = {p.value, revision, p.session_lease};
    for (const auto& r : step.removes) keys.erase(r);
    return true;
  }
};

// Removes a guard, to see that its lack is detected.
struct Faults {
  std::function<void(Step&)> in_raise, in_take, in_lowered;
  bool forgets_old_entries = false;
};

class Explorer {
 public:
  explicit Explorer(Faults faults) : faults_(std::move(faults)) {}

  // Explores every world within `most` events of this one; returns the first violation found, with the events that led to it.
  std::string run(World first, std::size_t most) {
    std::deque<std::pair<World, std::vector<std::string>>> queue;
    seen_.insert(first.text());
    queue.push_back({std::move(first), {}});
    while (!queue.empty()) {
      auto [world, path] = std::move(queue.front());
      queue.pop_front();
      if (path.size() >= most) continue;
      std::string wrong;
      each(world, [&](World next, const std::string& event, const std::string& found) {
        auto longer = path;
        longer.push_back(event);
        if (wrong.empty() && !found.empty()) {
          for (const auto& e : longer) wrong += e + "; ";
          wrong += found;
        }
        if (seen_.insert(next.text()).second) queue.push_back({std::move(next), std::move(longer)});
      });
      if (!wrong.empty()) return wrong;
    }
    return "";
  }
  [[nodiscard]] std::size_t worlds() const { return seen_.size(); }
  std::set<Step::Kind> applied;
  std::size_t most_sent = 2;
  std::vector<Build> builds{Build::before_versions, Build::reads_two};

 private:
  using Found = std::function<void(World, const std::string&, const std::string&)>;

  static std::uint64_t new_session_lease(World& w) {
    w.alive.insert(++w.last_session_lease);
    return w.last_session_lease;
  }

  // The invariants that an applied transaction breaks. `before` is the world that it was applied to.
  std::string judge(const World& before, const World& after, const Sent& s) {
    const auto held = [&](const char* key) {
      const auto it = after.keys.find(key);
      return it != after.keys.end() && it->second.session_lease != 0;
    };
    if (held(kLeaderKeyV1) && held(kLeaderKeyV2)) return "two keys of the lead are held";
    const SupportedVersions supported_versions = supported_versions_of(s.build, 0);
    for (std::uint32_t format_version = 1; format_version <= kMaxFormatVersion; ++format_version)
      if (s.takes_lead && before.entries_of(format_version) && format_version > supported_versions.most)
        return "a build leads that can't read the ledger";
    // It may still write its own record in the registry.
    if (s.step.kind != Step::Kind::note && before.snapshot().on.format_version > supported_versions.most)
      return "an older build wrote under a level that it does not have";
    if (s.step.kind == Step::Kind::raise)
      for (const auto& label : kLabels) {
        const auto registry = parse_registry(before.rows(kRegistryPrefix));
        if (!registry.contains(label) || registry.at(label).supported_versions.most < s.step.after.format_version)
          return "switched on though " + label + " lacks it";
      }
    if (s.step.kind == Step::Kind::lowered && !before.entries_beside(0, s.step.after.format_version + 1).empty())
      return "lowered over entries of the higher level";
    return "";
  }

  void send(World w, std::size_t from, Step step, const std::string& event, const Found& found, bool takes_lead = false) {
    if (w.sent.size() >= most_sent) return;
    const auto& replica = w.replicas[from];
    w.sent.push_back({from, replica.incarnation, takes_lead, replica.build, std::move(step)});
    found(std::move(w), event, "");
  }

  void each(const World& world, const Found& found) {
    for (std::size_t t = 0; t < world.sent.size(); ++t) {
      const Sent s = world.sent[t];
      for (const bool answered : {true, false}) {
        World w = world;
        w.sent.erase(w.sent.begin() + static_cast<long>(t));
        const bool done = w.execute(s.step);
        if (done) applied.insert(s.step.kind);
        const auto wrong = done ? judge(world, w, s) : "";
        auto& replica = w.replicas[s.from];
        if (answered && replica.up && replica.incarnation == s.incarnation) receive_answer(w, replica, s, done);
        found(std::move(w), std::string(done ? "applied" : "refused") + (answered ? "" : " unheard") + " of " + kLabels[s.from], wrong);
      }
      World lost = world;
      lost.sent.erase(lost.sent.begin() + static_cast<long>(t));
      found(std::move(lost), "lost of " + kLabels[s.from], "");
    }
    for (const auto session_lease : world.alive) {
      World w = world;
      w.expire(session_lease);
      found(std::move(w), "a session lease expires", "");
    }
    for (std::size_t i = 0; i < kControllers; ++i) each_of_controller(world, i, found);
  }

  static void receive_answer(World& w, Process& replica, const Sent& s, bool done) {
    if (s.takes_lead) {
      if (done) replica.term = Term{w.revision, s.step.puts.front().session_lease, s.step.after};
      return;
    }
    if (!replica.term) return;
    if (done) {
      if (s.step.raises_token()) replica.term->fencing_token = w.revision;
      if (s.step.sets_version()) replica.term->format_version = s.step.after;
      return;
    }
    // As the controller does.
    const LeadershipSnapshot snapshot = w.snapshot();
    if (!snapshot.leader || snapshot.leader->incarnation != s.incarnation || snapshot.leader_mod_revision < replica.term->fencing_token) {
      replica.term.reset();
    } else {
      replica.term->fencing_token = snapshot.leader_mod_revision;
      replica.term->format_version = snapshot.on;
    }
  }

  void each_of_controller(const World& world, std::size_t i, const Found& found) {
    const auto& replica = world.replicas[i];
    if (replica.up) {
      World w = world;
      w.replicas[i].up = false;
      w.replicas[i].term.reset();
      found(std::move(w), kLabels[i] + " ends", "");
    } else {
      for (const Build build : builds) {
        World w = world;
        auto& n = w.replicas[i];
        n = {true, build, n.incarnation + 1, {}};
        found(std::move(w), kLabels[i] + " begins as build " + std::to_string(static_cast<int>(build)), "");
      }
      return;
    }
    const SupportedVersions supported_versions = supported_versions_of(replica.build, replica.incarnation);
    const auto registry = parse_registry(world.rows(kRegistryPrefix));
    if (replica.build != Build::before_versions) {
      const auto it = registry.find(kLabels[i]);
      const auto step = registration_step(kLabels[i], supported_versions, it == registry.end() ? nullptr : &it->second);
      if (step.kind != Step::Kind::none) send(world, i, step, kLabels[i] + " enlists", found);
    }
    const LeadershipSnapshot snapshot = world.snapshot();
    const LeaderValue value{kLabels[i], replica.incarnation};
    if (!replica.term) {
      World w = world;
      const auto session_lease = new_session_lease(w);
      if (replica.build == Build::before_versions) {
        Step step;
        step.conditions = {{kLeaderKeyV1, 0}};
        step.puts = {{kLeaderKeyV1, leader_value(value), session_lease}};
        if (!world.keys.contains(kLeaderKeyV1)) send(std::move(w), i, step, kLabels[i] + " wants the lead", found, true);
      } else if (auto step = acquire_leadership_step(snapshot, supported_versions, value, session_lease); step && !snapshot.leader) {
        if (faults_.in_take) faults_.in_take(*step);
        send(std::move(w), i, std::move(*step), kLabels[i] + " wants the lead", found, true);
      }
      return;
    }
    const Term& term = *replica.term;
    // The leader writes an entry, or rewrites the last ones of another version.
    Step commit;
    commit.after = term.format_version;
    commit.conditions = {{leader_key_for(term.format_version.format_version), term.fencing_token}};
    const auto writes = term.format_version.writes();
    if (!world.entries_of(writes)) {
      commit.puts = {{kEntriesOf[writes], "{}", 0}};
      send(world, i, commit, kLabels[i] + " writes", found);
    }
    const auto beside = world.entries_beside(writes);
    const bool has_old_entries = !beside.empty();
    if (has_old_entries && world.entries_of(writes)) {
      commit.puts.clear();
      commit.removes = beside;
      send(world, i, commit, kLabels[i] + " has written all anew", found);
    }
    if (replica.build == Build::before_versions) return;
    std::map<std::string, SupportedVersions> answers;
    for (std::size_t p = 0; p < kControllers; ++p)
      if (p != i && world.replicas[p].up)
        answers[kLabels[p]] = supported_versions_of(world.replicas[p].build, world.replicas[p].incarnation);
    if (snapshot.leader_mod_revision != term.fencing_token) return;
    Step step = next_step(
        snapshot, registry, kLabels, answers,
        {value, term.fencing_token, term.session_lease, term.format_version, has_old_entries && !faults_.forgets_old_entries, {}}, 0, 0);
    if (step.kind == Step::Kind::none) return;
    if (step.kind == Step::Kind::raise && faults_.in_raise) faults_.in_raise(step);
    if (step.kind == Step::Kind::lowered && faults_.in_lowered) faults_.in_lowered(step);
    send(world, i, std::move(step), kLabels[i] + " sends step " + std::to_string(static_cast<int>(step.kind)), found);
  }

  Faults faults_;
  std::unordered_set<std::string> seen_;
};

// All are of one build and registered, and one leads in this version, with an entry written.
World led_world(std::uint32_t format_version, Build build, bool ready) {
  World w;
  for (std::size_t i = 0; i < kControllers; ++i) {
    w.replicas[i] = {true, build, 100 * i + 1, {}};
    w.keys[kRegistryPrefix + kLabels[i]] = {supported_versions_value(supported_versions_of(build, w.replicas[i].incarnation)), ++w.revision,
                                            0};
  }
  w.alive.insert(++w.last_session_lease);
  if (format_version > 1) {
    w.keys[kActiveVersionKey] = {active_version_value({format_version, 0}), ++w.revision, 0};
    w.keys[kLeaderKeyV1] = {parked_leader_value(format_version), ++w.revision, 0};
  }
  w.keys[leader_key_for(format_version)] = {leader_value({"a", w.replicas[0].incarnation}), ++w.revision, 1};
  w.replicas[0].term = Term{w.revision, 1, {format_version, 0}};
  w.keys[kEntriesOf[format_version]] = {"{}", ++w.revision, 0};
  if (ready) w.keys[kVersionReadinessKey] = {version_readiness_value({format_version + 1, 0}), ++w.revision, 0};
  return w;
}

void without(Step& step, const std::string& prefix) {
  std::erase_if(step.conditions, [&](const auto& c) { return c.key.starts_with(prefix); });
}

TEST(FormatVersions, NoInterleavingOfARolloutBreaksAnInvariant) {
  Explorer up({});
  EXPECT_EQ(up.run(led_world(1, Build::reads_two, true), 8), "");
  EXPECT_TRUE(up.applied.contains(Step::Kind::raise));
  EXPECT_TRUE(up.applied.contains(Step::Kind::note));
  EXPECT_TRUE(up.applied.contains(Step::Kind::not_ready));
  Explorer from_nothing({});
  World empty;
  for (std::size_t i = 0; i < kControllers; ++i) empty.replicas[i].incarnation = 100 * i + 1;
  EXPECT_EQ(from_nothing.run(empty, 7), "");
  Explorer down({});
  down.builds = {Build::before_versions, Build::held_at_one};
  EXPECT_EQ(down.run(led_world(2, Build::held_at_one, false), 9), "");
  EXPECT_TRUE(down.applied.contains(Step::Kind::lower));
  EXPECT_TRUE(down.applied.contains(Step::Kind::lowered));
  Explorer undecided({});
  undecided.builds = {Build::reads_one, Build::reads_two};
  EXPECT_EQ(undecided.run(led_world(2, Build::held_at_one, false), 8), "");
  // From the build in production, and over several versions at once, with one controller that may come back older at any moment.
  Explorer upgrade({}), several({});
  upgrade.builds = {Build::reads_three, Build::reads_four};
  EXPECT_EQ(upgrade.run(led_world(3, Build::reads_four, true), 8), "");
  EXPECT_TRUE(upgrade.applied.contains(Step::Kind::raise));
  several.builds = {Build::before_versions, Build::reads_three, Build::reads_four};
  World all = led_world(1, Build::reads_four, false);
  all.keys[kVersionReadinessKey] = {version_readiness_value({4, 0}), ++all.revision, 0};
  EXPECT_EQ(several.run(all, 7), "");
  EXPECT_TRUE(several.applied.contains(Step::Kind::raise));
  std::printf("%zu + %zu worlds\n", upgrade.worlds(), several.worlds());
  RecordProperty("worlds", static_cast<int>(up.worlds() + from_nothing.worlds() + down.worlds() + undecided.worlds()));
  std::printf("%zu + %zu + %zu + %zu worlds\n", up.worlds(), from_nothing.worlds(), down.worlds(), undecided.worlds());
  EXPECT_GT(up.worlds(), 10000u);
}

TEST(FormatVersions, EachRemovedGuardIsDetected) {
  Faults no_parked_key;
  no_parked_key.in_raise = [](Step& s) { std::erase_if(s.puts, [](const Put& p) { return p.key == kLeaderKeyV1; }); };
  const auto parking = Explorer(no_parked_key).run(led_world(1, Build::reads_two, true), 7);
  EXPECT_NE(parking, "") << "the old key is kept by nobody";
  Faults no_registry_guard;
  no_registry_guard.in_raise = [](Step& s) { without(s, kRegistryPrefix); };
  const auto registry = Explorer(no_registry_guard).run(led_world(1, Build::reads_two, true), 7);
  EXPECT_NE(registry, "") << "a switch is conditional on the roster";
  Faults no_version_guard;
  no_version_guard.in_take = [](Step& s) { without(s, kActiveVersionKey); };
  Explorer versions(no_version_guard);
  versions.builds = {Build::held_at_one};
  World late = led_world(2, Build::held_at_one, false);
  late.keys[kActiveVersionKey].value = active_version_value({2, 1});  // its ledger has been rewritten already
  late.replicas[0].term->format_version = {2, 1};
  late.keys.erase(kEntriesOf[2]);
  late.keys[kEntriesOf[1]] = {"{}", ++late.revision, 0};
  const auto format_version = versions.run(late, 8);
  EXPECT_NE(format_version, "") << "the lead is taken at the level that was looked at";
  Faults no_entry_guard;
  no_entry_guard.forgets_old_entries = true;
  Explorer entries(no_entry_guard);
  entries.builds = {Build::held_at_one};
  const auto lowered = entries.run(led_world(2, Build::held_at_one, false), 7);
  EXPECT_NE(lowered, "") << "no entry of the higher level is left";
  for (const auto& found : {parking, registry, format_version, lowered}) std::printf("%s\n", found.c_str());
}

Row row(const std::string& key, const std::string& value, std::uint64_t mod_revision) {
  return {key, value, mod_revision};
}

TEST(FormatVersions, NoDowngradeWhileSomethingHasNoOlderForm) {
  const auto held = supported_versions_of(Build::held_at_one, 1);
  ControllerRegistry registry;
  for (const auto& label : kLabels) registry[label] = {held, 5};
  const LeadershipSnapshot snapshot = rollout::parse_leadership_keys(
      {row(kActiveVersionKey, active_version_value({2, 0}), 7), row(kLeaderKeyV2, leader_value({"a", 1}), 9)});
  Leading leading{{"a", 1}, 9, 1, {2, 0}, false, "generation 3"};
  const auto step = next_step(snapshot, registry, kLabels, {}, leading, 0, 0);
  EXPECT_EQ(step.kind, Step::Kind::none);
  EXPECT_EQ(step.blocked_by, "level 1 has no form for generation 3");
  leading.no_older_format.clear();
  EXPECT_EQ(next_step(snapshot, registry, kLabels, {}, leading, 0, 0).kind, Step::Kind::lower);
}

// The soak time is kept in the key-value store, not by the leader: a leader's restart does not begin it again.
TEST(FormatVersions, AllMustHaveHadTheVersionForTheSoakTime) {
  const auto has = supported_versions_of(Build::reads_two, 1);
  ControllerRegistry registry;
  for (const auto& label : kLabels) registry[label] = {has, 5};
  const Leading leading{{"a", 1}, 9, 1, {1, 0}, false, {}};
  const auto at = [&](std::optional<double> since, double now) {
    std::vector<Row> rows{row(kLeaderKeyV1, leader_value({"a", 1}), 9)};
    if (since) rows.push_back(row(kVersionReadinessKey, version_readiness_value({2, *since}), 11));
    return next_step(rollout::parse_leadership_keys(rows), registry, kLabels, {}, leading, now, 30).kind;
  };
  EXPECT_EQ(at({}, 100), Step::Kind::ready);
  EXPECT_EQ(at(100, 129), Step::Kind::none);
  EXPECT_EQ(at(100, 131), Step::Kind::raise);
  EXPECT_EQ(at(1000, 100), Step::Kind::raise) << "a clock that was set back does not hold it up for ever";
  registry["b"].supported_versions.wants = 1;
  EXPECT_EQ(at(100, 131), Step::Kind::not_ready);
}

}  // namespace
}  // namespace thistlefront::rollout
