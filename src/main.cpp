// The thistlefront program: reads flags, environment variables and the platform's settings file, and runs a controller until SIGTERM or
// SIGINT.
#include <signal.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <thread>

#include "controller/controller.hpp"
#include "controller/resource_budget.hpp"
#include "protocol/settings.hpp"
#include "transport/threads.hpp"

namespace {

using thistlefront::Options;
using thistlefront::RelayMode;

constexpr int kRunFailed = 1;
constexpr int kBadConfiguration = 2;

void add_scheduling_options(CLI::App& app, Options& options) {
  app.add_option("--weight", options.wait_weight, "weight of one second of waiting in a job's sort key")
      ->envname("THISTLEFRONT_WEIGHT")
      ->check(CLI::Range(0.0, 1e6))
      ->capture_default_str();
  app.add_option("--pass-period", options.pass_period_s, "minimum seconds between scheduling passes")
      ->envname("THISTLEFRONT_PASS_PERIOD")
      ->check(CLI::Range(0.01, 60.0))
      ->capture_default_str();
  app.add_option("--overrun", options.overrun_s,
                 "a task that exceeds its estimate is expected to end this many seconds after the scheduling pass")
      ->envname("THISTLEFRONT_OVERRUN")
      ->check(CLI::Range(0.1, 86400.0))
      ->capture_default_str();
  app.add_option("--rent", options.scale_out, "request instances from the cloud for work that can't start in time")
      ->envname("THISTLEFRONT_RENT")
      ->capture_default_str();
}

void add_coordination_options(CLI::App& app, Options& options) {
  static const std::map<std::string, RelayMode> kRelayModes{{"off", RelayMode::off}, {"on", RelayMode::on}, {"auto", RelayMode::automatic}};
  app.add_option("--hold-ms", options.leader_lease_ms, "time to live of the leader lease in milliseconds")
      ->envname("THISTLEFRONT_HOLD_MS")
      ->check(CLI::Range(500u, 600000u))
      ->capture_default_str();
  app.add_option("--threads", options.threads, "maximum number of threads of the process")
      ->envname("THISTLEFRONT_THREADS")
      ->check(CLI::Range(thistlefront::ResourceBudget::kMinThreads, std::size_t{1000000}))
      ->capture_default_str();
  app.add_option("--state-level-most", options.max_format_version,
                 "highest format version (state level) that this controller allows to be activated; if a majority allows only lower ones, "
                 "the active version is lowered")
      ->envname("THISTLEFRONT_STATE_LEVEL_MOST")
      ->check(CLI::Range(thistlefront::rollout::kMinFormatVersion, thistlefront::rollout::kMaxFormatVersion))
      ->capture_default_str();
  app.add_option("--state-level-soak", options.format_version_soak_s,
                 "seconds for which all controllers must have supported a format version before it is activated")
      ->envname("THISTLEFRONT_STATE_LEVEL_SOAK")
      ->check(CLI::Range(0.0, 604800.0))
      ->capture_default_str();
  app.add_option("--intake", options.relay_mode,
                 "agents may connect to any controller, which relays their heartbeats to the leader in batches: on, off or auto")
      ->envname("THISTLEFRONT_INTAKE")
      ->transform(CLI::CheckedTransformer(kRelayModes))
      ->default_str("auto");
}

// Returns false and prints an error if the value of LOG_LEVEL is unknown.
bool set_up_logging() {
  auto logger = spdlog::stderr_logger_mt("thistlefront");
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %v", spdlog::pattern_time_type::utc);
  spdlog::set_default_logger(logger);
  const char* variable = std::getenv("LOG_LEVEL");  // NOLINT(concurrency-mt-unsafe): no other thread has started
  const std::string wanted = variable ? variable : "info";
  if (wanted != "error" && wanted != "info" && wanted != "debug") {
    std::cerr << "LOG_LEVEL: not error, info or debug: " << wanted << "\n";
    return false;
  }
  spdlog::set_level(spdlog::level::from_str(wanted == "error" ? "err" : wanted));
  return true;
}

std::optional<thistlefront::Settings> load_settings(const std::string& path) {
  try {
    return thistlefront::load_settings(path);
  } catch (const std::exception& e) {
    std::cerr << e.what() << "\n";
    return std::nullopt;
  }
}

// Serves until SIGTERM or SIGINT. Both are blocked in all threads; this one waits for them.
int run_controller(thistlefront::Settings settings, const Options& options) {
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
        std::_Exit(kRunFailed);
      }
    });
    int received = 0;
    sigwait(&signals, &received);
    service.request_stop();
  } catch (const std::exception& e) {
    std::cerr << e.what() << "\n";
    return kRunFailed;
  }
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"thistlefront: a cluster scheduler"};
  std::string config;
  Options options;
  app.failure_message([](const CLI::App*, const CLI::Error& e) { return std::string(e.what()) + "\n"; });
  app.set_version_flag("--version", std::string("thistlefront ") + thistlefront::rollout::kBuild);
  app.add_option("--config", config, "the platform's settings file (TOML)")->required()->type_name("FILE");
  add_scheduling_options(app, options);
  add_coordination_options(app, options);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e);
  }
  if (!set_up_logging()) return kBadConfiguration;
  thistlefront::configure_process_memory();
  auto settings = load_settings(config);
  return settings ? run_controller(std::move(*settings), options) : kBadConfiguration;
}
