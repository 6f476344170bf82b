// How the threads and sockets that a process may have are split. Pure; computed once at the start.
#pragma once
#include <cstddef>

namespace thistlefront {

// Who may use how many. What is accepted can never take what leading needs: a leader that can't open a connection to the
// key-value store, or start a thread for its commands, does not lead.
struct ResourceBudget {
  std::size_t threads = 0, sockets = 0;  // in all
  std::size_t own = 0;                   // threads of long-lived duties
  std::size_t clients = 0, peers = 0;    // accepted connections of users and workers, and of other controllers
  std::size_t senders = 0;               // threads that send commands to workers
  std::size_t probes = 0;                // workers asked for their status at the same time
  std::size_t worker_connections = 0;    // to workers, kept between commands
  // Beyond its bound an acceptor takes so many more while the connections that it ends wind down.
  static constexpr std::size_t kOver = 16;
  static constexpr std::size_t kCallsToAPeer = 12;
  static constexpr std::size_t kLeastThreads = 100;

  [[nodiscard]] std::size_t most_threads() const { return own + clients + peers + 2 * kOver + senders + probes; }
  [[nodiscard]] std::size_t most_sockets() const;
};

// `threads` and `sockets`: that the process may have; `peers`: other controllers.
ResourceBudget split_resource_budget(std::size_t threads, std::size_t sockets, std::size_t peers);

}  // namespace thistlefront
