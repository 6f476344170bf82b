// Requests of users and replies to them: HTTP routes and JSON bodies. Called by the request handler. Whether a request may be served
// is decided only there.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

#include "model/job.hpp"
#include "protocol/job_spec_json.hpp"
#include "protocol/protocol_error.hpp"

namespace thistlefront {

/// Parses and validates a submission; throws ProtocolError.
JobSpec parse_submission(std::string_view body);
/// The uid of a submission that is otherwise malformed; empty if there is no well-formed uid.
std::string extract_uid(std::string_view body);
/// Reply to a status request. `done`, `running`: numbers of tasks.
std::string status_body(const std::string& uid, JobStatus status, std::uint32_t done, std::uint32_t running);
/// Reply to a submission or a cancellation.
std::string acknowledgement_body(const std::string& uid, JobStatus status);
/// Body of an error reply. Bytes of `reason` that are not valid UTF-8 are replaced.
std::string error_body(std::string_view reason);

/// Route of an HTTP request.
struct UserRoute {
  enum class Kind { submit, status, cancel, health, metrics, heartbeat, unknown, wrong_method } kind = Kind::unknown;
  std::string uid;  ///< set for `status` and `cancel`; may be malformed
};
/// The route of a request. The query string is ignored.
UserRoute route_of(std::string_view method, std::string_view target);

}  // namespace thistlefront
