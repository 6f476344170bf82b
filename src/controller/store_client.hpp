// The state service as typed calls over one kept connection.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "protocol/messages.hpp"
#include "transport/http.hpp"

namespace thistlefront {

enum class StoreStatus {
  ok,
  missing,      // 404
  conflict,     // 409: a condition did not hold
  unavailable,  // 503, 429, or no connection: not executed
  in_doubt,     // no answer: may have been executed, or may be later
  refused,      // 400 and anything unexpected: the request itself is at fault
};

class StoreClient {
 public:
  explicit StoreClient(const std::string& address) : http_(address) {}

  StoreStatus get(const std::string& key, Row& out);
  // All rows under a prefix; `out.rev` is from before or at the look.
  StoreStatus list(const std::string& prefix, Rows& out);
  StoreStatus list_entries(const std::string& prefix, const std::string& from, EntryPage& out);
  // On ok, `rev` is the revision of its changes; on conflict, `failed` names the keys.
  StoreStatus commit(const std::string& body, std::uint64_t& revision, std::vector<std::string>& failed);
  StoreStatus create_lease(unsigned life_ms, std::uint64_t& out);
  StoreStatus renew_lease(std::uint64_t create_lease);
  StoreStatus revoke_lease(std::uint64_t create_lease);
  // Blocks until something under the prefix changes after `from`, or the time is over.
  // Whether a key with the prefix has changed after the given revision.
  StoreStatus has_changed(const std::string& prefix, std::uint64_t from, bool& out);
  StoreStatus watch(const std::string& prefix, std::uint64_t from, unsigned block_ms);
  void abort() { http_.abort(); }

 private:
  StoreStatus status_of(const HttpResult& r);
  HttpClient http_;
};

}  // namespace thistlefront
