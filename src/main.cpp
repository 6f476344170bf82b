// Wires the parts together: settings, flags, logging, signals.
#include <signal.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>
#include <map>
#include <thread>

#include "controller/controller.hpp"
#include "controller/resource_budget.hpp"
#include "protocol/settings.hpp"
#include "transport/threads.hpp"

int main(int argc, char** argv) {
  CLI::App app{"thistlefront: a cluster scheduler"};
  std::string config;
  thistlefront::Options options;
  app.failure_message([](const CLI::App*, const CLI::Error& e) { return std::string(e.what()) + "\n"; });
  app.set_version_flag("--version", std::string("thistlefront ") + thistlefront::rollout::kBuild);
  app.add_option("--config", config, "the platform's settings file (TOML)")->required()->type_name("FILE");
  app.add_option("--weight", options.weight, "weight of a second waited in the key")
      ->envname("THISTLEFRONT_WEIGHT")
      ->check(CLI::Range(0.0, 1e6))
      ->capture_default_str();
  app.add_option("--pass-period", options.pass_period_s, "least seconds between passes")
      ->envname("THISTLEFRONT_PASS_PERIOD")
      ->check(CLI::Range(0.01, 60.0))
      ->capture_default_str();
  app.add_option("--overrun", options.overrun_s, "seconds after the pass at which an overrun counts as ending")
      ->envname("THISTLEFRONT_OVERRUN")
      ->check(CLI::Range(0.1, 86400.0))
      ->capture_default_str();
  app.add_option("--hold-ms", options.leader_lease_ms, "life of the leader's hold, milliseconds")
      ->envname("THISTLEFRONT_HOLD_MS")
      ->check(CLI::Range(500u, 600000u))
      ->capture_default_str();
  app.add_option("--threads", options.threads, "threads that the process may have")
      ->envname("THISTLEFRONT_THREADS")
      ->check(CLI::Range(thistlefront::ResourceBudget::kLeastThreads, std::size_t{1000000}))
      ->capture_default_str();
  app.add_option("--state-level-most", options.max_format_version,
                 "highest state level that this controller lets be switched on; a majority held below the one that is on "
                 "lowers it")
      ->envname("THISTLEFRONT_STATE_LEVEL_MOST")
      ->check(CLI::Range(thistlefront::rollout::kMinFormatVersion, thistlefront::rollout::kMaxFormatVersion))
      ->capture_default_str();
  app.add_option("--state-level-soak", options.format_version_soak_s,
                 "seconds for which all controllers must have had a state level before it is switched on")
      ->envname("THISTLEFRONT_STATE_LEVEL_SOAK")
      ->check(CLI::Range(0.0, 604800.0))
      ->capture_default_str();
  app.add_option("--rent", options.scale_out, "rent machines for work that can't be served in time")
      ->envname("THISTLEFRONT_RENT")
      ->capture_default_str();
  const std::map<std::string, thistlefront::RelayMode> relay_modes{
      {"off", thistlefront::RelayMode::off}, {"on", thistlefront::RelayMode::on}, {"auto", thistlefront::RelayMode::automatic}};
  app.add_option("--intake", options.relay_mode,
                 "workers stay with any controller, which passes their reports to the leader in batches: on, off or auto")
      ->envname("THISTLEFRONT_INTAKE")
      ->transform(CLI::CheckedTransformer(relay_modes))
      ->default_str("auto");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e);
  }

  auto logger = spdlog::stderr_logger_mt("thistlefront");
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %v", spdlog::pattern_time_type::utc);
  spdlog::set_default_logger(logger);
  const char* level = std::getenv("LOG_LEVEL");
  const std::string wanted = level ? level : "info";
  if (wanted != "error" && wanted != "info" && wanted != "debug") {
    std::cerr << "LOG_LEVEL: not error, info or debug: " << wanted << "\n";
    return 2;
  }
  spdlog::set_level(spdlog::level::from_str(wanted == "error" ? "err" : wanted));

  thistlefront::configure_process_memory();
  thistlefront::Settings settings;
  try {
    settings = thistlefront::load_settings(config);
  } catch (const std::exception& e) {
    std::cerr << e.what() << "\n";
    return 2;
  }
  // SIGTERM and SIGINT end the service in order; the thread that waits for them is the only one that takes them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  try {
    thistlefront::Controller controller(std::move(settings), options);
    std::jthread service([&](std::stop_token stop) {
      try {
        controller.run(stop);
      } catch (const std::exception& e) {
        std::cerr << e.what() << "\n";
        std::_Exit(1);
      }
    });
    int received = 0;
    sigwait(&signals, &received);
    service.request_stop();
  } catch (const std::exception& e) {
    std::cerr << e.what() << "\n";
    return 1;
  }
  return 0;
}
