// Requests machines from the cloud for work that has no slot in time. What to request is decided by scheduling/scale_out.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "controller/shared_state.hpp"
#include "scheduling/scale_out.hpp"
#include "transport/http.hpp"

namespace thistlefront {

class ScaleOutManager {
 public:
  explicit ScaleOutManager(SharedState& shared) : shared_(shared) {}
  // Makes as many requests as are worth it and as the cloud's limit allows in one round.
  void run(HttpClient& cloud);

 private:
  // A request with the name that makes its repetition harmless.
  struct NamedRequest {
    std::uint64_t term = 0;
    std::string name, machine_type;
    ScaleOutRequest request;
  };

  // Makes one request; whether another may be made at once.
  bool request_machines(HttpClient& cloud);
  // The request that has no answer yet, or a new one; nothing where none is worth it.
  std::optional<NamedRequest> next_request();
  std::optional<ScaleOutRequest> choose(double now);
  // Whether the cloud answered clearly.
  bool apply_response(const NamedRequest& sent, const HttpResult& response);
  void apply_granted(const NamedRequest& sent, const std::string& body);
  void refuse_offer_for_now(const NamedRequest& sent);
  [[nodiscard]] bool is_worth_it(const Job& job, double wall) const;
  // Whether all that is up is known, so that what seems to be missing is not requested twice.
  [[nodiscard]] bool is_fleet_known(double now) const;

  SharedState& shared_;
  // Of the cloud duty's thread alone:
  std::optional<NamedRequest> pending_;  // sent, and not answered
  std::uint64_t request_count_ = 0;
};

}  // namespace thistlefront
