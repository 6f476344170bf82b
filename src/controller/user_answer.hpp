// Answers to users, and error replies shared by several handlers.
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

// An answer to a user. An answer that another leader's decisions could make outdated is valid for a short time only: RequestHandler
// limits the validity of each answer that is not final.
struct UserAnswer {
  UserAnswer(HttpReply r) : reply(std::move(r)) {}  // NOLINT(google-explicit-constructor): nearly all answers are made from a reply
  static UserAnswer final_answer(HttpReply r) {
    UserAnswer answer(std::move(r));
    answer.is_final = true;
    return answer;
  }
  HttpReply reply;
  bool is_final = false;
};

}  // namespace thistlefront
