// Requests to the consensus-backed key-value store and its replies: reads, watches, compare-and-swap transactions and session
// leases; also the value of the leader's key. Called by the store client and by leader election. Values are passed as JSON text;
// for the content of ledger entries see ledger_format.hpp.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/protocol_error.hpp"

namespace thistlefront {

/// Value of the leader's key: the controller that leads.
struct LeaderValue {
  std::string label;              ///< of the controller
  std::uint64_t incarnation = 0;  ///< of the controller's process
};
/// The leader's key at format version 1; see leader_key_for().
inline constexpr const char* kLeaderKeyV1 = "leader";
/// Encodes the value of the leader's key.
std::string leader_value(const LeaderValue& leader);
/// Reads the value of the leader's key; throws ProtocolError.
LeaderValue parse_leader_value(std::string_view value);

/// Path that reads one key.
std::string store_path(const std::string& key);
/// Path of a page of the keys with this prefix, from `first_key` on. Empty `first_key`: the first page.
std::string list_path(const std::string& prefix, const std::string& first_key);
/// Path of a watch: waits at most `max_wait_ms` for changes to keys with this prefix from a revision on.
std::string watch_path(const std::string& prefix, std::uint64_t from_revision, unsigned max_wait_ms);

inline constexpr const char* kTxnPath = "/txn";              ///< transactions are posted here
inline constexpr const char* kSessionLeasesPath = "/holds";  ///< session leases are created here
/// Path of a session lease, or of its renewal.
std::string session_lease_path(std::uint64_t session_lease, bool renew);
/// Encodes the request for a session lease that expires after `ttl_ms` without a renewal.
std::string session_lease_body(unsigned ttl_ms);
/// Reads the id of a created session lease; throws ProtocolError.
std::uint64_t parse_session_lease(std::string_view body);

/// Condition of a transaction: the key was last changed at this revision.
struct Condition {
  std::string key;
  std::uint64_t mod_revision = 0;  ///< 0: the key does not exist
};
/// A write of a transaction.
struct Put {
  std::string key;
  std::string value;                ///< JSON text
  std::uint64_t session_lease = 0;  ///< lease whose expiry removes the key; 0: none
};
/// Encodes a transaction. If all conditions hold, the store applies all puts and removals; otherwise it applies none.
std::string txn_body(const std::vector<Condition>& conditions, const std::vector<Put>& puts, const std::vector<std::string>& removes);
/// Reads the revision at which a transaction was applied; throws ProtocolError.
std::uint64_t parse_txn_revision(std::string_view body);
/// Reads the keys of a transaction whose conditions did not hold; throws ProtocolError.
std::vector<std::string> parse_failed_keys(std::string_view body);

/// A key with its value.
struct Row {
  std::string key;
  std::string value;                ///< JSON text
  std::uint64_t mod_revision = 0;   ///< of its last change
  std::uint64_t session_lease = 0;  ///< lease that the key is attached to; 0: none
};
/// Reads the reply to store_path(); throws ProtocolError.
Row parse_row(std::string_view body);

/// A page of keys.
struct Rows {
  std::vector<Row> rows;
  bool truncated = false;      ///< there are further pages
  std::uint64_t revision = 0;  ///< of the store when the page was read
};
/// Reads the reply to list_path(); throws ProtocolError.
Rows parse_rows(std::string_view body);

/// Whether the reply to a watch reports any change; throws ProtocolError.
bool reports_change(std::string_view body);

}  // namespace thistlefront
