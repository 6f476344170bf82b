#include "cluster_state/accelerator_demands.hpp"

#include <algorithm>

namespace thistlefront {

namespace {
void raise_to(Resources& largest, const Resources& demand) {
  largest.cores = std::max(largest.cores, demand.cores);
  largest.accelerators = std::max(largest.accelerators, demand.accelerators);
  largest.ram_gb = std::max(largest.ram_gb, demand.ram_gb);
}
}  // namespace

void AcceleratorDemands::record(const std::vector<MachineTypeIndex>& machine_types, const Resources& demand, bool allows_spot,
                                double accepted_at) {
  if (demand.accelerators <= 0) return;
  const auto record_type = [&](MachineTypeIndex machine_type) {
    raise_to(largest_[{machine_type, false}], demand);
    if (allows_spot) raise_to(largest_[{machine_type, true}], demand);
    double& last_accepted_at = last_accepted_at_[machine_type];
    last_accepted_at = std::max(last_accepted_at, accepted_at);
  };
  for (const MachineTypeIndex machine_type : machine_types) record_type(machine_type);
  if (machine_types.empty()) record_type(MachineTypeIndex{});
}

Resources AcceleratorDemands::largest(MachineTypeIndex machine_type, bool spot) const {
  Resources result;
  for (const MachineTypeIndex key : {machine_type, MachineTypeIndex{}}) {
    const auto it = largest_.find({key, spot});
    if (it != largest_.end()) raise_to(result, it->second);
  }
  return result;
}

double AcceleratorDemands::last_accepted_at(MachineTypeIndex machine_type) const {
  double result = 0;
  for (const MachineTypeIndex key : {machine_type, MachineTypeIndex{}}) {
    const auto it = last_accepted_at_.find(key);
    if (it != last_accepted_at_.end()) result = std::max(result, it->second);
  }
  return result;
}

}  // namespace thistlefront
