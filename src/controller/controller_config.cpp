#include "controller/controller_config.hpp"

#include <algorithm>
#include <random>

#include "transport/clock.hpp"

namespace thistlefront {

namespace {
constexpr unsigned kIncarnationShift = 2;  // keeps the number within the signed integers of some JSON parsers

std::uint64_t random_word() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 31) ^ device();
}

TeamQuotas quotas_in(const Settings& settings) {
  TeamQuotas out;
  for (const auto& team : settings.teams) out[team.name] = {team.guarantee, team.limit};
  return out;
}
}  // namespace

ControllerConfig make_controller_config(Settings settings, const Options& options) {
  ControllerConfig config;
  config.settings = std::move(settings);
  config.options = options;
  config.budget = split_resource_budget(options.threads, config.settings.max_sockets, config.settings.peers.size());
  config.incarnation = random_word() >> kIncarnationShift;
  config.team_quotas = quotas_in(config.settings);
  config.supported_versions = {rollout::kMinFormatVersion,
                               options.max_readable_format_version,
                               std::min(options.max_format_version, options.max_readable_format_version),
                               config.incarnation,
                               rollout::kBuild,
                               digest_of(config.team_quotas)};
  config.started_at = steady_now();
  return config;
}

}  // namespace thistlefront
