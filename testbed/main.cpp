// Command line of thistlefront-fault-test, which injects faults into a simulated cluster with real controllers and checks the protocol's
// rules, one seed after the other; docs/rollouts.md.
#include <CLI/CLI.hpp>
#include <csignal>
#include <functional>
#include <iostream>

#include "testbed/scenarios.hpp"

namespace {

using namespace thistlefront::testbed;

struct CommandLine {
  ScenarioOptions options;
  unsigned first_seed = 1, last_seed = 1;
  std::function<bool(const ScenarioOptions&)> scenario;
};

void add_common_options(CLI::App& command, CommandLine& line) {
  auto& options = line.options;
  command.add_option("--newer", options.newer_program, "program of the newer build")->required()->check(CLI::ExistingFile);
  command.add_option("--controllers", options.cluster.controllers)->check(CLI::Range(1, 9))->capture_default_str();
  command.add_option("--workers", options.cluster.workers)->check(CLI::Range(1, 3000))->capture_default_str();
  command.add_option("--users", options.cluster.users)->check(CLI::Range(1, 200))->capture_default_str();
  command.add_option("--first-seed", line.first_seed)->capture_default_str();
  command.add_option("--last-seed", line.last_seed)->capture_default_str();
  command.add_option("--level", options.format_version, "state level of the newer build")->capture_default_str();
  command.add_option("--seconds", options.faults_s, "duration of fault injection")->capture_default_str();
  command.add_option("--settle", options.settle_s, "seconds within which the state level must be activated")->capture_default_str();
  command.add_option("--logs", options.cluster.logs, "directory for the logs of the controllers")->check(CLI::ExistingDirectory);
  command.add_option("--soak", options.soak_s, "soak time in seconds before a state level is activated; 0: the build's default")
      ->capture_default_str();
  command.add_option("--intake", options.relay_mode, "heartbeat relay on the newer build")
      ->check(CLI::IsMember({kRelayOn, kRelayOff, kRelayDrawn}))
      ->capture_default_str();
  command.add_flag("!--no-command-copies", options.command_copies, "deliver no copies of answered commands");
  command.add_flag("--verbose", options.verbose, "print each event");
}

void add_commands(CLI::App& app, CommandLine& line) {
  app.require_subcommand(1);
  app.failure_message([](const CLI::App*, const CLI::Error& error) { return std::string(error.what()) + "\n"; });
  auto* rollout = app.add_subcommand("rollout", "roll two builds forward and back, in random order, while faults are injected");
  add_common_options(*rollout, line);
  rollout->add_option("--older", line.options.older_program, "program of the older build")->required()->check(CLI::ExistingFile);
  rollout->add_flag("--back", line.options.roll_back, "then lower the newer build to state level 1 and roll out the older build again");
  rollout->callback([&line] { line.scenario = run_rollout; });
  auto* limits = app.add_subcommand("limits", "roll out settings files with other team limits while faults are injected");
  add_common_options(*limits, line);
  limits->callback([&line] { line.scenario = run_limit_changes; });
  auto* restarts = app.add_subcommand("restarts", "kill controllers at each step and restart them within a fraction of a second");
  add_common_options(*restarts, line);
  restarts->add_option("--restart-after", line.options.restart_after_s, "maximum seconds until a controller is restarted")
      ->check(CLI::Range(0.06, 60.0))
      ->capture_default_str();
  restarts->callback([&line] { line.scenario = run_restarts; });
}

// Returns the number of seeds that failed.
std::size_t run_seeds(CommandLine& line) {
  std::size_t failed = 0;
  for (unsigned seed = line.first_seed; seed <= line.last_seed; ++seed) {
    line.options.cluster.seed = seed;
    if (!line.scenario(line.options)) ++failed;
  }
  return failed;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"thistlefront-fault-test: fault injection into a simulated cluster with real controllers"};
  CommandLine line;
  add_commands(app, line);
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  const auto failed = run_seeds(line);
  std::cout << line.last_seed - line.first_seed + 1 - failed << " passed, " << failed << " failed" << std::endl;
  return failed == 0 ? 0 : 1;
}
