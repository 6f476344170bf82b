// JSON form of a job's description, which is the same in submissions of users and in the ledger.
#pragma once
#include <nlohmann/json_fwd.hpp>
#include <string_view>

#include "model/job.hpp"

namespace thistlefront {

/// Whether a job id is well formed: "j-" and 1 to 30 digits.
bool is_uid(std::string_view uid);

/// Encodes a job's description. Most optional fields are left out if they have their default value.
nlohmann::json job_spec_json(const JobSpec& spec);
/// Parses and validates a job's description; throws ProtocolError.
JobSpec parse_job_spec(const nlohmann::json& object);

}  // namespace thistlefront
