// What a controller process is given at its start and never changes. Read by every duty without a lock.
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
  std::uint64_t incarnation = 0;  // of this process; no other process ever has the same
  TeamQuotas team_quotas;         // as the settings name them
  SupportedVersions supported_versions;
  double started_at = 0;  // steady seconds: all that an earlier process of this controller did was before
};

// Draws the incarnation and reads the clock.
ControllerConfig make_controller_config(Settings settings, const Options& options);

}  // namespace thistlefront
