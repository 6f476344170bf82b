// JSON form of a ledger record: an array whose first item is the record's kind. It may end with an object of named extras; a reader
// ignores extras that it does not know. Records are stored permanently, so every form that was ever written must remain readable.
#pragma once
#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "model/job.hpp"
#include "model/ledger_records.hpp"

namespace thistlefront {

/// A record in the form in which it is put into an entry.
struct EncodedRecord {
  std::string text;
  std::uint64_t digest = 0;  ///< 0 if the format version has no checksums
};
/// Encodes a record in the form of a format version.
EncodedRecord encode_record(const Record& record, std::uint32_t format_version);
/// Upper bound in bytes of a job's description in a record, computed without encoding it.
std::size_t max_job_spec_bytes(const JobSpec& spec);
/// Reads a record; throws ProtocolError, or nlohmann::json::exception if an item is missing or has the wrong type.
Record parse_record(const nlohmann::json& items);

}  // namespace thistlefront
