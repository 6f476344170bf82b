// JSON forms of a machine type: in the cloud's list, which must contain each field, and as stored in the ledger.
#pragma once
#include <nlohmann/json_fwd.hpp>

#include "model/machine.hpp"

namespace thistlefront {

/// Encodes a machine type for the ledger.
nlohmann::json stored_machine_type_json(const MachineType& machine_type);
/// Parses a machine type from the ledger. An omitted field has a default value, so that whatever any build has stored remains
/// readable; throws ProtocolError.
MachineType parse_stored_machine_type(const nlohmann::json& object);

/// Parses and validates a machine type that the cloud offers; throws ProtocolError.
MachineType parse_offered_machine_type(const nlohmann::json& object);

}  // namespace thistlefront
