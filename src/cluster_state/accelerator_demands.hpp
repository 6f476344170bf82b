// Largest demand of accepted tasks with accelerators, by machine type. The planner keeps services off the part of a node that such
// tasks need. `ClusterState` adds the demand of each accepted job; demands are never removed.
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
  void record(const std::vector<MachineTypeIndex>& machine_types, const Resources& demand, bool allows_spot);
  // Largest demand per resource of all recorded tasks that may run on this machine type; zero if there are none.
  [[nodiscard]] Resources largest(MachineTypeIndex machine_type, bool spot) const;

 private:
  // By machine type (not valid: jobs that may use any) and whether the node is a spot instance.
  std::map<std::pair<MachineTypeIndex, bool>, Resources> largest_;
};

}  // namespace thistlefront
