#include "cluster_state/submission_check.hpp"

#include <algorithm>
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "cluster_state/machine_type_catalogue.hpp"
#include "cluster_state/quota_accounts.hpp"

namespace thistlefront {

namespace {
constexpr double kRoundingSlack = 1e-6;  // sums of decimals have rounding errors

// An empty list allows every name.
bool allows_name(const std::vector<std::string>& allowed, const std::string& name) {
  return allowed.empty() || std::find(allowed.begin(), allowed.end(), name) != allowed.end();
}

bool can_run_task(const MachineType& machine_type, const JobSpec& spec) {
  const bool zone_matches = spec.zone.empty() || allows_name(machine_type.zones, spec.zone);
  return zone_matches && allows_name(spec.machine_types, machine_type.name) && spec.demand.fits(machine_type.capacity);
}

bool exceeds(double demand, double limit) {
  return limit > 0 && demand > limit + kRoundingSlack;
}
}  // namespace

std::optional<std::string> rejection_reason(const JobSpec& spec, const MachineTypeCatalogue& machine_types,
                                            const QuotaAccounts& quota_accounts) {
  const TeamIndex team = quota_accounts.find(spec.owner);
  if (!team.valid() || !quota_accounts.accepts_jobs(team)) return "owner: unknown team";
  const auto& offered = machine_types.offered();
  const bool fits = std::any_of(offered.begin(), offered.end(), [&](const MachineType& type) { return can_run_task(type, spec); });
  if (!fits) return "hostKinds: a task fits no allowed machine type";
  // Tasks of an array may run one after another; those of a gang or a service run at the same time.
  const Resources concurrent = spec.demand * (spec.job_type == JobType::array ? 1.0 : spec.task_count);
  const Resources& limit = quota_accounts.team(team).limit;
  if (exceeds(concurrent.cores, limit.cores)) return "cores: more than the team's limit";
  if (exceeds(concurrent.accelerators, limit.accelerators)) return "accelerators: more than the team's limit";
  return std::nullopt;
}

std::optional<std::string> dependency_rejection_reason(const JobSpec& spec, const ClusterState& cluster_state) {
  for (const auto& name : spec.depends_on) {
    const JobIndex dependency = cluster_state.find(name);
    if (name == spec.uid) return "waitsOn: the job itself";
    if (!dependency.valid()) return "waitsOn: " + name + " was never accepted";
    if (cluster_state.job(dependency).service) return "waitsOn: " + name + " is a service";
  }
  return std::nullopt;
}

}  // namespace thistlefront
