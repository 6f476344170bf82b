// JSON form of a machine type, which is the same in the cloud's list and in the ledger.
#pragma once
#include <nlohmann/json_fwd.hpp>

#include "model/machine.hpp"

namespace thistlefront {

/// Encodes a machine type.
nlohmann::json machine_type_json(const MachineType& machine_type);
/// Parses and validates a machine type; throws ProtocolError.
MachineType parse_machine_type(const nlohmann::json& object);

}  // namespace thistlefront
