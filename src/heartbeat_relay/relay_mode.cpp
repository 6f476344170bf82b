#include "heartbeat_relay/relay_mode.hpp"

namespace thistlefront {

namespace {

// Processor cores that the leader needs for each agent connected to it (docs/CAPACITY.md, `one-leader`).
constexpr double kCoresPerAgent = 1.17e-4;
// Fractions of the cores and of the connections that agents may use. The other connections are for users and for agents that
// reconnect.
constexpr double kMaxCoresFraction = 0.75;
constexpr double kMaxConnectionsFraction = 0.75;

}  // namespace

bool is_relay_needed(std::size_t agents, double cores, std::size_t max_connections) {
  const auto agent_count = static_cast<double>(agents);
  const bool needs_cores = cores > 0 && agent_count * kCoresPerAgent > cores * kMaxCoresFraction;
  const bool needs_connections = agent_count > static_cast<double>(max_connections) * kMaxConnectionsFraction;
  return needs_cores || needs_connections;
}

}  // namespace thistlefront
