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

void AcceleratorDemands::record(const std::vector<MachineTypeIndex>& machine_types, const Resources& demand, bool allows_spot) {
  if (demand.accelerators <= 0) return;
  const auto record_type = [&](MachineTypeIndex machine_type) {
    raise_to(largest_[{machine_type, false}], demand);
    if (allows_spot) raise_to(largest_[{machine_type, true}], demand);
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

}  // namespace thistlefront
