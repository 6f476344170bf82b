// Keeps agents spread evenly over the controllers: one that serves more than its share redirects some to the one that serves the
// fewest, a few per second. Used by the leader, which keeps one balancer for each term. Pure; times are steady seconds.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "model/identifiers.hpp"

namespace thistlefront {

class WorkerBalancer {
 public:
  // Agents to be redirected to another controller; `count` 0: none.
  struct Redirection {
    std::uint32_t count = 0;
    std::string target;
  };
  // A relay told how many agents it serves.
  void record_worker_count(const std::string& relay, std::uint32_t workers, double now);
  // What this relay is to redirect.
  Redirection redirect_from_relay(const std::string& relay, double now);
  // Where the leader is to redirect one of the `own` agents that it serves itself.
  std::optional<std::string> redirect_from_leader(std::size_t own, double now);
  // Agents at relays that were heard from recently.
  [[nodiscard]] std::size_t workers_at_relays(double now) const;

 private:
  struct Relay {
    std::uint32_t workers = 0;
    double heard_at = 0;
  };
  [[nodiscard]] static bool is_recent(const Relay& relay, double now);
  // The relay that serves the fewest agents, other than `excluded`; null where there is none.
  [[nodiscard]] const std::pair<const std::string, Relay>* least_loaded(const std::string& excluded, double now) const;
  // How many agents a relay serves when all controllers serve their share.
  [[nodiscard]] double relay_share(double now) const;
  // How many of `wanted` agents may be redirected now, which are then deducted from the allowance.
  std::uint32_t take_allowance(double wanted, double now);

  NameMap<Relay> relays_;
  std::size_t own_ = 0;                         // agents that the leader serves itself
  double allowance_ = 0, allowance_as_of_ = 0;  // redirections left, and when they were last replenished
};

}  // namespace thistlefront
