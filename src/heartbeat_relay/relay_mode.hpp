// Whether a leader receives the heartbeats of its agents by way of other controllers. Called by the leader. Pure.
#pragma once
#include <cstddef>

namespace thistlefront {

enum class RelayMode {
  off,
  on,
  automatic,  // on where serving all agents itself would take too much of the leader's processor time or too many connections
};

// What `automatic` decides. `processor_share`: cores that this process may use, 0 where that is not known; `most_connections`: of
// users and agents together.
bool is_relay_needed(std::size_t workers, double processor_share, std::size_t most_connections);

}  // namespace thistlefront
