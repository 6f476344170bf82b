// Typed access to the fields of JSON messages, used only by the message files of this folder. Every function throws ProtocolError
// with the field's name on the wire. A null field is treated as absent, and unknown fields are ignored.
//
// The wire uses other names than the code for several terms. These names appear only in this folder, as literals:
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

/// Throws a ProtocolError that names `field`.
[[noreturn]] void fail_field(const char* field, const char* reason);

/// The field's value; nullptr if it is absent or null.
const nlohmann::json* find_member(const nlohmann::json& object, const char* field);
/// The field's value; throws if it is absent or null.
const nlohmann::json& require_member(const nlohmann::json& object, const char* field);

/// Throws unless `text` has 1 to 200 bytes.
void check_text_length(const std::string& text, const char* field);
/// Converts `value` to an integer; nothing if it is not whole, is negative or is too large to be exact in a double.
std::optional<std::uint64_t> exact_count(double value);

/// `value` as a text of 1 to 200 bytes. `field`: the name in the error.
std::string as_text(const nlohmann::json& value, const char* field);
/// `value` as a finite number from 0 to 1e12.
double as_amount(const nlohmann::json& value, const char* field);
/// `value` as a whole number that is not negative. It may be written with a zero fraction, such as 4.0.
std::uint64_t as_count(const nlohmann::json& value, const char* field);

/// A required text of 1 to 200 bytes.
std::string read_text(const nlohmann::json& object, const char* field);
/// A required finite number from 0 to 1e12.
double read_amount(const nlohmann::json& object, const char* field);
/// An optional finite number from 0 to 1e12.
double read_amount_or(const nlohmann::json& object, const char* field, double default_value);
/// A required whole number that is not negative.
std::uint64_t read_count(const nlohmann::json& object, const char* field);
/// A required boolean.
bool read_flag(const nlohmann::json& object, const char* field);
/// An optional boolean.
bool read_flag_or(const nlohmann::json& object, const char* field, bool default_value);
/// A required array.
const nlohmann::json& read_list(const nlohmann::json& object, const char* field);

}  // namespace thistlefront
