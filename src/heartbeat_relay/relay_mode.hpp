// Whether a leader takes its workers' reports by way of other controllers. Pure.
#pragma once
#include <cstddef>

namespace thistlefront {

enum class RelayMode {
  off,
  on,
  automatic,  // where holding all workers itself would take too much of the leader's processor, threads or sockets
};

// What `automatic` decides. `processor_share`: of one core, 0 where it is not known; `most_connections`: of users and workers.
bool is_relay_needed(std::size_t workers, double processor_share, std::size_t most_connections);

}  // namespace thistlefront
