// thistlefront-rig: plays troubles on a stand-in cluster with real controllers, and checks the protocol's
// rules.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "protocol/rollout_messages.hpp"
#include "rig/cluster.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace {

using thistle::steady_now;
using thistle::rig::Cluster;

struct Plan {
  Cluster::Options cluster;
  std::string older, newer;
  double seconds = 40, settle = 60;
  unsigned level = 2;  // that the newer build has
  bool back = false;
  bool verbose = false;
};

void wait(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// Builds rolled forward and back in any order, with a trouble every second or two; then all are the newer one
// and the rest is over: everything accepted must be known, and the level must come on, without anyone.
bool roll_out(const Plan& plan) {
  const auto n = plan.cluster.controllers;
  Cluster cluster(plan.cluster);
  std::mt19937 random(plan.cluster.seed);
  const std::vector<std::string> soak{"--state-level-soak", "3"};
  std::vector<bool> is_new(n, false);
  const auto start = [&](std::size_t i, bool newer) {
    is_new[i] = newer;
    cluster.start(i, newer ? plan.newer : plan.older, newer ? soak : std::vector<std::string>{});
  };
  const auto say = [&](const std::string& what) {
    if (plan.verbose) std::cout << "  " << what << std::endl;
  };
  for (std::size_t i = 0; i < n; ++i) start(i, false);
  const double began = steady_now();
  std::size_t events = 0;
  wait(4);
  while (steady_now() < began + plan.seconds) {
    const auto i = random() % n, leader = std::min(cluster.leader(), n - 1);
    auto& door = cluster.state.door(i);
    ++events;
    switch (random() % 12) {
      case 0:
      case 1:
      case 2:
        say("host-" + std::to_string(i) + " to the newer build");
        start(i, true);
        break;
      case 3:
        say("host-" + std::to_string(i) + " back to the older build");
        start(i, false);
        break;
      case 4:
        say("the leader ends");
        cluster.end(leader);
        wait(0.5);
        start(leader, is_new[leader]);
        break;
      case 5:
        say("the leader stands still");
        cluster.freeze(leader, true);
        wait(0.5 + 0.5 * (random() % 8));
        cluster.freeze(leader, false);
        break;
      case 6:
        say("a door refuses, or no longer");
        door.refuses = !door.refuses;
        break;
      case 7:
        say("answers are lost, or no longer");
        door.loses = door.loses > 0 ? 0 : 0.3;
        break;
      case 8:
        say("transactions are late, or no longer");
        door.late = door.late > 0 ? 0 : 0.2;
        break;
      case 9:
        say("transactions are repeated, or no longer");
        door.repeats = door.repeats > 0 ? 0 : 0.3;
        break;
      case 10:
        say("an outage");
        for (std::size_t k = 0; k < n; ++k) cluster.state.door(k).refuses = true;
        wait(1 + random() % 4);
        for (std::size_t k = 0; k < n; ++k) cluster.state.door(k).refuses = false;
        break;
      default:
        say("all end");
        for (std::size_t k = 0; k < n; ++k) cluster.end(k);
        wait(0.5);
        for (std::size_t k = 0; k < n; ++k) start(k, is_new[k]);
    }
    if (random() % 6 == 0 && !cluster.workers.empty()) {
      auto w = std::next(cluster.workers.begin(), static_cast<long>(random() % cluster.workers.size()));
      (*w)->hang(steady_now() + 1 + random() % 9);
    }
    wait(0.5 + 0.25 * (random() % 8));
  }
  for (std::size_t i = 0; i < n; ++i) {
    auto& door = cluster.state.door(i);
    door.refuses = false;
    door.loses = door.late = door.repeats = 0;
    if (!is_new[i]) start(i, true);
  }
  const double healed = steady_now();
  double level_after = -1;
  while (steady_now() < healed + plan.settle && level_after < 0) {
    if (cluster.state.value(thistle::kLevelKey) == thistle::level_value({plan.level, 0}))
      level_after = steady_now() - healed;
    wait(0.1);
  }
  wait(5);
  double back_after = 0;
  if (plan.back) {
    const double held = steady_now();
    for (std::size_t i = 0; i < n; ++i) {
      cluster.start(i, plan.newer, {"--state-level-soak", "3", "--state-level-most", "1"});
      wait(1);
    }
    back_after = -1;
    while (steady_now() < held + plan.settle && back_after < 0) {
      if (cluster.state.value(thistle::kLevelKey) == thistle::level_value({1, 0}))
        back_after = steady_now() - held;
      wait(0.1);
    }
    for (std::size_t i = 0; i < n; ++i) {
      start(i, false);
      wait(1);
    }
    wait(8);
  }
  cluster.stop_users();
  // Once more, each job that was ever accepted.
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
  const auto gap = cluster.checker.longest_without_acceptance(began, healed);
  const auto after = cluster.checker.longest_without_acceptance(healed, healed + 8);
  std::cout << "seed " << plan.cluster.seed << ": " << events << " events, " << accepted.size()
            << " jobs accepted, " << cluster.checker.tasks_done()
            << " tasks done, longest without an acceptance " << gap << " s (" << after
            << " s when all was well), level on after " << level_after << " s, "
            << (plan.back ? "back at level 1 after " + std::to_string(back_after) + " s, " : "") << unanswered
            << " unanswered, " << cluster.state.unfenced() << " unfenced, " << broken.size()
            << " rules broken" << std::endl;
  for (const auto& b : broken) std::cout << "  " << b << std::endl;
  return broken.empty() && unanswered == 0 && level_after >= 0 && back_after >= 0 &&
         cluster.state.unfenced() == 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"thistlefront-rig: real controllers on a stand-in cluster, under trouble"};
  app.require_subcommand(1);
  Plan plan;
  unsigned first = 1, last = 1;
  auto* rollout =
      app.add_subcommand("rollout", "two builds rolled forward and back, in any order, under trouble");
  rollout->add_option("--older", plan.older, "program of the older build")
      ->required()
      ->check(CLI::ExistingFile);
  rollout->add_option("--newer", plan.newer, "program of the newer build")
      ->required()
      ->check(CLI::ExistingFile);
  rollout->add_option("--controllers", plan.cluster.controllers)
      ->check(CLI::Range(1, 9))
      ->capture_default_str();
  rollout->add_option("--workers", plan.cluster.workers)->check(CLI::Range(1, 3000))->capture_default_str();
  rollout->add_option("--users", plan.cluster.users)->check(CLI::Range(1, 200))->capture_default_str();
  rollout->add_option("--first-seed", first)->capture_default_str();
  rollout->add_option("--last-seed", last)->capture_default_str();
  rollout->add_option("--level", plan.level, "state level that the newer build has")->capture_default_str();
  rollout->add_flag("--back", plan.back,
                    "afterwards the newer build is held at level 1 and the older one rolled out again");
  rollout->add_option("--seconds", plan.seconds, "of trouble")->capture_default_str();
  rollout->add_option("--settle", plan.settle, "seconds within which the level must come on afterwards")
      ->capture_default_str();
  rollout->add_option("--logs", plan.cluster.logs, "directory for what the controllers write")
      ->check(CLI::ExistingDirectory);
  rollout->add_flag("--verbose", plan.verbose, "tells each event");
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  std::size_t failed = 0;
  for (unsigned seed = first; seed <= last; ++seed) {
    plan.cluster.seed = seed;
    failed += !roll_out(plan);
  }
  std::cout << last - first + 1 - failed << " passed, " << failed << " failed" << std::endl;
  return failed == 0 ? 0 : 1;
}
