// The largest task with accelerators that any accepted job asked for, by machine type: the planner keeps
// services off the part of a machine that such tasks need. `ClusterState` records each accepted job; nothing is forgotten.
#pragma once
#include <map>
#include <utility>
#include <vector>

#include "model/identifiers.hpp"
#include "model/resources.hpp"

namespace thistlefront {

class AcceleratorDemands {
 public:
  // A job was accepted whose tasks need `demand` each. `machine_types`: those it may use; empty: any.
  void record(const std::vector<MachineTypeIndex>& machine_types, const Resources& demand, bool allows_spot);
  // Largest amount of each resource that a recorded task may need on this machine type; zero when there is none.
  [[nodiscard]] Resources largest(MachineTypeIndex machine_type, bool spot) const;

 private:
  // By machine type (not valid: jobs that may use any), and whether the instance is a spot one.
  std::map<std::pair<MachineTypeIndex, bool>, Resources> largest_;
};

}  // namespace thistlefront
