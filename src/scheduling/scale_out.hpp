// Decides which instances to request for work that has no slot in time, and which requested instances are still expected to boot. Called
// by the leader's cloud duty. Pure: it sends no request itself.
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

// What can be requested from the cloud: a machine type in a zone, spot or not.
struct InstanceOffer {
  MachineTypeIndex machine_type;
  std::string zone;
  bool spot = false;
  auto operator<=>(const InstanceOffer&) const = default;
};

enum class BootProgress {
  none,     // not booting: up, terminated, or given up
  on_time,  // expected to serve waiting work, which needs no further instance
  late,     // past the usual boot time: it may come up late or never
};
// Seconds since the instance was requested, as far as known; 0 if unknown.
double instance_age(const Node& node, double steady_now);
BootProgress boot_progress(const Node& node, const MachineType* machine_type, double steady_now);
// Whether the instance is so late that it is released even if work waits for it.
bool has_failed_to_boot(const Node& node, const MachineType* machine_type, double steady_now);

// Work that has no slot in time.
struct UnmetDemand {
  JobIndex job;
  std::uint32_t units = 0;  // tasks that an instance requested now would serve sooner
};
struct ScaleOutInput {
  const ClusterState& cluster_state;
  std::vector<UnmetDemand> unmet_demands;         // most urgent first
  const std::set<InstanceOffer>& refused_offers;  // refused by the cloud recently
  double steady_now = 0;
  unsigned max_instances = 50;  // in one request
};
struct ScaleOutRequest {
  InstanceOffer offer;
  unsigned count = 0;
  unsigned late_instances = 0;  // instances that would serve the same demands but are late
};
// Returns at most one request: the best offer for the first demand that booting instances do not cover, with the number of
// instances for all demands for which the same offer is best.
std::optional<ScaleOutRequest> choose_scale_out(const ScaleOutInput& in);

}  // namespace thistlefront
