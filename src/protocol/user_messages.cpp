#include "protocol/user_messages.hpp"

#include <nlohmann/json.hpp>

#include "protocol/enum_names.hpp"
#include "protocol/json_fields.hpp"

namespace thistlefront {

using nlohmann::json;

namespace {

constexpr std::string_view kJobsPath = "/v1/jobs";

// Routes below kJobsPath. `rest`: the part of the path after kJobsPath.
UserRoute job_route(std::string_view method, std::string_view rest) {
  using Kind = UserRoute::Kind;
  const auto route = [&](std::string_view expected_method, Kind kind, std::string_view uid = {}) {
    return UserRoute{method == expected_method ? kind : Kind::wrong_method, std::string(uid)};
  };
  if (rest.empty()) return route("POST", Kind::submit);
  if (rest.front() != '/') return {};
  rest.remove_prefix(1);
  const auto slash = rest.find('/');
  const auto uid = rest.substr(0, slash);
  if (slash == std::string_view::npos) return route("GET", Kind::status, uid);
  if (rest.substr(slash) == "/withdraw") return route("POST", Kind::cancel, uid);
  return {};
}

}  // namespace

JobSpec parse_submission(std::string_view body) {
  return parse_submitted_job_spec(parse_object(body));
}

std::string extract_uid(std::string_view body) {
  const json parsed = json::parse(body.begin(), body.end(), nullptr, false);
  if (!parsed.is_object()) return {};
  const json* uid = find_member(parsed, "uid");
  return uid && uid->is_string() && is_uid(uid->get_ref<const std::string&>()) ? uid->get<std::string>() : "";
}

std::string status_body(const std::string& uid, JobStatus status, std::uint32_t done, std::uint32_t running) {
  return "{\"uid\":\"" + uid + "\",\"status\":\"" + std::string(enum_name(status, kJobStatusNames)) +
         "\",\"done\":" + std::to_string(done) + ",\"running\":" + std::to_string(running) + "}";
}

std::string acknowledgement_body(const std::string& uid, JobStatus status) {
  return "{\"uid\":\"" + uid + "\",\"status\":\"" + std::string(enum_name(status, kJobStatusNames)) + "\"}";
}

std::string error_body(std::string_view reason) {
  return json{{"error", reason}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

UserRoute route_of(std::string_view method, std::string_view target) {
  using Kind = UserRoute::Kind;
  target = target.substr(0, target.find('?'));
  if (target == "/v1/report") return {method == "POST" ? Kind::heartbeat : Kind::wrong_method, {}};
  if (target == "/healthz") return {method == "GET" ? Kind::health : Kind::wrong_method, {}};
  if (target == "/metrics") return {method == "GET" ? Kind::metrics : Kind::wrong_method, {}};
  if (!target.starts_with(kJobsPath)) return {};
  return job_route(method, target.substr(kJobsPath.size()));
}

}  // namespace thistlefront
