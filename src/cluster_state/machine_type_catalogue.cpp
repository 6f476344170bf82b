#include "cluster_state/machine_type_catalogue.hpp"

namespace thistlefront {

void MachineTypeCatalogue::replace_offered(const std::vector<MachineType>& machine_types) {
  offered_ = machine_types;
  offered_positions_.clear();
  for (std::size_t position = 0; position < offered_.size(); ++position) {
    const MachineTypeIndex index = names_.intern(offered_[position].name);
    if (offered_positions_.size() <= index.value) offered_positions_.resize(index.value + 1);
    offered_positions_[index.value] = position;
  }
}

const MachineType* MachineTypeCatalogue::offered(MachineTypeIndex index) const {
  if (!index.valid() || index.value >= offered_positions_.size()) return nullptr;
  const auto& position = offered_positions_[index.value];
  return position ? &offered_[*position] : nullptr;
}

}  // namespace thistlefront
