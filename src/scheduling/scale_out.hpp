// Decides which machines to rent for work that has no slot in time, and which of those rented are still to be expected.
// Called by the leader's duty that talks to the cloud. Pure: it sends no request itself.
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

// What can be asked of the cloud: a machine type in a zone, spot or not.
struct MachineOffer {
  MachineTypeIndex machine_type;
  std::string zone;
  bool spot = false;
  auto operator<=>(const MachineOffer&) const = default;
};

enum class BootProgress {
  none,     // not booting: up, gone, or given up
  on_time,  // will serve what waits, before anything else is rented for that
  late,     // over the time that boots usually take: it may come up, or never
};
// Seconds since the machine was requested, as far as is known.
double instance_age(const Node& node, double steady);
BootProgress boot_progress(const Node& node, const MachineType* machine_type, double steady);
// Whether it is so late that it is released, whether or not anything waits for it.
bool has_failed_to_boot(const Node& node, const MachineType* machine_type, double steady);

// Work that has no slot in time.
struct UnmetDemand {
  JobIndex job;
  std::uint32_t units = 0;  // tasks that a machine requested now would serve sooner
};
struct ScaleOutInput {
  const ClusterState& cluster_state;
  std::vector<UnmetDemand> unmet;         // most urgent first
  const std::set<MachineOffer>& refused;  // by the cloud, recently
  double steady = 0;
  unsigned max_machines = 50;  // machines in one request
};
struct ScaleOutRequest {
  MachineOffer offer;
  unsigned count = 0;
  unsigned late = 0;  // machines that are late and would have served these needs
};
// At most one request: the best offer for the first demand that booting machines do not cover, and how many machines of it
// all demands want.
std::optional<ScaleOutRequest> choose_scale_out(const ScaleOutInput& in);

}  // namespace thistlefront
