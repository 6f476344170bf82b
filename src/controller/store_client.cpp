#include "controller/store_client.hpp"

#include <spdlog/spdlog.h>

namespace thistlefront {

namespace {
// Answers come in milliseconds, now and then in a few hundred.
constexpr double kTimeoutS = 1.5;
constexpr double kListTimeoutS = 5.0;

template <class Parse>
StoreStatus parsed(StoreStatus status, Parse parse) {
  if (status != StoreStatus::ok) return status;
  try {
    parse();
    return status;
  } catch (const std::exception& e) {
    spdlog::error("key-value store: malformed answer: {}", e.what());
    // It was executed, but what came of it is not known.
    return StoreStatus::in_doubt;
  }
}
}  // namespace

StoreStatus StoreClient::status_of(const HttpResult& r) {
  if (r.delivery == Delivery::unsent) return StoreStatus::unavailable;
  if (r.delivery == Delivery::outcome_unknown) return StoreStatus::in_doubt;
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
  return parsed(status_of(r), [&] { out = parse_row(r.body); });
}

StoreStatus StoreClient::list(const std::string& prefix, Rows& out) {
  out = {};
  for (std::string from;;) {
    auto r = http_.get(list_path(prefix, from), kTimeoutS);
    Rows page;
    const auto status = parsed(status_of(r), [&] { page = parse_rows(r.body); });
    if (status != StoreStatus::ok) return status;
    if (from.empty()) out.revision = page.revision;
    for (auto& row : page.rows) out.rows.push_back(std::move(row));
    if (!page.truncated || out.rows.empty()) return status;
    from = out.rows.back().key;
  }
}

StoreStatus StoreClient::list_entries(const std::string& prefix, const std::string& from, EntryPage& out) {
  auto r = http_.get(list_path(prefix, from), kListTimeoutS);
  return parsed(status_of(r), [&] { out = parse_entries(r.body); });
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
  return parsed(status, [&] { revision = parse_txn_revision(r.body); });
}

StoreStatus StoreClient::create_lease(unsigned life_ms, std::uint64_t& out) {
  auto r = http_.post(kSessionLeasesPath, session_lease_body(life_ms), kTimeoutS);
  return parsed(status_of(r), [&] { out = parse_session_lease(r.body); });
}

StoreStatus StoreClient::renew_lease(std::uint64_t session_lease) {
  return status_of(http_.post(session_lease_path(session_lease, true), "", kTimeoutS));
}

StoreStatus StoreClient::revoke_lease(std::uint64_t session_lease) {
  return status_of(http_.call("DELETE", session_lease_path(session_lease, false), "", kTimeoutS));
}

StoreStatus StoreClient::has_changed(const std::string& prefix, std::uint64_t from, bool& out) {
  auto r = http_.get(watch_path(prefix, from, 0), kTimeoutS);
  out = true;  // 410: too much has changed since to tell
  if (r.is(410)) return StoreStatus::ok;
  return parsed(status_of(r), [&] { out = reports_change(r.body); });
}

StoreStatus StoreClient::watch(const std::string& prefix, std::uint64_t from, unsigned block_ms) {
  auto r = http_.get(watch_path(prefix, from, block_ms), block_ms / 1000.0 + 5.0);
  // 410: too much has changed since; what matters is that something has.
  if (r.is(410)) return StoreStatus::ok;
  return status_of(r);
}

}  // namespace thistlefront
