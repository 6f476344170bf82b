// The consensus-backed key-value store (the operators' "state service") as typed calls over one kept connection. One thread at a
// time uses a client, but for abort().
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "protocol/messages.hpp"
#include "transport/http.hpp"

namespace thistlefront {

enum class StoreStatus {
  ok,
  missing,      // 404: no such key or lease
  conflict,     // 409: a condition did not hold
  unavailable,  // 503, 429, or no connection: not executed
  in_doubt,     // no answer: may have been executed, or may be later
  refused,      // 400 and anything unexpected: the request itself is at fault
};

class StoreClient {
 public:
  explicit StoreClient(const std::string& address) : http_(address) {}

  StoreStatus get(const std::string& key, Row& out);
  // All rows under a prefix; `out.revision` is from before or at the look.
  StoreStatus list(const std::string& prefix, Rows& out);
  StoreStatus list_entries(const std::string& prefix, const std::string& from, EntryPage& out);
  // A compare-and-swap transaction. On ok, `revision` is that of its changes; on conflict, `failed` names the keys whose
  // conditions did not hold.
  StoreStatus commit(const std::string& body, std::uint64_t& revision, std::vector<std::string>& failed);
  // Session leases: keys attached to one are removed when it expires.
  StoreStatus create_lease(unsigned life_ms, std::uint64_t& out);
  StoreStatus renew_lease(std::uint64_t session_lease);
  StoreStatus revoke_lease(std::uint64_t session_lease);
  // Whether a key with the prefix has changed after the given revision.
  StoreStatus has_changed(const std::string& prefix, std::uint64_t from, bool& out);
  // Blocks until something under the prefix changes after `from`, or the time is over.
  StoreStatus watch(const std::string& prefix, std::uint64_t from, unsigned block_ms);
  // Ends a call in progress on another thread, and refuses later ones.
  void abort() { http_.abort(); }

 private:
  StoreStatus status_of(const HttpResult& r);
  HttpClient http_;
};

}  // namespace thistlefront
