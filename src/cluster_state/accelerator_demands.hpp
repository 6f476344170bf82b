// Largest demand of accepted tasks with accelerators, by machine type, and when the last of them was accepted. The planner keeps services
// off the part of a node that such tasks need, until it considers the demand over. `ClusterState` adds each accepted job.
#pragma once
#include <map>
#include <utility>
#include <vector>

#include "model/identifiers.hpp"
#include "model/resources.hpp"

namespace thistlefront {

class AcceleratorDemands {
 public:
  // Records an accepted job whose tasks each need `demand`. `machine_types`: those that it may use; empty: any.
  // `accepted_at`: wall seconds.
  void record(const std::vector<MachineTypeIndex>& machine_types, const Resources& demand, bool allows_spot, double accepted_at);
  // Largest demand per resource of all recorded tasks that may run on this machine type; zero if there are none.
  [[nodiscard]] Resources largest(MachineTypeIndex machine_type, bool spot) const;
  // When the latest of these jobs was accepted, in wall seconds; 0 if there are none.
  [[nodiscard]] double last_accepted_at(MachineTypeIndex machine_type) const;

 private:
  // By machine type (not valid: jobs that may use any) and whether the node is a spot instance.
  std::map<std::pair<MachineTypeIndex, bool>, Resources> largest_;
  std::map<MachineTypeIndex, double> last_accepted_at_;
};

}  // namespace thistlefront
