// What users send and are answered: HTTP routes and JSON bodies. Called by the request handler; it must never decide
// whether a request may be served.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

#include "model/job.hpp"
#include "protocol/job_spec_json.hpp"
#include "protocol/protocol_error.hpp"

namespace thistlefront {

/// Checks and reads a submission; throws ProtocolError.
JobSpec parse_submission(std::string_view body);
/// The uid in a body that is otherwise malformed; empty if it has none that is well formed.
std::string extract_uid(std::string_view body);
/// Answer to a status request: the status and how many tasks are done and running.
std::string status_body(const std::string& uid, JobStatus status, std::uint32_t done, std::uint32_t running);
/// Answer to a submission or a cancellation.
std::string acknowledgement_body(const std::string& uid, JobStatus status);
/// Body of an error reply; bytes of `reason` that are not UTF-8 are replaced.
std::string error_body(std::string_view reason);

/// Where an HTTP request is to go.
struct UserRoute {
  enum class Kind { submit, status, withdraw, health, metrics, heartbeat, unknown, wrong_method } kind = Kind::unknown;
  std::string uid;  ///< of status and withdraw; not checked for its form
};
/// The route of a request; a query is ignored.
UserRoute route_of(std::string_view method, std::string_view target);

}  // namespace thistlefront
