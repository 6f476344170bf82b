// The configuration of a controller process. Set at the start and never changed; read by all threads without a lock.
#pragma once
#include <cstdint>

#include "cluster_state/quota_agreement.hpp"
#include "controller/options.hpp"
#include "controller/resource_budget.hpp"
#include "protocol/settings.hpp"
#include "protocol/version_messages.hpp"

namespace thistlefront {

struct ControllerConfig {
  Settings settings;
  Options options;
  ResourceBudget budget;
  std::uint64_t incarnation = 0;  // random; identifies this process among all processes ever started
  TeamQuotas team_quotas;         // from the settings
  SupportedVersions supported_versions;
  double started_at = 0;  // steady seconds; earlier processes of this controller ended before
};

// Draws the incarnation and reads the clock.
ControllerConfig make_controller_config(Settings settings, const Options& options);

}  // namespace thistlefront
