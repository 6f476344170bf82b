// Typed access to the fields of JSON messages. Used by the message files of this folder alone; every function throws
// ProtocolError with the field's name on the wire. A field that is null counts as one that is absent, and unknown fields are
// ignored.
//
// The wire has older names for several terms of the code. They appear as literals in this folder and nowhere else:
//
//   wire                                      code
//   shape: batch, group, service              JobType: array, gang, service
//   rank: prod                                Priority: production
//   pieces, piece, try                        task count or tasks, task id, attempt
//   status: aborted (of a job)                JobStatus::cancelled
//   status: pulling, gathering, saving        TaskPhase: pulling_image, waiting_for_gang, checkpointing
//   cause: halted, peers, alone, ...          ExitReason; the table is in heartbeat_parser.cpp
//   kept                                      checkpointed
//   snapshotEveryS, snapshotS                 checkpoint interval, checkpoint duration
//   expectedS, dueS, waitsOn                  estimated run time, deadline, depends_on
//   bundle, pullGb                            image, image size
//   withdraw                                  cancel
//   host, hosts                               node (workers), instances (cloud)
//   hostKind, hostKinds, sku, flavors         machine type, its name
//   yard, yards                               zone
//   loaners, marketPrice                      spot, spot price
//   heldS                                     age of an instance
//   tenure                                    agent incarnation
//   epoch                                     fencing token
//   recallS                                   seconds until a spot interruption
//   orders, verb: run, kill, reap             commands: run, kill, acknowledge_exit
//   windDownS                                 grace period
//   steward                                   redirect target
//   hold, holds                               session lease
//   stamp, ledgerRev                          modification revision of a row, revision of the store
//   path (of a row), follow                   key, watch
//   level, generation, seq                    format version, generation and sequence number of a ledger entry
//   before, check, n, first                   previous link, checksum, number, first needed entry
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/protocol_error.hpp"

namespace thistlefront {

/// Parses `body`, which must be one JSON object.
nlohmann::json parse_object(std::string_view body);

/// Throws the ProtocolError that blames `field`.
[[noreturn]] void fail_field(const char* field, const char* reason);

/// The field's value; nullptr if it is absent or null.
const nlohmann::json* find_member(const nlohmann::json& object, const char* field);
/// The field's value, which must be there.
const nlohmann::json& require_member(const nlohmann::json& object, const char* field);

/// Checks the length of a text: from 1 to 200 bytes.
void check_text_length(const std::string& text, const char* field);
/// `value` as a count, if it is whole, not negative and small enough for a double to hold it exactly.
std::optional<std::uint64_t> count_of_real(double value);

/// `value` as a text of 1 to 200 bytes; `field` is the name to blame.
std::string as_text(const nlohmann::json& value, const char* field);
/// `value` as a finite number from 0 to 1e12.
double as_amount(const nlohmann::json& value, const char* field);
/// `value` as a whole number, which may be spelled with a fraction of zero.
std::uint64_t as_count(const nlohmann::json& value, const char* field);

/// A required text of 1 to 200 bytes.
std::string read_text(const nlohmann::json& object, const char* field);
/// A required finite number from 0 to 1e12.
double read_amount(const nlohmann::json& object, const char* field);
/// An optional one.
double read_amount_or(const nlohmann::json& object, const char* field, double otherwise);
/// A required whole number.
std::uint64_t read_count(const nlohmann::json& object, const char* field);
/// An optional boolean.
bool read_flag_or(const nlohmann::json& object, const char* field, bool otherwise);
/// A required array.
const nlohmann::json& read_list(const nlohmann::json& object, const char* field);

}  // namespace thistlefront
