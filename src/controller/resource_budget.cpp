#include "controller/resource_budget.hpp"

#include <algorithm>

namespace thistlefront {

namespace {
constexpr std::size_t kDutyThreads = 16;          // without the one for each peer
constexpr std::size_t kDutySockets = 12;          // two listening, the key-value store, the cloud, and some spare
constexpr std::size_t kHeartbeatConnections = 1;  // for heartbeats, to each peer
constexpr std::size_t kMinClientConnections = 8, kMinWorkerConnections = 4;

std::size_t remaining(std::size_t total, std::size_t used, std::size_t minimum) {
  return total > used + minimum ? total - used : minimum;
}

std::size_t duty_sockets(std::size_t peers) {
  return kDutySockets + peers * (ResourceBudget::kCallConnectionsPerPeer + kHeartbeatConnections);
}
}  // namespace

std::size_t ResourceBudget::max_sockets() const {
  return duty_sockets(duty_threads - kDutyThreads) + client_connections + peer_connections + 2 * kMaxClosingConnections + sender_threads +
         concurrent_probes + worker_connections;
}

ResourceBudget split_resource_budget(std::size_t threads, std::size_t sockets, std::size_t peers) {
  ResourceBudget budget;
  budget.threads = threads;
  budget.sockets = sockets;
  budget.duty_threads = kDutyThreads + peers;
  // Twice what a peer opens: a restarted peer connects before the connections of its earlier process are known to be dead.
  budget.peer_connections = std::clamp<std::size_t>(2 * peers * (ResourceBudget::kCallConnectionsPerPeer + kHeartbeatConnections), 8,
                                                    std::max<std::size_t>(sockets / 16, 8));
  budget.sender_threads = std::clamp<std::size_t>(std::min(threads, sockets) / 16, 4, 128);
  budget.concurrent_probes = std::clamp<std::size_t>(std::min(threads, sockets) / 32, 2, 64);
  const std::size_t other_uses =
      budget.peer_connections + 2 * ResourceBudget::kMaxClosingConnections + budget.sender_threads + budget.concurrent_probes;
  const std::size_t sockets_left = remaining(sockets, duty_sockets(peers) + other_uses, 0);
  budget.client_connections = std::min({sockets * 11 / 20, remaining(threads, budget.duty_threads + other_uses, kMinClientConnections),
                                        std::max(sockets_left * 4 / 5, kMinClientConnections)});
  budget.worker_connections = remaining(sockets_left, budget.client_connections, kMinWorkerConnections);
  return budget;
}

}  // namespace thistlefront
