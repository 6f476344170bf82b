// thistlefront-fault-test: plays troubles on a stand-in cluster with real controllers, and checks the protocol's
// rules.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <utility>

#include "protocol/version_messages.hpp"
#include "testbed/cluster.hpp"
#include "transport/clock.hpp"

namespace {

using thistlefront::steady_now;
using thistlefront::testbed::Cluster;

struct Plan {
  Cluster::Options cluster;
  std::string older, newer;
  double seconds = 40, settle = 60;
  unsigned format_version = 4;  // that the newer build has
  double restart_after = 1;     // seconds at most
  double soak = 0;              // seconds; 0: the build's own
  std::string relay = "off";    // report intake: on, off, or drawn by each start of a controller
  bool back = false, verbose = false;
};

void wait(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// A cluster and the troubles that every play draws from.
class Play {
 public:
  explicit Play(const Plan& plan)
      : plan(plan), cluster(plan.cluster), random(plan.cluster.seed), is_new(plan.cluster.controllers, false), began_(steady_now()) {
    for (auto& w : cluster.workers) w->copy_heartbeats(true);
  }

  void say(const std::string& what) const {
    if (plan.verbose) std::cout << "  " << steady_now() - began_ << " s: " << what << std::endl;
  }
  void start(std::size_t i, bool newer, const std::vector<std::string>& more = {}) {
    is_new[i] = newer;
    std::vector<std::string> flags;
    if (newer && plan.soak > 0) flags = {"--state-level-soak", std::to_string(plan.soak)};
    if (newer && (plan.relay == "on" || (plan.relay == "drawn" && random() % 2))) flags.insert(flags.end(), {"--intake", "on"});
    flags.insert(flags.end(), more.begin(), more.end());
    cluster.start(i, newer ? plan.newer : plan.older, flags);
  }
  // Troubles by name. Half of them are met by a second one while they last, or right after; the pairs are told with the verdict.
  enum class Kind {
    leader_ends,
    leader_freezes,
    any_freezes,
    door_refuses,
    answers_lost,
    late_writes,
    repeats,
    outage,
    gap,
    parted,
    deaf,
    hang,
    all_end,
    count
  };
  static constexpr const char* kNames[] = {"leader-ends", "leader-freezes", "any-freezes", "door-refuses", "answers-lost",
                                           "late-writes", "repeats",        "outage",      "gap",          "parted",
                                           "deaf",        "hang",           "all-end"};
  void trouble() {
    const auto any = [&] { return static_cast<Kind>(random() % static_cast<unsigned>(Kind::count)); };
    const Kind first = any();
    if (random() % 2) {
      meets_ = any();
      pairs[std::string(kNames[static_cast<int>(first)]) + "+" + kNames[static_cast<int>(*meets_)]]++;
    }
    play(first);
    if (!meets_) return;
    wait(0.05 * (random() % 20));
    meet();
  }
  void heal() {
    for (auto& w : cluster.workers) w->deafen(0);
    cluster.state.outage(false);
    for (std::size_t i = 0; i < is_new.size(); ++i) {
      cluster.part(i, false, false);
      auto& endpoint = cluster.state.endpoint(i);
      endpoint.refuses = false;
      endpoint.loses = endpoint.late = endpoint.repeats = 0;
    }
    healed_ = steady_now();
    cluster.checker.healed(healed_);
  }
  bool level_comes_on(std::uint32_t format_version, double within_s) {
    for (const double until = steady_now() + within_s; steady_now() < until; wait(0.1))
      if (cluster.state.value(thistlefront::kActiveVersionKey) == thistlefront::active_version_value({format_version, 0})) return true;
    return false;
  }
  // Asks for each accepted job once more, and tells what was found.
  bool verdict(const std::string& more) {
    cluster.stop_users();
    unsigned dice = plan.cluster.seed;
    std::size_t unanswered = 0;
    const auto accepted = cluster.checker.accepted();
    for (const auto& uid : accepted) {
      bool known = false;
      for (int tries = 0; tries < 20 && !known; ++tries) {
        const auto answer = cluster.ask("GET", "/v1/jobs/" + uid, "", dice);
        if (answer.is(404)) cluster.checker.told(uid, "unknown", steady_now());
        known = answer.is(200) || answer.is(404);
        if (!known) wait(0.2);
      }
      unanswered += !known;
    }
    const auto broken = cluster.checker.broken();
    std::cout << "seed " << plan.cluster.seed << ": " << events << " events, " << accepted.size() << " jobs accepted, "
              << cluster.checker.tasks_done() << " tasks done, longest without an acceptance "
              << cluster.checker.longest_without_acceptance(began_, healed_) << " s ("
              << cluster.checker.longest_without_acceptance(healed_, healed_ + 8) << " s when all was well), " << more << unanswered
              << " unanswered, " << cluster.state.unfenced() << " unfenced, " << cluster.state.too_large() << " too large, "
              << broken.size() << " rules broken" << std::endl;
    const auto p = cluster.checker.dependent_jobs();
    if (p.accepted > 0)
      std::cout << "  " << p.accepted << " jobs waited for others, " << p.mark_done << " of them done, " << p.mark_cancelled
                << " told cancelled; the first was accepted " << p.first_accepted - all_new << " s after all were new" << std::endl;
    std::cout << "  pairs:";
    for (const auto& [names, times] : pairs) std::cout << " " << names << (times > 1 ? "*" + std::to_string(times) : "");
    std::cout << std::endl;
    for (const auto& b : broken) std::cout << "  " << b << std::endl;
    return broken.empty() && unanswered == 0 && cluster.state.unfenced() == 0 && cluster.state.too_large() == 0;
  }
  [[nodiscard]] double since_healed() const { return steady_now() - healed_; }
  [[nodiscard]] bool over() const { return steady_now() > began_ + plan.seconds; }

  const Plan plan;
  Cluster cluster;
  std::mt19937 random;
  std::vector<bool> is_new;
  std::size_t events = 0;
  std::map<std::string, std::size_t> pairs;  // of troubles that met, by their names
  double all_new = 0;                        // steady seconds

 private:
  // The second trouble of a pair, in the middle of the first one.
  void meet() {
    if (const auto second = std::exchange(meets_, std::nullopt)) play(*second);
  }
  void lasts(double seconds) {
    wait(seconds / 2);
    meet();
    wait(seconds / 2);
  }
  void play(Kind what) {
    const auto n = is_new.size(), i = random() % n, leader = std::min(cluster.leader(), n - 1);
    auto& endpoint = cluster.state.endpoint(i);
    const auto toggle = [&](const char* said, std::atomic<double>& share, double to) {
      say(std::string(said) + ", or no longer");
      share = share > 0 ? 0 : to;
    };
    ++events;
    switch (what) {
      case Kind::leader_ends:
        say("the leader ends");
        cluster.end(leader);
        lasts(random() % 2 ? 0.5 : 0.05);
        start(leader, is_new[leader]);
        break;
      case Kind::leader_freezes:
        say("the leader stands still");
        cluster.freeze(leader, true);
        lasts(0.5 + 0.5 * (random() % 8));
        cluster.freeze(leader, false);
        break;
      case Kind::any_freezes:
        // With answers to its workers in hand, and back under another leader.
        say("host-" + std::to_string(i) + " stands still");
        cluster.freeze(i, true);
        lasts(0.5 + 0.5 * (random() % 16));
        cluster.freeze(i, false);
        break;
      case Kind::door_refuses:
        say("a door refuses, or no longer");
        endpoint.refuses = !endpoint.refuses;
        break;
      case Kind::answers_lost: toggle("answers are lost", endpoint.loses, 0.3); break;
      case Kind::late_writes:
        endpoint.late_most = 12;
        toggle("transactions are late", endpoint.late, 0.2);
        break;
      case Kind::repeats: toggle("transactions are repeated", endpoint.repeats, 0.3); break;
      case Kind::outage:
        say("an outage");
        cluster.state.outage(true);
        lasts(1 + random() % 4);
        cluster.state.outage(false);
        break;
      case Kind::gap:
        // Its successor leads when all are refused, or is about to; now and then for longer than cancel_s.
        say("the state service refuses the leader alone, then all");
        cluster.state.endpoint(leader).refuses = true;
        wait(1.3 + 0.1 * (random() % 12));
        cluster.state.outage(true);
        lasts(random() % 3 ? 8 : 26);
        cluster.state.outage(false);
        break;
      case Kind::parted: {
        // The leader, or any: it reaches nobody but its workers and users.
        const auto who = random() % 2 ? leader : i;
        const bool state_too = random() % 3 != 0;
        say("host-" + std::to_string(who) + " is parted from its peers" + (state_too ? " and the state service" : ""));
        cluster.part(who, true, state_too);
        lasts(2 + random() % 12);
        cluster.part(who, false, false);
        break;
      }
      case Kind::deaf: {
        // One machine, some, or a whole zone.
        const auto share = random() % 3;
        const double until = steady_now() + 3 + random() % 25;
        const auto zone = cluster.workers.empty() ? std::string() : cluster.workers.front()->zone();
        say("answers do not reach " + std::string(share == 0 ? "a machine" : share == 1 ? "some machines" : "a zone"));
        for (auto& w : cluster.workers) {
          if (share == 0 ? random() % cluster.workers.size() == 0 : share == 1 ? random() % 4 == 0 : w->zone() == zone) w->deafen(until);
        }
        break;
      }
      case Kind::hang: {
        if (cluster.workers.empty()) break;
        auto w = std::next(cluster.workers.begin(), static_cast<long>(random() % cluster.workers.size()));
        say((*w)->name() + " hangs");
        (*w)->hang(steady_now() + 1 + random() % 9);
        break;
      }
      default:
        say("all end");
        for (std::size_t k = 0; k < n; ++k) cluster.end(k);
        lasts(random() % 2 ? 0.5 : 0.05);
        for (std::size_t k = 0; k < n; ++k) start(k, is_new[k]);
    }
  }

  std::optional<Kind> meets_;
  double began_, healed_ = 0;
};

// Builds rolled forward and back in any order, with a trouble every second or two; then all are the newer one
// and the rest is over: everything accepted must be known, and the level must come on, without anyone.
bool roll_out(const Plan& plan) {
  Play play(plan);
  const auto n = plan.cluster.controllers;
  for (std::size_t i = 0; i < n; ++i) play.start(i, false);
  for (wait(4); !play.over(); wait(0.5 + 0.25 * (play.random() % 8))) {
    const auto what = play.random() % 3;
    if (what == 0) {
      play.trouble();
      continue;
    }
    const auto i = play.random() % n;
    const bool newer = what == 1 || play.random() % 2 == 0;
    play.say("host-" + std::to_string(i) + (newer ? " to the newer build" : " back to the older build"));
    play.start(i, newer);
    ++play.events;
  }
  play.heal();
  for (std::size_t i = 0; i < n; ++i)
    if (!play.is_new[i]) play.start(i, true);
  play.all_new = steady_now();
  play.cluster.dependent_jobs = plan.format_version >= 4;
  bool well = play.level_comes_on(plan.format_version, plan.settle);
  std::string more = well ? "level on after " + std::to_string(play.since_healed()) + " s, " : "level NOT on, ";
  wait(5);
  // The state service takes less from some moment on; and trouble goes on, with jobs that wait for others.
  if (plan.format_version >= 4) {
    play.cluster.state.limit(2048, 4);
    for (const double until = steady_now() + plan.seconds / 2; steady_now() < until; wait(0.5 + 0.25 * (play.random() % 8))) play.trouble();
    play.heal();
    for (std::size_t i = 0; i < n; ++i) play.start(i, true);
    wait(10);
  }
  if (plan.back) {
    play.cluster.dependent_jobs = false;
    wait(12);
    const double held = steady_now();
    for (std::size_t i = 0; i < n; ++i, wait(1)) play.start(i, true, {"--state-level-most", "1"});
    const bool back = play.level_comes_on(1, plan.settle);
    more += back ? "back at level 1 after " + std::to_string(steady_now() - held) + " s, " : "NOT back at level 1, ";
    well = well && back;
    for (std::size_t i = 0; i < n; ++i, wait(1)) play.start(i, false);
    wait(8);
  }
  return play.verdict(more) && well;
}

// Controllers ended in each step of what they do with the state service (the request executed or not), and at any moment, and
// back within a fraction of a second, one, some or all, often in a row.
bool restarts(const Plan& plan) {
  Play play(plan);
  const auto n = plan.cluster.controllers;
  auto& cluster = play.cluster;
  for (std::size_t i = 0; i < n; ++i) play.start(i, true);
  const auto serves = [&](double within_s) {
    unsigned dice = play.random();
    for (const double until = steady_now() + within_s; steady_now() < until; wait(0.01))
      if (cluster.ask("GET", "/v1/jobs/j-9", "", dice).is(404)) return true;
    return false;
  };
  const auto end = [&](std::size_t i) {
    auto& endpoint = cluster.state.endpoint(i);
    const auto fuse = static_cast<int>(play.random() % 12);
    if (play.random() % 3 != 0) {
      endpoint.executes = play.random() % 2 == 0;
      endpoint.fuse = fuse;
      for (const double until = steady_now() + 2; !endpoint.blown && steady_now() < until;) wait(0.002);
    }
    play.say("host-" + std::to_string(i) + " ends" +
             (endpoint.blown ? " at request " + std::to_string(fuse) + (endpoint.executes ? ", executed" : "") : ""));
    cluster.end(i);
    endpoint.fuse = -1;
    endpoint.blown = false;
    ++play.events;
  };
  std::vector<double> back;
  std::size_t never = 0;
  bool well = serves(10);
  play.all_new = steady_now();
  if (plan.format_version >= 4) {
    well = play.level_comes_on(plan.format_version, plan.settle) && well;
    cluster.dependent_jobs = true;
    cluster.state.limit(2048, 4);
  }
  while (!play.over()) {
    if (play.random() % 4 == 0) {
      for (auto k = 1 + play.random() % 3; k > 0; --k, wait(0.3)) play.trouble();
      play.heal();
      for (std::size_t i = 0; i < n; ++i) play.start(i, true);
      well = serves(15) && well;
      continue;
    }
    const auto which = play.random() % 5;
    double last_end = 0;
    for (auto rounds = 1 + play.random() % 4; rounds > 0; --rounds) {
      std::vector<std::size_t> ended;
      if (which == 0) {
        for (std::size_t i = 0; i < n; ++i) cluster.end(i), ended.push_back(i);
        ++play.events;
      } else {
        ended.push_back(which == 1 ? play.random() % n : std::min(cluster.leader(), n - 1));
        end(ended.back());
      }
      last_end = steady_now();
      wait(std::uniform_real_distribution<double>(0.05, plan.restart_after)(play.random));
      for (const auto i : ended) play.start(i, true);
    }
    if (serves(10)) {
      back.push_back(steady_now() - last_end);
    } else {
      ++never;
    }
    wait(0.2 * (play.random() % 10));
  }
  play.heal();
  well = serves(10) && well;
  wait(8);
  std::sort(back.begin(), back.end());
  const auto at = [&](double share) { return back.empty() ? 0 : back[static_cast<std::size_t>(share * (back.size() - 1))]; };
  return play.verdict("back after " + std::to_string(at(0.5)) + " s at the median, " + std::to_string(at(1)) + " s at most, " +
                      std::to_string(never) + " times not within 10 s, ") &&
         well && never == 0;
}

// Limits changed by settings files that are rolled out controller by controller, in the middle of troubles,
// over and over.
bool change_limits(const Plan& plan) {
  Play play(plan);
  const auto n = plan.cluster.controllers;
  auto limits = thistlefront::testbed::kLimits;
  for (std::size_t i = 0; i < n; ++i) play.start(i, true);
  bool well = play.level_comes_on(plan.format_version, plan.settle);
  play.all_new = steady_now();
  play.cluster.dependent_jobs = plan.format_version >= 4;
  std::size_t changes = 0;
  while (!play.over()) {
    auto next = limits;
    for (auto& [team, limit] : next) limit = std::vector<double>{12, 20, 35, 60}[play.random() % 4];
    std::string said = "new limits";
    for (const auto& [team, limit] : next) {
      said += ", " + team + " " + std::to_string(static_cast<int>(limit));
      play.cluster.checker.limit(team, std::max(limit, limits.at(team)));
    }
    play.say(said);
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < n; ++i) order.push_back(i);
    std::shuffle(order.begin(), order.end(), play.random);
    for (const auto i : order) {
      play.cluster.configure(i, next);
      play.start(i, true);
      for (auto k = play.random() % 3; k > 0; --k) {
        wait(0.5 + 0.25 * (play.random() % 8));
        play.trouble();
      }
    }
    ++changes;
    // All have it and nothing is amiss: what runs may be above a lowered limit for as long as it runs, and
    // nothing more starts.
    play.heal();
    wait(16);
    for (const auto& [team, limit] : next) play.cluster.checker.limit(team, limit);
    wait(3);
    limits = next;
  }
  play.heal();
  wait(8);
  return play.verdict(std::to_string(changes) + " changes of limits, ") && well;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"thistlefront-fault-test: real controllers on a stand-in cluster, under trouble"};
  app.require_subcommand(1);
  app.failure_message([](const CLI::App*, const CLI::Error& e) { return std::string(e.what()) + "\n"; });
  Plan plan;
  unsigned first = 1, last = 1;
  std::function<bool(const Plan&)> play;
  const auto common = [&](CLI::App* sub) {
    sub->add_option("--newer", plan.newer, "program of the newer build")->required()->check(CLI::ExistingFile);
    sub->add_option("--controllers", plan.cluster.controllers)->check(CLI::Range(1, 9))->capture_default_str();
    sub->add_option("--workers", plan.cluster.workers)->check(CLI::Range(1, 3000))->capture_default_str();
    sub->add_option("--users", plan.cluster.users)->check(CLI::Range(1, 200))->capture_default_str();
    sub->add_option("--first-seed", first)->capture_default_str();
    sub->add_option("--last-seed", last)->capture_default_str();
    sub->add_option("--level", plan.format_version, "state level that the newer build has")->capture_default_str();
    sub->add_option("--seconds", plan.seconds, "of trouble")->capture_default_str();
    sub->add_option("--settle", plan.settle, "seconds within which the level must come on")->capture_default_str();
    sub->add_option("--logs", plan.cluster.logs, "directory for what the controllers write")->check(CLI::ExistingDirectory);
    sub->add_option("--soak", plan.soak, "seconds that a level is waited with; 0: as the build does")->capture_default_str();
    sub->add_option("--intake", plan.relay, "report intake on the newer build")
        ->check(CLI::IsMember({"on", "off", "drawn"}))
        ->capture_default_str();
    sub->add_flag("--verbose", plan.verbose, "tells each event");
  };
  auto* rollout = app.add_subcommand("rollout", "two builds rolled forward and back, in any order, under trouble");
  common(rollout);
  rollout->add_option("--older", plan.older, "program of the older build")->required()->check(CLI::ExistingFile);
  rollout->add_flag("--back", plan.back, "afterwards the newer build is held at level 1 and the older one rolled out again");
  rollout->callback([&] { play = roll_out; });
  auto* limits = app.add_subcommand("limits", "teams' limits changed by files that are rolled out under trouble");
  common(limits);
  limits->callback([&] { play = change_limits; });
  auto* again = app.add_subcommand("restarts", "controllers ended in each step, and back within a fraction of a second");
  common(again);
  again->add_option("--restart-after", plan.restart_after, "seconds at most until a controller is back")
      ->check(CLI::Range(0.06, 60.0))
      ->capture_default_str();
  again->callback([&] { play = restarts; });
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  std::size_t failed = 0;
  for (unsigned seed = first; seed <= last; ++seed) {
    plan.cluster.seed = seed;
    failed += !play(plan);
  }
  std::cout << last - first + 1 - failed << " passed, " << failed << " failed" << std::endl;
  return failed == 0 ? 0 : 1;
}
