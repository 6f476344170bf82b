#include "controller/store_client.hpp"

#include <spdlog/spdlog.h>

namespace thistlefront {

namespace {
// The store replies within milliseconds, occasionally within a few hundred.
constexpr double kTimeoutS = 1.5;
constexpr double kListTimeoutS = 5.0;

template <class Parse>
StoreStatus parse_if_ok(StoreStatus status, Parse parse) {
  if (status != StoreStatus::ok) return status;
  try {
    parse();
    return status;
  } catch (const std::exception& e) {
    spdlog::error("key-value store: malformed answer: {}", e.what());
    // The request was executed, but its result is unknown.
    return StoreStatus::indeterminate;
  }
}
}  // namespace

StoreStatus StoreClient::status_of(const HttpResult& r) {
  if (r.delivery == Delivery::unsent) return StoreStatus::unavailable;
  if (r.delivery == Delivery::outcome_unknown) return StoreStatus::indeterminate;
  switch (r.status) {
    case 200: return StoreStatus::ok;
    case 404: return StoreStatus::missing;
    case 409: return StoreStatus::conflict;
    case 429:
    case 503: return StoreStatus::unavailable;
    default: spdlog::error("key-value store: unexpected status {}: {}", r.status, r.body.substr(0, 200)); return StoreStatus::refused;
  }
}

StoreStatus StoreClient::get(const std::string& key, Row& out) {
  auto r = http_.get(store_path(key), kTimeoutS);
  return parse_if_ok(status_of(r), [&] { out = parse_row(r.body); });
}

StoreStatus StoreClient::list(const std::string& prefix, Rows& out) {
  out = {};
  for (std::string from;;) {
    auto r = http_.get(list_path(prefix, from), kTimeoutS);
    Rows page;
    const auto status = parse_if_ok(status_of(r), [&] { page = parse_rows(r.body); });
    if (status != StoreStatus::ok) return status;
    if (from.empty()) out.revision = page.revision;
    for (auto& row : page.rows) out.rows.push_back(std::move(row));
    if (!page.truncated || out.rows.empty()) return status;
    from = out.rows.back().key;
  }
}

StoreStatus StoreClient::list_entries(const std::string& prefix, const std::string& from, EntryPage& out) {
  auto r = http_.get(list_path(prefix, from), kListTimeoutS);
  return parse_if_ok(status_of(r), [&] { out = parse_entries(r.body); });
}

StoreStatus StoreClient::commit(const std::string& body, std::uint64_t& revision, std::vector<std::string>& failed) {
  auto r = http_.post(kTxnPath, body, kTimeoutS);
  auto status = status_of(r);
  failed.clear();
  if (status == StoreStatus::conflict) {
    try {
      failed = parse_failed_keys(r.body);
    } catch (const std::exception& e) {
      spdlog::error("key-value store: malformed answer: {}", e.what());
    }
    return status;
  }
  return parse_if_ok(status, [&] { revision = parse_txn_revision(r.body); });
}

StoreStatus StoreClient::create_lease(unsigned ttl_ms, std::uint64_t& out) {
  auto r = http_.post(kSessionLeasesPath, session_lease_body(ttl_ms), kTimeoutS);
  return parse_if_ok(status_of(r), [&] { out = parse_session_lease(r.body); });
}

StoreStatus StoreClient::renew_lease(std::uint64_t session_lease) {
  return status_of(http_.post(session_lease_path(session_lease, true), "", kTimeoutS));
}

StoreStatus StoreClient::revoke_lease(std::uint64_t session_lease) {
  return status_of(http_.call("DELETE", session_lease_path(session_lease, false), "", kTimeoutS));
}

StoreStatus StoreClient::has_changed(const std::string& prefix, std::uint64_t from, bool& out) {
  auto r = http_.get(watch_path(prefix, from, 0), kTimeoutS);
  out = true;  // 410: the store no longer has all changes since `from`
  if (r.is(410)) return StoreStatus::ok;
  return parse_if_ok(status_of(r), [&] { out = reports_change(r.body); });
}

StoreStatus StoreClient::watch(const std::string& prefix, std::uint64_t from, unsigned block_ms) {
  auto r = http_.get(watch_path(prefix, from, block_ms), block_ms / 1000.0 + 5.0);
  // 410: the store no longer has all changes since `from`, so something has changed.
  if (r.is(410)) return StoreStatus::ok;
  return status_of(r);
}

}  // namespace thistlefront
