// Answers to users, and the replies with an error that several handlers give.
#pragma once
#include <string_view>
#include <utility>

#include "transport/http.hpp"

namespace thistlefront {

inline constexpr int kRetryAfterS = 1;
inline constexpr const char* kUnavailable = "not available now";

HttpReply error_reply(unsigned status, std::string_view reason, int retry_after_s = 0);
// 503: to be asked again.
HttpReply unavailable_reply(std::string_view reason = kUnavailable);

// What a user is told. What another leader may make untrue is good for a short time only: RequestHandler limits each answer that
// is not marked as final.
struct UserAnswer {
  UserAnswer(HttpReply r) : reply(std::move(r)) {}  // NOLINT(google-explicit-constructor): nearly all answers are made of a reply
  static UserAnswer final_answer(HttpReply r) {
    UserAnswer answer(std::move(r));
    answer.is_final = true;
    return answer;
  }
  HttpReply reply;
  bool is_final = false;
};

}  // namespace thistlefront
