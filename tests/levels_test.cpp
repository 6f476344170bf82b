// The steps between state levels, explored exhaustively: three controllers of old and new builds, a state
// service, and every interleaving (up to a number of events) of looks, transactions that are late or lost or
// whose answers are, ends of holds, ends and beginnings of processes, roll-outs forward and back. The steps
// are the very ones that the service sends.
#include "rollout/levels.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <unordered_set>

namespace thistle::rollout {
namespace {

enum class Build : std::uint8_t { before_levels, reads_one, held_at_one, reads_two, reads_three, reads_four };

Able able_of(Build build, std::uint64_t incarnation) {
  switch (build) {
    case Build::before_levels: return {};
    case Build::reads_one: return {1, 1, 1, incarnation, "a"};
    case Build::held_at_one: return {1, 2, 1, incarnation, "b"};
    case Build::reads_three: return {1, 3, 3, incarnation, "c"};
    case Build::reads_four: return {1, 4, 4, incarnation, "d"};
    default: return {1, 2, 2, incarnation, "b"};
  }
}

struct Key {
  std::string value;
  std::uint64_t stamp = 0, hold = 0;
};
struct Term {
  std::uint64_t epoch = 0, hold = 0;
  LevelOn level;
};
struct Sent {  // a transaction on its way
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
  std::uint64_t rev = 0, holds = 0;
  std::set<std::uint64_t> alive;  // holds
  std::vector<Process> nodes{kControllers};
  std::vector<Sent> sent;

  // Equal but for the revisions' and holds' numbers.
  [[nodiscard]] std::string text() const {
    std::map<std::uint64_t, std::size_t> stamps, hold_names;
    const auto note = [](auto& names, std::uint64_t n) { names.emplace(n, 0); };
    note(stamps, 0), note(hold_names, 0);
    for (const auto& [k, v] : keys) note(stamps, v.stamp), note(hold_names, v.hold);
    for (const auto& n : nodes)
      if (n.term) note(stamps, n.term->epoch), note(hold_names, n.term->hold);
    for (const auto& s : sent) {
      for (const auto& c : s.step.conditions) note(stamps, c.stamp);
      for (const auto& p : s.step.puts) note(hold_names, p.hold);
    }
    std::size_t i = 0;
    for (auto& [n, name] : stamps) name = i++;
    i = 0;
    for (auto& [n, name] : hold_names) name = i++;
    std::string out;
    const auto add = [&](auto n) { out += std::to_string(n) + ","; };
    for (const auto& [k, v] : keys) out += k + v.value, add(stamps.at(v.stamp)), add(hold_names.at(v.hold));
    for (const auto& [n, name] : hold_names) add(alive.contains(n));
    for (const auto& n : nodes) {
      out += "|", add(n.up), add(static_cast<int>(n.build)), add(n.incarnation);
      if (n.term) add(stamps.at(n.term->epoch)), add(hold_names.at(n.term->hold)), out += level_value(n.term->level);
    }
    for (const auto& s : sent) {
      out += "/", add(s.from), add(s.incarnation);
      for (const auto& c : s.step.conditions) out += c.key, add(stamps.at(c.stamp));
      for (const auto& p : s.step.puts) out += p.key + p.value, add(hold_names.at(p.hold));
      for (const auto& r : s.step.removes) out += "-" + r;
    }
    return out;
  }
  [[nodiscard]] std::vector<Row> rows(const std::string& prefix) const {
    std::vector<Row> out;
    for (const auto& [k, v] : keys)
      if (k.starts_with(prefix)) out.push_back({k, v.value, v.stamp});
    return out;
  }
  [[nodiscard]] bool entries_of(std::uint32_t level) const { return keys.contains(kEntriesOf[level]); }
  // Of another level than this one, and above it.
  [[nodiscard]] std::vector<std::string> entries_beside(std::uint32_t level, std::uint32_t from = 1) const {
    std::vector<std::string> out;
    for (std::uint32_t l = from; l <= kMostLevel; ++l)
      if (l != level && entries_of(l)) out.push_back(kEntriesOf[l]);
    return out;
  }
  [[nodiscard]] Look look() const { return rollout::look(rows(kLeadPrefix)); }
  void end_hold(std::uint64_t hold) {
    alive.erase(hold);
    std::erase_if(keys, [&](const auto& k) { return k.second.hold == hold; });
  }
  // Applied or refused, as the state service does.
  bool execute(const Step& step) {
    for (const auto& c : step.conditions) {
      const auto it = keys.find(c.key);
      if ((it == keys.end() ? 0 : it->second.stamp) != c.stamp) return false;
    }
    for (const auto& p : step.puts)
      if (p.hold != 0 && !alive.contains(p.hold)) return false;
    ++rev;
    for (const auto& p : step.puts) keys[p.key] = {p.value, rev, p.hold};
    for (const auto& r : step.removes) keys.erase(r);
    return true;
  }
};

// A guard taken out, to see that its lack is found.
struct Faults {
  std::function<void(Step&)> in_raise, in_take, in_lowered;
  bool forgets_old_entries = false;
};

class Explorer {
 public:
  explicit Explorer(Faults faults) : faults_(std::move(faults)) {}

