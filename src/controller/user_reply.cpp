#include "controller/user_reply.hpp"

#include "protocol/messages.hpp"

namespace thistlefront {

HttpReply error_reply(unsigned status, std::string_view reason, int retry_after_s) {
  return {status, error_body(reason), retry_after_s};
}

HttpReply unavailable_reply(std::string_view reason) {
  return error_reply(503, reason, kRetryAfterS);
}

}  // namespace thistlefront
