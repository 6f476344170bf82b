// thistlefront-load-test: what one cell costs its controllers, by size. One line of JSON for each point.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "testbed/load_test/load_test_run.hpp"

namespace {

using namespace thistlefront::testbed;

void add_options(CLI::App& app, LoadTestOptions& options) {
  app.add_option("--program", options.program, "the controllers' program")->required()->check(CLI::ExistingFile);
  app.add_option("--flag", options.flags, "a flag for each controller; may be given several times");
  app.add_option("--label", options.label, "told in the result");
  app.add_option("--logs", options.logs, "directory for what the controllers write")->check(CLI::ExistingDirectory);
  app.add_option("--workers", options.workers)->check(CLI::Range(1, 6000))->capture_default_str();
  app.add_option("--controllers", options.controllers)->check(CLI::Range(1, 9))->capture_default_str();
  app.add_option("--teams", options.teams)->check(CLI::Range(1, 1000))->capture_default_str();
  app.add_option("--threads", options.threads, "of the hollow workers")->check(CLI::Range(1, 64))->capture_default_str();
  app.add_option("--tasks", options.running, "that run at a time; 0: 20 a worker")->check(CLI::Range(0, 1000000))->capture_default_str();
  app.add_option("--starts", options.starts, "a second; 0: 0.28 a worker")->check(CLI::Range(0.0, 100000.0))->capture_default_str();
  app.add_option("--pieces", options.tasks, "tasks of a job")->check(CLI::Range(1, 1000))->capture_default_str();
  app.add_option("--report", options.heartbeat_interval_s, "seconds between reports")->check(CLI::Range(0.5, 60.0))->capture_default_str();
  app.add_option("--ramp", options.ramp_s, "seconds at most until the tasks run")->check(CLI::Range(1.0, 600.0))->capture_default_str();
  app.add_option("--seconds", options.measure_s, "that are measured")->check(CLI::Range(1.0, 600.0))->capture_default_str();
  app.add_option("--write-rps", options.state_write_rps, "changes a second that the state service takes")
      ->check(CLI::Range(1.0, 100000.0))
      ->capture_default_str();
  app.add_option("--sockets", options.max_sockets, "that a controller may have")->check(CLI::Range(100, 100000))->capture_default_str();
  app.add_option("--trouble", options.fault, "leader-ends, silence or reconnect, as the measurement begins")
      ->check(CLI::IsMember({kLeaderEnds, kSilence, kReconnect}));
  app.add_option("--seed", options.seed)->capture_default_str();
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"thistlefront-load-test: real controllers with hollow workers; one line of JSON a point"};
  LoadTestOptions options;
  app.failure_message([](const CLI::App*, const CLI::Error& error) { return std::string(error.what()) + "\n"; });
  add_options(app, options);
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const auto point = run_load_test(options);
    std::cout << point.dump() << std::endl;
    return point.at("rules_broken").empty() ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
