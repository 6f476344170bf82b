// Requests instances from the cloud for work that can't start in time on the present nodes. scheduling/scale_out chooses what to
// request.
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
  // Sends requests while there is unmet demand, as many as a fraction of the cloud's rate limit allows, at least one.
  void run(HttpClient& cloud);

 private:
  // The name makes the request idempotent: the cloud executes a repeated request only once.
  struct NamedRequest {
    std::uint64_t term = 0;
    std::string name, machine_type;
    ScaleOutRequest request;
  };

  // Sends one request. Returns whether another may be sent at once.
  bool request_instances(HttpClient& cloud);
  // The unacknowledged request, if there is one, else a new one; nullopt if nothing is to be requested.
  std::optional<NamedRequest> next_request();
  std::optional<ScaleOutRequest> choose_request(double now);
  // Returns whether the reply settles the request: granted, or refused for lack of capacity.
  bool apply_reply(const NamedRequest& sent, const HttpResult& reply);
  void apply_granted(const NamedRequest& sent, const std::string& body);
  void suspend_offer(const NamedRequest& sent);
  // Whether instances may be requested for this job now.
  [[nodiscard]] bool needs_scale_out(const Job& job, double wall_now_s) const;
  // Whether all running instances are known, so that none is requested a second time.
  [[nodiscard]] bool is_fleet_known(double now) const;

  SharedState& shared_;
  // Used only by CloudManager's thread:
  std::optional<NamedRequest> unacknowledged_;  // the latest request, until its reply arrives
  std::uint64_t request_count_ = 0;
};

}  // namespace thistlefront