  // Every world within `most` events of this one; the first thing found wrong, with what led to it.
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
  std::vector<Build> builds{Build::before_levels, Build::reads_two};

 private:
  using Found = std::function<void(World, const std::string&, const std::string&)>;

  static std::uint64_t new_hold(World& w) {
    w.alive.insert(++w.holds);
    return w.holds;
  }

  // What must hold of an applied transaction. `before` is the world that it was applied to.
  std::string judge(const World& before, const World& after, const Sent& s) {
    const auto held = [&](const char* key) {
      const auto it = after.keys.find(key);
      return it != after.keys.end() && it->second.hold != 0;
    };
    if (held(kLeaderKey) && held(kLeadKey)) return "two keys of the lead are held";
    const Able able = able_of(s.build, 0);
    for (std::uint32_t level = 1; level <= kMostLevel; ++level)
      if (s.takes_lead && before.entries_of(level) && level > able.most) return "a build leads that can't read the ledger";
    // Its own record in the roster it may write.
    if (s.step.kind != Step::Kind::note && before.look().on.level > able.most)
      return "an older build wrote under a level that it does not have";
    if (s.step.kind == Step::Kind::raise)
      for (const auto& label : kLabels) {
        const auto roster = roster_of(before.rows(kRosterPrefix));
        if (!roster.contains(label) || roster.at(label).able.most < s.step.after.level) return "switched on though " + label + " lacks it";
      }
    if (s.step.kind == Step::Kind::lowered && !before.entries_beside(0, s.step.after.level + 1).empty())
      return "lowered over entries of the higher level";
    return "";
  }

  void send(World w, std::size_t from, Step step, const std::string& event, const Found& found, bool takes_lead = false) {
    if (w.sent.size() >= most_sent) return;
    const auto& node = w.nodes[from];
    w.sent.push_back({from, node.incarnation, takes_lead, node.build, std::move(step)});
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
        auto& node = w.nodes[s.from];
        if (answered && node.up && node.incarnation == s.incarnation) take_in(w, node, s, done);
        found(std::move(w), std::string(done ? "applied" : "refused") + (answered ? "" : " unheard") + " of " + kLabels[s.from], wrong);
      }
      World lost = world;
      lost.sent.erase(lost.sent.begin() + static_cast<long>(t));
      found(std::move(lost), "lost of " + kLabels[s.from], "");
    }
    for (const auto hold : world.alive) {
      World w = world;
      w.end_hold(hold);
      found(std::move(w), "a hold ends", "");
    }
    for (std::size_t i = 0; i < kControllers; ++i) of_node(world, i, found);
  }

