// JSON messages to typed values and back. Wire names appear in this layer alone.
#pragma once
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "model/machine.hpp"

namespace thistlefront {

// A message that can't be taken; what() is one line that names the field.
struct ProtocolError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Users
bool is_uid(std::string_view s);
JobSpec parse_submission(std::string_view body);
// The uid of a body that is otherwise malformed; empty if it has none in form.
std::string extract_uid(std::string_view body);
std::string status_body(const std::string& uid, JobStatus status, std::uint32_t done, std::uint32_t running);
std::string acknowledgement_body(const std::string& uid, JobStatus status);
std::string error_body(std::string_view reason);
struct UserRoute {
  enum class Kind { submit, status, withdraw, health, metrics, heartbeat, unknown, wrong_method } kind = Kind::unknown;
  std::string uid;
};
UserRoute route_of(std::string_view method, std::string_view target);

// Workers
Heartbeat parse_heartbeat(std::string_view body);
std::string heartbeat_response_body(std::uint64_t fencing_token, const std::vector<Command>& commands);
std::string commands_body(std::uint64_t fencing_token, std::uint64_t agent_incarnation, const std::vector<Command>& commands);
std::string redirect_body(std::string_view redirect_target);
inline constexpr const char* kCommandsPath = "/commands";
inline constexpr const char* kWorkerStatusPath = "/status";

// Cloud
inline constexpr const char* kMachineTypesPath = "/flavors";
inline constexpr const char* kRentPath = "/rentals";
inline constexpr const char* kReleasePath = "/rentals/release";
std::string instances_path(const std::string& from, unsigned page);
std::vector<MachineType> parse_machine_types(std::string_view body);
struct InstancePage {
  std::vector<Instance> instances;
  bool truncated = false;
};
InstancePage parse_instances(std::string_view body);
std::string rent_body(const std::string& rental, const std::string& kind, const std::string& zone, bool spot, unsigned count);
std::vector<std::string> parse_rented(std::string_view body);
// Whether a refusal says that there are no such machines, and not that the cloud has trouble.
bool is_no_capacity(std::string_view body);
std::string release_body(const std::vector<std::string>& names);

// State service
struct LeaderValue {
  std::string label;
  std::uint64_t incarnation = 0;
};
inline constexpr const char* kLeaderKeyV1 = "leader";
std::string store_path(const std::string& key);
std::string list_path(const std::string& prefix, const std::string& from);
std::string follow_path(const std::string& prefix, std::uint64_t from, unsigned block_ms);
inline constexpr const char* kTxnPath = "/txn";
inline constexpr const char* kSessionLeasesPath = "/holds";
std::string session_lease_path(std::uint64_t session_lease, bool renew);
std::string session_lease_body(unsigned life_ms);
std::uint64_t parse_session_lease(std::string_view body);
struct Condition {
  std::string key;
  std::uint64_t mod_revision = 0;
};
struct Put {
  std::string key;
  std::string value;  // JSON text
  std::uint64_t session_lease = 0;
};
std::string txn_body(const std::vector<Condition>& conditions, const std::vector<Put>& puts, const std::vector<std::string>& removes);
std::uint64_t parse_revision(std::string_view body);
std::vector<std::string> parse_failed(std::string_view body);
struct Row {
  std::string key;
  std::string value;  // JSON text
  std::uint64_t mod_revision = 0;
  std::uint64_t session_lease = 0;  // to which it is attached; 0: none
};
Row parse_row(std::string_view body);
struct Rows {
  std::vector<Row> rows;
  bool truncated = false;
  std::uint64_t revision = 0;  // of the state service when it was looked at
};
Rows parse_rows(std::string_view body);
std::string leader_value(const LeaderValue& leader);
LeaderValue parse_leader(std::string_view value);

// Ledger entries. Level 1: {"seq":N,"records":[...]}. From level 2 on:
// {"level":2,"generation":G,"seq":N,"check":"…","before":"…","records":[...]}, where a record may end with an object of named
// extras, which a reader that does not know them passes over.
inline constexpr bool has_checksums(std::uint32_t format_version) {
  return format_version > 1;
}
// From level 3 on entries hold the terms of teams.
inline constexpr bool has_team_quotas(std::uint32_t format_version) {
  return format_version > 2;
}
// From level 4 on jobs may wait for others.
inline constexpr bool has_dependencies(std::uint32_t format_version) {
  return format_version > 3;
}
// And an entry tells its number, which its key no longer does: a key is used again for a new entry when the one in it is
// not needed any more, which the newest entry tells. So shortening the ledger costs no changes.
inline constexpr bool reuses_keys(std::uint32_t format_version) {
  return format_version > 3;
}
struct EntryHead {
  std::uint32_t format_version = 1;
  std::uint64_t generation = 0;
  std::uint64_t seq = 0;            // the commit that wrote this version of the entry
  std::uint64_t previous_link = 0;  // link to the entries before it; 0: to none
  std::uint64_t number = 0;         // its number, where its key does not tell it
  std::uint64_t first_needed = 0;   // number of the first entry that is needed; 0: all that are there
};
struct LedgerEntry : EntryHead {
  std::uint64_t check = 0;  // found to be right
  std::vector<Record> records;
};
struct EncodedRecord {
  std::string text;
  std::uint64_t digest = 0;  // where the level has checks
};
EncodedRecord encode_record(const Record& record, std::uint32_t format_version);
// Bytes that a job's description takes at most in a record, without encoding it.
std::size_t encoded_most(const JobSpec& s);
// Of an entry's records, with one more.
std::uint64_t digest_with_record(std::uint64_t digest, const EncodedRecord& record);
std::uint64_t check_of(const EntryHead& head, std::uint64_t records_digest);
// To this entry and all before it.
std::uint64_t link_of(std::uint64_t before, std::uint64_t n, std::uint64_t check);
// `records` are encoded records joined by commas.
std::string entry_value(const EntryHead& head, std::string_view records, std::uint64_t records_digest);
LedgerEntry parse_entry(std::string_view value);
// A page of entries, parsed once: reading the ledger is most of what a takeover costs. An entry that can't be read
// carries the reason.
struct EntryPage {
  struct Row {
    std::string key, error;
    std::uint64_t mod_revision = 0;
    LedgerEntry entry;
  };
  std::vector<Row> rows;
  bool truncated = false;
  std::uint64_t revision = 0;  // of the state service when it was looked at
};
// Whether the answer to a watch tells of any change.
bool parse_changed(std::string_view body);
EntryPage parse_entries(std::string_view body);

}  // namespace thistlefront
