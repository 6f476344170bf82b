// A machine type as JSON: the cloud lists it in this form and the ledger stores it in the same.
#pragma once
#include <nlohmann/json_fwd.hpp>

#include "model/machine.hpp"

namespace thistlefront {

/// Encodes a machine type.
nlohmann::json machine_type_json(const MachineType& machine_type);
/// Checks and reads one; throws ProtocolError.
MachineType parse_machine_type(const nlohmann::json& object);

}  // namespace thistlefront