  static void take_in(World& w, Process& node, const Sent& s, bool done) {
    if (s.takes_lead) {
      if (done) node.term = Term{w.rev, s.step.puts.front().hold, s.step.after};
      return;
    }
    if (!node.term) return;
    if (done) {
      if (s.step.raises_epoch()) node.term->epoch = w.rev;
      if (s.step.sets_level()) node.term->level = s.step.after;
      return;
    }
    // As Controller::take_step does.
    const Look look = w.look();
    if (!look.leader || look.leader->incarnation != s.incarnation || look.leader_stamp < node.term->epoch) {
      node.term.reset();
    } else {
      node.term->epoch = look.leader_stamp;
      node.term->level = look.on;
    }
  }

  void of_node(const World& world, std::size_t i, const Found& found) {
    const auto& node = world.nodes[i];
    if (node.up) {
      World w = world;
      w.nodes[i].up = false;
      w.nodes[i].term.reset();
      found(std::move(w), kLabels[i] + " ends", "");
    } else {
      for (const Build build : builds) {
        World w = world;
        auto& n = w.nodes[i];
        n = {true, build, n.incarnation + 1, {}};
        found(std::move(w), kLabels[i] + " begins as build " + std::to_string(static_cast<int>(build)), "");
      }
      return;
    }
    const Able able = able_of(node.build, node.incarnation);
    const auto roster = roster_of(world.rows(kRosterPrefix));
    if (node.build != Build::before_levels) {
      const auto it = roster.find(kLabels[i]);
      const auto step = enlist(kLabels[i], able, it == roster.end() ? nullptr : &it->second);
      if (step.kind != Step::Kind::none) send(world, i, step, kLabels[i] + " enlists", found);
    }
    const Look look = world.look();
    const LeaderValue value{kLabels[i], node.incarnation};
    if (!node.term) {
      World w = world;
      const auto hold = new_hold(w);
      if (node.build == Build::before_levels) {
        Step step;
        step.conditions = {{kLeaderKey, 0}};
        step.puts = {{kLeaderKey, leader_value(value), hold}};
        if (!world.keys.contains(kLeaderKey)) send(std::move(w), i, step, kLabels[i] + " wants the lead", found, true);
      } else if (auto step = take_lead(look, able, value, hold); step && !look.leader) {
        if (faults_.in_take) faults_.in_take(*step);
        send(std::move(w), i, std::move(*step), kLabels[i] + " wants the lead", found, true);
      }
      return;
    }
    const Term& term = *node.term;
    // It writes an entry, or the last ones of another level anew.
    Step commit;
    commit.after = term.level;
    commit.conditions = {{lead_key(term.level.level), term.epoch}};
    const auto writes = term.level.writes();
    if (!world.entries_of(writes)) {
      commit.puts = {{kEntriesOf[writes], "{}", 0}};
      send(world, i, commit, kLabels[i] + " writes", found);
    }
    const auto beside = world.entries_beside(writes);
    const bool old_entries = !beside.empty();
    if (old_entries && world.entries_of(writes)) {
      commit.puts.clear();
      commit.removes = beside;
      send(world, i, commit, kLabels[i] + " has written all anew", found);
    }
    if (node.build == Build::before_levels) return;
    std::map<std::string, Able> answers;
    for (std::size_t p = 0; p < kControllers; ++p)
      if (p != i && world.nodes[p].up) answers[kLabels[p]] = able_of(world.nodes[p].build, world.nodes[p].incarnation);
    if (look.leader_stamp != term.epoch) return;
    Step step = next_step(look, roster, kLabels, answers,
                          {value, term.epoch, term.hold, term.level, old_entries && !faults_.forgets_old_entries, {}}, 0, 0);
    if (step.kind == Step::Kind::none) return;
    if (step.kind == Step::Kind::raise && faults_.in_raise) faults_.in_raise(step);
    if (step.kind == Step::Kind::lowered && faults_.in_lowered) faults_.in_lowered(step);
    send(world, i, std::move(step), kLabels[i] + " sends step " + std::to_string(static_cast<int>(step.kind)), found);
  }

