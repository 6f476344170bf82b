// thistlefront-load-test: measures the resources that controllers use, by cluster size. Prints one line of JSON for a point.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "testbed/load_test/load_test_run.hpp"

namespace {

using namespace thistlefront::testbed;

void add_options(CLI::App& app, LoadTestOptions& options) {
  app.add_option("--program", options.program, "executable of the controllers")->required()->check(CLI::ExistingFile);
  app.add_option("--flag", options.controller_flags, "flag passed to each controller; may be repeated");
  app.add_option("--label", options.label, "label of the point, repeated in the result");
  app.add_option("--logs", options.log_directory, "directory for the controllers' logs")->check(CLI::ExistingDirectory);
  app.add_option("--workers", options.workers)->check(CLI::Range(1, 6000))->capture_default_str();
  app.add_option("--controllers", options.controllers)->check(CLI::Range(1, 9))->capture_default_str();
  app.add_option("--teams", options.teams)->check(CLI::Range(1, 1000))->capture_default_str();
  app.add_option("--threads", options.threads, "threads that serve the simulated workers")->check(CLI::Range(1, 64))->capture_default_str();
  app.add_option("--tasks", options.running_tasks, "tasks that run at the same time; 0: 20 per worker")
      ->check(CLI::Range(0, 1000000))
      ->capture_default_str();
  app.add_option("--starts", options.starts_per_s, "task starts per second; 0: 0.28 per worker")
      ->check(CLI::Range(0.0, 100000.0))
      ->capture_default_str();
  app.add_option("--pieces", options.tasks_per_job, "tasks per job")->check(CLI::Range(1, 1000))->capture_default_str();
  app.add_option("--report", options.heartbeat_interval_s, "seconds between heartbeats")
      ->check(CLI::Range(0.5, 60.0))
      ->capture_default_str();
  app.add_option("--ramp", options.max_ramp_s, "maximum seconds until the tasks run")->check(CLI::Range(1.0, 600.0))->capture_default_str();
  app.add_option("--seconds", options.measure_s, "seconds that are measured")->check(CLI::Range(1.0, 600.0))->capture_default_str();
  app.add_option("--write-rps", options.store_write_rps, "writes per second that the key-value store accepts")
      ->check(CLI::Range(1.0, 100000.0))
      ->capture_default_str();
  app.add_option("--sockets", options.max_sockets, "maximum sockets of a controller")
      ->check(CLI::Range(100, 100000))
      ->capture_default_str();
  app.add_option("--trouble", options.fault, "fault when the measurement starts: leader-ends, silence or reconnect")
      ->check(CLI::IsMember({kKillLeader, kSilenceWorkers, kReconnectAll}));
  app.add_option("--seed", options.seed)->capture_default_str();
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"thistlefront-load-test: real controllers with simulated workers; prints one line of JSON for a point"};
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
