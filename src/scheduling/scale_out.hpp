// Which machines to rent for work that has no slot in time, and which of those rented are still to be expected. Pure.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "model/identifiers.hpp"
#include "model/machine.hpp"
#include "scheduling/planner.hpp"

namespace thistlefront {

// What can be asked of the cloud: a kind in a zone, spot or not.
struct MachineOffer {
  MachineTypeIndex machine_type;
  std::string zone;
  bool spot = false;
  auto operator<=>(const MachineOffer&) const = default;
};

enum class BootProgress {
  none,     // up, gone, or given up
  on_time,  // serves what waits before anything else is rented for that
  late,     // over the time that boots usually take: it may come, or never
};
// Seconds since it was rented, as far as is known.
double instance_age(const Node& node, double steady);
BootProgress boot_progress(const Node& node, const MachineType* machine_type, double steady);
// So late that it is given back, whether or not anything waits for it.
bool has_failed_to_boot(const Node& node, const MachineType* machine_type, double steady);

struct UnmetDemand {
  JobIndex job;
  std::uint32_t units = 0;  // of its tasks, those that a machine up in a boot's time would serve sooner
};
struct ScaleOutInput {
  const ClusterState& cluster_state;
  std::vector<UnmetDemand> unmet;         // most urgent first
  const std::set<MachineOffer>& refused;  // lately
  double steady = 0;
  unsigned max_machines = 50;  // machines in one request
};
struct ScaleOutRequest {
  MachineOffer offer;
  unsigned count = 0;
  unsigned late = 0;  // machines that are late and would have served these needs
};
// One request: the best offer for the first need that machines on their way do not cover, and how many machines all needs
// want of it.
std::optional<ScaleOutRequest> choose_scale_out(const ScaleOutInput& in);

}  // namespace thistlefront
