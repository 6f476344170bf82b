// Balances agents over the controllers. A controller that serves more than its fair share redirects agents to the relay that serves
// the fewest, at a limited rate. The leader keeps one balancer for each term. Does no I/O; times are steady seconds.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "model/identifiers.hpp"

namespace thistlefront {

class AgentBalancer {
 public:
  // How many agents to redirect, and to which controller; no target if `count` is 0.
  struct Redirection {
    std::uint32_t count = 0;
    std::string target;
  };
  // Records how many agents a relay says it serves.
  void record_agent_count(const std::string& relay, std::uint32_t agents, double now);
  // Decides which redirection this relay is to carry out.
  Redirection redirect_from_relay(const std::string& relay, double now);
  // Decides to which relay the leader redirects one of the `leader_agents` that it serves itself; nullopt: to none.
  std::optional<std::string> redirect_from_leader(std::size_t leader_agents, double now);
  // Counts the agents at relays that sent a message recently.
  [[nodiscard]] std::size_t count_agents_at_relays(double now) const;

 private:
  struct Relay {
    std::uint32_t agents = 0;
    double last_message_at = 0;
  };
  [[nodiscard]] static bool is_active(const Relay& relay, double now);
  // Finds the active relay, other than `excluded`, that serves the fewest agents; nullptr if there is none.
  [[nodiscard]] const std::pair<const std::string, Relay>* find_least_loaded(const std::string& excluded, double now) const;
  // Number of agents that a relay serves when agents are balanced.
  [[nodiscard]] double relay_fair_share(double now) const;
  // Returns how many of the `wanted` redirections the rate limit allows now, and deducts them from the allowance.
  std::uint32_t consume_allowance(double wanted, double now);

  NameMap<Relay> relays_;
  std::size_t leader_agents_ = 0;    // agents that the leader serves itself
  double allowance_ = 0;             // redirections left
  double allowance_updated_at_ = 0;  // when the allowance was last replenished
};

}  // namespace thistlefront
