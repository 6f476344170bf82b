#include "protocol/store_messages.hpp"

#include <nlohmann/json.hpp>

#include "protocol/json_fields.hpp"

namespace thistlefront {

using nlohmann::json;

namespace {

Row row_from(const json& object) {
  Row row;
  row.key = read_text(object, "path");
  row.value = require_member(object, "value").dump();
  row.mod_revision = read_count(object, "stamp");
  if (const json* session_lease = find_member(object, "hold")) row.session_lease = as_count(*session_lease, "hold");
  return row;
}

}  // namespace

std::string leader_value(const LeaderValue& leader) {
  return json{{"label", leader.label}, {"incarnation", leader.incarnation}}.dump();
}

LeaderValue parse_leader_value(std::string_view value) {
  const json object = parse_object(value);
  return {read_text(object, "label"), read_count(object, "incarnation")};
}

std::string store_path(const std::string& key) {
  return "/store/" + key;
}

std::string list_path(const std::string& prefix, const std::string& first_key) {
  std::string path = "/store?prefix=" + prefix + "&page=1000";
  if (!first_key.empty()) path += "&from=" + first_key;
  return path;
}

std::string watch_path(const std::string& prefix, std::uint64_t from_revision, unsigned max_wait_ms) {
  return "/follow?prefix=" + prefix + "&from=" + std::to_string(from_revision) + "&blockMs=" + std::to_string(max_wait_ms);
}

std::string session_lease_path(std::uint64_t session_lease, bool renew) {
  return std::string(kSessionLeasesPath) + "/" + std::to_string(session_lease) + (renew ? "/renew" : "");
}

std::string session_lease_body(unsigned ttl_ms) {
  return "{\"lifeMs\":" + std::to_string(ttl_ms) + "}";
}

std::uint64_t parse_session_lease(std::string_view body) {
  return read_count(parse_object(body), "hold");
}

// Composed as text, because the values are already JSON text.
std::string txn_body(const std::vector<Condition>& conditions, const std::vector<Put>& puts, const std::vector<std::string>& removes) {
  std::string out = "{\"if\":[";
  const char* separator = "";
  for (const auto& condition : conditions) {
    out += separator;
    out += "{\"path\":\"" + condition.key + "\",\"stamp\":" + std::to_string(condition.mod_revision) + "}";
    separator = ",";
  }
  out += "],\"apply\":[";
  separator = "";
  for (const auto& put : puts) {
    out += separator;
    out += "{\"set\":\"" + put.key + "\",\"value\":" + put.value;
    if (put.session_lease) out += ",\"hold\":" + std::to_string(put.session_lease);
    out += "}";
    separator = ",";
  }
  for (const auto& key : removes) {
    out += separator;
    out += "{\"remove\":\"" + key + "\"}";
    separator = ",";
  }
  return out + "]}";
}

std::uint64_t parse_txn_revision(std::string_view body) {
  return read_count(parse_object(body), "ledgerRev");
}

std::vector<std::string> parse_failed_keys(std::string_view body) {
  const json object = parse_object(body);
  std::vector<std::string> keys;
  for (const auto& key : read_list(object, "failed")) keys.push_back(as_text(key, "failed"));
  return keys;
}

Row parse_row(std::string_view body) {
  return row_from(parse_object(body));
}

Rows parse_rows(std::string_view body) {
  const json object = parse_object(body);
  Rows page;
  page.truncated = read_flag(object, "truncated");
  page.revision = read_count(object, "ledgerRev");
  for (const auto& row : read_list(object, "rows")) page.rows.push_back(row_from(row));
  return page;
}

bool reports_change(std::string_view body) {
  return !read_list(parse_object(body), "events").empty();
}

}  // namespace thistlefront