  Faults faults_;
  std::unordered_set<std::string> seen_;
};

// All are of a build, listed, and one leads at this level, with an entry written.
World led(std::uint32_t level, Build build, bool ready) {
  World w;
  for (std::size_t i = 0; i < kControllers; ++i) {
    w.nodes[i] = {true, build, 100 * i + 1, {}};
    w.keys[kRosterPrefix + kLabels[i]] = {able_value(able_of(build, w.nodes[i].incarnation)), ++w.rev, 0};
  }
  w.alive.insert(++w.holds);
  if (level > 1) {
    w.keys[kLevelKey] = {level_value({level, 0}), ++w.rev, 0};
    w.keys[kLeaderKey] = {parked_leader_value(level), ++w.rev, 0};
  }
  w.keys[lead_key(level)] = {leader_value({"a", w.nodes[0].incarnation}), ++w.rev, 1};
  w.nodes[0].term = Term{w.rev, 1, {level, 0}};
  w.keys[kEntriesOf[level]] = {"{}", ++w.rev, 0};
  if (ready) w.keys[kReadyKey] = {ready_value({level + 1, 0}), ++w.rev, 0};
  return w;
}

void without(Step& step, const std::string& prefix) {
  std::erase_if(step.conditions, [&](const auto& c) { return c.key.starts_with(prefix); });
}

TEST(Levels, NoInterleavingOfARollOutBreaksWhatMustHold) {
  Explorer up({});
  EXPECT_EQ(up.run(led(1, Build::reads_two, true), 8), "");
  EXPECT_TRUE(up.applied.contains(Step::Kind::raise));
  EXPECT_TRUE(up.applied.contains(Step::Kind::note));
  EXPECT_TRUE(up.applied.contains(Step::Kind::not_ready));
  Explorer from_nothing({});
  World empty;
  for (std::size_t i = 0; i < kControllers; ++i) empty.nodes[i].incarnation = 100 * i + 1;
  EXPECT_EQ(from_nothing.run(empty, 7), "");
  Explorer down({});
  down.builds = {Build::before_levels, Build::held_at_one};
  EXPECT_EQ(down.run(led(2, Build::held_at_one, false), 9), "");
  EXPECT_TRUE(down.applied.contains(Step::Kind::lower));
  EXPECT_TRUE(down.applied.contains(Step::Kind::lowered));
  Explorer undecided({});
  undecided.builds = {Build::reads_one, Build::reads_two};
  EXPECT_EQ(undecided.run(led(2, Build::held_at_one, false), 8), "");
  // From the build in production, and over several levels at once, with one that comes back older at any moment.
  Explorer upgrade({}), several({});
  upgrade.builds = {Build::reads_three, Build::reads_four};
  EXPECT_EQ(upgrade.run(led(3, Build::reads_four, true), 8), "");
  EXPECT_TRUE(upgrade.applied.contains(Step::Kind::raise));
  several.builds = {Build::before_levels, Build::reads_three, Build::reads_four};
  World all = led(1, Build::reads_four, false);
  all.keys[kReadyKey] = {ready_value({4, 0}), ++all.rev, 0};
  EXPECT_EQ(several.run(all, 7), "");
  EXPECT_TRUE(several.applied.contains(Step::Kind::raise));
  std::printf("%zu + %zu worlds\n", upgrade.worlds(), several.worlds());
  RecordProperty("worlds", static_cast<int>(up.worlds() + from_nothing.worlds() + down.worlds() + undecided.worlds()));
  std::printf("%zu + %zu + %zu + %zu worlds\n", up.worlds(), from_nothing.worlds(), down.worlds(), undecided.worlds());
  EXPECT_GT(up.worlds(), 10000u);
}

