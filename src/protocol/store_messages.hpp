// What is asked of the consensus-backed key-value store and answered by it: reads, watches, compare-and-swap transactions and
// session leases, and the value of the leader's key. Called by the store client and by leader election. Values are passed on as
// JSON text; what a ledger entry holds is in ledger_format.hpp.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/protocol_error.hpp"

namespace thistlefront {

/// Value of the leader's key: who leads.
struct LeaderValue {
  std::string label;              ///< of the controller
  std::uint64_t incarnation = 0;  ///< of its process
};
/// The leader's key at format version 1; see leader_key_for().
inline constexpr const char* kLeaderKeyV1 = "leader";
/// Encodes the value of the leader's key.
std::string leader_value(const LeaderValue& leader);
/// Reads it; throws ProtocolError.
LeaderValue parse_leader(std::string_view value);

/// Path of one key.
std::string store_path(const std::string& key);
/// Path of a page of the keys with that prefix, from the key `from` on; from the first if it is empty.
std::string list_path(const std::string& prefix, const std::string& from);
/// Path of a watch: changes to keys with that prefix from a revision on, waiting for at most `block_ms`.
std::string follow_path(const std::string& prefix, std::uint64_t from, unsigned block_ms);

inline constexpr const char* kTxnPath = "/txn";              ///< transactions are posted here
inline constexpr const char* kSessionLeasesPath = "/holds";  ///< session leases are created here
/// Path of one session lease, or of its renewal.
std::string session_lease_path(std::uint64_t session_lease, bool renew);
/// Creates a session lease that expires after `life_ms` without a renewal.
std::string session_lease_body(unsigned life_ms);
/// Id of the session lease created; throws ProtocolError.
std::uint64_t parse_session_lease(std::string_view body);

/// Condition of a transaction: the key was last changed at this revision.
struct Condition {
  std::string key;
  std::uint64_t mod_revision = 0;  ///< 0: the key does not exist
};
/// A value that a transaction writes.
struct Put {
  std::string key;
  std::string value;                ///< JSON text
  std::uint64_t session_lease = 0;  ///< the key is removed when this lease expires; 0: never
};
/// A transaction: if all conditions hold, all puts and removals are applied; otherwise nothing is.
std::string txn_body(const std::vector<Condition>& conditions, const std::vector<Put>& puts, const std::vector<std::string>& removes);
/// Revision at which a transaction was applied; throws ProtocolError.
std::uint64_t parse_revision(std::string_view body);
/// Keys whose condition did not hold; throws ProtocolError.
std::vector<std::string> parse_failed(std::string_view body);

/// A key with its value.
struct Row {
  std::string key;
  std::string value;                ///< JSON text
  std::uint64_t mod_revision = 0;   ///< of its last change
  std::uint64_t session_lease = 0;  ///< the lease that it is attached to; 0: none
};
/// Reads the answer to store_path(); throws ProtocolError.
Row parse_row(std::string_view body);

/// A page of keys.
struct Rows {
  std::vector<Row> rows;
  bool truncated = false;      ///< there are further pages
  std::uint64_t revision = 0;  ///< of the store when it was read
};
/// Reads the answer to list_path(); throws ProtocolError.
Rows parse_rows(std::string_view body);

/// Whether the answer to a watch reports any change; throws ProtocolError.
bool parse_changed(std::string_view body);

}  // namespace thistlefront
