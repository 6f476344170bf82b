// The machine types that the cloud offers, and indices for the names of all machine types that jobs and nodes use. The index of a
// name never changes, even while its machine type is not offered.
#pragma once
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/identifiers.hpp"
#include "model/machine.hpp"

namespace thistlefront {

class MachineTypeCatalogue {
 public:
  // Replaces the offered machine types; indices of names are kept.
  void replace_offered(const std::vector<MachineType>& machine_types);

  // nullptr if the machine type is not offered or the index is not valid.
  [[nodiscard]] const MachineType* offered(MachineTypeIndex index) const;
  [[nodiscard]] const std::vector<MachineType>& offered() const { return offered_; }

  MachineTypeIndex intern(std::string_view name) { return names_.intern(name); }
  [[nodiscard]] MachineTypeIndex find(std::string_view name) const { return names_.find(name); }
  [[nodiscard]] const std::string& name(MachineTypeIndex index) const { return names_.name(index); }

 private:
  Interner<MachineTypeIndex> names_;
  std::vector<MachineType> offered_;
  std::vector<std::optional<std::size_t>> offered_positions_;  // by machine type index: position in `offered_`
};

}  // namespace thistlefront
