// One record of the ledger as JSON: an array whose first item is the record's kind. It may end with an object of named extras,
// which a reader that does not know them ignores. What is written here is stored for good, so a form that was once written must
// always be read.
#pragma once
#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "model/job.hpp"
#include "model/ledger_records.hpp"

namespace thistlefront {

/// A record ready to be put into an entry.
struct EncodedRecord {
  std::string text;
  std::uint64_t digest = 0;  ///< 0 where the format version has no checksums
};
/// Encodes a record in the form of a format version.
EncodedRecord encode_record(const Record& record, std::uint32_t format_version);
/// Upper bound in bytes of a job's description in a record, found without encoding it.
std::size_t encoded_most(const JobSpec& spec);
/// Reads a record; throws ProtocolError, or nlohmann's exception where an item is missing or of the wrong type.
Record parse_record(const nlohmann::json& items);

}  // namespace thistlefront
