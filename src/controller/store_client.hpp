// A client of the consensus-backed key-value store (the operators' "state service"): typed calls over one persistent connection. Only
// one thread at a time may use a client, except for abort().
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "protocol/messages.hpp"
#include "transport/http.hpp"

namespace thistlefront {

enum class StoreStatus {
  ok,
  missing,        // 404: no such key or lease
  conflict,       // 409: a condition did not hold
  unavailable,    // 503, 429, or no connection: not executed
  indeterminate,  // no reply: the request may have been executed, or may be later
  refused,        // 400 or an unexpected status: the request itself is invalid
};

class StoreClient {
 public:
  explicit StoreClient(const std::string& address) : http_(address) {}

  StoreStatus get(const std::string& key, Row& out);
  // Reads all rows under a prefix, in pages; `out.revision` is that of the first page, so that a watch from it
  // reports all later changes.
  StoreStatus list(const std::string& prefix, Rows& out);
  StoreStatus list_entries(const std::string& prefix, const std::string& from, EntryPage& out);
  // Executes a compare-and-swap transaction. On ok, `revision` is that of its changes; on conflict, `failed` names the keys whose
  // conditions did not hold.
  StoreStatus commit(const std::string& body, std::uint64_t& revision, std::vector<std::string>& failed);
  // Session leases: keys attached to one are removed when it expires.
  StoreStatus create_lease(unsigned ttl_ms, std::uint64_t& out);
  StoreStatus renew_lease(std::uint64_t session_lease);
  StoreStatus revoke_lease(std::uint64_t session_lease);
  // Sets `out` to whether a key with the prefix has changed after revision `from`.
  StoreStatus has_changed(const std::string& prefix, std::uint64_t from, bool& out);
  // Blocks until a key with the prefix changes after revision `from`, or `block_ms` have passed.
  StoreStatus watch(const std::string& prefix, std::uint64_t from, unsigned block_ms);
  // Interrupts a call in progress on another thread and makes later calls fail.
  void abort() { http_.abort(); }

 private:
  StoreStatus status_of(const HttpResult& r);
  HttpClient http_;
};

}  // namespace thistlefront
