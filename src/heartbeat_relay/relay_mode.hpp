// Decides whether the leader receives agents' heartbeats through other controllers. Does no I/O.
#pragma once
#include <cstddef>

namespace thistlefront {

enum class RelayMode {
  off,
  on,
  automatic,  // on if serving all agents directly would use too much of the leader's processor time or too many connections
};

// Whether `automatic` turns the relay on. `cores`: processor cores that this process may use, 0 if unknown. `max_connections`: bound
// of the connections of users and agents together.
bool is_relay_needed(std::size_t agents, double cores, std::size_t max_connections);

}  // namespace thistlefront
