// Keeps workers spread over the controllers: those that hold more than their share send some to the one that holds fewest, a few a
// second. Kept by the leader for one lead. Pure; times are steady seconds.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "model/identifiers.hpp"

namespace thistlefront {

class WorkerBalancer {
 public:
  // Workers to be sent to another controller; 0: none.
  struct Redirection {
    std::uint32_t count = 0;
    std::string target;
  };
  // An intake said how many workers it holds.
  void record_worker_count(const std::string& relay, std::uint32_t workers, double now);
  // What that intake is to send away.
  Redirection redirect_from_relay(const std::string& relay, double now);
  // Where the leader is to send one of its own workers, of which it holds `own`.
  std::optional<std::string> redirect_from_leader(std::size_t own, double now);
  // Workers at intakes that were heard of lately.
  [[nodiscard]] std::size_t workers_at_relays(double now) const;

 private:
  struct Relay {
    std::uint32_t workers = 0;
    double heard_at = 0;
  };
  [[nodiscard]] bool is_recent(const Relay& relay, double now) const;
  // The intake that holds fewest, but this one; null where there is none.
  const std::pair<const std::string, Relay>* least_loaded(const std::string& but, double now) const;
  [[nodiscard]] double relay_share(double now) const;
  // How many of these may go now.
  std::uint32_t take_allowance(double wanted, double now);

  NameMap<Relay> relays_;
  std::size_t own_ = 0;
  double allowance_ = 0, allowance_at_ = 0;
};

}  // namespace thistlefront
