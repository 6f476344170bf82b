// JSON forms of a job's description: in submissions of users, and as stored in the ledger. The fields are the same, but a stored
// description omits fields that have their default value, and a submission must contain each field that can't be null.
#pragma once
#include <nlohmann/json_fwd.hpp>
#include <string_view>

#include "model/job.hpp"

namespace thistlefront {

/// Whether a job id is well formed: "j-" and 1 to 30 digits.
bool is_uid(std::string_view uid);

/// Encodes a job's description for the ledger. Most fields are omitted if they have their default value.
nlohmann::json stored_job_spec_json(const JobSpec& spec);
/// Parses a description from the ledger. An omitted field has its default value; throws ProtocolError. Descriptions are stored
/// permanently, so this must accept whatever any build has stored, also what a submission may no longer contain.
JobSpec parse_stored_job_spec(const nlohmann::json& object);

/// Parses and validates a submission. Only the fields that may be null, and the list of dependencies, may be omitted; throws
/// ProtocolError.
JobSpec parse_submitted_job_spec(const nlohmann::json& object);

}  // namespace thistlefront