TEST(Levels, EachGuardTakenOutIsFound) {
  Faults no_parking;
  no_parking.in_raise = [](Step& s) { std::erase_if(s.puts, [](const Put& p) { return p.key == kLeaderKey; }); };
  const auto parking = Explorer(no_parking).run(led(1, Build::reads_two, true), 7);
  EXPECT_NE(parking, "") << "the old key is kept by nobody";
  Faults no_roster;
  no_roster.in_raise = [](Step& s) { without(s, kRosterPrefix); };
  const auto roster = Explorer(no_roster).run(led(1, Build::reads_two, true), 7);
  EXPECT_NE(roster, "") << "a switch is conditional on the roster";
  Faults no_level;
  no_level.in_take = [](Step& s) { without(s, kLevelKey); };
  Explorer levels(no_level);
  levels.builds = {Build::held_at_one};
  World late = led(2, Build::held_at_one, false);
  late.keys[kLevelKey].value = level_value({2, 1});  // its ledger is written anew already
  late.nodes[0].term->level = {2, 1};
  late.keys.erase(kEntriesOf[2]);
  late.keys[kEntriesOf[1]] = {"{}", ++late.rev, 0};
  const auto level = levels.run(late, 8);
  EXPECT_NE(level, "") << "the lead is taken at the level that was looked at";
  Faults no_entries;
  no_entries.forgets_old_entries = true;
  Explorer entries(no_entries);
  entries.builds = {Build::held_at_one};
  const auto lowered = entries.run(led(2, Build::held_at_one, false), 7);
  EXPECT_NE(lowered, "") << "no entry of the higher level is left";
  for (const auto& found : {parking, roster, level, lowered}) std::printf("%s\n", found.c_str());
}

Row row(const std::string& key, const std::string& value, std::uint64_t stamp) {
  return {key, value, stamp};
}

TEST(Levels, WhatHasNoOlderFormIsNotLost) {
  const auto held = able_of(Build::held_at_one, 1);
  Roster roster;
  for (const auto& label : kLabels) roster[label] = {held, 5};
  const Look look = rollout::look({row(kLevelKey, level_value({2, 0}), 7), row(kLeadKey, leader_value({"a", 1}), 9)});
  Leading leading{{"a", 1}, 9, 1, {2, 0}, false, "generation 3"};
  const auto step = next_step(look, roster, kLabels, {}, leading, 0, 0);
  EXPECT_EQ(step.kind, Step::Kind::none);
  EXPECT_EQ(step.waits_for, "level 1 has no form for generation 3");
  leading.no_older_form.clear();
  EXPECT_EQ(next_step(look, roster, kLabels, {}, leading, 0, 0).kind, Step::Kind::lower);
}

// The while is kept in the state service, not by the leader: a leader's restart does not begin it anew.
TEST(Levels, AllMustHaveHadItForAWhile) {
  const auto has = able_of(Build::reads_two, 1);
  Roster roster;
  for (const auto& label : kLabels) roster[label] = {has, 5};
  const Leading leading{{"a", 1}, 9, 1, {1, 0}, false, {}};
  const auto at = [&](std::optional<double> since, double now) {
    std::vector<Row> rows{row(kLeaderKey, leader_value({"a", 1}), 9)};
    if (since) rows.push_back(row(kReadyKey, ready_value({2, *since}), 11));
    return next_step(rollout::look(rows), roster, kLabels, {}, leading, now, 30).kind;
  };
  EXPECT_EQ(at({}, 100), Step::Kind::ready);
  EXPECT_EQ(at(100, 129), Step::Kind::none);
  EXPECT_EQ(at(100, 131), Step::Kind::raise);
  EXPECT_EQ(at(1000, 100), Step::Kind::raise) << "a clock that was set back does not hold it up for ever";
  roster["b"].able.wants = 1;
  EXPECT_EQ(at(100, 131), Step::Kind::not_ready);
}

}  // namespace
}  // namespace thistle::rollout
