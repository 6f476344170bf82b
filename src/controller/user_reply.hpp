// Replies to users, and error replies shared by several handlers.
#pragma once
#include <string_view>
#include <utility>

#include "transport/http.hpp"

namespace thistlefront {

inline constexpr int kRetryAfterS = 1;
inline constexpr const char* kUnavailable = "not available now";

HttpReply error_reply(unsigned status, std::string_view reason, int retry_after_s = 0);
// Status 503 with a Retry-After header.
HttpReply unavailable_reply(std::string_view reason = kUnavailable);

// A reply to a user. A reply that another leader's decisions could make outdated is valid for a short time only: RequestHandler
// limits the validity of each reply that is not final.
struct UserReply {
  UserReply(HttpReply r) : reply(std::move(r)) {}  // NOLINT(google-explicit-constructor): nearly all are made from an HttpReply
  static UserReply final_reply(HttpReply r) {
    UserReply user_reply(std::move(r));
    user_reply.is_final = true;
    return user_reply;
  }
  HttpReply reply;
  bool is_final = false;
};

}  // namespace thistlefront
