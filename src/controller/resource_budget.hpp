// Splits the threads and sockets that the process may have among their uses. Pure; computed once at the start.
#pragma once
#include <cstddef>

namespace thistlefront {

// How many threads and sockets each use may have. Accepted connections can't use up those reserved for leading: a leader that can't
// open a connection to the key-value store, or start a thread to send commands, can't lead.
struct ResourceBudget {
  std::size_t threads = 0, sockets = 0;  // total
  std::size_t duty_threads = 0;          // threads of long-lived duties
  std::size_t client_connections = 0;    // accepted from users and agents
  std::size_t peer_connections = 0;      // accepted from peers
  std::size_t sender_threads = 0;        // send commands to agents
  std::size_t concurrent_probes = 0;     // agents probed for their status at the same time
  std::size_t worker_connections = 0;    // to agents, kept open between commands
  // An acceptor at its bound accepts up to this many more connections while those it evicts are closing.
  static constexpr std::size_t kMaxClosingConnections = 16;
  static constexpr std::size_t kCallConnectionsPerPeer = 12;
  static constexpr std::size_t kMinThreads = 100;

  [[nodiscard]] std::size_t max_threads() const {
    return duty_threads + client_connections + peer_connections + 2 * kMaxClosingConnections + sender_threads + concurrent_probes;
  }
  [[nodiscard]] std::size_t max_sockets() const;
};

// `threads` and `sockets`: maximum of the process; `peers`: number of peers.
ResourceBudget split_resource_budget(std::size_t threads, std::size_t sockets, std::size_t peers);

}  // namespace thistlefront
